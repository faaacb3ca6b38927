package leaser

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func TestLease(t *testing.T) {
	t.Run("a missing row may be acquired at once", func(t *testing.T) {
		l := New("a")
		assert.Assert(t, !l.MayAcquire(start))
		l.Observe(start, 0, Row{})
		assert.Assert(t, l.MayAcquire(start))
	})
	t.Run("a row that keeps changing may not be acquired", func(t *testing.T) {
		l := New("b")
		for i := range 20 {
			now := start.Add(time.Duration(i) * RenewInterval)
			l.Observe(now, uint64(i+1), Row{Owner: "a", Epoch: 1})
			assert.Assert(t, !l.MayAcquire(now))
		}
	})
	t.Run("an unchanged row is acquired under a higher epoch", func(t *testing.T) {
		l := New("b")
		l.Observe(start, 5, Row{Owner: "a", Epoch: 1})
		l.Observe(start.Add(AcquireAfter-1), 5, Row{Owner: "a", Epoch: 1})
		assert.Assert(t, !l.MayAcquire(start.Add(AcquireAfter-1)))
		assert.Assert(t, l.MayAcquire(start.Add(AcquireAfter)))
		version, row := l.Next()
		assert.Equal(t, version, uint64(5))
		assert.DeepEqual(t, row, Row{Owner: "b", Epoch: 2})
	})
	t.Run("the owner's lease ends before another process may acquire the cell", func(t *testing.T) {
		owner, other := New("a"), New("b")
		owner.Observe(start, 0, Row{})
		owner.Confirmed(start)
		// The other process observes the renewal no earlier than it was sent.
		other.Observe(start, 1, Row{Owner: "a", Epoch: 1})
		for at := start; at.Before(start.Add(time.Minute)); at = at.Add(10 * time.Millisecond) {
			assert.Assert(t, !owner.Valid(at) || !other.MayAcquire(at), "both processes may act %s after the renewal", at.Sub(start))
		}
	})
	t.Run("running tasks may be renewed for longer than new ones may be started", func(t *testing.T) {
		l := New("a")
		l.Observe(start, 0, Row{})
		l.Confirmed(start)
		assert.Assert(t, !l.Valid(start.Add(LeaseDuration)))
		assert.Assert(t, l.MayRenewTasks(start.Add(OrphanHorizon-1)))
		assert.Assert(t, !l.MayRenewTasks(start.Add(OrphanHorizon)))
	})
}

// An owner that restarts under the same name may reacquire the cell at once,
// but only under a higher epoch, which fences what the earlier process sent.
func TestLeaseOfEarlierProcessWithSameName(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New("10.0.0.1:7000")
	l.Observe(now, 8, Row{
		Owner: "10.0.0.1:7000",
		Epoch: 3,
	})
	assert.Assert(t, l.MayAcquire(now))
	_, row := l.Next()
	assert.Equal(t, row.Epoch, uint64(4))
}

func TestReleasedLeaseMayBeAcquired(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New("10.0.0.1:7000")
	l.Observe(now, 8, Row{
		Epoch: 3,
	})
	assert.Assert(t, l.MayAcquire(now))
}

func TestRaisedEpochIsConfirmedOnce(t *testing.T) {
	l := New("a")
	l.Observe(start, 5, Row{Owner: "b", Epoch: 3})
	l.Confirmed(start)
	assert.Equal(t, l.Epoch(), uint64(4))
	l.RaiseEpoch()
	assert.Equal(t, l.Epoch(), uint64(4), "it is in force once it is written")
	_, row := l.Next()
	assert.Equal(t, row.Epoch, uint64(5))
	l.Confirmed(start)
	assert.Equal(t, l.Epoch(), uint64(5))
	_, row = l.Next()
	assert.Equal(t, row.Epoch, uint64(5))
}
