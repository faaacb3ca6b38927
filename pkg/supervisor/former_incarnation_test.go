package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Guards against an end that is acknowledged and was never read, a longer lease and a start,
// by what was sent for a former incarnation under the same id and is read after the change.
func TestWhatIsForFormerIncarnationChangesNothing(t *testing.T) {
	one := ref("a.0.0.0")
	t.Run("a sync", func(t *testing.T) {
		h := newCoreHarness(t)
		h.answerRenewal(90_000, Listing{})
		former := h.key
		h.restart(6000)
		h.core.SyncReceived(h.now, framer.Sync{
			Epoch:            1,
			Runner:           former,
			AckedSequence:    7,
			LeaseUntilMillis: 96_000,
			Starts:           starts(one),
		})
		h.tick()
		h.answerRenewal(20, Listing{})
		h.tick()
		call := *h.takeAction(isRenewal).Renew
		assert.Equal(t, call.AckedSequence, int64(0))
		assert.Equal(t, call.Header.LeaseUntilMillis, int64(0))
		assert.Equal(t, len(h.core.commands), 0)
	})
	t.Run("the answer to a start", func(t *testing.T) {
		h := newStartingHarness(t, one)
		call := *h.takeAction(isStart).Start
		h.restart(6000)
		h.sync(framer.Sync{
			LeaseUntilMillis: 6010,
			Starts:           starts(one),
		})
		h.core.StartAnswered(h.now, call, Answer{
			ClockMillis: 90_000,
		}, nil)
		assert.Equal(t, h.core.clockMillis, int64(10))
		assert.Equal(t, h.core.commands[one].phase, phaseStarting)
	})
	t.Run("a listing", func(t *testing.T) {
		h := newCoreHarness(t)
		h.answerRenewal(90_000, Listing{})
		call := *h.takeAction(isRenewal).Renew
		h.restart(6000)
		h.core.LeaseRenewed(h.now, call, listingOf(h, 90_100, one), nil)
		assert.Equal(t, h.core.clockMillis, int64(10))
		assert.Equal(t, len(h.core.running), 0)
	})
}
