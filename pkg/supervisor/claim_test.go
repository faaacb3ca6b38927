package supervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// newRunningHarness returns the harness of a core whose runner has a lease and a run.
func newRunningHarness(t *testing.T) (*coreHarness, Listing) {
	t.Helper()
	h := newCoreHarness(t)
	listing := Listing{
		Running: []framer.RunStatus{{
			RunRef: ref("a.0.0.0"),
		}},
	}
	h.answerRenewal(1000, listing)
	h.sync(framer.Sync{
		LeaseUntilMillis: 7000,
	})
	return h, listing
}

// foreign sends a heartbeat that another writer makes up of the runner's own ones.
func (h *coreHarness) foreign(change func(b *Heartbeat)) {
	b := Heartbeat{
		Info:     h.core.runner,
		Sequence: h.core.heartbeatSequence + 1,
	}
	change(&b)
	h.core.Heartbeat(h.now, b)
	h.tick()
}

func assertKnown(t *testing.T, h *coreHarness) {
	t.Helper()
	runner, known := h.core.Runner()
	assert.Assert(t, known)
	assert.Equal(t, runner.Key, h.key)
	assert.Equal(t, runner.Service, "polls")
}

// Guards against a task that runs twice because a heartbeat of another writer takes the
// place of the runner beside the agent, whose runs are at work.
func TestHeartbeatOfAnotherWriterReplacesNoRunner(t *testing.T) {
	h, listing := newRunningHarness(t)
	elsewhere := func(b *Heartbeat) {
		b.Info.Key = framer.RunnerKey{
			ID:              "i-other",
			StartedAtMillis: 9000,
		}
		b.Info.Service = "elsewhere"
		b.Sequence = 1
	}
	t.Run("while nobody has answered for it", func(t *testing.T) {
		h.foreign(elsewhere)
		assertKnown(t, h)
		h.advance(reportInterval)
		last := h.reports[len(h.reports)-1]
		assert.Equal(t, last.Runner.Key, h.key)
		assert.Equal(t, len(last.Running), 1)
	})
	t.Run("nor after the runner denied that it is the other one", func(t *testing.T) {
		h.answerProbe(Listing{
			Refusal: RefusalWrongIncarnation,
		}, nil)
		assertKnown(t, h)
		assert.Equal(t, h.core.Counts.RefutedClaims, int64(1))
		assert.Equal(t, h.countOpen(isProbe), 0)
	})
	t.Run("and its lease is renewed meanwhile", func(t *testing.T) {
		h.foreign(elsewhere)
		h.answerRenewal(2000, listing)
		renewal := *h.takeAction(func(a Action) bool { return isRenewal(a) && !isProbe(a) }).Renew
		assert.Equal(t, renewal.Header.Runner, h.key)
		assert.Equal(t, renewal.Header.LeaseUntilMillis, int64(7000))
	})
	t.Run("nor if it has the id of the runner and a later start time", func(t *testing.T) {
		h, _ := newRunningHarness(t)
		h.foreign(func(b *Heartbeat) { b.Info.Key.StartedAtMillis = 9000 })
		h.answerProbe(Listing{
			ClockMillis:     1100,
			StartedAtMillis: 5000,
		}, nil)
		assertKnown(t, h)
	})
	t.Run("nor if it names the runner with another service", func(t *testing.T) {
		h, _ := newRunningHarness(t)
		h.foreign(func(b *Heartbeat) {
			b.Info.Service = "elsewhere"
			b.Sequence = 1000
		})
		assertKnown(t, h)
		h.advance(time.Second)
		h.heartbeat("i-1", 5000, true)
		runner, _ := h.core.Runner()
		assert.Assert(t, runner.Draining, "the runner's own heartbeats hold")
	})
}

// Guards against a sound runner that is ignored since another writer's heartbeat came
// first, or since a delayed one contradicts it.
func TestClaimsDelayNoSoundRunner(t *testing.T) {
	t.Run("a restarted runner is known once it answers", func(t *testing.T) {
		h, _ := newRunningHarness(t)
		h.restart(9000)
		assertKnown(t, h)
		assert.Equal(t, len(h.core.running), 0)
	})
	t.Run("a probe without an answer is sent again", func(t *testing.T) {
		h, _ := newRunningHarness(t)
		h.heartbeat("i-1", 9000, false)
		h.answerProbe(Listing{}, errNoAnswer)
		h.advance(renewBackoff)
		h.answerProbe(Listing{
			StartedAtMillis: 9000,
		}, nil)
		assertKnown(t, h)
	})
	t.Run("one that is fenced is sent again with the owner's epoch", func(t *testing.T) {
		h := newCoreHarness(t)
		h.answerProbe(Listing{
			Refusal: RefusalFenced,
		}, nil)
		h.sync(framer.Sync{
			Epoch: 4,
		})
		assert.Equal(t, h.takeAction(isProbe).Renew.Header.Epoch, uint64(4))
	})
	t.Run("a claim of another writer takes the place of none", func(t *testing.T) {
		h, _ := newRunningHarness(t)
		own := Heartbeat{
			Info:     h.core.runner,
			Sequence: 1,
		}
		own.Info.Key.StartedAtMillis = 8000
		h.core.Heartbeat(h.now, own)
		for i := range int64(3) {
			h.foreign(func(b *Heartbeat) { b.Info.Key.StartedAtMillis = 9000 + i })
		}
		for range 4 {
			h.answerProbe(Listing{
				StartedAtMillis: 8000,
			}, nil)
		}
		h.key = own.Info.Key
		assertKnown(t, h)
		assert.Equal(t, h.core.Counts.RefutedClaims, int64(3))
	})
	t.Run("nor do many, and few of them are kept", func(t *testing.T) {
		h, _ := newRunningHarness(t)
		for i := range int64(3 * maxClaims) {
			h.foreign(func(b *Heartbeat) { b.Info.Key.StartedAtMillis = 9000 + i })
		}
		assert.Equal(t, len(h.core.claims), maxClaims)
		assertKnown(t, h)
	})
	t.Run("a description that is contradicted for long is replaced", func(t *testing.T) {
		h := newCoreHarness(t)
		h.answerRenewal(1000, Listing{})
		own := Heartbeat{
			Info:     h.core.runner,
			Sequence: 1,
		}
		h.core.runner.Service = "elsewhere"
		for range minHeartbeats {
			h.advance(maxHeartbeatSilence / 2)
			own.Sequence++
			h.core.Heartbeat(h.now, own)
		}
		assertKnown(t, h)
	})
}

// Guards against a start that a later incarnation carries out because the agent sent it
// while that one had already named itself.
func TestNoStartWhileIncarnationIsClaimed(t *testing.T) {
	h, _ := newRunningHarness(t)
	h.heartbeat("i-1", 9000, false)
	h.key.StartedAtMillis = 5000
	h.sync(framer.Sync{
		Starts:           starts(ref("b.0.0.0")),
		LeaseUntilMillis: 7000,
	})
	assert.Equal(t, h.countOpen(isStart), 0)
	h.answerProbe(Listing{
		StartedAtMillis: 5000,
	}, nil)
	assert.Equal(t, h.countOpen(isStart), 1)
}

// Guards against an agent that probes for ever for an incarnation that is gone.
func TestClaimWithoutHeartbeatsIsDropped(t *testing.T) {
	h, _ := newRunningHarness(t)
	h.heartbeat("i-1", 9000, false)
	h.advance(maxHeartbeatSilence)
	h.answerProbe(Listing{}, errNoAnswer)
	h.advance(renewBackoff)
	assert.Equal(t, h.countOpen(isProbe), 0)
	assert.Assert(t, !h.core.claimedAgain())
}
