package supervisor

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/clocker"
	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// An agent that is cut off from the owner holds a start, or repeats its call: it must not
// carry it out once the owner may know of an order to drain the failure domain.
func TestCutOffAgentCarriesOutNoOldStart(t *testing.T) {
	newHarness := func(t *testing.T) *coreHarness {
		h := newCoreHarness(t)
		h.answerRenewal(1000, Listing{})
		h.sync(framer.Sync{
			Starts:            starts(ref("a")),
			StartsUntilMillis: 2500,
			LeaseUntilMillis:  20_000,
		})
		return h
	}
	fail := func(h *coreHarness) {
		h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{}, errors.New("no response"))
	}
	// list lets the runner list nothing, by a clock that started with the harness.
	list := func(h *coreHarness, late time.Duration) {
		if h.countOpen(isRenewal) > 0 {
			h.answerRenewal(1000+(h.now.Sub(time.Unix(1000, 0))-late).Milliseconds(), Listing{})
		}
		h.heartbeat("i-1", 5000, false)
	}
	t.Run("it repeats the call until then", func(t *testing.T) {
		h := newHarness(t)
		calls := 0
		for h.now.Before(time.Unix(1004, 0)) {
			for h.countOpen(isStart) > 0 {
				fail(h)
				calls++
				assert.Assert(t, h.now.Before(time.Unix(1001, 600_000_000)), "called at %s", h.now)
			}
			h.advance(50 * time.Millisecond)
			list(h, 0)
		}
		assert.Assert(t, calls > 10, "%d calls", calls)
		h.sync(framer.Sync{
			Starts:            starts(ref("a")),
			StartsUntilMillis: 6000,
			LeaseUntilMillis:  20_000,
		})
		assert.Equal(t, h.countOpen(isStart), 1, "the owner requests it again")
	})
	t.Run("its process is stopped, and a listing waits unread meanwhile", func(t *testing.T) {
		h := newHarness(t)
		fail(h)
		h.advance(10 * time.Millisecond)
		h.now = h.now.Add(2 * time.Second)
		list(h, 1400*time.Millisecond)
		h.advance(retryBackoff)
		assert.Equal(t, h.countOpen(isStart), 0)
	})
}

// The agent's process is stopped between the decision to call the runner and the call.
func TestStartThatWasDecidedOnLongAgoIsNotSent(t *testing.T) {
	calls := 0
	a := NewAgent(configurer.Fleet{}, Dependencies{
		Log:   hclog.NewNullLogger(),
		Clock: clocker.New(),
		Runner: Runner{
			Start: func(context.Context, CallHeader, framer.RunStart) (Answer, error) {
				calls++
				return Answer{}, nil
			},
		},
	})
	decidedAt := time.Unix(1000, 0)
	for _, late := range []time.Duration{maxStartDelay, 6 * time.Second} {
		a.loop.Now = func() time.Time { return decidedAt.Add(late) }
		_, err := a.start(decidedAt, StartCall{})
		var notSent *NotSentError
		assert.Equal(t, errors.As(err, &notSent), late > maxStartDelay)
	}
	assert.Equal(t, calls, 1)
}
