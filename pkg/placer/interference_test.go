package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cellWithMix returns a cell whose one worker runs a replica and two batch tasks.
func cellWithMix(t *testing.T) *Cell {
	c := testCell(t, 1)
	c.SetReplicas("polls", ReplicaNeed{Team: "condor", Count: 1, Needs: spec("x", 4000).Needs})
	for _, kind := range []string{"heavy", "light"} {
		s := spec(kind, 1000)
		s.Kind = kind
		c.Accept(start, s, start)
	}
	c.Tick(start)
	committed(c, start)
	report(c, start, 0)
	return c
}

// report tells the cell that everything runs and how slow the replica is.
func report(c *Cell, now time.Time, slowdown float64) {
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
	c.Reported(now, "worker-000", r)
}

func TestPairsAreLearnt(t *testing.T) {
	i := NewInterference()
	mixes := []map[string]float64{
		{"heavy": 1},
		{"heavy": 2, "light": 1},
		{"light": 3},
	}
	for range 200 {
		for _, mix := range mixes {
			i.Learn("polls", mix, 1+0.4*mix["heavy"]+0.05*mix["light"])
		}
	}
	got := i.Predict("polls", map[string]float64{"heavy": 1, "light": 2})
	assert.Assert(t, got > 1.48 && got < 1.52, "predicted %.3f, the truth is 1.5", got)
	assert.Equal(t, i.Predict("reader", mixes[0]), 1.0)
}

func TestStepsAgainstASlowService(t *testing.T) {
	t.Run("a report older than the last change is passed over", func(t *testing.T) {
		c := cellWithMix(t)
		report(c, start.Add(reportLag-time.Second), 2)
		assert.Equal(t, c.Counts.Throttled, int64(0))
	})
	t.Run("throttle first, then checkpoint and stop", func(t *testing.T) {
		c := cellWithMix(t)
		now := start
		for range 2 {
			now = now.Add(reportLag + time.Second)
			report(c, now, 2)
		}
		assert.Equal(t, c.Counts.Throttled, int64(2))
		assert.Equal(t, stateOf(t, c, "heavy"), StateRunning)
		now = now.Add(reportLag + time.Second)
		report(c, now, 2)
		evicting := 0
		for _, id := range []string{"heavy", "light"} {
			if stateOf(t, c, id) == StateEvicting {
				evicting++
			}
		}
		assert.Equal(t, evicting, 1)
	})
	t.Run("what is throttled is let go when the service is well", func(t *testing.T) {
		c := cellWithMix(t)
		now := start.Add(reportLag + time.Second)
		report(c, now, 1.4)
		now = now.Add(reportLag + time.Second)
		c.Interference = NewInterference()
		report(c, now, 1.01)
		for _, e := range c.tasks {
			assert.Assert(t, !e.throttled)
		}
	})
	t.Run("evictions are rationed", func(t *testing.T) {
		var r ration
		spent := 0
		for second := range 60 {
			if r.spend(start.Add(time.Duration(second) * time.Second)) {
				spent++
			}
		}
		assert.Assert(t, spent <= evictionBurst+evictionsPerMinute, "%d in a minute", spent)
	})
}

func TestBatchAvoidsWhatItSlows(t *testing.T) {
	c := testCell(t, 2)
	c.SetReplicas("polls", ReplicaNeed{Team: "condor", Count: 1, Needs: spec("x", 4000).Needs})
	c.Tick(start)
	for range 100 {
		c.Interference.Learn("polls", map[string]float64{"heavy": 1}, 2)
	}
	beside := ""
	for _, e := range c.tasks {
		beside = e.Worker
	}
	for _, id := range []string{"a", "b"} {
		s := spec(id, 1000)
		s.Kind = "heavy"
		c.Accept(start, s, start)
	}
	c.Tick(start)
	for _, id := range []string{"a", "b"} {
		task, _ := c.Task("cell-1/" + id)
		assert.Assert(t, task.Worker != beside, "%s was placed beside the service", id)
	}
	s := spec("last", 28_500)
	s.Kind = "heavy"
	c.Accept(start, s, start)
	c.Tick(start.Add(patience))
	assert.Equal(t, stateOf(t, c, "last"), StateAccepted)
}
