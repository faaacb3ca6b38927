package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// A delayed call for an earlier incarnation may grant a runner the longest lease
// of the platform. The owner knows of it, and so must the next one.
func TestLeaseRowStatesLeasesOfDelayedCalls(t *testing.T) {
	h := newOwnerHarness(t)
	e := h.entry
	e.cfg.LongestLease = publisher.Duration(platformLease)
	e.cfg.RestartWithin = configurer.FleetDefaults().RestartWithin
	e.owner.cell = scheduler.NewCell(e.cellConfig())
	report := func(startedAt int64, epoch uint64) {
		e.owner.cell.HandleReport(h.now, "a", framer.Report{
			Runner: framer.RunnerInfo{
				Key: framer.RunnerKey{
					ID:              "i-a",
					StartedAtMillis: startedAt,
				},
				Service: "s",
			},
			ClockMillis: h.now.UnixMilli() - startedAt,
			Listed:      true,
			ListedEpoch: epoch,
		})
	}
	e.owner.formerLeasesEnd = h.now
	h.now = h.now.Add(20 * time.Second)
	// By the clock of the next incarnation, the leases of this one end in an hour.
	report(h.now.Add(-time.Hour).UnixMilli(), e.owner.lease.Epoch())
	report(h.now.UnixMilli()-10, 0)
	assert.Assert(t, e.owner.cell.EpochRaiseDue())
	e.manageCell(h.now)
	h.confirm()
	// A delayed call was carried out just before this listing.
	fencedAt := h.now
	report(h.now.UnixMilli()-10, e.owner.lease.Epoch())
	h.now = h.now.Add(renewInterval)
	e.manageCell(h.now)
	row, err := decodeLease(storer.PartitionedRow{
		Key:     leaseKey(),
		Version: 1,
		Value:   e.owner.write.change.Puts[0].Value,
	})
	assert.NilError(t, err)
	var former formerOwner
	former.observe(5, row)
	seenAt := h.now
	assert.Assert(t, former.delayedLeasesEnd(seenAt)["i-a"].After(fencedAt.Add(platformLease*102/100)),
		"the next owner does not wait for what the call granted: %v", row.DelayedLeaseMillis)
	assert.Assert(t, former.leasesEnd(seenAt, platformLease).Before(fencedAt.Add(platformLease)), "others wait no longer")
}
