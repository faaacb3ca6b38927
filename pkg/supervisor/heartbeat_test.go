package supervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

func TestNewRunnerIncarnation(t *testing.T) {
	one := ref("a.0.0.0")
	h := newCoreHarness(t)
	h.answerRenewal(90_000, Listing{
		Running: []framer.RunStatus{{
			RunRef: one,
		}},
	})
	old := *h.takeAction(isRenewal).Renew
	h.restart(6000)
	t.Run("a listing of the old incarnation is ignored", func(t *testing.T) {
		h.core.LeaseRenewed(h.now, old, Listing{
			ClockMillis:     91_000,
			StartedAtMillis: 5000,
		}, nil)
		assert.Equal(t, h.core.clockMillis, int64(10))
	})
	t.Run("a late heartbeat of the old incarnation is ignored", func(t *testing.T) {
		late := Heartbeat{
			Sequence: 900,
		}
		late.Info.Key = framer.RunnerKey{
			ID:              "i-1",
			StartedAtMillis: 5000,
		}
		assert.Assert(t, !h.core.Heartbeat(h.now, late))
	})
	t.Run("no run is reported as running", func(t *testing.T) {
		h.advance(reportInterval)
		assert.Equal(t, len(h.reports[len(h.reports)-1].Running), 0)
	})
}

// The time of day may be set back between two incarnations of a runner. The
// later one must not be ignored for good because its start time is lower.
func TestNewRunnerIncarnationWithLowerStartTime(t *testing.T) {
	const lower = 4000
	restarted := func(t *testing.T) *coreHarness {
		h := newCoreHarness(t)
		h.answerRenewal(90_000, Listing{})
		h.advance(renewBackoff)
		return h
	}
	current := func(h *coreHarness) int64 {
		runner, _ := h.core.Runner()
		return runner.Key.StartedAtMillis
	}
	t.Run("is ignored until it answers a call", func(t *testing.T) {
		h := restarted(t)
		h.heartbeat("i-1", lower, false)
		assert.Equal(t, current(h), int64(5000))
	})
	t.Run("is accepted once it answers a call", func(t *testing.T) {
		h := restarted(t)
		h.key.StartedAtMillis = lower
		h.answerRenewal(10, Listing{})
		h.restart(lower)
		assert.Equal(t, current(h), int64(lower))
		h.advance(renewBackoff)
		h.answerRenewal(200, Listing{})
		h.advance(reportInterval)
		last := h.reports[len(h.reports)-1]
		assert.Equal(t, last.Runner.Key, h.key)
		assert.Assert(t, last.Listed)
	})
	t.Run("is no proof of any other one", func(t *testing.T) {
		h := restarted(t)
		h.key.StartedAtMillis = lower
		h.answerRenewal(10, Listing{})
		h.heartbeat("i-1", lower+1, false)
		assert.Equal(t, current(h), int64(5000))
	})
}

// The notice that a runner left names only its id. One that arrives late must
// not keep a runner that uses the same id out of use for good.
func TestLateNoticeThatRunnerLeft(t *testing.T) {
	h := newCoreHarness(t)
	h.answerRenewal(1000, Listing{})
	h.heartbeat("i-1", 5000, true)
	h.core.RunnerLeft(h.now, "i-1")
	h.tick()
	assert.Assert(t, !h.reports[len(h.reports)-1].Runner.Left, "it may still answer")
	for range maxUnansweredRenewals {
		h.core.LeaseRenewed(h.now, *h.takeAction(isRenewal).Renew, Listing{}, errNoAnswer)
		h.advance(renewBackoff)
	}
	assert.Assert(t, h.reports[len(h.reports)-1].Runner.Left)
	assert.Equal(t, h.countOpen(isRenewal), 0)
	h.heartbeat("i-1", 5000, false)
	last := h.reports[len(h.reports)-1]
	assert.Assert(t, !last.Runner.Left && !last.Runner.Draining)
	assert.Equal(t, h.countOpen(isRenewal), 1, "it is listed again")
}

// A runner that refuses the stops which its agent sends it after a restart must
// not stay unknown to the owner for ever.
func TestRestartedRunnerThatRefusesStopsIsReported(t *testing.T) {
	one := ref("a.0.0.0")
	h := newStartingHarness(t, one)
	h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{}, errNoAnswer)
	h.restart(6000)
	reported := func() bool { return h.reports[len(h.reports)-1].Runner.Key == h.key }
	h.refuseStops(unconfirmedStartTTL - time.Second)
	assert.Assert(t, !reported(), "the start to the earlier incarnation may still arrive")
	h.refuseStops(2 * time.Second)
	assert.Assert(t, reported())
	assert.Equal(t, h.countOpen(isStop), 0)
}

// A runner whose time of day stepped back before its restart must not be ignored
// for as long as it runs.
func TestRunnerWithEarlierStartTimeIsAccepted(t *testing.T) {
	heartbeat := func(h *coreHarness, id string, startedAt, sequence int64) bool {
		return h.core.Heartbeat(h.now, Heartbeat{
			Info: framer.RunnerInfo{
				Key: framer.RunnerKey{
					ID:              id,
					StartedAtMillis: startedAt,
				},
			},
			Sequence: sequence,
		})
	}
	t.Run("once the known incarnation is silent and it sends heartbeats again and again", func(t *testing.T) {
		h := newCoreHarness(t)
		h.answerRenewal(1000, Listing{})
		accepted := time.Duration(0)
		for i := range int64(20) {
			if heartbeat(h, "i-1", 4000, i+1) {
				break
			}
			accepted += 500 * time.Millisecond
			h.advance(500 * time.Millisecond)
		}
		assert.Equal(t, accepted, maxHeartbeatSilence)
		h.tick()
		h.answerProbe(Listing{
			ClockMillis:     10,
			StartedAtMillis: 4000,
		}, nil)
		runner, _ := h.core.Runner()
		assert.Equal(t, runner.Key.StartedAtMillis, int64(4000))
	})
	t.Run("but not while the known incarnation sends heartbeats", func(t *testing.T) {
		h := newCoreHarness(t)
		h.answerRenewal(1000, Listing{})
		for i := range int64(20) {
			assert.Assert(t, !heartbeat(h, "i-1", 4000, i+1))
			h.advance(500 * time.Millisecond)
			h.heartbeat("i-1", 5000, false)
		}
	})
	t.Run("nor after a few late heartbeats, or repeated ones", func(t *testing.T) {
		h := newCoreHarness(t)
		h.answerRenewal(1000, Listing{})
		h.advance(10 * time.Second)
		for range 10 {
			assert.Assert(t, !heartbeat(h, "i-1", 4000, 7))
			assert.Assert(t, !heartbeat(h, "i-0", 3000, 9))
		}
	})
}
