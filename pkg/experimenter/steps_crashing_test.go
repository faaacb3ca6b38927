package experimenter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

const (
	// crashDelay is how long after its start a task crashes its runner that does so at once.
	crashDelay = 10 * time.Millisecond
	// downtimeSpread bounds by how much a crashed runner is away for longer than its
	// shortest downtime.
	downtimeSpread = 500 * time.Millisecond
	// toleratedCrashes is the number of crashes after which a crashing task may be
	// started fewer than toleratedStarts times. A task may be given up from
	// minCrashes on.
	toleratedCrashes = 3
	toleratedStarts  = 3
	minCrashes       = 2
	// unluckyCrashes is the number of crashes under a sound task from which on it may
	// be given up, one more than the platform asks for. No more than one job in
	// unluckyJobs may fail so.
	unluckyCrashes = 3
	unluckyJobs    = 100
)

// crashes records the crashes of runners.
type crashes struct {
	// crashing reports whether a task crashes each runner that starts it; nil if
	// none does.
	crashing func(task string) bool
	// started is called whenever a runner has started a run; it may be nil.
	started func(a *stepsAgent, ref framer.RunRef)
	// delay is how long after its start a crashing task crashes its runner.
	delay time.Duration
	// downtime is the shortest time for which a crashed runner is away.
	downtime time.Duration
	// under counts the crashes of runners under each task, and startsAfter the
	// starts of each task after toleratedCrashes of them.
	under       map[string]int
	startsAfter map[string]int
	total       int
	// unlucky counts the sound jobs that were given up.
	unlucky int
}

// crashingStarted records the start of a task that crashes its runner.
func (sim *stepsSimulation) crashingStarted(a *stepsAgent, r *emulator.StepRunner, ref framer.RunRef) {
	if sim.crashes.started != nil {
		sim.crashes.started(a, ref)
	}
	if sim.crashes.crashing == nil || !sim.crashes.crashing(ref.Task) {
		return
	}
	if sim.crashes.under[ref.Task] >= toleratedCrashes {
		sim.crashes.startsAfter[ref.Task]++
		if sim.crashes.startsAfter[ref.Task] >= toleratedStarts {
			sim.fatalf(ref.Task, "%s starts for the third time after %d runners crashed under it", ref.Task, toleratedCrashes)
		}
	}
	sim.After(sim.crashes.delay, func() {
		if a.runner == r && sim.runningOn[ref.Task] == r {
			sim.crashRunner(a)
		}
	})
}

// crashRunner crashes an agent's runner, which is back some seconds later, with
// another id every second time.
func (sim *stepsSimulation) crashRunner(a *stepsAgent) {
	if a.runnerUnreachable || a.lost {
		return
	}
	sim.logf("simulation: runner %v crashes", a.runner.Key)
	for task, on := range sim.runningOn {
		if on == a.runner {
			sim.crashes.under[task]++
		}
	}
	sim.crashes.total++
	a.runnerUnreachable = true
	a.refusesCalls = true
	sim.replaceRunner(a)
	if sim.rnd.IntN(2) == 0 {
		a.runner.Key.ID = fmt.Sprintf("runner-%d-of-%s", sim.crashes.total, a.name)
	}
	sim.After(sim.crashes.downtime+time.Duration(sim.rnd.Int64N(int64(downtimeSpread))), func() {
		a.runnerUnreachable = false
		a.refusesCalls = false
	})
}

// TestTasksThatCrashTheirRunnersAreGivenUp guards against tasks that crash runner
// after runner without end, and against sound tasks given up in their place.
func TestTasksThatCrashTheirRunnersAreGivenUp(t *testing.T) {
	for _, seed := range seeds(8) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			sim := newCrashSimulation(t, seed)
			sim.crashes.crashing = func(task string) bool { return jobNumber(task)%8 == 3 && lastTaskOfFirstStep(sim, task) }
			sim.playCrashes(func() {})
			assert.Assert(t, sim.crashes.total > 20)
		})
	}
}

// TestTasksThatCrashRunnersForLongAreGivenUp guards against crashes that are not counted
// because the lease of the runner expires before it is back.
func TestTasksThatCrashRunnersForLongAreGivenUp(t *testing.T) {
	for _, seed := range seeds(8) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			sim := newCrashSimulation(t, seed)
			sim.crashes.downtime = time.Duration(6+seed%5) * time.Second
			sim.crashes.crashing = func(task string) bool { return jobNumber(task)%24 == 3 && lastTaskOfFirstStep(sim, task) }
			sim.playCrashes(func() {})
			assert.Assert(t, sim.crashes.total > 10)
		})
	}
}

// TestTasksThatCrashBusyRunnersLateAreGivenUp guards against crashes that are not counted
// because other tasks had just started on the runner.
func TestTasksThatCrashBusyRunnersLateAreGivenUp(t *testing.T) {
	for _, seed := range seeds(8) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			sim := newCrashSimulation(t, seed)
			sim.crashes.delay = time.Duration(300+sim.rnd.IntN(1200)) * time.Millisecond
			sim.crashes.crashing = func(task string) bool { return jobNumber(task)%16 == 3 && lastTaskOfFirstStep(sim, task) }
			runTime := sim.runTime
			sim.runTime = func(a *stepsAgent, ref framer.RunRef) (time.Duration, framer.FinishReason) {
				if sim.crashes.crashing(ref.Task) {
					return 2 * sim.crashes.delay, framer.FinishDone
				}
				return runTime(a, ref)
			}
			sim.playCrashes(func() {})
			assert.Assert(t, sim.crashes.total > 10)
		})
	}
}

// TestSoundTasksSurviveCrashesOfTheirRunners guards against sound tasks given up
// because their runners crash again and again for other reasons.
func TestSoundTasksSurviveCrashesOfTheirRunners(t *testing.T) {
	for _, seed := range seeds(8) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			sim := newCrashSimulation(t, seed)
			sim.playCrashes(func() {
				for _, a := range sim.agents[:2+sim.rnd.IntN(3)] {
					sim.crashRunner(a)
				}
			})
			assert.Assert(t, sim.crashes.total > 20)
		})
	}
}

func newCrashSimulation(t *testing.T, seed uint64) *stepsSimulation {
	const agents = 10
	sim := newStepsSimulation(t, seed, stepsLease, agents)
	for _, a := range sim.agents {
		a.info.Address = a.name
	}
	sim.crashes.delay = crashDelay
	sim.crashes.downtime = 3 * time.Second
	sim.runTime = func(*stepsAgent, framer.RunRef) (time.Duration, framer.FinishReason) {
		return time.Duration(200+sim.rnd.IntN(2000)) * time.Millisecond, framer.FinishDone
	}
	return sim
}

// playCrashes submits jobs for a minute, replaces the owner now and then, and
// checks in the end which jobs failed.
func (sim *stepsSimulation) playCrashes(disrupt func()) {
	until := sim.Now().Add(time.Minute)
	n := 0
	sim.Every(300*time.Millisecond, func() bool {
		n++
		sim.submit(n)
		return sim.Now().Before(until)
	})
	sim.Every(9*time.Second, func() bool {
		sim.replaceOwner(time.Duration(sim.rnd.IntN(2000)) * time.Millisecond)
		return sim.Now().Before(until)
	})
	sim.Every(5*time.Second, func() bool {
		disrupt()
		return sim.Now().Before(until)
	})
	sim.RunUntil(until.Add(time.Minute))
	for id := range sim.specs {
		sim.checkOutcome(id)
	}
	assert.Assert(sim.t, sim.crashes.unlucky*unluckyJobs <= len(sim.specs), "%d of %d jobs failed without fault", sim.crashes.unlucky, len(sim.specs))
}

// checkOutcome checks the final state of a job that may contain a crashing task.
func (sim *stepsSimulation) checkOutcome(id string) {
	state := sim.progress[id].State
	_, cancelled := sim.cancelled[id]
	culprit := sim.crashingTask(id)
	switch {
	case !state.Final():
		sim.fatalf(id+".", "%s is %s at the end", id, state)
	case cancelled:
	case culprit == "" && state == scheduler.StateFailed && sim.crashesUnder(id) >= unluckyCrashes:
		sim.crashes.unlucky++
	case culprit == "" && state != scheduler.StateCompleted:
		sim.fatalf(id+".", "%s is %s, and none of its tasks crashes runners", id, state)
	case culprit != "" && state != scheduler.StateFailed:
		sim.fatalf(id+".", "%s is %s, and %s crashes runners", id, state, culprit)
	case culprit != "" && sim.crashes.under[culprit] < minCrashes:
		sim.fatalf(id+".", "%s was given up after %d crashes", culprit, sim.crashes.under[culprit])
	}
}

// crashesUnder returns the largest number of crashes under a task of a job.
func (sim *stepsSimulation) crashesUnder(id string) int {
	most := 0
	for task, n := range sim.crashes.under {
		if strings.HasPrefix(task, id+".") {
			most = max(most, n)
		}
	}
	return most
}

// crashingTask returns the name of the crashing task of a job, or nothing.
func (sim *stepsSimulation) crashingTask(id string) string {
	if sim.crashes.crashing == nil {
		return ""
	}
	task := fmt.Sprintf("%s.0.0.%d", id, sim.specs[id].Steps[0].Count-1)
	if !sim.crashes.crashing(task) {
		return ""
	}
	return task
}

// jobNumber returns the number of the job of a task.
func jobNumber(task string) int {
	n := 0
	// A name without a number has none.
	_, _ = fmt.Sscanf(task, "job%d.", &n)
	return n
}

// lastTaskOfFirstStep reports whether a task is the last one of its job's first
// step.
func lastTaskOfFirstStep(sim *stepsSimulation, task string) bool {
	var job, step, index int
	if _, err := fmt.Sscanf(task, "job%d.0.%d.%d", &job, &step, &index); err != nil {
		return false
	}
	return step == 0 && index == sim.specs[fmt.Sprintf("job%d", job)].Steps[0].Count-1
}
