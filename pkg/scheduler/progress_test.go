package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// advanceWithProgress lets the runs of the agent "x" make advanceWithProgress for a while, but for
// those that stand still.
func (b *cellFixture) advanceWithProgress(d time.Duration, still func(task string) bool) {
	for end := b.now.Add(d); b.now.Before(end); {
		running := b.runners["x"].Running
		for i := range running {
			running[i].Measurement = 10_000
			if !still(running[i].Task) {
				running[i].Percent = (running[i].Percent + 3) % 100
			}
		}
		b.advance(100 * time.Millisecond)
	}
}

func TestRunnerOnWhichRunsStandStill(t *testing.T) {
	all := func(string) bool { return true }
	newStill := func(t *testing.T, steps ...Step) *cellFixture {
		t.Helper()
		b := newCellFixture(t, "x")
		for i, step := range steps {
			b.add(fmt.Sprintf("j%d", i), "checks", step)
		}
		b.tickUntilIdle()
		b.acceptStarts("x")
		for i := range b.runners["x"].Running {
			b.runners["x"].Running[i].Percent = 0
		}
		return b
	}
	stops := func(b *cellFixture) []framer.RunRef { return b.cell.Sync(b.now, "x", true).Stops }
	t.Run("gives them back within 2 s and gets none", func(t *testing.T) {
		b := newStill(t, newStep(2, 1000))
		b.advanceWithProgress(2*time.Second, all)
		assert.Equal(t, len(stops(b)), 2)
		b.add("next", "checks", newStep(1, 1000))
		b.tickUntilIdle()
		assert.Equal(t, len(b.acceptStarts("x")), 0)
	})
	t.Run("is tried again later, with one task", func(t *testing.T) {
		b := newStill(t, newStep(2, 1000))
		b.advanceWithProgress(2*time.Second, all)
		assert.Equal(t, b.cell.agents["x"].quarantine, minQuarantine, "however many of its runs stand still")
		for _, ref := range stops(b) {
			b.finish("x", ref, framer.FinishStopped)
		}
		b.advance(minQuarantine)
		assert.Equal(t, len(b.acceptStarts("x")), 1)
	})
	t.Run("is another matter while one of them goes on", func(t *testing.T) {
		b := newStill(t, newStep(2, 1000))
		b.advanceWithProgress(5*time.Second, func(task string) bool { return task == "j0.0.0.0" })
		assert.Equal(t, len(stops(b)), 0)
	})
	t.Run("does not count while it is not heard of", func(t *testing.T) {
		b := newStill(t, newStep(2, 1000))
		b.advanceWithProgress(500*time.Millisecond, all)
		b.now = b.now.Add(10 * time.Second)
		b.report("x")
		assert.Equal(t, len(stops(b)), 0)
	})
	t.Run("does not count for what lasts or is held back", func(t *testing.T) {
		serving := newStep(1, 1000)
		serving.LongRunning = true
		filler := newStep(1, 32_000)
		filler.BestEffort = true
		b := newStill(t, serving, filler)
		b.advanceWithProgress(5*time.Second, all)
		assert.Equal(t, len(stops(b)), 0)
	})
}

func TestRunnerThatServesIsTriedAgain(t *testing.T) {
	b := newCellFixture(t, "x")
	serving := newStep(1, 1000)
	serving.LongRunning = true
	b.add("s", "checks", serving)
	b.tickUntilIdle()
	b.acceptStarts("x")
	for i := range quarantineThreshold {
		b.add(fmt.Sprintf("f%d", i), "checks", newStep(1, 1000))
	}
	b.tickUntilIdle()
	b.acceptStarts("x")
	for i := range quarantineThreshold {
		b.finish("x", runRef(fmt.Sprintf("f%d.0.0.0", i), 1), framer.FinishFailed)
	}
	b.tickUntilIdle()
	assert.Equal(t, len(b.acceptStarts("x")), 0)
	b.advance(minQuarantine + time.Second)
	assert.Equal(t, len(b.acceptStarts("x")), 1)
}

func TestSlowRunnerComesLast(t *testing.T) {
	b := newCellFixture(t, "x", "y")
	for i := range 4 {
		b.add(fmt.Sprintf("j%d", i), "checks", newStep(1, 1000))
	}
	b.tickUntilIdle()
	assert.Equal(t, len(b.acceptStarts("x")), 2)
	assert.Equal(t, len(b.acceptStarts("y")), 2)
	percent := map[string]int{
		"x": 1,
		"y": 8,
	}
	for i := range 10 {
		for agent, by := range percent {
			for n := range b.runners[agent].Running {
				b.runners[agent].Running[n].Percent = i * by
			}
		}
		b.advance(100 * time.Millisecond)
	}
	// The slow runner has more room.
	b.add("large", "checks", newStep(1, 5000))
	b.tickUntilIdle()
	assert.Equal(t, len(b.acceptStarts("y")), 1)
	b.add("next", "checks", newStep(2, 1000))
	b.tickUntilIdle()
	assert.Equal(t, len(b.acceptStarts("y")), 2)
	t.Run("and gets what fits nowhere else", func(t *testing.T) {
		b.add("huge", "checks", newStep(1, 27_000))
		b.tickUntilIdle()
		assert.Equal(t, len(b.acceptStarts("x")), 1)
	})
	t.Run("and is tried again later", func(t *testing.T) {
		b.runners["x"].Running = nil
		b.advance(4 * speedHalfLife)
		assert.Assert(t, !b.cell.agents["x"].speed.slow(b.now))
	})
}

func TestOneBurstOfFailuresSetsARunnerAsideOnce(t *testing.T) {
	b := newCellFixture(t, "x")
	for i := range 5 {
		b.add(fmt.Sprintf("f%d", i), "checks", newStep(1, 1000))
	}
	b.tickUntilIdle()
	b.acceptStarts("x")
	for i := range 5 {
		b.finish("x", runRef(fmt.Sprintf("f%d.0.0.0", i), 1), framer.FinishFailed)
	}
	assert.Equal(t, b.cell.agents["x"].quarantine, minQuarantine)
	t.Run("and a success takes all of it back", func(t *testing.T) {
		x := b.cell.agents["x"]
		x.recordSuccess()
		assert.Assert(t, x.schedulable(b.now))
		x.recordFailure(b.now, "a")
		x.recordFailure(b.now, "b")
		assert.Assert(t, !x.schedulable(b.now))
		assert.Equal(t, x.quarantinedUntil, b.now.Add(minQuarantine))
	})
}
