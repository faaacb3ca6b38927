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

// cellFixture drives a cell with agents that tests script.
type cellFixture struct {
	t    *testing.T
	cell *Cell
	now  time.Time
	// runners holds what each agent reports, by the agent's address.
	runners map[string]*framer.Report
}

func newCellFixture(t *testing.T, agents ...string) *cellFixture {
	t.Helper()
	b := &cellFixture{
		t:       t,
		now:     time.Unix(10_000, 0),
		runners: map[string]*framer.Report{},
	}
	b.cell = NewCell(Config{
		Epoch:           1,
		Assert:          strictAsserter(t),
		Lease:           testLease,
		FormerLeasesEnd: b.now,
	})
	b.cell.SetQueues(testQueues())
	for i, agent := range agents {
		b.runners[agent] = &framer.Report{
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
		b.report(agent)
	}
	return b
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

// report sends what an agent has to say, with a fresh clock.
func (b *cellFixture) report(agent string) {
	r := b.runners[agent]
	r.ClockMillis += 10
	r.Listed = true
	b.cell.Reported(b.now, agent, *r)
}

// advance lets time go by in steps, with reports of all agents.
func (b *cellFixture) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(step)
		for agent, r := range b.runners {
			r.ClockMillis += step.Milliseconds()
			b.report(agent)
			b.cell.Sync(b.now, agent, true)
		}
		b.tickUntilIdle()
	}
}

// tickUntilIdle ticks the cell and commits what it wants until nothing changes.
func (b *cellFixture) tickUntilIdle() {
	for {
		b.cell.Tick(b.now, true)
		commit, ok := b.cell.Commit()
		if !ok {
			return
		}
		b.cell.Committed(commit)
	}
}

// acceptStarts returns the runs that an agent is told to start, and takes them.
func (b *cellFixture) acceptStarts(agent string) []framer.RunRef {
	var refs []framer.RunRef
	for _, s := range b.cell.Sync(b.now, agent, true).Starts {
		refs = append(refs, s.RunRef)
		b.runners[agent].Running = append(b.runners[agent].Running, framer.RunStatus{
			RunRef:  s.RunRef,
			Percent: 100,
		})
	}
	b.report(agent)
	return refs
}

func (b *cellFixture) acceptAllStarts() []framer.RunRef {
	var refs []framer.RunRef
	for agent := range b.runners {
		refs = append(refs, b.acceptStarts(agent)...)
	}
	return refs
}

// finish lets a run finish on an agent's runner.
func (b *cellFixture) finish(agent string, ref framer.RunRef, kind framer.FinishReason) {
	r := b.runners[agent]
	for i, status := range r.Running {
		if status.RunRef == ref {
			r.Running = append(r.Running[:i:i], r.Running[i+1:]...)
			break
		}
	}
	number := int64(1)
	for _, e := range r.Finished {
		number = max(number, e.Sequence+1)
	}
	r.Finished = append(r.Finished, framer.FinishedRun{
		RunRef:   ref,
		Sequence: number,
		Reason:   kind,
	})
	b.report(agent)
}

func (b *cellFixture) add(id, queue string, steps ...Step) {
	b.cell.Add(Spec{
		ID:               id,
		Queue:            queue,
		Service:          "polls",
		Steps:            steps,
		AcceptedAtMillis: b.now.UnixMilli(),
	})
}

func (b *cellFixture) state(id string) State {
	return b.cell.jobs[id].state
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

func TestStartsAreOnRecordFirst(t *testing.T) {
	b := newCellFixture(t, "x")
	b.add("j", "checks", newStep(1, 500))
	b.cell.Tick(b.now, true)
	assert.Equal(t, len(b.cell.Sync(b.now, "x", true).Starts), 0)
	commit, ok := b.cell.Commit()
	assert.Assert(t, ok)
	assert.Equal(t, commit.Rows[0].Progress.Tasks[0].RunnerID, "i-x")
	assert.Equal(t, len(b.cell.Sync(b.now, "x", true).Starts), 0, "the commit is on its way")
	b.cell.Committed(commit)
	assert.Equal(t, len(b.cell.Sync(b.now, "x", false).Starts), 0, "the lease may be lost")
	sync := b.cell.Sync(b.now, "x", true)
	assert.Equal(t, len(sync.Starts), 1)
	assert.Assert(t, !sync.Starts[0].Repeated)
	assert.Assert(t, b.cell.Sync(b.now, "x", true).Starts[0].Repeated)
}

func TestStepsFollowOneAnother(t *testing.T) {
	b := newCellFixture(t, "x")
	second := newStep(1, 500)
	second.After = []int{0}
	b.add("j", "checks", newStep(2, 500), second)
	b.tickUntilIdle()
	assert.Equal(t, len(b.acceptStarts("x")), 2)
	b.finish("x", runRef("j.0.0.0", 1), framer.FinishDone)
	b.tickUntilIdle()
	assert.Equal(t, len(b.acceptStarts("x")), 0)
	b.finish("x", runRef("j.0.0.1", 1), framer.FinishDone)
	b.tickUntilIdle()
	assert.DeepEqual(t, b.acceptStarts("x"), []framer.RunRef{runRef("j.0.1.0", 1)})
}

func TestEndsAreSeenOnceOnRecord(t *testing.T) {
	b := newCellFixture(t, "x")
	b.add("j", "checks", newStep(1, 500))
	b.tickUntilIdle()
	b.acceptStarts("x")
	b.finish("x", runRef("j.0.0.0", 1), framer.FinishDone)
	assert.Equal(t, b.cell.Sync(b.now, "x", true).AckedSequence, int64(0))
	commit, ok := b.cell.Commit()
	assert.Assert(t, ok)
	assert.Equal(t, commit.Rows[0].Progress.State, StateCompleted)
	assert.Equal(t, b.cell.Sync(b.now, "x", true).AckedSequence, int64(0))
	b.cell.Committed(commit)
	assert.Equal(t, b.cell.Sync(b.now, "x", true).AckedSequence, int64(1))
}

func TestRoomIsNeverPassed(t *testing.T) {
	b := newCellFixture(t, "x", "y")
	b.add("j", "checks", newStep(9, 10_000))
	b.tickUntilIdle()
	assert.Equal(t, len(b.acceptAllStarts()), 6)
	t.Run("what is being stopped still counts", func(t *testing.T) {
		b.cell.Cancel(b.now, "j")
		b.add("k", "checks", newStep(6, 10_000))
		b.tickUntilIdle()
		assert.Equal(t, len(b.acceptAllStarts()), 0)
	})
}

func TestFailuresAreBounded(t *testing.T) {
	b := newCellFixture(t, "x", "y", "z")
	b.add("j", "checks", newStep(1, 500))
	b.tickUntilIdle()
	for n := 1; n <= 2; n++ {
		for agent := range b.runners {
			for _, ref := range b.acceptStarts(agent) {
				assert.Equal(t, ref, runRef("j.0.0.0", n))
				b.finish(agent, ref, framer.FinishFailed)
			}
		}
		b.tickUntilIdle()
	}
	assert.Equal(t, len(b.acceptAllStarts()), 0)
	assert.Assert(t, !b.cell.Knows("j"))
}

func TestRetryAvoidsTheRunnerThatFailed(t *testing.T) {
	b := newCellFixture(t, "x", "y")
	b.add("j", "checks", newStep(1, 500))
	b.tickUntilIdle()
	for agent, other := range map[string]string{"x": "y", "y": "x"} {
		for _, ref := range b.acceptStarts(agent) {
			b.finish(agent, ref, framer.FinishFailed)
			b.tickUntilIdle()
			assert.Equal(t, len(b.acceptStarts(other)), 1)
			return
		}
	}
	t.Fatal("nothing was started")
}

func TestRunnerThatFailsAllIsSetAside(t *testing.T) {
	b := newCellFixture(t, "x", "y")
	for i := range 8 {
		b.add(fmt.Sprintf("j%d", i), "checks", newStep(1, 500))
	}
	b.tickUntilIdle()
	for _, ref := range b.acceptStarts("x") {
		b.finish("x", ref, framer.FinishFailed)
	}
	b.tickUntilIdle()
	assert.Equal(t, len(b.acceptStarts("x")), 0)
	assert.Assert(t, len(b.acceptStarts("y")) >= 8)
}

func TestJobThatFailsEverywhereBlamesNoRunner(t *testing.T) {
	b := newCellFixture(t, "x", "y")
	for i := range 3 {
		b.add(fmt.Sprintf("bad%d", i), "checks", newStep(8, 500))
	}
	b.tickUntilIdle()
	for agent := range b.runners {
		for _, ref := range b.acceptStarts(agent) {
			b.finish(agent, ref, framer.FinishFailed)
		}
	}
	for _, s := range b.cell.runners {
		assert.Equal(t, len(s.failedJobs), 0)
	}
}

func TestLostRunner(t *testing.T) {
	b := newCellFixture(t, "x", "y")
	b.add("j", "checks", newStep(1, 500))
	b.tickUntilIdle()
	lost, other := "x", "y"
	if len(b.acceptStarts("x")) == 0 {
		lost, other = "y", "x"
		b.acceptStarts("y")
	}
	b.cell.Sync(b.now, lost, true)
	silent := b.runners[lost]
	delete(b.runners, lost)
	b.cell.AgentDisconnected(lost)
	t.Run("keeps its tasks while its lease may last", func(t *testing.T) {
		b.advance(testLease)
		assert.Equal(t, len(b.acceptStarts(other)), 0)
	})
	t.Run("loses them afterwards", func(t *testing.T) {
		b.advance(time.Second)
		assert.DeepEqual(t, b.acceptStarts(other), []framer.RunRef{runRef("j.0.0.0", 2)})
	})
	t.Run("and what it says of the former run changes nothing", func(t *testing.T) {
		b.runners[lost] = silent
		b.report(lost)
		b.finish(lost, runRef("j.0.0.0", 1), framer.FinishDone)
		b.tickUntilIdle()
		assert.Equal(t, b.state("j"), StateRunning)
		assert.Equal(t, b.cell.Sync(b.now, lost, true).AckedSequence, int64(1))
	})
}

func TestRunnerThatCameBack(t *testing.T) {
	b := newCellFixture(t, "x")
	b.add("j", "checks", newStep(1, 500))
	b.tickUntilIdle()
	assert.Equal(t, len(b.acceptStarts("x")), 1)
	b.advance(maxCallDelay + time.Second)
	b.add("k", "checks", newStep(1, 500))
	b.tickUntilIdle()
	// The runner listed one run long ago and was told to start another, then
	// came back under its id.
	b.cell.Sync(b.now, "x", true)
	r := b.runners["x"]
	r.Runner.Key.StartedAtMillis = 2000
	r.ClockMillis = 5
	r.Running = nil
	b.report("x")
	b.tickUntilIdle()
	sync := b.cell.Sync(b.now, "x", true)
	assert.DeepEqual(t, sync.Stops, []framer.RunRef{runRef("k.0.0.0", 1)})
	assert.Equal(t, len(sync.Starts), 1)
	assert.Equal(t, sync.Starts[0].RunRef, runRef("j.0.0.0", 2))
	t.Run("an unconfirmed run starts anew once its stop is settled", func(t *testing.T) {
		r.Finished = []framer.FinishedRun{{
			RunRef: runRef("k.0.0.0", 1),
			Reason: framer.FinishNeverStarted,
		}}
		b.report("x")
		b.tickUntilIdle()
		assert.Equal(t, len(b.cell.Sync(b.now, "x", true).Starts), 2)
	})
}

func TestAnotherRunnerAtTheSameAddress(t *testing.T) {
	b := newCellFixture(t, "x")
	r := b.runners["x"]
	r.Runner.Address = "10.0.0.1:80"
	b.report("x")
	b.add("j", "checks", newStep(1, 500))
	b.tickUntilIdle()
	assert.Equal(t, len(b.acceptStarts("x")), 1)
	r.Runner.Key = framer.RunnerKey{
		ID:              "i-other",
		StartedAtMillis: 2000,
	}
	r.ClockMillis = 5
	r.Running = nil
	b.report("x")
	b.tickUntilIdle()
	assert.DeepEqual(t, b.acceptStarts("x"), []framer.RunRef{runRef("j.0.0.0", 2)})
}

func TestTakeover(t *testing.T) {
	b := newCellFixture(t, "x", "y")
	b.add("j", "checks", newStep(4, 500))
	b.cell.Tick(b.now, true)
	commit, _ := b.cell.Commit()
	next := NewCell(Config{
		Epoch:           2,
		Assert:          strictAsserter(t),
		Lease:           testLease,
		FormerLeasesEnd: b.now.Add(testLease),
	})
	next.SetQueues(testQueues())
	next.Load(b.cell.jobs["j"].spec, commit.Rows[0].Progress)
	b.cell = next
	t.Run("starts nothing anew", func(t *testing.T) {
		b.advance(testLease - time.Second)
		for agent := range b.runners {
			for _, s := range b.cell.Sync(b.now, agent, true).Starts {
				assert.Equal(t, s.Run, 1)
				assert.Assert(t, s.Repeated)
			}
		}
	})
	t.Run("a job that had ended is not loaded", func(t *testing.T) {
		next.Load(Spec{
			ID:    "old",
			Steps: []Step{newStep(1, 500)},
		}, Progress{
			State: StateCompleted,
		})
		assert.Assert(t, !next.Knows("old"))
	})
}

func TestCancelledJobIsStopped(t *testing.T) {
	b := newCellFixture(t, "x")
	b.add("j", "checks", newStep(2, 500))
	b.tickUntilIdle()
	b.acceptStarts("x")
	b.cell.Cancel(b.now, "j")
	b.tickUntilIdle()
	assert.Equal(t, len(b.cell.Sync(b.now, "x", true).Stops), 2)
	b.finish("x", runRef("j.0.0.0", 1), framer.FinishStopped)
	b.finish("x", runRef("j.0.0.1", 1), framer.FinishDone)
	b.tickUntilIdle()
	assert.Assert(t, !b.cell.Knows("j"))
}

func TestDrainingRunnerGetsNothing(t *testing.T) {
	b := newCellFixture(t, "x", "y")
	lasting := newStep(1, 500)
	lasting.LongRunning = true
	b.add("l", "checks", lasting)
	b.tickUntilIdle()
	from, to := "x", "y"
	if len(b.acceptStarts("x")) == 0 {
		from, to = "y", "x"
		b.acceptStarts("y")
	}
	b.runners[from].Runner.Draining = true
	b.report(from)
	assert.Equal(t, len(b.cell.Sync(b.now, from, true).Stops), 1)
	b.finish(from, runRef("l.0.0.0", 1), framer.FinishStopped)
	b.add("j", "checks", newStep(4, 500))
	b.tickUntilIdle()
	assert.Equal(t, len(b.acceptStarts(from)), 0)
	assert.Equal(t, len(b.acceptStarts(to)), 5)
}

func TestGang(t *testing.T) {
	b := newCellFixture(t, "x", "y")
	gang := newStep(4, 20_000)
	gang.Gang = true
	b.add("big", "checks", gang)
	gang.Count = 2
	b.add("small", "checks", gang)
	b.tickUntilIdle()
	assert.Equal(t, len(b.acceptAllStarts()), 2, "all members or none")
	b.finish("x", b.runners["x"].Running[0].RunRef, framer.FinishDone)
	b.tickUntilIdle()
	assert.Assert(t, !b.cell.Knows("small"), "one end stands for all")
}

func TestFillerThatNoRunnerBears(t *testing.T) {
	b := newCellFixture(t, "x")
	serving := newStep(1, 10_000)
	serving.LongRunning = true
	serving.TargetMillis = 20
	serving.Image = "feed"
	b.add("s", "checks", serving)
	b.tickUntilIdle()
	b.acceptStarts("x")
	for range 50 {
		b.cell.interference.observe("feed", imageShares{"heavy": 0.1}, math.Log(3))
		b.cell.interference.observe("feed", imageShares{}, math.Log(0.5))
	}
	filler := newStep(3, 4000)
	filler.BestEffort = true
	filler.Image = "heavy"
	b.add("f", "reviews", filler)
	b.tickUntilIdle()
	assert.Equal(t, len(b.acceptStarts("x")), 0)
	// A job must not wait with nothing running while most of the room is
	// unused; the agent holds its tasks back if it has to.
	b.advance(2 * time.Second)
	assert.Equal(t, len(b.acceptStarts("x")), minRunning)
	t.Run("has something running from then on", func(t *testing.T) {
		b.finish("x", runRef("f.0.0.0", 1), framer.FinishDone)
		b.tickUntilIdle()
		assert.DeepEqual(t, b.acceptStarts("x"), []framer.RunRef{runRef("f.0.0.2", 1)})
	})
}

func TestJobHasBegunOnceARunnerHasIt(t *testing.T) {
	b := newCellFixture(t, "x")
	b.add("j", "checks", newStep(1, 500))
	b.cell.Tick(b.now, true)
	placed, _ := b.cell.Commit()
	b.cell.Committed(placed)
	assert.Assert(t, !placed.Rows[0].Progress.Begun, "the order may be held up")
	b.acceptStarts("x")
	begun, ok := b.cell.Commit()
	assert.Assert(t, ok)
	assert.Assert(t, begun.Rows[0].Progress.Begun)
}
