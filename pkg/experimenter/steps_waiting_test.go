package experimenter

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

const (
	waitingPhases = 5
	// faultsDuration is how long faults are injected in a phase, and
	// calmDuration how long the calm after the last of them lasts.
	faultsDuration = 10 * time.Second
	calmDuration   = 18 * time.Second
	// ownerLease is how long an owner that was replaced may still grant leases.
	ownerLease = 1700 * time.Millisecond
)

func newWaitingSimulation(t *testing.T, seed uint64, longestLease time.Duration) *waitingSimulation {
	sim := &waitingSimulation{
		stepsSimulation: newStepsSimulation(t, seed, longestLease, 0),
		waitingSince:    map[string]time.Time{},
		doneOn:          map[string]*emulator.StepRunner{},
	}
	sim.ownerLease = ownerLease
	sim.reportProgress = true
	sim.runTime = sim.waitingRunTime
	queue := sim.queues.List[0]
	background := queue
	background.Name = "background"
	background.Terms.Urgency = 2
	sim.queues.List = []scheduler.Queue{queue, background}
	for range minRunners {
		sim.addRunner("s")
	}
	sim.addRunner("t")
	return sim
}

// waitingRunTime returns the run time of a run. Most runs of long-running tasks
// do not end by themselves.
func (sim *waitingSimulation) waitingRunTime(a *stepsAgent, ref framer.RunRef) (time.Duration, framer.FinishReason) {
	if _, ok := sim.endedAt[ref.Task]; ok && sim.step(ref.Task).LongRunning {
		sim.restarts++
	}
	switch {
	case a.failing:
		return sim.duration(50, 500), framer.FinishFailed
	case !sim.step(ref.Task).LongRunning && sim.rnd.IntN(20) == 0:
		return sim.duration(5000, 20_000), framer.FinishDone
	case !sim.step(ref.Task).LongRunning:
		return sim.randomRunTime(a, ref)
	case sim.rnd.Float64() > 0.1:
		return 24 * time.Hour, framer.FinishDone
	case sim.rnd.IntN(2) == 0:
		return sim.duration(500, 30_000), framer.FinishFailed
	default:
		return sim.duration(500, 30_000), framer.FinishDone
	}
}

// add submits a job with the given steps to a random queue.
func (sim *waitingSimulation) add(steps []scheduler.Step) scheduler.Spec {
	sim.jobs++
	spec := scheduler.Spec{
		ID:               fmt.Sprintf("job%d", sim.jobs),
		Queue:            sim.queues.List[sim.rnd.IntN(len(sim.queues.List))].Name,
		Service:          "s",
		Steps:            steps,
		AcceptedAtMillis: sim.Now().UnixMilli(),
	}
	sim.specs[spec.ID] = spec
	if sim.owner != nil {
		sim.owner.cell.Add(sim.Now(), spec)
	}
	return spec
}

func (sim *waitingSimulation) cancel(id string) {
	sim.logf("%s is cancelled", id)
	sim.cancelled[id] = sim.Now()
	if sim.owner != nil {
		sim.owner.cell.Cancel(sim.Now(), id)
	}
}

// addLongRunning submits a job with a long-running step.
func (sim *waitingSimulation) addLongRunning() scheduler.Spec {
	step := scheduler.Step{
		Count:       1 + sim.rnd.IntN(4),
		LongRunning: true,
		Image:       fmt.Sprintf("image-%d", sim.rnd.IntN(3)),
		Needs: publisher.Resources{
			ProcessorMillis: 200 + sim.rnd.Int64N(2500),
			MemoryBytes:     sim.rnd.Int64N(3 << 30),
		},
		AntiAffinity: sim.rnd.IntN(3),
	}
	if sim.rnd.IntN(4) == 0 {
		step.Requires = "fast"
	}
	if sim.rnd.IntN(2) == 0 {
		step.TargetMillis = 50
	}
	return sim.add([]scheduler.Step{step})
}

// addFinite submits a job of one or two finite steps, some of which are
// best-effort. One job in ten is cancelled later.
func (sim *waitingSimulation) addFinite() {
	step := scheduler.Step{
		Count:          1 + sim.rnd.IntN(3),
		EstimateMillis: 2000,
		BestEffort:     sim.rnd.IntN(3) == 0,
		Image:          fmt.Sprintf("batch-%d", sim.rnd.IntN(2)),
		Needs: publisher.Resources{
			ProcessorMillis: 200 + sim.rnd.Int64N(2000),
			MemoryBytes:     sim.rnd.Int64N(2 << 30),
		},
	}
	steps := []scheduler.Step{step}
	if sim.rnd.IntN(2) == 0 {
		step.After = []int{0}
		steps = append(steps, step)
	}
	spec := sim.add(steps)
	if sim.rnd.IntN(10) == 0 {
		sim.After(sim.duration(0, 3000), func() { sim.cancel(spec.ID) })
	}
}

// cancelLongRunning cancels all long-running jobs, which leaves room for the
// finite ones.
func (sim *waitingSimulation) cancelLongRunning() {
	for _, id := range slices.Sorted(maps.Keys(sim.specs)) {
		if _, ok := sim.cancelled[id]; !ok && sim.specs[id].Steps[0].LongRunning {
			sim.cancel(id)
		}
	}
}

// phase injects faults, lets them end and waits.
func (sim *waitingSimulation) phase() {
	sim.disturb(0)
	sim.addMissingRunners()
	replaced := sim.addLongRunning()
	end := sim.Now().Add(faultsDuration)
	for n := 1 + sim.rnd.IntN(6); n > 0; n-- {
		sim.After(sim.duration(0, int(faultsDuration.Milliseconds())), sim.injectRandomFault)
	}
	sim.RunUntil(end)
	sim.RunUntil(sim.disturbedUntil.Add(calmDuration))
	sim.cancel(replaced.ID)
}

// TestLongRunningTasksRunAgainInTime guards against the incident LOST: a task
// that could run waits although a runner without a fault could hold it twice.
func TestLongRunningTasksRunAgainInTime(t *testing.T) {
	for _, lease := range []time.Duration{stepsLease, stepsLongestLease} {
		for _, seed := range seeds(2) {
			t.Run(fmt.Sprintf("lease-%s-seed-%d", lease, seed), func(t *testing.T) { testWaits(t, seed, lease) })
		}
	}
}

// TestJobsOfUnlistedRunsRunAgainInTime guards against the same for a task whose run was
// sent just before its runner was lost, or is stopped in an incarnation under the same id
// that is lost too.
func TestJobsOfUnlistedRunsRunAgainInTime(t *testing.T) {
	for _, seed := range []uint64{9, 37, 40} {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { testWaits(t, seed, stepsLongestLease) })
	}
}

func testWaits(t *testing.T, seed uint64, lease time.Duration) {
	sim := newWaitingSimulation(t, seed, lease)
	sim.Every(checkInterval, func() bool {
		sim.checkWaits()
		return true
	})
	interval := sim.duration(200, 1200)
	over := false
	sim.Every(interval, func() bool {
		sim.addFinite()
		return !over
	})
	for range 10 {
		sim.addLongRunning()
	}
	sim.RunUntil(sim.Now().Add(4 * time.Second))
	for range waitingPhases {
		sim.phase()
	}
	over = true
	sim.cancelLongRunning()
	for range minRunners {
		sim.addRunner("s")
	}
	sim.RunUntil(sim.Now().Add(90 * time.Second))
	sim.checkEnds()
	assert.Assert(t, sim.restarts > 0)
	t.Logf("%d restarts, longest wait %s", sim.restarts, sim.longestWait)
}
