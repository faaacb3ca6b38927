package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// The owner drops all runs of an incarnation that was replaced, so a delayed
// heartbeat of one that was itself replaced must not replace the present one.
func TestDelayedHeartbeatOfReplacedIncarnationIsIgnored(t *testing.T) {
	const lower = 4000
	h := newCoreHarness(t)
	replaced := h.key
	h.answerRenewal(90_000, Listing{})
	h.advance(renewBackoff)
	h.key.StartedAtMillis = lower
	h.answerRenewal(10, Listing{})
	h.restart(lower)
	accepted := h.core.Heartbeat(h.now, Heartbeat{
		Info: framer.RunnerInfo{
			Key: replaced,
		},
		Sequence: 1000,
	})
	runner, _ := h.core.Runner()
	assert.Equal(t, runner.Key.StartedAtMillis, int64(lower))
	assert.Assert(t, !accepted)
}

// Guards against a task that runs twice: a start reached a later incarnation, which answered
// the next call, and whose heartbeats were late. The agent still started runs there and
// reported on the former one, so that the owner took it to watch the run and waited for the
// former one's lease only.
func TestIncarnationThatAnotherAnsweredForIsNotUsed(t *testing.T) {
	one, two := ref("a.0.0.0"), ref("b.0.0.0")
	h := newStartingHarness(t, one)
	h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{}, nil)
	h.tick()
	replaced := h.key
	h.key.StartedAtMillis++
	h.answerRenewal(10, Listing{
		Running: []framer.RunStatus{{
			RunRef: one,
		}},
	})
	h.key = replaced
	reports := len(h.reports)
	h.sync(framer.Sync{
		Starts:           starts(one, two),
		LeaseUntilMillis: 7000,
	})
	h.advance(reportInterval)
	assert.Equal(t, h.countOpen(isStart), 0)
	assert.Equal(t, len(h.reports), reports)
	h.restart(replaced.StartedAtMillis + 1)
	assert.Equal(t, h.reports[len(h.reports)-1].Runner.Key, h.key)
}

// Guards against a runner that is never reported again because one answer came from, or was
// read as that of, another incarnation.
func TestIncarnationThatAnswersAgainIsReported(t *testing.T) {
	h := newCoreHarness(t)
	h.answerRenewal(1000, Listing{})
	h.advance(renewBackoff)
	known := h.key
	h.key.StartedAtMillis++
	h.answerRenewal(10, Listing{})
	h.key = known
	h.advance(reportInterval)
	reports := len(h.reports)
	h.answerRenewal(1700, Listing{})
	h.advance(reportInterval)
	assert.Assert(t, len(h.reports) > reports)
}

// Guards against an end that is acknowledged and was never read: the acknowledgement for a
// former incarnation was sent again and again to the one that had answered in its place,
// which numbers its ends from the start, and so was its lease.
func TestIncarnationThatAnotherAnsweredForIsOnlyLookedAt(t *testing.T) {
	h := newCoreHarness(t)
	h.answerRenewal(90_000, Listing{})
	h.sync(framer.Sync{
		AckedSequence:    7,
		LeaseUntilMillis: 96_000,
	})
	h.advance(renewBackoff)
	h.core.LeaseRenewed(h.now, *h.takeAction(isRenewal).Renew, Listing{}, errNoAnswer)
	h.advance(renewBackoff)
	h.key.StartedAtMillis++
	h.answerRenewal(10, Listing{})
	h.advance(renewBackoff)
	call := *h.takeAction(isRenewal).Renew
	assert.Equal(t, call.AckedSequence, int64(0))
	assert.Equal(t, call.Header.LeaseUntilMillis, int64(0))
}
