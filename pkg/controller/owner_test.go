package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
)

const (
	self  = "10.0.0.1:7000"
	other = "10.0.0.2:7000"
)

// observedLease returns a lease of self that observed the row of an owner at a
// time.
func observedLease(at time.Time, owner string) *leaser.Lease {
	l := leaser.NewWith(self, leaser.Terms{
		Duration:     leaseDuration,
		AcquireAfter: acquireAfter,
	})
	l.Observe(at, 5, leaser.Row{
		Owner: owner,
		Epoch: 3,
	})
	return l
}

func TestMayAcquireCellOfSilentOwner(t *testing.T) {
	at := time.Unix(1000, 0)
	const lostAfter = 1500 * time.Millisecond
	t.Run("it is acquired within 1.5 s", func(t *testing.T) {
		assert.Assert(t, mayAcquire(at.Add(lostAfter), observedLease(at, other), false, 0))
	})
	t.Run("it is acquired later while the store is slow", func(t *testing.T) {
		assert.Assert(t, !mayAcquire(at.Add(lostAfter), observedLease(at, other), true, 0))
		assert.Assert(t, mayAcquire(at.Add(slowAcquireAfter), observedLease(at, other), true, 0))
	})
	t.Run("it is acquired at once if it has no owner or an earlier incarnation owns it", func(t *testing.T) {
		assert.Assert(t, mayAcquire(at, observedLease(at, ""), true, 0))
		assert.Assert(t, mayAcquire(at, observedLease(at, self), true, 0))
	})
}

func TestSmallEntryYieldsToLargerOnes(t *testing.T) {
	at := time.Unix(1000, 0)
	small := func(processors float64) *Entry {
		return &Entry{
			cfg: configurer.Fleet{
				Processors: processors,
			},
			peers: map[string]float64{
				other:          0.8,
				"10.0.0.3:700": 0.2,
			},
		}
	}
	t.Run("it waits longer for a cell without an owner", func(t *testing.T) {
		lease := observedLease(at, "")
		yield := small(0.2).yieldTime()
		assert.Assert(t, !mayAcquire(at.Add(yield-1), lease, false, yield))
		assert.Assert(t, mayAcquire(at.Add(yield), lease, false, yield))
	})
	t.Run("it acquires the cell of a silent owner within 1.5 s if no larger one does", func(t *testing.T) {
		lease := observedLease(at, other)
		yield := small(0.2).yieldTime()
		assert.Assert(t, !mayAcquire(at.Add(acquireAfter), lease, false, yield))
		assert.Assert(t, mayAcquire(at.Add(1500*time.Millisecond), lease, false, yield))
	})
	t.Run("an entry of similar size does not wait", func(t *testing.T) {
		assert.Equal(t, small(0.5).yieldTime(), time.Duration(0))
	})
}
