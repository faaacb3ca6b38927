package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// leaseRowOf returns a version of the lease row with a value.
func leaseRowOf(row leaseRow) storer.PartitionedRow {
	return storer.PartitionedRow{
		Key:     leaseKey(),
		Version: 5,
		Value:   storer.EncodeCBOR(row),
	}
}

// entryAfter returns an entry that observed the lease row of a former owner.
func entryAfter(seenAt time.Time, row leaseRow) *Entry {
	e := &Entry{
		cfg: configurer.Fleet{
			LongestLease:  publisher.Duration(platformLease),
			RestartWithin: configurer.FleetDefaults().RestartWithin,
		},
		cache: newJobCache(nil, 0),
	}
	e.owner.lease = leaser.New(self)
	e.cache.lease = leaseRowOf(row)
	e.observeLease(seenAt)
	e.owner.formerLeasesEnd = e.owner.former.leasesEnd(e.owner.lease.SeenAt(), platformLease)
	return e
}

func TestFormerLeasesEndCoversLastGrant(t *testing.T) {
	seenAt := time.Unix(1000, 0)
	// assertCovers checks the case in which the former owner's last write was
	// sent just before its row was observed. It grants leases until its own lease
	// expires, and the runner's clock is 2 % slow.
	assertCovers := func(t *testing.T, row leaseRow, lease time.Duration) {
		t.Helper()
		last := seenAt.Add(leaseDuration + lease*102/100)
		assert.Assert(t, entryAfter(seenAt, row).owner.formerLeasesEnd.After(last))
	}
	t.Run("the row states the leases", func(t *testing.T) {
		row := leaseRow{
			RunnerLeaseMillis: 6000,
		}
		assertCovers(t, row, 6*time.Second)
	})
	t.Run("the row does not state them", func(t *testing.T) {
		assertCovers(t, leaseRow{}, platformLease)
	})
}

// Guards against tasks that wait for a lease which nobody granted, if their runner is lost
// soon after a deployment's first start.
func TestFirstOwnerWaitsForNoFormerLeases(t *testing.T) {
	e := &Entry{
		cache: newJobCache(nil, 0),
	}
	e.owner.lease = leaser.New(self)
	e.observeLease(time.Unix(1000, 0))
	assert.Assert(t, e.owner.former.leasesEnd(time.Unix(1000, 0), platformLease).IsZero())
	t.Run("but it does if the row was not read", func(t *testing.T) {
		var unread formerOwner
		assert.Assert(t, !unread.leasesEnd(time.Unix(1000, 0), platformLease).IsZero())
	})
	t.Run("or if a former owner released the cell", func(t *testing.T) {
		assert.Assert(t, !entryAfter(time.Unix(1000, 0), leaseRow{}).owner.formerLeasesEnd.IsZero())
	})
}

func TestLeaseRowStatesLongestLeaseInForce(t *testing.T) {
	seenAt := time.Unix(1000, 0)
	t.Run("a former owner's while it may be in force", func(t *testing.T) {
		e := entryAfter(seenAt, leaseRow{})
		assert.Equal(t, e.longestInForce(e.owner.formerLeasesEnd), platformLease)
	})
	t.Run("its own afterwards", func(t *testing.T) {
		e := entryAfter(seenAt, leaseRow{})
		assert.Equal(t, e.longestInForce(e.owner.formerLeasesEnd.Add(1)), RunnerLease(e.cfg))
	})
	t.Run("its own if that is longer", func(t *testing.T) {
		e := entryAfter(seenAt, leaseRow{
			RunnerLeaseMillis: 1000,
		})
		assert.Equal(t, e.longestInForce(seenAt), RunnerLease(e.cfg))
	})
}

func TestRunnerLeaseIsLimited(t *testing.T) {
	lease := func(longest, restartWithin time.Duration) time.Duration {
		return RunnerLease(configurer.Fleet{
			LongestLease:  publisher.Duration(longest),
			RestartWithin: publisher.Duration(restartWithin),
		})
	}
	t.Run("by the platform", func(t *testing.T) {
		assert.Equal(t, lease(6*time.Second, time.Hour), 6*time.Second)
	})
	t.Run("by the time within which tasks must run again", func(t *testing.T) {
		assert.Assert(t, lease(10*time.Second, 9*time.Second) < 9*time.Second-restartOverhead)
	})
}
