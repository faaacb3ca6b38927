package supervisor

import (
	"testing"
	"time"

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

// TestNoStartAfterUnansweredRenewal guards against a start that reaches a later
// incarnation under the same id, by whose clock its lease is longer than the owner
// waits for.
func TestNoStartAfterUnansweredRenewal(t *testing.T) {
	h := newCoreHarness(t)
	h.answerRenewal(1000, Listing{})
	call := *h.takeAction(isRenewal).Renew
	h.core.LeaseRenewed(h.now, call, Listing{}, errNoAnswer)
	h.sync(framer.Sync{
		Starts:           starts(ref("a.0.0.0")),
		LeaseUntilMillis: 7000,
	})
	assert.Equal(t, h.countOpen(isStart), 0)
	h.advance(renewBackoff)
	assert.Equal(t, h.takeAction(isRenewal).Renew.Wait, time.Duration(0), "the next listing is requested without a wait")
}

// TestRepeatedStartIsStoppedInLaterIncarnation guards against a start that an
// earlier process of the agent sent, and that arrives at a later incarnation of the
// runner after the run has ended (seed 4 of TestStepsUnderFaults).
func TestRepeatedStartIsStoppedInLaterIncarnation(t *testing.T) {
	repeated := starts(ref("a.0.0.0"))
	repeated[0].Repeated = true
	h := newCoreHarness(t)
	h.answerRenewal(1000, Listing{})
	h.sync(framer.Sync{
		Starts:           repeated,
		LeaseUntilMillis: 7000,
	})
	h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{}, nil)
	h.sync(framer.Sync{
		LeaseUntilMillis: 8000,
	})
	h.restart(6000)
	assert.Equal(t, h.takeAction(isStop).Stop.Ref, ref("a.0.0.0"))
}
