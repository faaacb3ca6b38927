package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	testReservations = 2
	loadInterval     = 100 * time.Millisecond
	// smallMillis is what a small task requests: eight of them fill a runner.
	smallMillis = 4000
)

// load drives a cell whose runs take a given time.
type load struct {
	*cellHarness
	// actual returns how long a run takes.
	actual    func(ref framer.RunRef) time.Duration
	startedAt map[framer.RunRef]time.Time
	// startedOn holds the runner of each task that was started.
	startedOn map[string]string
	specs     []Spec
	// jobs counts the jobs of the stream, of which width tasks wait at all times.
	jobs   int
	stream func(id string)
	lines  []string
}

func newLoad(t *testing.T, agents int) *load {
	l := &load{
		cellHarness: newCellHarness(t),
		startedAt:   map[framer.RunRef]time.Time{},
		startedOn:   map[string]string{},
		actual:      func(framer.RunRef) time.Duration { return time.Second },
	}
	l.cell = l.newOwner(testReservations)
	source := newCellHarness(t, slices.Collect(func(yield func(string) bool) {
		for i := range agents {
			if !yield(fmt.Sprintf("r%d", i)) {
				return
			}
		}
	})...)
	l.runners = source.runners
	l.reportAll()
	return l
}

func (l *load) newOwner(reservations int) *Cell {
	c := NewCell(Config{
		Epoch:           1,
		Assert:          strictAsserter(l.t),
		Lease:           testLease,
		FormerLeasesEnd: l.now,
		MaxReservations: reservations,
		LogEvent: func(message string, pairs ...any) {
			l.lines = append(l.lines, fmt.Sprint(append([]any{message}, pairs...)...))
		},
	})
	c.SetQueues(testQueues())
	return c
}

func (l *load) agents() []string {
	return slices.Sorted(maps.Keys(l.runners))
}

func (l *load) reportAll() {
	for _, agent := range l.agents() {
		l.report(agent)
	}
}

func (l *load) add(id, queue string, steps ...Step) {
	l.cellHarness.add(id, queue, steps...)
	l.specs = append(l.specs, l.cell.jobs[id].spec)
}

// step lets loadInterval pass: runs end, and others start.
func (l *load) step() {
	l.now = l.now.Add(loadInterval)
	for l.stream != nil && l.jobs-len(l.startedOn) < 20 {
		l.jobs++
		l.stream(fmt.Sprintf("s%05d", l.jobs))
	}
	for _, agent := range l.agents() {
		r := l.runners[agent]
		r.ClockMillis += loadInterval.Milliseconds()
		for _, status := range slices.Clone(r.Running) {
			if l.now.Sub(l.startedAt[status.RunRef]) >= l.actual(status.RunRef) {
				l.finish(agent, status.RunRef, framer.FinishDone)
			}
		}
		l.report(agent)
	}
	l.tickUntilIdle()
	for _, agent := range l.agents() {
		for _, ref := range l.acceptStarts(agent) {
			l.startedAt[ref] = l.now
			l.startedOn[ref.Task] = agent
		}
	}
}

func (l *load) run(d time.Duration) {
	for range int(d / loadInterval) {
		l.step()
	}
}

// waitFor returns how long it takes until a task has started, at most a minute.
func (l *load) waitFor(task string) time.Duration {
	from := l.now
	for l.startedOn[task] == "" && l.now.Sub(from) < time.Minute {
		l.step()
	}
	return l.now.Sub(from)
}

// addStream keeps small tasks waiting, which end one after the other.
func (l *load) addStream(estimate time.Duration) {
	l.stream = func(id string) {
		step := newStep(1, smallMillis)
		step.EstimateMillis = estimate.Milliseconds()
		l.add(id, "checks", step)
	}
}

// stagger makes the run time of each run a bit different.
func stagger() func(ref framer.RunRef) time.Duration {
	const typical = 2 * time.Second
	return func(ref framer.RunRef) time.Duration {
		n := 0
		for _, digit := range ref.Task {
			n = 7*n + int(digit)
		}
		return typical - time.Duration(n%5)*typical/10
	}
}

func estimated(step Step, estimate time.Duration) Step {
	step.EstimateMillis = estimate.Milliseconds()
	return step
}

// Without a reservation, small tasks take each gap and the large one waits for the end
// of their stream. It must start by the time that the runs in progress promise.
func TestLargeTaskAmongStreamOfSmallOnesStartsAsPromised(t *testing.T) {
	for _, c := range []struct {
		name     string
		estimate time.Duration
		warmUp   time.Duration
		limit    time.Duration
	}{
		{"estimates are right", 2 * time.Second, 5 * time.Second, 2500 * time.Millisecond},
		{"estimates are half of the run time", time.Second, 5 * time.Second, 2500 * time.Millisecond},
		{"estimates are twice the run time", 4 * time.Second, 5 * time.Second, 2500 * time.Millisecond},
		{"the error is not known yet", 2 * time.Second, 500 * time.Millisecond, 4300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLoad(t, 3)
			l.actual = stagger()
			l.addStream(c.estimate)
			l.run(c.warmUp)
			l.add("large", "checks", estimated(newStep(1, 32_000), time.Second))
			waited := l.waitFor("large.0.0.0")
			assert.Assert(t, waited <= c.limit, "waited %v", waited)
			counts := l.cell.Counts.Reservations
			assert.Equal(t, counts.Kept, int64(1), "%+v", counts)
			assert.Equal(t, counts.Expired, int64(0))
		})
	}
}

// A gang needs room on several runners at once, which single tasks never leave.
func TestGangAmongSingleTasksStartsAsPromised(t *testing.T) {
	for _, rackLocal := range []bool{false, true} {
		t.Run(fmt.Sprintf("rack-local %t", rackLocal), func(t *testing.T) {
			l := newLoad(t, 4)
			for i, agent := range l.agents() {
				l.runners[agent].Runner.Labels = []string{fmt.Sprintf("rack-%d", i%2)}
			}
			l.actual = stagger()
			l.addStream(2 * time.Second)
			l.run(5 * time.Second)
			gang := newStep(2, 20_000)
			gang.Gang = true
			gang.RackLocal = rackLocal
			l.add("gang", "checks", gang)
			waited := l.waitFor("gang.0.0.0")
			assert.Assert(t, waited <= 2500*time.Millisecond, "waited %v", waited)
			racks := map[string]struct{}{}
			for i := range 2 {
				racks[l.runners[l.startedOn[fmt.Sprintf("gang.0.0.%d", i)]].Runner.Labels[0]] = struct{}{}
			}
			assert.Assert(t, !rackLocal || len(racks) == 1, "a rack-local gang must be on one rack")
		})
	}
}

// A reservation must not leave its runner idle: what ends before it still starts there,
// and nothing else does.
func TestTasksThatEndBeforeTheReservationAreBackfilled(t *testing.T) {
	l := newLoad(t, 1)
	l.actual = func(ref framer.RunRef) time.Duration {
		return time.Duration(l.cell.jobs[ref.Task[:len(ref.Task)-len(".0.0.0")]].spec.Steps[0].EstimateMillis) * time.Millisecond
	}
	l.add("first", "checks", estimated(newStep(3, 8000), 10*time.Second))
	l.step()
	l.add("large", "checks", estimated(newStep(1, 32_000), time.Second))
	l.run(500 * time.Millisecond)
	l.add("long", "checks", estimated(newStep(1, 8000), 30*time.Second))
	l.add("short", "checks", estimated(newStep(1, 8000), time.Second))
	l.run(time.Second)
	assert.Equal(t, l.startedOn["short.0.0.0"], "r0")
	assert.Equal(t, l.startedOn["long.0.0.0"], "")
	assert.Equal(t, l.cell.Counts.Reservations.Backfilled, int64(1))
	waited := l.waitFor("large.0.0.0")
	assert.Assert(t, waited <= 9*time.Second, "waited %v", waited)
}

// Memory is as scarce as processors: best-effort tasks take nothing else.
func TestMemoryIsReservedFromBestEffortTasks(t *testing.T) {
	l := newLoad(t, 1)
	l.actual = stagger()
	l.stream = func(id string) {
		step := estimated(newStep(1, 100), 2*time.Second)
		step.BestEffort = true
		step.Needs.MemoryBytes = 16 * gigabyte
		l.add(id, "checks", step)
	}
	l.run(5 * time.Second)
	large := newStep(1, 1000)
	large.Needs.MemoryBytes = 128 * gigabyte
	l.add("large", "checks", large)
	waited := l.waitFor("large.0.0.0")
	assert.Assert(t, waited <= 2500*time.Millisecond, "waited %v", waited)
}

// A small task on the only large runner would keep a large task from it, while a smaller
// runner has a gap that fits.
func TestSmallTasksLeaveTheGapsOfLargeRunnersWhole(t *testing.T) {
	l := newLoad(t, 3)
	l.runners["r0"].Runner.ProcessorMillis = 12_000
	l.reportAll()
	l.actual = func(framer.RunRef) time.Duration { return time.Minute }
	l.add("fill", "checks", estimated(newStep(3, 8000), time.Minute))
	l.step()
	l.add("large", "checks", newStep(1, 32_000))
	l.run(time.Second)
	l.add("small", "checks", estimated(newStep(2, smallMillis), time.Minute))
	l.step()
	assert.Equal(t, l.startedOn["small.0.0.0"], "r0")
	assert.Equal(t, l.startedOn["small.0.0.1"], "r0")
}

// A reservation for a batch job must not cost the urgent queue a single start.
func TestLargeTaskOfLessUrgentQueueDelaysNoUrgentOne(t *testing.T) {
	starts := map[int]int{}
	for _, reservations := range []int{0, testReservations} {
		l := newLoad(t, 2)
		l.cell = l.newOwner(reservations)
		l.reportAll()
		l.actual = stagger()
		l.addStream(2 * time.Second)
		l.run(3 * time.Second)
		l.add("large", "reviews", newStep(1, 28_000))
		l.run(6 * time.Second)
		starts[reservations] = len(l.startedOn)
		assert.Equal(t, l.cell.Counts.Reservations.Made > 0, reservations > 0)
	}
	assert.Equal(t, starts[testReservations], starts[0])
}

// Long-running tasks have no end, so nothing can be reserved on runners that are full of
// them, and small tasks must not wait for it.
func TestNothingIsReservedOnRunnersFullOfLongRunningTasks(t *testing.T) {
	l := newLoad(t, 2)
	l.actual = func(framer.RunRef) time.Duration { return time.Hour }
	service := newStep(2, 28_000)
	service.LongRunning = true
	l.add("service", "checks", service)
	l.add("small", "checks", newStep(1, 2000))
	l.step()
	l.add("large", "checks", newStep(1, 32_000))
	l.run(time.Second)
	l.add("next", "checks", newStep(1, 2000))
	l.step()
	assert.Equal(t, l.cell.Counts.Reservations.Made, int64(0))
	assert.Assert(t, l.startedOn["next.0.0.0"] != "")
}

// Runs that take far longer than any estimate must not keep their runner reserved.
func TestReservationExpiresIfTheRoomDoesNotBecomeFree(t *testing.T) {
	l := newLoad(t, 1)
	l.actual = func(framer.RunRef) time.Duration { return time.Hour }
	l.add("endless", "checks", newStep(2, 14_000))
	l.step()
	l.add("large", "checks", newStep(1, 32_000))
	l.run(time.Second)
	l.add("small", "checks", estimated(newStep(1, 2000), time.Minute))
	l.step()
	assert.Equal(t, l.startedOn["small.0.0.0"], "")
	waited := l.waitFor("small.0.0.0")
	assert.Assert(t, waited <= 4*time.Second, "waited %v", waited)
	assert.Equal(t, l.cell.Counts.Reservations.Expired, int64(1))
}

// The next owner knows nothing of the reservations of a lost one, and must make them from
// what waits and runs.
func TestNextOwnerRebuildsReservations(t *testing.T) {
	l := newLoad(t, 3)
	l.actual = stagger()
	l.addStream(2 * time.Second)
	l.run(5 * time.Second)
	l.add("large", "checks", newStep(1, 32_000))
	l.run(time.Second)
	assert.Equal(t, l.cell.Counts.Reservations.Made, int64(1))
	former := l.cell
	l.cell = l.newOwner(testReservations)
	for _, spec := range l.specs {
		if j := former.jobs[spec.ID]; j != nil {
			l.cell.Load(l.now, spec, j.progress())
		}
	}
	waited := l.waitFor("large.0.0.0")
	assert.Assert(t, waited <= 4300*time.Millisecond, "waited %v", waited)
	assert.Equal(t, l.cell.Counts.Reservations.Kept, int64(1))
}

// The room on a runner that is lost never becomes free.
func TestReservationMovesFromLostRunner(t *testing.T) {
	l := newLoad(t, 3)
	l.actual = stagger()
	l.addStream(2 * time.Second)
	l.run(5 * time.Second)
	l.add("large", "checks", newStep(1, 32_000))
	l.run(500 * time.Millisecond)
	held := l.cell.reservations.reserver.Runners()
	assert.Equal(t, len(held), 1)
	delete(l.runners, held[0].ID[len("i-"):])
	l.cell.AgentDisconnected(held[0].ID[len("i-"):])
	waited := l.waitFor("large.0.0.0")
	assert.Assert(t, waited <= 2500*time.Millisecond, "waited %v", waited)
	assert.Equal(t, l.cell.Counts.Reservations.Moved, int64(1))
}

// An operator must see that a runner is reserved, and for whom.
func TestWaitsNameTheReservation(t *testing.T) {
	l := newLoad(t, 1)
	l.actual = func(framer.RunRef) time.Duration { return time.Minute }
	l.add("first", "checks", estimated(newStep(3, 8000), time.Minute))
	l.step()
	l.add("large", "checks", newStep(1, 32_000))
	l.run(time.Second)
	l.add("small", "checks", estimated(newStep(1, 2000), 10*time.Minute))
	l.run(4 * time.Second)
	waits := l.cell.Waits().ByCause
	assert.Equal(t, waits[causeRunnerReserved], int64(1))
	assert.Equal(t, waits[causeRoomReserved], int64(1))
	assert.Assert(t, slices.ContainsFunc(l.lines, func(line string) bool { return line[:min(len(line), 16)] == "reservation made" }))
}

// A plan looks at a part of many runners. It must see whole racks, or a rack-local gang gets
// a reservation on several.
func TestRackLocalGangAmongManyRunnersIsReservedOnOneRack(t *testing.T) {
	l := newLoad(t, 3*runnersPerPlan)
	for i, agent := range l.agents() {
		l.runners[agent].Runner.Labels = []string{fmt.Sprintf("rack-%d", i%(runnersPerPlan/2))}
	}
	l.reportAll()
	l.actual = func(framer.RunRef) time.Duration { return time.Hour }
	l.add("fill", "checks", estimated(newStep(6*runnersPerPlan, 16_000), time.Minute))
	l.step()
	gang := newStep(3, 32_000)
	gang.Gang = true
	gang.RackLocal = true
	l.add("gang", "checks", gang)
	l.run(2 * time.Second)
	racks := map[string]struct{}{}
	for _, key := range l.cell.reservations.reserver.Runners() {
		racks[l.cell.runners[key].info.Labels[0]] = struct{}{}
	}
	assert.Equal(t, l.cell.Counts.Reservations.Made, int64(1))
	assert.Equal(t, len(racks), 1)
}
