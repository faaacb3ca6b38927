package supervisor

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// maxRaiseDelay is how soon best-effort runs have full speed once no
	// latency-critical run is beside them.
	maxRaiseDelay = time.Second
	belowTarget   = testTarget / 4
	overTarget    = 2 * testTarget
)

var errNoResponse = errors.New("no response")

// speedHarness is the harness of a core whose runner has a latency-critical run and a
// best-effort run.
type speedHarness struct {
	*coreHarness
	clock int64
	// applied is the speed limit of each run at the runner.
	applied map[string]int
	calls   int
}

func newSpeedHarness(t *testing.T) *speedHarness {
	t.Helper()
	h := &speedHarness{
		coreHarness: newCoreHarness(t),
		clock:       1000,
		applied:     map[string]int{},
	}
	return h
}

// share sends which runs the owner knows to share the runner.
func (h *speedHarness) share(colocated bool) {
	var s framer.Sync
	if colocated {
		s.Sharing = []framer.Sharing{
			{
				RunRef:       ref("serving"),
				TargetMillis: testTarget,
			},
			{
				RunRef:       ref("filling"),
				Interference: 0.5,
			},
		}
	}
	h.sync(s)
}

// list answers the next lease renewal, when it is due, with these runs.
func (h *speedHarness) list(running ...framer.RunStatus) {
	h.t.Helper()
	for h.countOpen(isRenewal) == 0 {
		h.advance(10 * time.Millisecond)
	}
	h.clock += 500
	h.answerRenewal(h.clock, Listing{
		Running: running,
	})
	h.accept()
}

// accept carries out and answers all calls that set a speed limit.
func (h *speedHarness) accept() {
	h.t.Helper()
	for h.countOpen(isSetSpeed) > 0 {
		call := *h.takeAction(isSetSpeed).SetSpeed
		h.applied[call.Ref.Task] = call.Percent
		h.calls++
		h.core.SpeedSet(h.now, call, Answer{}, nil)
		h.tick()
	}
}

// pass lets time pass while all calls are accepted.
func (h *speedHarness) pass(d time.Duration) {
	h.t.Helper()
	for end := h.now.Add(d); h.now.Before(end); {
		h.advance(50 * time.Millisecond)
		h.accept()
	}
}

// pause lists a latency-critical run over its target until the best-effort run is paused.
func (h *speedHarness) pause() {
	h.t.Helper()
	for range 8 {
		h.list(serving(overTarget), filling())
		h.pass(adjustInterval)
	}
	assert.Equal(h.t, h.applied["filling"], 0)
}

func isSetSpeed(a Action) bool { return a.SetSpeed != nil }

func serving(tailMillis float64) framer.RunStatus {
	return framer.RunStatus{
		RunRef:      ref("serving"),
		Measurement: tailMillis,
	}
}

func filling() framer.RunStatus {
	return framer.RunStatus{
		RunRef: ref("filling"),
	}
}

// Paused work must not hang for good once the latency-critical run beside it is gone.
func TestPausedRunsGetFullSpeedOnceNothingNeedsTheirPause(t *testing.T) {
	paused := func(t *testing.T) *speedHarness {
		h := newSpeedHarness(t)
		h.list()
		h.share(true)
		h.pause()
		return h
	}
	t.Run("the latency-critical run has ended and no owner says so", func(t *testing.T) {
		h := paused(t)
		h.list(filling())
		h.pass(maxRaiseDelay)
		assert.Equal(t, h.applied["filling"], fullSpeedPercent)
	})
	t.Run("the owner no longer knows the latency-critical run", func(t *testing.T) {
		h := paused(t)
		h.share(false)
		h.pass(maxRaiseDelay)
		assert.Equal(t, h.applied["filling"], fullSpeedPercent)
	})
	t.Run("a new owner knows no latency-critical run", func(t *testing.T) {
		h := paused(t)
		h.sync(framer.Sync{
			Epoch: 2,
		})
		h.pass(maxRaiseDelay)
		assert.Equal(t, h.applied["filling"], fullSpeedPercent)
	})
	t.Run("the latency-critical run is still there", func(t *testing.T) {
		h := paused(t)
		h.list(serving(overTarget), filling())
		h.pass(maxRaiseDelay)
		assert.Equal(t, h.applied["filling"], 0)
	})
	t.Run("the latency-critical run may be in a malformed row", func(t *testing.T) {
		h := paused(t)
		for h.countOpen(isRenewal) == 0 {
			h.advance(10 * time.Millisecond)
		}
		h.answerRenewal(h.clock+500, Listing{
			Running:   []framer.RunStatus{filling()},
			Malformed: []error{errNoResponse},
		})
		h.pass(maxRaiseDelay)
		assert.Equal(t, h.applied["filling"], 0)
	})
	t.Run("the paused run is being stopped", func(t *testing.T) {
		h := paused(t)
		h.sync(framer.Sync{
			Stops: []framer.RunRef{ref("filling")},
		})
		h.pass(maxRaiseDelay)
		assert.Equal(t, h.applied["filling"], 0)
	})
}

// A new agent doesn't know which speed limits the former one has set.
func TestNewAgentSetsTheSpeedLimitsOfEarlierRuns(t *testing.T) {
	t.Run("no latency-critical run is beside them", func(t *testing.T) {
		h := newSpeedHarness(t)
		h.list(filling())
		h.share(false)
		h.pass(maxRaiseDelay)
		assert.Equal(t, h.applied["filling"], fullSpeedPercent)
		assert.Equal(t, h.calls, 1)
	})
	t.Run("nothing is raised before the owner has said what runs there", func(t *testing.T) {
		h := newSpeedHarness(t)
		h.list(serving(overTarget), filling())
		h.pass(maxRaiseDelay)
		assert.Equal(t, h.calls, 0)
	})
	t.Run("the latency-critical run beside them is well below its target", func(t *testing.T) {
		h := newSpeedHarness(t)
		h.list(serving(belowTarget), filling())
		h.share(true)
		h.list(serving(belowTarget), filling())
		h.pass(maxRaiseDelay)
		assert.Equal(t, h.applied["filling"], fullSpeedPercent)
	})
	t.Run("the latency-critical run beside them is over its target", func(t *testing.T) {
		h := newSpeedHarness(t)
		h.list(serving(overTarget), filling())
		h.share(true)
		h.list(serving(overTarget), filling())
		h.pass(maxRaiseDelay)
		assert.Equal(t, h.calls, 1)
		assert.Equal(t, h.applied["filling"], 0)
	})
	t.Run("a run that starts later has full speed without a call", func(t *testing.T) {
		h := newSpeedHarness(t)
		h.list()
		h.share(false)
		h.list(filling())
		h.pass(maxRaiseDelay)
		assert.Equal(t, h.calls, 0)
	})
}

// A speed limit must not stay as it was since a call got lost, or was carried out after
// a later one.
func TestSpeedLimitIsSetAgainAfterLostCall(t *testing.T) {
	// raising returns the open call that raises the speed of a run of an earlier agent.
	raising := func(t *testing.T) (*speedHarness, SetSpeedCall) {
		h := newSpeedHarness(t)
		h.clock += 500
		h.answerRenewal(h.clock, Listing{
			Running: []framer.RunStatus{filling()},
		})
		h.share(false)
		return h, *h.takeAction(isSetSpeed).SetSpeed
	}
	t.Run("a call without a response", func(t *testing.T) {
		h, call := raising(t)
		h.core.SpeedSet(h.now, call, Answer{}, errNoResponse)
		h.pass(maxRaiseDelay)
		assert.Equal(t, h.applied["filling"], fullSpeedPercent)
	})
	t.Run("a refused call", func(t *testing.T) {
		h, call := raising(t)
		h.core.SpeedSet(h.now, call, Answer{
			Refusal: RefusalUnhealthy,
		}, nil)
		h.pass(maxRaiseDelay)
		assert.Equal(t, h.applied["filling"], fullSpeedPercent)
	})
	t.Run("a call without a response is carried out late", func(t *testing.T) {
		h, call := raising(t)
		h.core.SpeedSet(h.now, call, Answer{}, errNoResponse)
		h.pass(unconfirmedStartTTL - maxRaiseDelay)
		h.applied["filling"] = 0
		h.pass(2 * maxRaiseDelay)
		assert.Equal(t, h.applied["filling"], fullSpeedPercent)
		h.calls = 0
		h.pass(5 * time.Second)
		assert.Equal(t, h.calls, 0, "no call can arrive any more")
	})
	t.Run("two calls are in flight", func(t *testing.T) {
		h, first := raising(t)
		h.advance(speedRetryInterval)
		second := *h.takeAction(isSetSpeed).SetSpeed
		h.core.SpeedSet(h.now, second, Answer{}, nil)
		h.core.SpeedSet(h.now, first, Answer{}, nil)
		h.pass(speedRetryInterval)
		assert.Equal(t, h.calls, 1, "either one may have been the last")
		h.pass(2 * time.Second)
		assert.Equal(t, h.calls, 1)
	})
	t.Run("the run has ended", func(t *testing.T) {
		h, call := raising(t)
		h.core.SpeedSet(h.now, call, Answer{}, errNoResponse)
		h.list()
		h.pass(maxRaiseDelay)
		assert.Equal(t, h.calls, 0)
	})
}
