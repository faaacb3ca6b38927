package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	testLease = 6 * time.Second
	gigabyte  = 1 << 30
)

// cellFixture drives a cell with scripted agents.
type cellFixture struct {
	t    *testing.T
	cell *Cell
	now  time.Time
	// runners holds the report of each agent, by the agent's address.
	runners map[string]*framer.Report
}

func newCellFixture(t *testing.T, agents ...string) *cellFixture {
	t.Helper()
	f := &cellFixture{
		t:       t,
		now:     time.Unix(10_000, 0),
		runners: map[string]*framer.Report{},
	}
	f.cell = NewCell(Config{
		Epoch:           1,
		Assert:          strictAsserter(t),
		Lease:           testLease,
		FormerLeasesEnd: f.now,
	})
	f.cell.SetQueues(testQueues())
	for i, agent := range agents {
		f.runners[agent] = &framer.Report{
			Epoch: 1,
			Runner: framer.RunnerInfo{
				Key: framer.RunnerKey{
					ID:              "i-" + agent,
					StartedAtMillis: 1000,
				},
				Service:         "polls",
				ProcessorMillis: 32_000,
				MemoryBytes:     128 * gigabyte,
				Labels:          []string{"a", fmt.Sprintf("rack-%d", i)},
			},
			ClockMillis: 1000,
		}
		f.report(agent)
	}
	return f
}

func strictAsserter(t *testing.T) *asserter.Asserter {
	t.Helper()
	return asserter.New(func(name string, pairs ...any) {
		t.Fatalf("invariant %s broken: %v", name, pairs)
	})
}

func testQueues() *Queues {
	return &Queues{
		Version: 1,
		List: []Queue{
			{
				Name:          "checks",
				Service:       "polls",
				MaxFailures:   2,
				Stretch:       1.5,
				TargetLatency: 250 * time.Millisecond,
			},
			{
				Name:          "reviews",
				Service:       "polls",
				Urgency:       2,
				MaxFailures:   2,
				Stretch:       2,
				TargetLatency: time.Second,
			},
		},
	}
}

// report sends an agent's report with an advanced clock.
func (f *cellFixture) report(agent string) {
	r := f.runners[agent]
	r.ClockMillis += 10
	r.Listed = true
	f.cell.HandleReport(f.now, agent, *r)
}

// advance advances the time in steps of 100 ms, with reports of all agents.
func (f *cellFixture) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		for agent, r := range f.runners {
			r.ClockMillis += step.Milliseconds()
			f.report(agent)
			f.cell.Sync(f.now, agent, true)
		}
		f.tickUntilIdle()
	}
}

// tickUntilIdle ticks the cell and commits its changes until there are none.
func (f *cellFixture) tickUntilIdle() {
	for {
		f.cell.Tick(f.now, true)
		commit, ok := f.cell.Commit()
		if !ok {
			return
		}
		f.cell.Committed(commit)
	}
}

// acceptStarts returns the runs that an agent is requested to start, and
// reports them as running.
func (f *cellFixture) acceptStarts(agent string) []framer.RunRef {
	var refs []framer.RunRef
	for _, s := range f.cell.Sync(f.now, agent, true).Starts {
		refs = append(refs, s.RunRef)
		f.runners[agent].Running = append(f.runners[agent].Running, framer.RunStatus{
			RunRef:  s.RunRef,
			Percent: 100,
		})
	}
	f.report(agent)
	return refs
}

func (f *cellFixture) acceptAllStarts() []framer.RunRef {
	var refs []framer.RunRef
	for agent := range f.runners {
		refs = append(refs, f.acceptStarts(agent)...)
	}
	return refs
}

// finish finishes a run on an agent's runner.
func (f *cellFixture) finish(agent string, ref framer.RunRef, reason framer.FinishReason) {
	r := f.runners[agent]
	for i, status := range r.Running {
		if status.RunRef == ref {
			r.Running = append(r.Running[:i:i], r.Running[i+1:]...)
			break
		}
	}
	sequence := int64(1)
	for _, e := range r.Finished {
		sequence = max(sequence, e.Sequence+1)
	}
	r.Finished = append(r.Finished, framer.FinishedRun{
		RunRef:   ref,
		Sequence: sequence,
		Reason:   reason,
	})
	f.report(agent)
}

func (f *cellFixture) add(id, queue string, steps ...Step) {
	f.cell.Add(Spec{
		ID:               id,
		Queue:            queue,
		Service:          "polls",
		Steps:            steps,
		AcceptedAtMillis: f.now.UnixMilli(),
	})
}

func (f *cellFixture) state(id string) State {
	return f.cell.jobs[id].state
}

func newStep(count, processorMillis int) Step {
	return Step{
		Count: count,
		Needs: publisher.Resources{
			ProcessorMillis: int64(processorMillis),
			MemoryBytes:     gigabyte,
		},
		EstimateMillis: 1000,
	}
}

func runRef(task string, n int) framer.RunRef {
	return framer.RunRef{
		Task: task,
		Run:  n,
	}
}

// A start is requested only after the row that names the run is committed, and
// only while the owner may grant leases. Otherwise a new owner that has not read
// of the run could start the task a second time.
func TestStartRequiresCommittedRow(t *testing.T) {
	f := newCellFixture(t, "x")
	f.add("j", "checks", newStep(1, 500))
	f.cell.Tick(f.now, true)
	assert.Equal(t, len(f.cell.Sync(f.now, "x", true).Starts), 0)
	commit, ok := f.cell.Commit()
	assert.Assert(t, ok)
	assert.Equal(t, commit.Rows[0].Progress.Tasks[0].RunnerID, "i-x")
	assert.Equal(t, len(f.cell.Sync(f.now, "x", true).Starts), 0, "the commit is in flight")
	f.cell.Committed(commit)
	assert.Equal(t, len(f.cell.Sync(f.now, "x", false).Starts), 0, "the lease may be lost")
	sync := f.cell.Sync(f.now, "x", true)
	assert.Equal(t, len(sync.Starts), 1)
	assert.Assert(t, !sync.Starts[0].Repeated)
	assert.Assert(t, f.cell.Sync(f.now, "x", true).Starts[0].Repeated)
}

func TestStepWaitsForItsDependencies(t *testing.T) {
	f := newCellFixture(t, "x")
	second := newStep(1, 500)
	second.After = []int{0}
	f.add("j", "checks", newStep(2, 500), second)
	f.tickUntilIdle()
	assert.Equal(t, len(f.acceptStarts("x")), 2)
	f.finish("x", runRef("j.0.0.0", 1), framer.FinishDone)
	f.tickUntilIdle()
	assert.Equal(t, len(f.acceptStarts("x")), 0)
	f.finish("x", runRef("j.0.0.1", 1), framer.FinishDone)
	f.tickUntilIdle()
	assert.DeepEqual(t, f.acceptStarts("x"), []framer.RunRef{runRef("j.0.1.0", 1)})
}

// A finished run that is acknowledged before its row is committed is lost if
// the owner fails in between.
func TestFinishedRunIsAckedOnceCommitted(t *testing.T) {
	f := newCellFixture(t, "x")
	f.add("j", "checks", newStep(1, 500))
	f.tickUntilIdle()
	f.acceptStarts("x")
	f.finish("x", runRef("j.0.0.0", 1), framer.FinishDone)
	assert.Equal(t, f.cell.Sync(f.now, "x", true).AckedSequence, int64(0))
	commit, ok := f.cell.Commit()
	assert.Assert(t, ok)
	assert.Equal(t, commit.Rows[0].Progress.State, StateCompleted)
	assert.Equal(t, f.cell.Sync(f.now, "x", true).AckedSequence, int64(0))
	f.cell.Committed(commit)
	assert.Equal(t, f.cell.Sync(f.now, "x", true).AckedSequence, int64(1))
}

func TestCapacityIsNotExceeded(t *testing.T) {
	f := newCellFixture(t, "x", "y")
	f.add("j", "checks", newStep(9, 10_000))
	f.tickUntilIdle()
	assert.Equal(t, len(f.acceptAllStarts()), 6)
	t.Run("tasks being stopped still count", func(t *testing.T) {
		f.cell.Cancel(f.now, "j")
		f.add("k", "checks", newStep(6, 10_000))
		f.tickUntilIdle()
		assert.Equal(t, len(f.acceptAllStarts()), 0)
	})
}

func TestJobFailsAfterMaxFailures(t *testing.T) {
	f := newCellFixture(t, "x", "y", "z")
	f.add("j", "checks", newStep(1, 500))
	f.tickUntilIdle()
	for n := 1; n <= 2; n++ {
		for agent := range f.runners {
			for _, ref := range f.acceptStarts(agent) {
				assert.Equal(t, ref, runRef("j.0.0.0", n))
				f.finish(agent, ref, framer.FinishFailed)
			}
		}
		f.tickUntilIdle()
	}
	assert.Equal(t, len(f.acceptAllStarts()), 0)
	assert.Assert(t, !f.cell.HasJob("j"))
}

func TestRetryAvoidsFailedRunner(t *testing.T) {
	f := newCellFixture(t, "x", "y")
	f.add("j", "checks", newStep(1, 500))
	f.tickUntilIdle()
	for agent, other := range map[string]string{"x": "y", "y": "x"} {
		for _, ref := range f.acceptStarts(agent) {
			f.finish(agent, ref, framer.FinishFailed)
			f.tickUntilIdle()
			assert.Equal(t, len(f.acceptStarts(other)), 1)
			return
		}
	}
	t.Fatal("no task was started")
}

func TestFailingRunnerIsQuarantined(t *testing.T) {
	f := newCellFixture(t, "x", "y")
	for i := range 8 {
		f.add(fmt.Sprintf("j%d", i), "checks", newStep(1, 500))
	}
	f.tickUntilIdle()
	for _, ref := range f.acceptStarts("x") {
		f.finish("x", ref, framer.FinishFailed)
	}
	f.tickUntilIdle()
	assert.Equal(t, len(f.acceptStarts("x")), 0)
	assert.Assert(t, len(f.acceptStarts("y")) >= 8)
}

func TestJobFailingOnSeveralRunnersCountsAgainstNone(t *testing.T) {
	f := newCellFixture(t, "x", "y")
	for i := range 3 {
		f.add(fmt.Sprintf("bad%d", i), "checks", newStep(8, 500))
	}
	f.tickUntilIdle()
	for agent := range f.runners {
		for _, ref := range f.acceptStarts(agent) {
			f.finish(agent, ref, framer.FinishFailed)
		}
	}
	for _, s := range f.cell.runners {
		assert.Equal(t, len(s.failedJobs), 0)
	}
}

func TestLostRunner(t *testing.T) {
	f := newCellFixture(t, "x", "y")
	f.add("j", "checks", newStep(1, 500))
	f.tickUntilIdle()
	lost, other := "x", "y"
	if len(f.acceptStarts("x")) == 0 {
		lost, other = "y", "x"
		f.acceptStarts("y")
	}
	f.cell.Sync(f.now, lost, true)
	silent := f.runners[lost]
	delete(f.runners, lost)
	f.cell.AgentDisconnected(lost)
	t.Run("keeps its tasks until its lease expires", func(t *testing.T) {
		f.advance(testLease)
		assert.Equal(t, len(f.acceptStarts(other)), 0)
	})
	t.Run("loses its tasks once the lease has expired", func(t *testing.T) {
		f.advance(time.Second)
		assert.DeepEqual(t, f.acceptStarts(other), []framer.RunRef{runRef("j.0.0.0", 2)})
	})
	t.Run("and its reports of the former run are ignored", func(t *testing.T) {
		f.runners[lost] = silent
		f.report(lost)
		f.finish(lost, runRef("j.0.0.0", 1), framer.FinishDone)
		f.tickUntilIdle()
		assert.Equal(t, f.state("j"), StateRunning)
		assert.Equal(t, f.cell.Sync(f.now, lost, true).AckedSequence, int64(1))
	})
}

// A runner that restarts has lost its runs, which start again at once. A
// delayed start request may still reach the new incarnation, so a recent run is
// stopped there first.
func TestRestartedRunner(t *testing.T) {
	f := newCellFixture(t, "x")
	f.add("j", "checks", newStep(1, 500))
	f.tickUntilIdle()
	assert.Equal(t, len(f.acceptStarts("x")), 1)
	f.advance(maxCallDelay + time.Second)
	f.add("k", "checks", newStep(1, 500))
	f.tickUntilIdle()
	// The runner listed one run long ago and was requested to start another,
	// then restarted with the same id.
	f.cell.Sync(f.now, "x", true)
	r := f.runners["x"]
	r.Runner.Key.StartedAtMillis = 2000
	r.ClockMillis = 5
	r.Running = nil
	f.report("x")
	f.tickUntilIdle()
	sync := f.cell.Sync(f.now, "x", true)
	assert.DeepEqual(t, sync.Stops, []framer.RunRef{runRef("k.0.0.0", 1)})
	assert.Equal(t, len(sync.Starts), 1)
	assert.Equal(t, sync.Starts[0].RunRef, runRef("j.0.0.0", 2))
	t.Run("an unconfirmed run starts again once its stop is confirmed", func(t *testing.T) {
		r.Finished = []framer.FinishedRun{{
			RunRef: runRef("k.0.0.0", 1),
			Reason: framer.FinishNeverStarted,
		}}
		f.report("x")
		f.tickUntilIdle()
		assert.Equal(t, len(f.cell.Sync(f.now, "x", true).Starts), 2)
	})
}

func TestNewRunnerAtSameAddress(t *testing.T) {
	f := newCellFixture(t, "x")
	r := f.runners["x"]
	r.Runner.Address = "10.0.0.1:80"
	f.report("x")
	f.add("j", "checks", newStep(1, 500))
	f.tickUntilIdle()
	assert.Equal(t, len(f.acceptStarts("x")), 1)
	r.Runner.Key = framer.RunnerKey{
		ID:              "i-other",
		StartedAtMillis: 2000,
	}
	r.ClockMillis = 5
	r.Running = nil
	f.report("x")
	f.tickUntilIdle()
	assert.DeepEqual(t, f.acceptStarts("x"), []framer.RunRef{runRef("j.0.0.0", 2)})
}

func TestTakeover(t *testing.T) {
	f := newCellFixture(t, "x", "y")
	f.add("j", "checks", newStep(4, 500))
	f.cell.Tick(f.now, true)
	commit, _ := f.cell.Commit()
	next := NewCell(Config{
		Epoch:           2,
		Assert:          strictAsserter(t),
		Lease:           testLease,
		FormerLeasesEnd: f.now.Add(testLease),
	})
	next.SetQueues(testQueues())
	next.Load(f.cell.jobs["j"].spec, commit.Rows[0].Progress)
	f.cell = next
	t.Run("starts no new runs", func(t *testing.T) {
		f.advance(testLease - time.Second)
		for agent := range f.runners {
			for _, s := range f.cell.Sync(f.now, agent, true).Starts {
				assert.Equal(t, s.Run, 1)
				assert.Assert(t, s.Repeated)
			}
		}
	})
	t.Run("does not load a finished job", func(t *testing.T) {
		next.Load(Spec{
			ID:    "old",
			Steps: []Step{newStep(1, 500)},
		}, Progress{
			State: StateCompleted,
		})
		assert.Assert(t, !next.HasJob("old"))
	})
}

func TestCancelledJobIsStopped(t *testing.T) {
	f := newCellFixture(t, "x")
	f.add("j", "checks", newStep(2, 500))
	f.tickUntilIdle()
	f.acceptStarts("x")
	f.cell.Cancel(f.now, "j")
	f.tickUntilIdle()
	assert.Equal(t, len(f.cell.Sync(f.now, "x", true).Stops), 2)
	f.finish("x", runRef("j.0.0.0", 1), framer.FinishStopped)
	f.finish("x", runRef("j.0.0.1", 1), framer.FinishDone)
	f.tickUntilIdle()
	assert.Assert(t, !f.cell.HasJob("j"))
}

func TestDrainingRunnerGetsNoTasks(t *testing.T) {
	f := newCellFixture(t, "x", "y")
	longRunning := newStep(1, 500)
	longRunning.LongRunning = true
	f.add("l", "checks", longRunning)
	f.tickUntilIdle()
	from, to := "x", "y"
	if len(f.acceptStarts("x")) == 0 {
		from, to = "y", "x"
		f.acceptStarts("y")
	}
	f.runners[from].Runner.Draining = true
	f.report(from)
	assert.Equal(t, len(f.cell.Sync(f.now, from, true).Stops), 1)
	f.finish(from, runRef("l.0.0.0", 1), framer.FinishStopped)
	f.add("j", "checks", newStep(4, 500))
	f.tickUntilIdle()
	assert.Equal(t, len(f.acceptStarts(from)), 0)
	assert.Equal(t, len(f.acceptStarts(to)), 5)
}

func TestGang(t *testing.T) {
	f := newCellFixture(t, "x", "y")
	gang := newStep(4, 20_000)
	gang.Gang = true
	f.add("big", "checks", gang)
	gang.Count = 2
	f.add("small", "checks", gang)
	f.tickUntilIdle()
	assert.Equal(t, len(f.acceptAllStarts()), 2, "all tasks of a gang or none")
	f.finish("x", f.runners["x"].Running[0].RunRef, framer.FinishDone)
	f.tickUntilIdle()
	assert.Assert(t, !f.cell.HasJob("small"), "one finished run completes the gang")
}

func TestStarvedBestEffortJobIsPlaced(t *testing.T) {
	f := newCellFixture(t, "x")
	critical := newStep(1, 10_000)
	critical.LongRunning = true
	critical.TargetMillis = 20
	critical.Image = "feed"
	f.add("s", "checks", critical)
	f.tickUntilIdle()
	f.acceptStarts("x")
	for range 50 {
		f.cell.interference.observe("feed", imageShares{"heavy": 0.1}, math.Log(3))
		f.cell.interference.observe("feed", imageShares{}, math.Log(0.5))
	}
	bestEffort := newStep(3, 4000)
	bestEffort.BestEffort = true
	bestEffort.Image = "heavy"
	f.add("f", "reviews", bestEffort)
	f.tickUntilIdle()
	assert.Equal(t, len(f.acceptStarts("x")), 0)
	// A job must not wait with nothing running while most of the capacity is
	// unused; the agent throttles its tasks if necessary.
	f.advance(2 * time.Second)
	assert.Equal(t, len(f.acceptStarts("x")), minRunning)
	t.Run("keeps the minimum number of tasks running from then on", func(t *testing.T) {
		f.finish("x", runRef("f.0.0.0", 1), framer.FinishDone)
		f.tickUntilIdle()
		assert.DeepEqual(t, f.acceptStarts("x"), []framer.RunRef{runRef("f.0.0.2", 1)})
	})
}

func TestJobBeginsOnceARunnerConfirmsARun(t *testing.T) {
	f := newCellFixture(t, "x")
	f.add("j", "checks", newStep(1, 500))
	f.cell.Tick(f.now, true)
	placed, _ := f.cell.Commit()
	f.cell.Committed(placed)
	assert.Assert(t, !placed.Rows[0].Progress.Begun, "the start request may be delayed")
	f.acceptStarts("x")
	begun, ok := f.cell.Commit()
	assert.Assert(t, ok)
	assert.Assert(t, begun.Rows[0].Progress.Begun)
}
