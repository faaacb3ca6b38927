package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// TestUnansweringRunnerIsReportedAtOnce guards against work that is placed on a
// lost runner for as long as its last listing counts as recent.
func TestUnansweringRunnerIsReportedAtOnce(t *testing.T) {
	failRenewal := func(h *coreHarness) {
		call := *h.takeAction(isRenewal).Renew
		h.core.LeaseRenewed(h.now, call, Listing{}, errNoAnswer)
		h.advance(renewBackoff)
	}
	newListed := func(t *testing.T) *coreHarness {
		h := newCoreHarness(t)
		h.answerRenewal(100, Listing{})
		h.advance(reportBatchDelay)
		return h
	}
	last := func(h *coreHarness) framer.Report { return h.reports[len(h.reports)-1] }
	t.Run("one lost response is not reported", func(t *testing.T) {
		h := newListed(t)
		failRenewal(h)
		h.advance(reportInterval)
		assert.Assert(t, !last(h).Unanswered)
	})
	t.Run("a second one is, before the next report is due", func(t *testing.T) {
		h := newListed(t)
		failRenewal(h)
		failRenewal(h)
		assert.Assert(t, last(h).Unanswered)
	})
	t.Run("a response is reported at once", func(t *testing.T) {
		h := newListed(t)
		failRenewal(h)
		failRenewal(h)
		h.answerRenewal(200, Listing{})
		h.advance(reportBatchDelay)
		assert.Assert(t, !last(h).Unanswered)
	})
}
