package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
)

// cutOff starts a placed task on its worker, which then can't be reached until its lease has
// expired. It returns the worker and the time.
func cutOff(t *testing.T, c *Cell, now time.Time, id string) (*worker, time.Time) {
	t.Helper()
	w, _ := startOn(t, c, now, id)
	c.MarkUnreachable(now, w.address)
	now = now.Add(TaskLease + time.Second)
	c.Tick(now)
	return w, now
}

// A sound task must not fail for good because its workers were cut off one after the other, and
// one that crashes them must not be started without end while none of them is back.
func TestTaskIsNotGivenUpForWorkersThatWereCutOff(t *testing.T) {
	lose := func(t *testing.T) (c *Cell, w *worker, now time.Time) {
		t.Helper()
		c = testCell(t, maxCrashes+2)
		c.Accept(start, spec("sound", 1000), start)
		// No lease of a former owner lasts longer.
		now = start.Add(leaser.OrphanHorizon)
		for _, address := range c.addresses {
			c.HandleReport(now, address, reportOf(1))
		}
		for range maxCrashes {
			w, now = cutOff(t, c, now, "sound")
		}
		assert.Equal(t, stateOf(t, c, "sound"), StateAccepted, "it waits for proof")
		return c, w, now
	}
	t.Run("a worker is back", func(t *testing.T) {
		c, w, now := lose(t)
		c.HandleReport(now, w.address, reportOf(w.incarnation))
		c.Tick(now)
		assert.Equal(t, stateOf(t, c, "sound"), StatePlaced)
	})
	t.Run("the workers are replaced", func(t *testing.T) {
		c, _, now := lose(t)
		for _, address := range c.addresses {
			if w := c.workers[address]; !w.reachable {
				c.HandleReport(now, address, reportOf(w.incarnation+1))
			}
		}
		assert.Equal(t, stateOf(t, c, "sound"), StateFailed)
	})
	t.Run("no worker is back", func(t *testing.T) {
		c, _, now := lose(t)
		c.Tick(now.Add(lapseTTL + time.Second))
		assert.Equal(t, stateOf(t, c, "sound"), StatePlaced)
	})
	t.Run("a worker is back under the next owner", func(t *testing.T) {
		c, w, now := lose(t)
		commitAll(c, now)
		row, _ := c.Task("cell-1/sound")
		next := NewCell(now, "cell-1", 2, c.addresses, fatalAsserter(t))
		next.Load(row, 1)
		assert.Assert(t, next.tasks["cell-1/sound"].awaitsProof())
		next.HandleReport(now, w.address, reportOf(w.incarnation))
		assert.Assert(t, !next.tasks["cell-1/sound"].awaitsProof())
	})
}
