package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Guards against a wide step that waits for its slowest task, and against an end of the other
// run that changes the task.
func TestStragglerInWideStepGetsCopy(t *testing.T) {
	for _, reason := range []framer.FinishReason{framer.FinishStopped, framer.FinishFailed, framer.FinishDone} {
		t.Run(string(reason), func(t *testing.T) {
			h := newCopyHarness(t, "a", "b", "c")
			h.add("j", "checks", speculativeStep(10, 1000))
			h.pass(time.Second)
			straggler := runRef("j.0.0.7", 1)
			for ref := range h.started {
				if ref != straggler {
					h.end(ref, framer.FinishDone)
				}
			}
			h.pass(time.Second)
			h.assertCounts(1, 0, 0)
			h.mute[h.started[straggler]] = true
			h.end(runRef("j.0.0.7", 2), framer.FinishDone)
			assert.Equal(t, h.state("j"), StateCompleted)
			h.pass(200 * time.Millisecond)
			h.end(straggler, reason)
			assert.Equal(t, h.state("j"), StateCompleted)
			h.pass(500 * time.Millisecond)
			assert.Assert(t, !h.cell.HasJob("j"))
			assert.Equal(t, len(h.started), 11)
			h.assertCounts(1, 1, 0)
			assert.Equal(t, h.cell.Counts.Done, int64(10))
			assert.Equal(t, h.cell.Counts.Failed, int64(0))
		})
	}
}

// Guards against copies that come only after the usual duration has passed.
func TestSlowRunnerIsKnownByProgress(t *testing.T) {
	h := newCopyHarness(t, "a", "b")
	h.add("j", "checks", speculativeStep(1, 1000))
	h.pass(200 * time.Millisecond)
	slow := h.started[runRef("j.0.0.0", 1)]
	for i := range 11 {
		h.setProgress(slow, 1+i)
		h.pass(100 * time.Millisecond)
	}
	h.assertCounts(1, 0, 0)
}

// Guards against a task that waits for the lease of a runner that does not answer.
func TestTaskOfRunnerThatHangsGetsCopy(t *testing.T) {
	h := newCopyHarness(t, "a", "b")
	h.add("j", "checks", speculativeStep(1, 1000))
	h.pass(200 * time.Millisecond)
	h.silent[h.started[runRef("j.0.0.0", 1)]] = true
	h.pass(4 * time.Second)
	h.end(runRef("j.0.0.0", 2), framer.FinishDone)
	assert.Equal(t, h.state("j"), StateCompleted)
}

// Guards against copies that take what is not free, or what a waiting task can use.
func TestNoCopyWhileAllRunnersAreBusy(t *testing.T) {
	h := newCopyHarness(t, "a", "b")
	h.add("j", "checks", speculativeStep(8, 8000))
	h.pass(300 * time.Millisecond)
	h.add("k", "checks", newStep(1, 8000))
	h.pass(4 * time.Second)
	h.assertCounts(0, 0, 0)
	h.end(runRef("j.0.0.0", 1), framer.FinishDone)
	h.pass(300 * time.Millisecond)
	h.assertCounts(0, 0, 0)
	assert.Assert(t, h.started[runRef("k.0.0.0", 1)] != "")
}

// Guards against copies of all tasks that were placed while the store is unavailable.
func TestNoCopyOfRunThatIsNotCommitted(t *testing.T) {
	h := newCopyHarness(t, "a", "b")
	h.add("j", "checks", speculativeStep(1, 1000))
	for range 40 {
		h.cell.Tick(h.now, true)
		h.now = h.now.Add(100 * time.Millisecond)
		h.report("a")
		h.report("b")
	}
	h.assertCounts(0, 0, 0)
	h.pass(200 * time.Millisecond)
	h.assertCounts(1, 0, 0)
}

// Guards against a copy that the same fault takes.
func TestCopyRunsElsewhere(t *testing.T) {
	for name, change := range map[string]func(b *framer.RunnerInfo){
		"another instance":       func(b *framer.RunnerInfo) { b.Address = "10.0.0.1:81" },
		"another failure domain": func(b *framer.RunnerInfo) { b.FailureDomain = "z1" },
	} {
		t.Run(name, func(t *testing.T) {
			h := newCopyHarness(t, "a", "b", "c")
			for agent, r := range h.runners {
				r.Runner.Address = map[string]string{"a": "10.0.0.1:80", "b": "10.0.0.2:80", "c": "10.0.0.3:80"}[agent]
				r.Runner.FailureDomain = map[string]string{"a": "z1", "b": "z2", "c": "z3"}[agent]
			}
			change(&h.runners["b"].Runner)
			first, second := h.startPair()
			assert.Equal(t, h.started[first], "a")
			assert.Equal(t, h.started[second], "c")
		})
	}
}

// Guards against copies that fail, or are late, for the fault of their runner.
func TestNoCopyOnRunnersWithFaults(t *testing.T) {
	for name, fault := range map[string]func(s *runnerState){
		"failed runs": func(s *runnerState) { s.failedJobs = []string{"other"} },
		"stalled":     func(s *runnerState) { s.stalled = true },
	} {
		t.Run(name, func(t *testing.T) {
			h := newCopyHarness(t, "a", "b")
			fault(h.cell.agents["b"])
			h.add("j", "checks", speculativeStep(1, 1000))
			h.pass(4 * time.Second)
			h.assertCounts(0, 0, 0)
		})
	}
}

// Guards against copies that crowd a service when many of its tasks are late.
func TestManyTasksLateAtOnceStayWithinBudget(t *testing.T) {
	h := newCopyHarness(t, "a", "b", "c", "d")
	h.add("j", "checks", speculativeStep(40, 1000))
	h.pass(6 * time.Second)
	// 3 % of 128 processors.
	h.assertCounts(3, 0, 0)
	assert.Equal(t, h.cell.Counts.CopiesRefused, int64(37))
}

// Guards against second runs of tasks that must have one only.
func TestOtherStepsGetNoCopy(t *testing.T) {
	for name, change := range map[string]func(*Step){
		"not speculative": func(s *Step) { s.Speculative = false },
		"gang":            func(s *Step) { s.Gang = true },
		"long-running":    func(s *Step) { s.LongRunning = true },
		"best-effort":     func(s *Step) { s.BestEffort = true },
	} {
		t.Run(name, func(t *testing.T) {
			h := newCopyHarness(t, "a", "b")
			step := speculativeStep(2, 1000)
			change(&step)
			h.add("j", "checks", step)
			h.pass(6 * time.Second)
			assert.Equal(t, len(h.started), 2)
		})
	}
}

// Guards against a start beside a run, and against a job that fails or starts again although
// its queue says otherwise.
func TestFailuresOfBothRunsCount(t *testing.T) {
	h := newCopyHarness(t, "a", "b", "c", "d")
	first, second := h.startPair()
	h.end(second, framer.FinishFailed)
	h.pass(2 * time.Second)
	assert.Equal(t, len(h.started), 2, "the task waits for its first run")
	h.end(first, framer.FinishFailed)
	h.pass(5 * time.Second)
	third := runRef("j.0.0.0", 3)
	assert.Equal(t, len(h.started), 3, "a copy of the last permitted start is none")
	h.end(third, framer.FinishFailed)
	assert.Equal(t, h.state("j"), StateFailed)
	h.assertCounts(1, 0, 1)
}

// Guards against a job that goes on after its last permitted failure came from a copy.
func TestLastFailureOfCopyWaitsForTheOtherRun(t *testing.T) {
	for _, reason := range []framer.FinishReason{framer.FinishStopped, framer.FinishDone} {
		t.Run(string(reason), func(t *testing.T) {
			h := newCopyHarness(t, "a", "b")
			first, second := h.startPair()
			// The queue allows fewer failures from now on.
			queues := testQueues()
			queues.Version = 2
			queues.List[0].Terms.MaxFailures = 1
			h.cell.SetQueues(queues)
			h.end(second, framer.FinishFailed)
			assert.Equal(t, h.state("j"), StateRunning)
			h.end(first, reason)
			if reason == framer.FinishDone {
				assert.Equal(t, h.state("j"), StateCompleted)
			} else {
				assert.Equal(t, h.state("j"), StateFailed)
			}
		})
	}
}

// Guards against a copy that takes its task down with its instance, or starts it a third time.
func TestInstanceOfOneRunIsLost(t *testing.T) {
	for _, lost := range []int{1, 2} {
		t.Run(fmt.Sprintf("run-%d", lost), func(t *testing.T) {
			h := newCopyHarness(t, "a", "b", "c")
			h.startPair()
			h.silent[h.started[runRef("j.0.0.0", lost)]] = true
			if lost == 2 {
				h.pass(15 * time.Second)
				assert.Equal(t, len(h.started), 2)
			} else {
				// The copy is alone once the lease has expired, and may be late itself.
				h.pass(8 * time.Second)
				assert.Equal(t, h.cell.taskByName("j.0.0.0").run, 2)
			}
			h.end(runRef("j.0.0.0", 3-lost), framer.FinishDone)
			assert.Equal(t, h.state("j"), StateCompleted)
			h.pass(15 * time.Second)
			assert.Assert(t, !h.cell.HasJob("j"))
		})
	}
}

// Guards against a new owner that does not know both runs, or gives a number twice.
func TestNextOwnerKnowsBothRuns(t *testing.T) {
	for _, done := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("done-%d", done), func(t *testing.T) {
			h := newCopyHarness(t, "a", "b", "c")
			first, second := h.startPair()
			if done == 0 {
				h.end(second, framer.FinishFailed)
				h.pass(200 * time.Millisecond)
			}
			h.replaceOwner(h.cell.jobs["j"].spec)
			h.pass(300 * time.Millisecond)
			assert.Equal(t, len(h.started), 2)
			if done == 0 {
				h.end(first, framer.FinishStopped)
				h.pass(300 * time.Millisecond)
				assert.Assert(t, h.started[runRef("j.0.0.0", 3)] != "")
				return
			}
			h.end(runRef(first.Task, done), framer.FinishDone)
			assert.Equal(t, h.state("j"), StateCompleted)
			h.pass(time.Second)
			assert.Equal(t, len(h.runners[h.started[first]].Running)+len(h.runners[h.started[second]].Running), 0)
			assert.Assert(t, !h.cell.HasJob("j"))
		})
	}
}

// Guards against a run that goes on, and keeps its capacity, after the other one was done,
// and against tasks that wait because the job still has it.
func TestLoserIsStoppedWhileItsJobGoesOn(t *testing.T) {
	for _, done := range []int{1, 2} {
		t.Run(fmt.Sprintf("done-%d", done), func(t *testing.T) {
			h := newCopyHarness(t, "a", "b")
			next := newStep(1, 1000)
			next.After = []int{0}
			h.add("j", "checks", speculativeStep(1, 1000), next)
			h.pass(4 * time.Second)
			h.assertCounts(1, 0, 0)
			loser := runRef("j.0.0.0", 3-done)
			h.mute[h.started[loser]] = true
			h.end(runRef("j.0.0.0", done), framer.FinishDone)
			h.pass(500 * time.Millisecond)
			assert.Assert(t, h.started[runRef("j.0.1.0", 1)] != "")
			h.mute[h.started[loser]] = false
			h.pass(500 * time.Millisecond)
			assert.Assert(t, !containsRun(h.runners[h.started[loser]].Running, loser))
			assert.Equal(t, h.cell.jobs["j"].extraRuns, 0)
		})
	}
}

// Guards against a cancelled job of which a run goes on.
func TestCancellationStopsBothRuns(t *testing.T) {
	h := newCopyHarness(t, "a", "b")
	first, second := h.startPair()
	h.cell.Cancel(h.now, "j")
	h.pass(time.Second)
	assert.Equal(t, len(h.runners[h.started[first]].Running)+len(h.runners[h.started[second]].Running), 0)
	assert.Assert(t, !h.cell.HasJob("j"))
}

// Guards against a copy that starts after the end of its task was acknowledged.
func TestEndIsAckedOnceTheCopyCannotStart(t *testing.T) {
	h := newCopyHarness(t, "a", "b")
	h.add("j", "checks", speculativeStep(1, 1000))
	h.pass(200 * time.Millisecond)
	first := runRef("j.0.0.0", 1)
	other := map[string]string{"a": "b", "b": "a"}[h.started[first]]
	h.mute[other] = true
	h.pass(4 * time.Second)
	h.assertCounts(1, 0, 0)
	h.end(first, framer.FinishDone)
	h.pass(time.Second)
	assert.Equal(t, h.cell.Sync(h.now, h.started[first], true).AckedSequence, int64(0))
	h.mute[other] = false
	h.finish(other, runRef("j.0.0.0", 2), framer.FinishNeverStarted)
	h.pass(300 * time.Millisecond)
	assert.Equal(t, h.cell.Sync(h.now, h.started[first], true).AckedSequence, int64(1))
}

// Guards against rows of earlier versions that no longer decode, and rows over the limit.
func TestRowsWithCopies(t *testing.T) {
	t.Run("of an earlier version", func(t *testing.T) {
		data, err := cbor.Marshal(map[string]any{
			"state": "running",
			"tasks": []any{[]any{false, 1, "i-a", 1000, 0, "", "10.0.0.1:80"}},
		})
		assert.NilError(t, err)
		var p Progress
		assert.NilError(t, cbor.Unmarshal(data, &p))
		assert.Equal(t, p.Tasks[0].Run, 1)
	})
	t.Run("size", func(t *testing.T) {
		p := Progress{
			Copies: []CopyProgress{{
				Task:                  5000,
				Run:                   1000,
				RunnerID:              "i-0123456789abcdef",
				RunnerStartedAtMillis: 1 << 41,
				Address:               "250.250.250.250:65535",
			}, {
				Task: 5000,
				Run:  1000,
			}},
		}
		data, err := cbor.Marshal(p.Copies)
		assert.NilError(t, err)
		assert.Assert(t, len(data) <= p.size()-rowHeaderBytes, "%d bytes", len(data))
	})
	t.Run("no room", func(t *testing.T) {
		h := newCopyHarness(t, "a", "b")
		gang := newStep(1, 1000)
		gang.Gang = true
		gang.After = []int{0}
		h.add("j", "checks", speculativeStep(1, 1000), gang)
		// That leaves room for a few runs and not for a copy.
		h.cell.jobs["j"].gangCheckpointSize = maxRowBytes - rowHeaderBytes - 2*idleTaskBytes - 2*placedTaskBytes - 10*runnerPositionBytes
		room := h.cell.rowRoom(h.cell.jobs["j"])
		assert.Assert(t, room > 1 && room <= copyRowRoom, "%d runs", room)
		h.pass(4 * time.Second)
		h.assertCounts(0, 0, 0)
	})
}
