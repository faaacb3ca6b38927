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

// cellHarness drives a cell with scripted agents.
type cellHarness struct {
	t    *testing.T
	cell *Cell
	now  time.Time
	// runners holds the report of each agent, by the agent's address.
	runners map[string]*framer.Report
}

func newCellHarness(t *testing.T, agents ...string) *cellHarness {
	t.Helper()
	h := &cellHarness{
		t:       t,
		now:     time.Unix(10_000, 0),
		runners: map[string]*framer.Report{},
	}
	h.cell = NewCell(Config{
		Epoch:           1,
		Assert:          strictAsserter(t),
		Lease:           testLease,
		FormerLeasesEnd: h.now,
	})
	h.cell.SetQueues(testQueues())
	for i, agent := range agents {
		h.runners[agent] = &framer.Report{
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
		h.report(agent)
	}
	return h
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
func (h *cellHarness) report(agent string) {
	r := h.runners[agent]
	r.ClockMillis += 10
	r.Listed = true
	h.cell.HandleReport(h.now, agent, *r)
}

// advance advances the time in steps of 100 ms, with reports of all agents.
func (h *cellHarness) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(step)
		for agent, r := range h.runners {
			r.ClockMillis += step.Milliseconds()
			h.report(agent)
			h.cell.Sync(h.now, agent, true)
		}
		h.tickUntilIdle()
	}
}

// tickUntilIdle ticks the cell and commits its changes until there are none.
func (h *cellHarness) tickUntilIdle() {
	for {
		h.cell.Tick(h.now, true)
		commit, ok := h.cell.Commit()
		if !ok {
			return
		}
		h.cell.Committed(commit)
	}
}

// acceptStarts returns the runs that an agent is requested to start, and
// reports them as running.
func (h *cellHarness) acceptStarts(agent string) []framer.RunRef {
	var refs []framer.RunRef
	for _, s := range h.cell.Sync(h.now, agent, true).Starts {
		refs = append(refs, s.RunRef)
		h.runners[agent].Running = append(h.runners[agent].Running, framer.RunStatus{
			RunRef:  s.RunRef,
			Percent: 100,
		})
	}
	h.report(agent)
	return refs
}

func (h *cellHarness) acceptAllStarts() []framer.RunRef {
	var refs []framer.RunRef
	for agent := range h.runners {
		refs = append(refs, h.acceptStarts(agent)...)
	}
	return refs
}

// finish finishes a run on an agent's runner.
func (h *cellHarness) finish(agent string, ref framer.RunRef, reason framer.FinishReason) {
	r := h.runners[agent]
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
	h.report(agent)
}

func (h *cellHarness) add(id, queue string, steps ...Step) {
	h.cell.Add(h.now, Spec{
		ID:               id,
		Queue:            queue,
		Service:          "polls",
		Steps:            steps,
		AcceptedAtMillis: h.now.UnixMilli(),
	})
}

func (h *cellHarness) state(id string) State {
	return h.cell.jobs[id].state
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
	h := newCellHarness(t, "x")
	h.add("j", "checks", newStep(1, 500))
	h.cell.Tick(h.now, true)
	assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Starts), 0)
	commit, ok := h.cell.Commit()
	assert.Assert(t, ok)
	assert.Equal(t, commit.Rows[0].Progress.Tasks[0].RunnerID, "i-x")
	assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Starts), 0, "the commit is in flight")
	h.cell.Committed(commit)
	assert.Equal(t, len(h.cell.Sync(h.now, "x", false).Starts), 0, "the lease may be lost")
	sync := h.cell.Sync(h.now, "x", true)
	assert.Equal(t, len(sync.Starts), 1)
	assert.Assert(t, !sync.Starts[0].Repeated)
	assert.Assert(t, h.cell.Sync(h.now, "x", true).Starts[0].Repeated)
}

func TestStepWaitsForItsDependencies(t *testing.T) {
	h := newCellHarness(t, "x")
	second := newStep(1, 500)
	second.After = []int{0}
	h.add("j", "checks", newStep(2, 500), second)
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 2)
	h.finish("x", runRef("j.0.0.0", 1), framer.FinishDone)
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 0)
	h.finish("x", runRef("j.0.0.1", 1), framer.FinishDone)
	h.tickUntilIdle()
	assert.DeepEqual(t, h.acceptStarts("x"), []framer.RunRef{runRef("j.0.1.0", 1)})
}

// A finished run that is acknowledged before its row is committed is lost if
// the owner fails in between.
func TestFinishedRunIsAckedOnceCommitted(t *testing.T) {
	h := newCellHarness(t, "x")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	h.acceptStarts("x")
	h.finish("x", runRef("j.0.0.0", 1), framer.FinishDone)
	assert.Equal(t, h.cell.Sync(h.now, "x", true).AckedSequence, int64(0))
	commit, ok := h.cell.Commit()
	assert.Assert(t, ok)
	assert.Equal(t, commit.Rows[0].Progress.State, StateCompleted)
	assert.Equal(t, h.cell.Sync(h.now, "x", true).AckedSequence, int64(0))
	h.cell.Committed(commit)
	assert.Equal(t, h.cell.Sync(h.now, "x", true).AckedSequence, int64(1))
}

func TestCapacityIsNotExceeded(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	h.add("j", "checks", newStep(9, 10_000))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptAllStarts()), 6)
	t.Run("tasks being stopped still count", func(t *testing.T) {
		h.cell.Cancel(h.now, "j")
		h.add("k", "checks", newStep(6, 10_000))
		h.tickUntilIdle()
		assert.Equal(t, len(h.acceptAllStarts()), 0)
	})
}

func TestJobFailsAfterMaxFailures(t *testing.T) {
	h := newCellHarness(t, "x", "y", "z")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	for n := 1; n <= 2; n++ {
		for agent := range h.runners {
			for _, ref := range h.acceptStarts(agent) {
				assert.Equal(t, ref, runRef("j.0.0.0", n))
				h.finish(agent, ref, framer.FinishFailed)
			}
		}
		h.tickUntilIdle()
	}
	assert.Equal(t, len(h.acceptAllStarts()), 0)
	assert.Assert(t, !h.cell.HasJob("j"))
}

func TestRetryAvoidsFailedRunner(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	for agent, other := range map[string]string{"x": "y", "y": "x"} {
		for _, ref := range h.acceptStarts(agent) {
			h.finish(agent, ref, framer.FinishFailed)
			h.tickUntilIdle()
			assert.Equal(t, len(h.acceptStarts(other)), 1)
			return
		}
	}
	t.Fatal("no task was started")
}

func TestFailingRunnerIsQuarantined(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	for i := range 8 {
		h.add(fmt.Sprintf("j%d", i), "checks", newStep(1, 500))
	}
	h.tickUntilIdle()
	for _, ref := range h.acceptStarts("x") {
		h.finish("x", ref, framer.FinishFailed)
	}
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 0)
	assert.Assert(t, len(h.acceptStarts("y")) >= 8)
}

func TestJobFailingOnSeveralRunnersCountsAgainstNone(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	for i := range 3 {
		h.add(fmt.Sprintf("bad%d", i), "checks", newStep(8, 500))
	}
	h.tickUntilIdle()
	for agent := range h.runners {
		for _, ref := range h.acceptStarts(agent) {
			h.finish(agent, ref, framer.FinishFailed)
		}
	}
	for _, s := range h.cell.runners {
		assert.Equal(t, len(s.failedJobs), 0)
	}
}

func TestLostRunner(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	lost, other := "x", "y"
	if len(h.acceptStarts("x")) == 0 {
		lost, other = "y", "x"
		h.acceptStarts("y")
	}
	h.cell.Sync(h.now, lost, true)
	silent := h.runners[lost]
	delete(h.runners, lost)
	h.cell.AgentDisconnected(lost)
	t.Run("keeps its tasks until its lease expires", func(t *testing.T) {
		h.advance(testLease)
		assert.Equal(t, len(h.acceptStarts(other)), 0)
	})
	t.Run("loses its tasks once the lease has expired", func(t *testing.T) {
		h.advance(time.Second)
		assert.DeepEqual(t, h.acceptStarts(other), []framer.RunRef{runRef("j.0.0.0", 2)})
	})
	t.Run("and its reports of the former run are ignored", func(t *testing.T) {
		h.runners[lost] = silent
		h.report(lost)
		h.finish(lost, runRef("j.0.0.0", 1), framer.FinishDone)
		h.tickUntilIdle()
		assert.Equal(t, h.state("j"), StateRunning)
		assert.Equal(t, h.cell.Sync(h.now, lost, true).AckedSequence, int64(1))
	})
}

// A runner that restarts has lost its runs, which start again at once. A
// delayed start request may still reach the new incarnation, so a recent run is
// stopped there first.
func TestRestartedRunner(t *testing.T) {
	h := newCellHarness(t, "x")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 1)
	h.advance(maxCallDelay + time.Second)
	h.add("k", "checks", newStep(1, 500))
	h.tickUntilIdle()
	// The runner listed one run long ago and was requested to start another,
	// then restarted with the same id.
	h.cell.Sync(h.now, "x", true)
	r := h.runners["x"]
	r.Runner.Key.StartedAtMillis = 2000
	r.ClockMillis = 5
	r.Running = nil
	h.report("x")
	h.tickUntilIdle()
	sync := h.cell.Sync(h.now, "x", true)
	assert.DeepEqual(t, sync.Stops, []framer.RunRef{runRef("k.0.0.0", 1)})
	assert.Equal(t, len(sync.Starts), 1)
	assert.Equal(t, sync.Starts[0].RunRef, runRef("j.0.0.0", 2))
	t.Run("an unconfirmed run starts again once its stop is confirmed", func(t *testing.T) {
		r.Finished = []framer.FinishedRun{{
			RunRef: runRef("k.0.0.0", 1),
			Reason: framer.FinishNeverStarted,
		}}
		h.report("x")
		h.tickUntilIdle()
		assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Starts), 2)
	})
}

func TestNewRunnerAtSameAddress(t *testing.T) {
	h := newCellHarness(t, "x")
	r := h.runners["x"]
	r.Runner.Address = "10.0.0.1:80"
	h.report("x")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 1)
	r.Runner.Key = framer.RunnerKey{
		ID:              "i-other",
		StartedAtMillis: 2000,
	}
	r.ClockMillis = 5
	r.Running = nil
	h.report("x")
	h.tickUntilIdle()
	assert.DeepEqual(t, h.acceptStarts("x"), []framer.RunRef{runRef("j.0.0.0", 2)})
}

func TestTakeover(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	h.add("j", "checks", newStep(4, 500))
	h.cell.Tick(h.now, true)
	commit, _ := h.cell.Commit()
	next := NewCell(Config{
		Epoch:           2,
		Assert:          strictAsserter(t),
		Lease:           testLease,
		FormerLeasesEnd: h.now.Add(testLease),
	})
	next.SetQueues(testQueues())
	next.Load(h.now, h.cell.jobs["j"].spec, commit.Rows[0].Progress)
	h.cell = next
	t.Run("starts no new runs", func(t *testing.T) {
		h.advance(testLease - time.Second)
		for agent := range h.runners {
			for _, s := range h.cell.Sync(h.now, agent, true).Starts {
				assert.Equal(t, s.Run, 1)
				assert.Assert(t, s.Repeated)
			}
		}
	})
	t.Run("does not load a finished job", func(t *testing.T) {
		next.Load(h.now, Spec{
			ID:    "old",
			Steps: []Step{newStep(1, 500)},
		}, Progress{
			State: StateCompleted,
		})
		assert.Assert(t, !next.HasJob("old"))
	})
}

func TestCancelledJobIsStopped(t *testing.T) {
	h := newCellHarness(t, "x")
	h.add("j", "checks", newStep(2, 500))
	h.tickUntilIdle()
	h.acceptStarts("x")
	h.cell.Cancel(h.now, "j")
	h.tickUntilIdle()
	assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Stops), 2)
	h.finish("x", runRef("j.0.0.0", 1), framer.FinishStopped)
	h.finish("x", runRef("j.0.0.1", 1), framer.FinishDone)
	h.tickUntilIdle()
	assert.Assert(t, !h.cell.HasJob("j"))
}

func TestDrainingRunnerGetsNoTasks(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	longRunning := newStep(1, 500)
	longRunning.LongRunning = true
	h.add("l", "checks", longRunning)
	h.tickUntilIdle()
	from, to := "x", "y"
	if len(h.acceptStarts("x")) == 0 {
		from, to = "y", "x"
		h.acceptStarts("y")
	}
	h.runners[from].Runner.Draining = true
	h.report(from)
	assert.Equal(t, len(h.cell.Sync(h.now, from, true).Stops), 1)
	h.finish(from, runRef("l.0.0.0", 1), framer.FinishStopped)
	h.add("j", "checks", newStep(4, 500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts(from)), 0)
	assert.Equal(t, len(h.acceptStarts(to)), 5)
}

func TestGang(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	gang := newStep(4, 20_000)
	gang.Gang = true
	h.add("big", "checks", gang)
	gang.Count = 2
	h.add("small", "checks", gang)
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptAllStarts()), 2, "all tasks of a gang or none")
	h.finish("x", h.runners["x"].Running[0].RunRef, framer.FinishDone)
	h.tickUntilIdle()
	assert.Assert(t, !h.cell.HasJob("small"), "one finished run completes the gang")
}

func TestStarvedBestEffortJobIsPlaced(t *testing.T) {
	h := newCellHarness(t, "x")
	critical := newStep(1, 10_000)
	critical.LongRunning = true
	critical.TargetMillis = 20
	critical.Image = "feed"
	h.add("s", "checks", critical)
	h.tickUntilIdle()
	h.acceptStarts("x")
	for range 50 {
		h.cell.interference.observe("feed", imageShares{"heavy": 0.1}, math.Log(3))
		h.cell.interference.observe("feed", imageShares{}, math.Log(0.5))
	}
	bestEffort := newStep(3, 4000)
	bestEffort.BestEffort = true
	bestEffort.Image = "heavy"
	h.add("f", "reviews", bestEffort)
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 0)
	// A job must not wait with nothing running while most of the capacity is
	// unused; the agent throttles its tasks if necessary.
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.acceptStarts("x")), minRunning)
	t.Run("keeps the minimum number of tasks running from then on", func(t *testing.T) {
		h.finish("x", runRef("f.0.0.0", 1), framer.FinishDone)
		h.tickUntilIdle()
		assert.DeepEqual(t, h.acceptStarts("x"), []framer.RunRef{runRef("f.0.0.2", 1)})
	})
}

func TestJobBeginsOnceARunnerConfirmsARun(t *testing.T) {
	h := newCellHarness(t, "x")
	h.add("j", "checks", newStep(1, 500))
	h.cell.Tick(h.now, true)
	placed, _ := h.cell.Commit()
	h.cell.Committed(placed)
	assert.Assert(t, !placed.Rows[0].Progress.Begun, "the start request may be delayed")
	h.acceptStarts("x")
	begun, ok := h.cell.Commit()
	assert.Assert(t, ok)
	assert.Assert(t, begun.Rows[0].Progress.Begun)
}

// The time of day differs between instances and may jump by seconds. It must not
// decide which of two jobs is late.
func TestTimeOfDayOfOtherInstancesDoesNotMakeJobLate(t *testing.T) {
	h := newCellHarness(t, "x")
	for _, ahead := range []time.Duration{-time.Hour, 0, time.Hour} {
		spec := Spec{
			ID:               fmt.Sprintf("accepted-%s", ahead),
			Queue:            "checks",
			Service:          "polls",
			Steps:            []Step{newStep(1, 500)},
			AcceptedAtMillis: h.now.Add(ahead).UnixMilli(),
		}
		h.cell.Add(h.now, spec)
		c := h.cell.candidate(h.now, h.cell.jobs[spec.ID], h.cell.jobs[spec.ID].occurrences[0], 0)
		assert.Equal(t, c.rank, rankOnTime, "%s", ahead)
		assert.Equal(t, c.dueBy, h.now.Add(1750*time.Millisecond), "%s", ahead)
	}
}

// The leases of a runner that left must not be renewed by the reports of its
// agent: its tasks would wait for a lease that nobody holds.
func TestTasksOfLeftRunnerStartElsewhere(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	left, other := "x", "y"
	if len(h.acceptStarts("x")) == 0 {
		left, other = "y", "x"
		h.acceptStarts("y")
	}
	h.advance(time.Second)
	r := h.runners[left]
	r.Runner.Draining = true
	r.Runner.Left = true
	// The runner answers no more, so its clock is not read again.
	r.Listed = false
	delete(h.runners, left)
	for range 4 {
		h.cell.HandleReport(h.now, left, *r)
		for _, agent := range h.cell.Dirty() {
			h.cell.Sync(h.now, agent, true)
		}
		h.advance(500 * time.Millisecond)
	}
	assert.DeepEqual(t, h.acceptStarts(other), []framer.RunRef{runRef("j.0.0.0", 2)})
}
