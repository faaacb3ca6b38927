package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// The row changes when the first attempt of a write is carried out. If its answer
// is lost, a later attempt only learns that. A new owner counts the leases of the
// former one from the change, so the former one must not act for longer.
func TestLeaseOfResentWriteCountsFromFirstAttempt(t *testing.T) {
	h := newOwnerHarness(t)
	h.now = h.now.Add(renewInterval)
	h.entry.manageCell(h.now)
	firstSentAt := h.now
	w := h.entry.owner.write
	assert.Assert(t, w != nil)
	h.answer(&storer.UnavailableError{
		MayHaveTakenEffect: true,
	})
	h.now = h.now.Add(time.Second)
	h.entry.manageCell(h.now)
	assert.Equal(t, w.sentAt, h.now, "the write is sent again")
	h.version++
	h.answer(&storer.VersionMismatchError{
		Rows: []storer.PartitionedRow{{
			Key:     leaseKey(),
			Version: h.version,
			Value:   w.change.Puts[0].Value,
		}},
	})
	assert.Assert(t, h.entry.owner.lease.Held())
	assert.Assert(t, h.entry.owner.lease.Valid(firstSentAt.Add(leaseDuration-1)))
	assert.Assert(t, !h.entry.owner.lease.Valid(firstSentAt.Add(leaseDuration)),
		"the owner may still grant leases that a new owner does not wait for")
}
