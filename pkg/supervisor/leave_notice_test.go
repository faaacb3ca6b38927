package supervisor

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// The notice that a runner leaves names its id alone. The owner takes the runs of
// a runner that left for ended, so a delayed notice of an earlier incarnation must
// not be taken for one of the present incarnation, which is not draining.
func TestDelayedLeaveNoticeOfEarlierIncarnationIsIgnored(t *testing.T) {
	h := newCoreHarness(t)
	h.answerRenewal(1000, Listing{})
	h.heartbeat("i-1", 5000, true)
	h.restart(6000)
	h.core.RunnerLeft(h.now, "i-1")
	h.advance(reportInterval)
	assert.Assert(t, !h.reports[len(h.reports)-1].Runner.Left)
	// It is cut off, which is no reason to take it for gone either.
	for range maxUnansweredRenewals + 1 {
		if h.countOpen(isRenewal) > 0 {
			h.core.LeaseRenewed(h.now, *h.takeAction(isRenewal).Renew, Listing{}, errors.New("connection refused"))
		}
		h.advance(renewBackoff)
	}
	h.advance(reportInterval)
	assert.Assert(t, !h.reports[len(h.reports)-1].Runner.Left)
}

// Guards against a task that runs twice: the notice of an earlier incarnation arrived while
// the present one, under its id, was draining as well. The owner takes the runs of a runner
// that left for ended a second later.
func TestDelayedLeaveNoticeEndsNoDrainingIncarnation(t *testing.T) {
	draining := func(t *testing.T) *coreHarness {
		h := newCoreHarness(t)
		h.answerRenewal(1000, Listing{})
		h.heartbeat("i-1", 5000, true)
		h.restart(6000)
		h.heartbeat("i-1", 6000, true)
		h.core.RunnerLeft(h.now, "i-1")
		h.tick()
		return h
	}
	left := func(h *coreHarness) bool {
		h.advance(reportInterval)
		return h.reports[len(h.reports)-1].Runner.Left
	}
	t.Run("that answers", func(t *testing.T) {
		h := draining(t)
		for clock := int64(100); clock < 2000; clock += 100 {
			if h.countOpen(isRenewal) > 0 {
				h.answerRenewal(clock, Listing{})
			}
			h.advance(100 * time.Millisecond)
		}
		assert.Assert(t, !left(h))
	})
	t.Run("but one that answers no more", func(t *testing.T) {
		h := draining(t)
		for range 3 {
			if h.countOpen(isRenewal) > 0 {
				h.core.LeaseRenewed(h.now, *h.takeAction(isRenewal).Renew, Listing{}, errors.New("connection refused"))
			}
			h.advance(renewBackoff)
		}
		assert.Assert(t, left(h))
	})
}
