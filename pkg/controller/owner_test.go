package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
)

const (
	self  = "10.0.0.1:7000"
	other = "10.0.0.2:7000"
)

// observedLease is what a process knows of a cell's row that it saw at a time.
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

func TestCellOfAnOwnerThatWritesNoMore(t *testing.T) {
	at := time.Unix(1000, 0)
	const lostAfter = 1500 * time.Millisecond
	t.Run("is taken within 1.5 s", func(t *testing.T) {
		assert.Assert(t, mayAcquire(at.Add(lostAfter), observedLease(at, other), false))
	})
	t.Run("is left to it for longer while the store is slow", func(t *testing.T) {
		assert.Assert(t, !mayAcquire(at.Add(lostAfter), observedLease(at, other), true))
		assert.Assert(t, mayAcquire(at.Add(slowAcquireAfter), observedLease(at, other), true))
	})
	t.Run("is taken at once if nobody owns it, or an earlier process of this name does", func(t *testing.T) {
		assert.Assert(t, mayAcquire(at, observedLease(at, ""), true))
		assert.Assert(t, mayAcquire(at, observedLease(at, self), true))
	})
}

func TestLeasesOfAFormerOwner(t *testing.T) {
	takenAt := time.Unix(1000, 0)
	const lease = 6 * time.Second
	// The former owner's last write was confirmed just before the takeover; it
	// grants until its own lease is over, on a clock that is 2 % slow.
	last := takenAt.Add(leaseDuration + lease*102/100)
	assert.Assert(t, formerLeasesEnd(takenAt, lease).After(last))
}
