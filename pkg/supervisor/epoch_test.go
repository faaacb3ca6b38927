package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

func TestReportStatesEpochOfListing(t *testing.T) {
	lastReport := func(h *coreHarness) framer.Report {
		h.advance(reportInterval)
		return h.reports[len(h.reports)-1]
	}
	newListed := func(t *testing.T) *coreHarness {
		h := newCoreHarness(t)
		h.sync(framer.Sync{
			Epoch: 2,
		})
		h.answerRenewal(100, Listing{})
		h.advance(reportBatchDelay)
		h.answerRenewal(200, Listing{})
		return h
	}
	t.Run("a listing that was requested before a higher epoch arrived proves nothing", func(t *testing.T) {
		h := newCoreHarness(t)
		h.sync(framer.Sync{
			Epoch: 2,
		})
		h.answerRenewal(100, Listing{})
		assert.Equal(t, lastReport(h).ListedEpoch, uint64(0))
	})
	t.Run("the first listing under a higher epoch is reported at once", func(t *testing.T) {
		h := newListed(t)
		h.advance(reportBatchDelay)
		assert.Equal(t, h.reports[len(h.reports)-1].ListedEpoch, uint64(2))
	})
	t.Run("another incarnation has listed nothing", func(t *testing.T) {
		h := newListed(t)
		h.heartbeat("i-1", 6000, false)
		probe := *h.takeAction(isProbe).Renew
		probe.Header.Epoch = 0
		h.core.LeaseRenewed(h.now, probe, Listing{
			ClockMillis:     10,
			StartedAtMillis: 6000,
		}, nil)
		last := lastReport(h)
		assert.Equal(t, last.Runner.Key, h.key)
		assert.Equal(t, last.ListedEpoch, uint64(0))
	})
}

// TestStartFencedByRaisedEpochIsSentAgain guards against a runner that counts as
// refusing starts because the epoch was raised while one was on its way.
func TestStartFencedByRaisedEpochIsSentAgain(t *testing.T) {
	one := ref("a.0.0.0")
	h := newCoreHarness(t)
	h.answerRenewal(1000, Listing{})
	request := framer.Sync{
		Epoch:            1,
		Starts:           starts(one),
		LeaseUntilMillis: 7000,
	}
	h.sync(request)
	call := *h.takeAction(isStart).Start
	request.Epoch = 2
	h.sync(request)
	h.core.StartAnswered(h.now, call, Answer{
		Refusal: RefusalFenced,
	}, nil)
	h.tick()
	assert.Equal(t, h.takeAction(isStart).Start.Header.Epoch, uint64(2))
	assert.Assert(t, !h.reportedNeverStarted(one))
}
