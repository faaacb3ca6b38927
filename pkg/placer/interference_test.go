package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// cellWithColocatedTasks returns a cell whose one worker runs a replica and two
// batch tasks.
func cellWithColocatedTasks(t *testing.T) *Cell {
	c := testCell(t, 1)
	c.SetReplicas("polls", ReplicaNeed{Team: "condor", Count: 1, Needs: spec("x", 4000).Needs})
	for _, kind := range []string{"heavy", "light"} {
		s := spec(kind, 1000)
		s.Kind = kind
		c.Accept(start, s, start)
	}
	c.Tick(start)
	commitAll(c, start)
	reportRunning(c, start, 0)
	return c
}

// reportRunning reports that all placed tasks run, with the given slowdown of the
// replica.
func reportRunning(c *Cell, now time.Time, slowdown float64) {
	r := reportOf(1)
	for id, e := range c.tasks {
		if e.Worker == "" {
			continue
		}
		task := TaskReport{
			ID:        id,
			Start:     e.Start,
			State:     RunRunning,
			Throttled: e.throttled,
		}
		if e.Spec.Class == ClassLatencyCritical {
			task.Slowdown = slowdown
		}
		r.Tasks = append(r.Tasks, task)
	}
	c.HandleReport(now, "worker-000", r)
}

func TestInterferenceIsLearned(t *testing.T) {
	i := NewInterferenceModel()
	samples := []map[string]float64{
		{"heavy": 1},
		{"heavy": 2, "light": 1},
		{"light": 3},
	}
	for range 200 {
		for _, kinds := range samples {
			i.Learn("polls", kinds, 1+0.4*kinds["heavy"]+0.05*kinds["light"])
		}
	}
	got := i.Predict("polls", map[string]float64{"heavy": 1, "light": 2})
	assert.Assert(t, got > 1.48 && got < 1.52, "predicted %.3f, expected 1.5", got)
	assert.Equal(t, i.Predict("reader", samples[0]), 1.0)
}

func TestSlowServiceIsMitigated(t *testing.T) {
	t.Run("a report older than the last change is ignored", func(t *testing.T) {
		c := cellWithColocatedTasks(t)
		reportRunning(c, start.Add(maxReportLag-time.Second), 2)
		assert.Equal(t, c.Counts.Throttled, int64(0))
	})
	t.Run("tasks are throttled first, then evicted", func(t *testing.T) {
		c := cellWithColocatedTasks(t)
		now := start
		for range 2 {
			now = now.Add(maxReportLag + time.Second)
			reportRunning(c, now, 2)
		}
		assert.Equal(t, c.Counts.Throttled, int64(2))
		assert.Equal(t, stateOf(t, c, "heavy"), StateRunning)
		now = now.Add(maxReportLag + time.Second)
		reportRunning(c, now, 2)
		evicting := 0
		for _, id := range []string{"heavy", "light"} {
			if stateOf(t, c, id) == StateEvicting {
				evicting++
			}
		}
		assert.Equal(t, evicting, 1)
	})
	t.Run("throttled tasks are unthrottled when the service recovers", func(t *testing.T) {
		c := cellWithColocatedTasks(t)
		now := start.Add(maxReportLag + time.Second)
		reportRunning(c, now, 1.4)
		now = now.Add(maxReportLag + time.Second)
		c.Interference = NewInterferenceModel()
		reportRunning(c, now, 1.01)
		for _, e := range c.tasks {
			assert.Assert(t, !e.throttled)
		}
	})
	t.Run("the rate of evictions is limited", func(t *testing.T) {
		var budget evictionBudget
		spent := 0
		for second := range 60 {
			if budget.spend(start.Add(time.Duration(second) * time.Second)) {
				spent++
			}
		}
		assert.Assert(t, spent <= evictionBurst+evictionsPerMinute, "%d evictions in a minute", spent)
	})
}

func TestBatchTaskAvoidsWorkerOfServiceItSlows(t *testing.T) {
	c := testCell(t, 2)
	c.SetReplicas("polls", ReplicaNeed{Team: "condor", Count: 1, Needs: spec("x", 4000).Needs})
	c.Tick(start)
	for range 100 {
		c.Interference.Learn("polls", map[string]float64{"heavy": 1}, 2)
	}
	serviceWorker := ""
	for _, e := range c.tasks {
		serviceWorker = e.Worker
	}
	for _, id := range []string{"a", "b"} {
		s := spec(id, 1000)
		s.Kind = "heavy"
		c.Accept(start, s, start)
	}
	c.Tick(start)
	for _, id := range []string{"a", "b"} {
		task, _ := c.Task("cell-1/" + id)
		assert.Assert(t, task.Worker != serviceWorker, "task %s was placed on the worker of the service", id)
	}
	s := spec("last", 28_500)
	s.Kind = "heavy"
	c.Accept(start, s, start)
	c.Tick(start.Add(maxInterferenceWait))
	assert.Equal(t, stateOf(t, c, "last"), StateAccepted)
}

// Guards against a task that runs throttled until it ends, because the service
// for which it was throttled has left the worker and reports no slowdown there.
func TestThrottledTaskIsReleasedWhenServiceLeaves(t *testing.T) {
	c := testCell(t, 1)
	c.Accept(start, spec("a", 1000), start)
	c.Tick(start)
	commitAll(c, start)
	report := TaskReport{ID: "cell-1/a", Start: 1, State: RunRunning, Throttled: true}
	c.HandleReport(start, "worker-000", reportOf(1, report))
	e := c.tasks["cell-1/a"]
	e.throttled = true
	now := start.Add(maxReportLag + time.Second)
	c.HandleReport(now, "worker-000", reportOf(1, report))
	commands := c.Sync(now, "worker-000", true).Commands
	assert.Equal(t, len(commands), 1)
	assert.Equal(t, commands[0].Kind, CommandUnthrottle)
}

// Guards against a task that waits for as long as the clock of the entry which
// accepted it is ahead.
func TestInterferenceWaitIsByOwnClock(t *testing.T) {
	c := testCell(t, 1)
	c.SetReplicas("central-polls", ReplicaNeed{
		Team:  "condor",
		Count: 1,
		Needs: publisher.Resources{
			ProcessorMillis: 1000,
		},
	})
	c.Tick(start)
	commitAll(c, start)
	c.Interference.excess[pair{"central-polls", ""}] = 2
	c.Accept(start, spec("a", 1000), start.Add(time.Hour))
	c.Tick(start.Add(time.Second))
	assert.Equal(t, stateOf(t, c, "a"), StateAccepted)
	c.Tick(start.Add(maxInterferenceWait + time.Second))
	assert.Equal(t, stateOf(t, c, "a"), StatePlaced)
}
