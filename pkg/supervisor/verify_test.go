package supervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

func isVerification(a Action) bool { return a.Renew != nil && a.Renew.Purpose == PurposeVerify }

// newAcceptingHarness returns the harness of a core with an open renewal, whose runner
// has accepted the start of a run.
func newAcceptingHarness(t *testing.T) (*coreHarness, framer.RunRef) {
	t.Helper()
	one := ref("a.0.0.0")
	h := newStartingHarness(t, one)
	assert.Equal(t, h.countOpen(isRenewal), 1)
	h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{
		ClockMillis: 1002,
	}, nil)
	h.tick()
	return h, one
}

func listingOf(h *coreHarness, clockMillis int64, refs ...framer.RunRef) Listing {
	l := Listing{
		ClockMillis:     clockMillis,
		StartedAtMillis: h.key.StartedAtMillis,
	}
	for _, run := range refs {
		l.Running = append(l.Running, framer.RunStatus{
			RunRef: run,
		})
	}
	return l
}

// Guards against a long-running task that is down for the longest lease that the platform
// permits, since its runner was lost before it next listed its runs: the open request for a
// listing is answered up to a second after the start.
func TestAcceptedStartIsListedAtOnce(t *testing.T) {
	running := func(h *coreHarness) []framer.RunStatus { return h.reports[len(h.reports)-1].Running }
	t.Run("beside the open renewal", func(t *testing.T) {
		h, one := newAcceptingHarness(t)
		call := *h.takeAction(isVerification).Renew
		assert.Equal(t, call.Wait, time.Duration(0))
		assert.Equal(t, call.Header.LeaseUntilMillis, int64(7000))
		h.core.LeaseRenewed(h.now, call, listingOf(h, 1003, one), nil)
		h.advance(reportBatchDelay)
		assert.Equal(t, len(running(h)), 1)
	})
	t.Run("once for several starts", func(t *testing.T) {
		one, two := ref("a.0.0.0"), ref("a.0.0.1")
		h := newStartingHarness(t, one, two)
		for range 2 {
			h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{}, nil)
		}
		h.tick()
		assert.Equal(t, h.countOpen(isVerification), 1)
		h.core.LeaseRenewed(h.now, *h.takeAction(isVerification).Renew, listingOf(h, 1003, one, two), nil)
		h.tick()
		assert.Equal(t, h.countOpen(isVerification), 0)
	})
	t.Run("again if a start is accepted meanwhile", func(t *testing.T) {
		one, two := ref("a.0.0.0"), ref("a.0.0.1")
		h := newStartingHarness(t, one, two)
		h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{}, nil)
		h.tick()
		h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{}, nil)
		h.tick()
		assert.Equal(t, h.countOpen(isVerification), 1)
		h.core.LeaseRenewed(h.now, *h.takeAction(isVerification).Renew, listingOf(h, 1003, one), nil)
		h.tick()
		assert.Equal(t, h.countOpen(isVerification), 1)
	})
	t.Run("and the accepted start is reported if that fails", func(t *testing.T) {
		h, one := newAcceptingHarness(t)
		h.core.LeaseRenewed(h.now, *h.takeAction(isVerification).Renew, Listing{}, errNoAnswer)
		h.advance(reportBatchDelay)
		last := h.reports[len(h.reports)-1]
		assert.DeepEqual(t, last.Started, []framer.RunRef{one})
		assert.Equal(t, len(last.Running), 0)
		assert.Assert(t, !last.Unanswered)
	})
}

// Guards against runs that are taken for missing, or for never started, since two listings
// are on their way and the earlier one arrives last.
func TestEarlierListingChangesNothing(t *testing.T) {
	h, one := newAcceptingHarness(t)
	h.core.LeaseRenewed(h.now, *h.takeAction(isVerification).Renew, listingOf(h, 1003, one), nil)
	h.core.LeaseRenewed(h.now, *h.takeAction(isRenewal).Renew, listingOf(h, 1001), nil)
	assert.Equal(t, len(h.core.running), 1)
	t.Run("but is followed by the next renewal", func(t *testing.T) {
		h.tick()
		assert.Equal(t, h.countOpen(isRenewal), 1)
	})
	t.Run("and one that was requested before a stop proves nothing", func(t *testing.T) {
		h, one := newAcceptingHarness(t)
		early := *h.takeAction(isVerification).Renew
		h.sync(framer.Sync{
			Stops: []framer.RunRef{one},
		})
		h.core.StopAnswered(h.now, *h.takeAction(isStop).Stop, Answer{}, nil)
		h.core.LeaseRenewed(h.now, *h.takeAction(isRenewal).Renew, listingOf(h, 1005, one), nil)
		h.tick()
		assert.Equal(t, h.countOpen(isRenewal), 1, "a listing is requested after the stop")
		h.core.LeaseRenewed(h.now, early, listingOf(h, 1006), nil)
		h.advance(reportInterval)
		assert.Assert(t, !h.reportedNeverStarted(one))
	})
}
