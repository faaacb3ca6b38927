package placer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

var capacity = publisher.Resources{
	ProcessorMillis: 30_000,
	MemoryBytes:     125 << 30,
	Accelerators:    2,
}

func fatalAsserter(t testing.TB) *asserter.Asserter {
	return asserter.New(func(name string, pairs ...any) { t.Fatalf("invariant %s broken: %v", name, pairs) })
}

// testCell returns a cell whose workers have all reported without tasks.
func testCell(t testing.TB, workers int) *Cell {
	var addresses []string
	for i := range workers {
		addresses = append(addresses, fmt.Sprintf("worker-%03d", i))
	}
	c := NewCell(start, "cell-1", 1, addresses, fatalAsserter(t))
	for _, address := range addresses {
		c.HandleReport(start, address, reportOf(1))
	}
	return c
}

func reportOf(incarnation uint64, tasks ...TaskReport) Report {
	return Report{
		Incarnation: incarnation,
		ClockMillis: 1000,
		Capacity:    capacity,
		Tasks:       tasks,
	}
}

func spec(id string, millis int64) Spec {
	return Spec{
		ID:    "cell-1/" + id,
		Team:  "condor",
		Class: ClassBatch,
		Needs: publisher.Resources{
			ProcessorMillis: millis,
			MemoryBytes:     1 << 30,
		},
		RunTimeMillis: 1000,
	}
}

// commitAll commits all changes at once.
func commitAll(c *Cell, now time.Time) {
	for {
		commit, ok := c.Commit()
		if !ok {
			return
		}
		c.Committed(now, commit)
	}
}

func stateOf(t *testing.T, c *Cell, id string) State {
	t.Helper()
	task, ok := c.Task("cell-1/" + id)
	assert.Assert(t, ok, "task %s is not in the cell", id)
	return task.State
}

func TestNothingStartsBeforeItsRowIsWritten(t *testing.T) {
	c := testCell(t, 1)
	c.Accept(start, spec("a", 1000), start)
	c.Tick(start)
	assert.Equal(t, len(c.Sync(start, "worker-000", true).Commands), 0)
	commitAll(c, start)
	commands := c.Sync(start, "worker-000", true).Commands
	assert.Equal(t, len(commands), 1)
	assert.Equal(t, commands[0].Kind, CommandStart)
	assert.Equal(t, len(c.Sync(start, "worker-000", false).Commands), 0)
}

func TestTaskThatFitsNoWorkerFailsAtOnce(t *testing.T) {
	c := testCell(t, 3)
	s := spec("huge", 1000)
	s.Needs.Accelerators = 3
	c.Accept(start, s, start)
	task, _ := c.Task(s.ID)
	assert.Equal(t, task.State, StateFailed)
	assert.Equal(t, task.Reason, "fits no worker of the cell: accelerators")
}

func TestUrgentTasksArePlacedFirst(t *testing.T) {
	c := testCell(t, 1)
	c.Accept(start, spec("batch", 20_000), start)
	urgent := spec("urgent", 20_000)
	urgent.Urgency = 9
	c.Accept(start, urgent, start.Add(time.Second))
	c.Tick(start)
	assert.Equal(t, stateOf(t, c, "urgent"), StatePlaced)
	assert.Equal(t, stateOf(t, c, "batch"), StateAccepted)
}

func TestFailingTaskRetriesAreBounded(t *testing.T) {
	c := testCell(t, 5)
	c.Accept(start, spec("bad", 1000), start)
	last := ""
	for range maxFailures {
		c.Tick(start)
		commitAll(c, start)
		task, _ := c.Task("cell-1/bad")
		assert.Assert(t, task.Worker != last, "placed again on the worker on which it just failed")
		last = task.Worker
		c.HandleReport(start, task.Worker, reportOf(1, TaskReport{ID: "cell-1/bad", Start: task.Start, State: RunFailed}))
	}
	assert.Equal(t, stateOf(t, c, "bad"), StateFailed)
}

func TestFailingWorkerIsQuarantined(t *testing.T) {
	c := testCell(t, 2)
	c.Choose = func(_ *Task, fitting []Candidate) Candidate { return fitting[0] }
	for i := range quarantineThreshold {
		id := fmt.Sprintf("t%d", i)
		c.Accept(start, spec(id, 1000), start)
		c.Tick(start)
		commitAll(c, start)
		task, _ := c.Task("cell-1/" + id)
		assert.Equal(t, task.Worker, "worker-000")
		c.HandleReport(start, task.Worker, reportOf(1, TaskReport{ID: "cell-1/" + id, Start: 1, State: RunFailed}))
	}
	c.Accept(start, spec("next", 1000), start)
	c.Tick(start)
	task, _ := c.Task("cell-1/next")
	assert.Equal(t, task.Worker, "worker-001")
	c.Accept(start, spec("trial", 30_000), start)
	later := start.Add(minQuarantine + time.Second)
	c.Tick(later)
	task, _ = c.Task("cell-1/trial")
	assert.Equal(t, task.Worker, "worker-000")
	c.Accept(later, spec("second", 1000), later)
	c.Tick(later)
	task, _ = c.Task("cell-1/second")
	assert.Equal(t, task.Worker, "worker-001", "only one trial at a time")
}

func TestCancelledTrialAllowsNextTrial(t *testing.T) {
	c := testCell(t, 1)
	w := c.workers["worker-000"]
	for i := range quarantineThreshold {
		w.recordFailure(start, fmt.Sprint(i))
	}
	later := start.Add(minQuarantine + time.Second)
	c.Accept(later, spec("trial", 1000), later)
	c.Tick(later)
	commitAll(c, later)
	c.Cancel(later, "cell-1/trial")
	c.HandleReport(later, "worker-000", reportOf(1, TaskReport{ID: "cell-1/trial", Start: 1, State: RunStopped}))
	c.Accept(later, spec("next", 1000), later)
	c.Tick(later)
	assert.Equal(t, stateOf(t, c, "next"), StatePlaced)
}

func TestLostWorker(t *testing.T) {
	placed := func(t *testing.T) *Cell {
		c := testCell(t, 2)
		c.Accept(start, spec("a", 1000), start)
		c.Tick(start)
		commitAll(c, start)
		c.Sync(start, "worker-000", true)
		c.MarkUnreachable(start, "worker-000")
		return c
	}
	t.Run("its tasks are placed again only after its lease", func(t *testing.T) {
		c := placed(t)
		c.Tick(start.Add(TaskLease))
		assert.Equal(t, stateOf(t, c, "a"), StatePlaced)
		c.Tick(start.Add(TaskLease + 2*clockMargin))
		task, _ := c.Task("cell-1/a")
		assert.Equal(t, task.Worker, "worker-001")
		assert.Equal(t, task.Start, 2)
	})
	t.Run("a new incarnation requeues its tasks at once", func(t *testing.T) {
		c := placed(t)
		c.HandleReport(start.Add(time.Second), "worker-000", reportOf(2))
		assert.Equal(t, stateOf(t, c, "a"), StateAccepted)
	})
	t.Run("a new owner waits for the orphan horizon", func(t *testing.T) {
		c := NewCell(start, "cell-1", 2, []string{"worker-000", "worker-001"}, fatalAsserter(t))
		c.Load(Task{Spec: spec("a", 1000), State: StatePlaced, Worker: "worker-000", WorkerIncarnation: 1, Start: 1}, 1)
		c.HandleReport(start, "worker-001", reportOf(1))
		c.MarkUnreachable(start, "worker-000")
		c.Tick(start.Add(9 * time.Minute))
		assert.Equal(t, stateOf(t, c, "a"), StatePlaced)
		c.Tick(start.Add(11 * time.Minute))
		task, _ := c.Task("cell-1/a")
		assert.Equal(t, task.Worker, "worker-001")
	})
}

func TestEvictedTaskResumesOnce(t *testing.T) {
	c := testCell(t, 2)
	c.Accept(start, spec("a", 1000), start)
	c.Tick(start)
	commitAll(c, start)
	c.HandleReport(start, "worker-000", reportOf(1, TaskReport{ID: "cell-1/a", Start: 1, State: RunRunning}))
	c.Evict(start, "cell-1/a", "test")
	stopped := reportOf(1, TaskReport{ID: "cell-1/a", Start: 1, State: RunStopped, Checkpoint: "checkpoint-1"})
	c.HandleReport(start, "worker-000", stopped)
	c.HandleReport(start, "worker-000", stopped)
	c.Tick(start)
	commitAll(c, start)
	task, _ := c.Task("cell-1/a")
	assert.Equal(t, task.Start, 2)
	assert.Equal(t, task.Evictions, 1)
	commands := c.Sync(start, task.Worker, true).Commands
	assert.Equal(t, len(commands), 1)
	assert.Equal(t, commands[0].Checkpoint, "checkpoint-1")
}

func TestTeamQuotaIsEnforced(t *testing.T) {
	c := testCell(t, 4)
	c.SetQuota("condor", publisher.Resources{ProcessorMillis: 3000, MemoryBytes: 100 << 30})
	for i := range 5 {
		c.Accept(start, spec(fmt.Sprint(i), 1000), start)
	}
	c.Tick(start)
	assert.Equal(t, c.Waiting(), 2)
}

// TestAllocationsMatchModel compares the allocations with a plain sum.
func TestAllocationsMatchModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		broken := 0
		allocations := NewAllocations(asserter.New(func(string, ...any) { broken++ }), capacity)
		model := map[string]publisher.Resources{}
		rt.Repeat(map[string]func(*rapid.T){
			"commit": func(rt *rapid.T) {
				id := rapid.StringMatching("[a-f]").Draw(rt, "id")
				needs := publisher.Resources{
					ProcessorMillis: rapid.Int64Range(0, 20_000).Draw(rt, "processor"),
					MemoryBytes:     rapid.Int64Range(0, 80<<30).Draw(rt, "memory"),
					Accelerators:    rapid.Int64Range(0, 2).Draw(rt, "accelerators"),
				}
				if _, allocated := model[id]; allocated || !allocations.Fits(needs) {
					return
				}
				allocations.Allocate(id, needs)
				model[id] = needs
			},
			"release": func(rt *rapid.T) {
				id := rapid.StringMatching("[a-f]").Draw(rt, "id")
				_, allocated := model[id]
				assert.Equal(rt, allocations.Release(id), allocated)
				delete(model, id)
			},
			"": func(rt *rapid.T) {
				var sum publisher.Resources
				for _, needs := range model {
					sum = publisher.Add(sum, needs)
				}
				assert.Equal(rt, allocations.Sum(), sum)
				assert.Assert(rt, publisher.Within(sum, capacity))
				assert.Equal(rt, broken, 0)
			},
		})
	})
}

func BenchmarkPlaceOne(b *testing.B) {
	for _, workers := range []int{10, 30, 100, 300} {
		b.Run(fmt.Sprintf("workers-%d", workers), func(b *testing.B) {
			c := testCell(b, workers)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				s := spec(fmt.Sprint(i), 100)
				c.Accept(start, s, start)
				c.Tick(start)
				commitAll(c, start)
				task, _ := c.Task(s.ID)
				c.HandleReport(start, task.Worker, reportOf(1, TaskReport{ID: s.ID, Start: 1, State: RunDone}))
				commitAll(c, start)
			}
		})
	}
}

// BenchmarkPlacedTaskMemory measures the bytes that one placed task costs the owner.
func BenchmarkPlacedTaskMemory(b *testing.B) {
	for _, tasks := range []int{300, 3000, 30_000} {
		b.Run(fmt.Sprintf("tasks-%d", tasks), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				c := testCell(b, 100)
				for i := range tasks {
					c.Accept(start, spec(fmt.Sprint(i), 10), start)
				}
				c.Tick(start)
				commitAll(c, start)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tasks), "bytes/task")
				runtime.KeepAlive(c)
			}
		})
	}
}

// BenchmarkTickWithQueue measures the cost of a tick while the workers are full and
// tasks wait.
func BenchmarkTickWithQueue(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("waiting-%d", waiting), func(b *testing.B) {
			c := testCell(b, 30)
			for i := range 30 * 10 {
				c.Accept(start, spec(fmt.Sprint("full-", i), 3000), start)
			}
			c.Tick(start)
			commitAll(c, start)
			for i := range waiting {
				c.Accept(start, spec(fmt.Sprint("waits-", i), 3000), start)
			}
			b.ReportAllocs()
			for b.Loop() {
				c.Tick(start)
			}
		})
	}
}

func TestBlockedTasksDoNotDelayOthers(t *testing.T) {
	t.Run("a team at its quota", func(t *testing.T) {
		c := testCell(t, 4)
		c.SetQuota("condor", publisher.Resources{ProcessorMillis: 1000, MemoryBytes: 1 << 40})
		for i := range 3 * maxFailedPlacements {
			c.Accept(start, spec(fmt.Sprint("blocked-", i), 1000), start)
		}
		other := spec("other", 1000)
		other.Team = "lisciva"
		c.Accept(start, other, start.Add(time.Second))
		c.Tick(start)
		assert.Equal(t, stateOf(t, c, "other"), StatePlaced)
	})
	t.Run("many large tasks", func(t *testing.T) {
		c := testCell(t, 4)
		for i := range 4 {
			c.Accept(start, spec(fmt.Sprint("full-", i), 20_000), start)
		}
		c.Tick(start)
		for i := range 3 * maxFailedPlacements {
			c.Accept(start, spec(fmt.Sprint("large-", i), 29_000), start)
		}
		c.Accept(start, spec("small", 1000), start.Add(time.Second))
		c.Tick(start)
		assert.Equal(t, stateOf(t, c, "small"), StatePlaced)
	})
}

func TestUnfitTaskFailsOnceAllWorkersReported(t *testing.T) {
	c := NewCell(start, "cell-1", 1, []string{"worker-000", "worker-001"}, fatalAsserter(t))
	c.HandleReport(start, "worker-000", reportOf(1))
	c.Accept(start, spec("huge", 31_000), start)
	c.Tick(start)
	assert.Equal(t, stateOf(t, c, "huge"), StateAccepted, "a worker that has not reported yet may be larger")
	c.HandleReport(start, "worker-001", reportOf(1))
	c.Tick(start)
	assert.Equal(t, stateOf(t, c, "huge"), StateFailed)
}
