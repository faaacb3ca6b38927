package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The reserve for the most urgent queue must not keep a long-running task
// waiting that fits twice on each runner.
func TestReserve(t *testing.T) {
	const (
		runnerMillis  = 32_000
		reserveMillis = runnerMillis * reservePercent / 100
		smallMillis   = 500
	)
	// startedWith returns how many tasks of a step start on a runner of which
	// only freeMillis are free.
	startedWith := func(t *testing.T, freeMillis int, queue string, step Step) int {
		t.Helper()
		h := newCellHarness(t, "x")
		h.add("busy", "checks", longRunningStep(1, runnerMillis-freeMillis))
		h.tickUntilIdle()
		assert.Equal(t, len(h.acceptStarts("x")), 1)
		h.add("j", queue, step)
		h.tickUntilIdle()
		return len(h.acceptStarts("x"))
	}
	for _, test := range []struct {
		name       string
		freeMillis int
		queue      string
		step       Step
		want       int
	}{
		{
			name:       "a long-running task that fits twice starts",
			freeMillis: 2 * smallMillis,
			queue:      "reviews",
			step:       longRunningStep(1, smallMillis),
			want:       1,
		},
		{
			name:       "a second one leaves as much as it needs",
			freeMillis: 3*smallMillis - 1,
			queue:      "reviews",
			step:       longRunningStep(2, smallMillis),
			want:       1,
		},
		{
			name:       "a large one leaves the whole reserve",
			freeMillis: 4000 + reserveMillis - 1,
			queue:      "reviews",
			step:       longRunningStep(1, 4000),
			want:       0,
		},
		{
			name:       "a finite task leaves the whole reserve",
			freeMillis: smallMillis + reserveMillis - 1,
			queue:      "reviews",
			step:       newStep(1, smallMillis),
			want:       0,
		},
		{
			name:       "the most urgent queue may use the reserve",
			freeMillis: smallMillis,
			queue:      "checks",
			step:       newStep(1, smallMillis),
			want:       1,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, startedWith(t, test.freeMillis, test.queue, test.step), test.want)
		})
	}
}

// Guards against a job that never starts although its task fits into each of the empty
// runners, since a part of each is reserved for urgent work that doesn't come.
func TestReserveGivesWayOnIdleRunners(t *testing.T) {
	const (
		shrunkMillis = 31_000
		largeMillis  = 30_000
	)
	newHarness := func(t *testing.T) *cellHarness {
		h := newCellHarness(t, "x", "y", "z")
		for agent, r := range h.runners {
			r.Runner.ProcessorMillis = shrunkMillis
			h.report(agent)
		}
		return h
	}
	t.Run("after a time", func(t *testing.T) {
		for name, step := range map[string]Step{
			"finite": newStep(1, largeMillis),
			"lasts":  longRunningStep(1, largeMillis),
		} {
			t.Run(name, func(t *testing.T) {
				h := newHarness(t)
				h.add("j", "reviews", step)
				h.tickUntilIdle()
				assert.Equal(t, len(h.acceptAllStarts()), 0)
				h.advance(maxIdleWait + 200*time.Millisecond)
				assert.Equal(t, h.cell.jobs["j"].placed, 1)
			})
		}
	})
	t.Run("but not while much of the service is in use", func(t *testing.T) {
		h := newHarness(t)
		h.add("busy", "checks", longRunningStep(2, shrunkMillis))
		h.advance(time.Second)
		assert.Equal(t, h.cell.jobs["busy"].placed, 2)
		h.add("j", "reviews", newStep(1, largeMillis))
		h.advance(3 * maxIdleWait)
		assert.Equal(t, h.cell.jobs["j"].placed, 0)
	})
}
