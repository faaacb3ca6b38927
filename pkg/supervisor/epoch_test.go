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
		assert.Equal(t, lastReport(h).ListedEpoch, uint64(0))
	})
}
