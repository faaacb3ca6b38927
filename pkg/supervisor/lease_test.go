package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
)

// assertNextRenewal checks which lease and which acknowledgement the next renewal carries.
func assertNextRenewal(t *testing.T, h *coreHarness, untilMillis, acked int64) {
	t.Helper()
	call := h.takeAction(isRenewal).Renew
	h.open = append(h.open, Action{
		Renew: call,
	})
	assert.Equal(t, call.Header.LeaseUntilMillis, untilMillis)
	assert.Equal(t, call.AckedSequence, acked)
}

// newExpiredHarness returns a harness whose runner answers again after the end of its lease,
// and is granted another one and an acknowledgement by the next owner.
func newExpiredHarness(t *testing.T) *coreHarness {
	t.Helper()
	h := newCoreHarness(t)
	h.answerRenewal(1000, Listing{})
	h.sync(framer.Sync{
		LeaseUntilMillis: 7000,
	})
	h.advance(renewBackoff)
	h.answerRenewal(9000, Listing{})
	h.sync(framer.Sync{
		Epoch:            2,
		LeaseUntilMillis: 15_000,
		AckedSequence:    3,
	})
	h.advance(renewBackoff)
	return h
}

// TestExpiredLeaseIsRenewedOnlyOnceTheRunnerHasNoticed guards against the incident TWICE: a
// process that was stopped carries out the calls that wait for it before its timers, so
// that a renewal may come before the end of the lease has taken effect. An owner that has
// just taken over knows nothing of the runs that the former one released.
func TestExpiredLeaseIsRenewedOnlyOnceTheRunnerHasNoticed(t *testing.T) {
	t.Run("at first it carries neither", func(t *testing.T) {
		assertNextRenewal(t, newExpiredHarness(t), 7000, 0)
	})
	t.Run("nor after another reading that is too early", func(t *testing.T) {
		h := newExpiredHarness(t)
		h.answerRenewal(9000+leaser.SettleMillis-1, Listing{})
		h.advance(renewBackoff)
		assertNextRenewal(t, h, 7000, 0)
	})
	t.Run("it carries the lease once the runner has continued without one, and then the acknowledgement", func(t *testing.T) {
		h := newExpiredHarness(t)
		h.answerRenewal(9000+leaser.SettleMillis, Listing{})
		h.advance(renewBackoff)
		assertNextRenewal(t, h, 15_000, 0)
		h.answerRenewal(9500, Listing{})
		h.tick()
		assertNextRenewal(t, h, 15_000, 3)
	})
	t.Run("each reading is reported meanwhile", func(t *testing.T) {
		h := newExpiredHarness(t)
		before := len(h.reports)
		h.answerRenewal(9050, Listing{})
		h.advance(reportBatchDelay)
		assert.Equal(t, len(h.reports), before+1)
		assert.Equal(t, h.reports[before].ClockMillis, int64(9050))
		assert.Equal(t, h.reports[before].LeaseUntilMillis, int64(15_000))
	})
	t.Run("finished runs that the expiry follows are reported as such", func(t *testing.T) {
		h := newExpiredHarness(t)
		h.answerRenewal(9000+leaser.SettleMillis, Listing{
			Finished: []framer.FinishedRun{{
				RunRef:   ref("a.0.0.0"),
				Sequence: 4,
				Reason:   framer.FinishDone,
			}},
		})
		h.advance(reportInterval)
		h.answerRenewal(9700, Listing{})
		h.advance(reportInterval)
		assert.Equal(t, h.reports[len(h.reports)-1].ExpiredSequence, int64(4))
	})
	t.Run("without another lease, an acknowledgement that waits makes no renewal come early", func(t *testing.T) {
		h := newCoreHarness(t)
		h.answerRenewal(1000, Listing{})
		h.sync(framer.Sync{
			LeaseUntilMillis: 7000,
			AckedSequence:    3,
		})
		h.advance(renewBackoff)
		h.answerRenewal(7001+expiryPollMillis, Listing{})
		h.advance(renewBackoff)
		h.answerRenewal(7002+2*expiryPollMillis, Listing{
			Finished: []framer.FinishedRun{{
				RunRef:   ref("a.0.0.0"),
				Sequence: 4,
				Reason:   framer.FinishDone,
			}},
		})
		h.advance(renewBackoff / 2)
		assert.Equal(t, h.countOpen(isRenewal), 0)
	})
	t.Run("a lease that has not expired is renewed at once", func(t *testing.T) {
		h := newCoreHarness(t)
		h.answerRenewal(1000, Listing{})
		h.sync(framer.Sync{
			LeaseUntilMillis: 7000,
		})
		h.sync(framer.Sync{
			LeaseUntilMillis: 8000,
			AckedSequence:    2,
		})
		h.advance(renewBackoff)
		h.answerRenewal(1100, Listing{})
		h.advance(renewBackoff)
		assertNextRenewal(t, h, 8000, 0)
		h.answerRenewal(1200, Listing{})
		h.tick()
		assertNextRenewal(t, h, 8000, 2)
	})
}
