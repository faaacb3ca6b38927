package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// A runner may list its runs and refuse starts and stops. A start that can no
// longer arrive, and whose run is in no listing, must be given back in the end.
func TestStartOnRunnerThatRefusesStopsIsGivenBack(t *testing.T) {
	one := ref("a.0.0.0")
	h := newCoreHarness(t)
	clock := int64(1000)
	h.answerRenewal(clock, Listing{})
	h.sync(framer.Sync{
		Starts:           starts(one),
		LeaseUntilMillis: 7000,
	})
	h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{}, errNoAnswer)
	given := false
	for end := h.now.Add(2 * unconfirmedStartTTL); h.now.Before(end) && !given; {
		h.advance(retryBackoff)
		clock += retryBackoff.Milliseconds()
		if h.countOpen(isStart) > 0 {
			h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{
				Refusal: RefusalUnhealthy,
			}, nil)
		}
		if h.countOpen(isStop) > 0 {
			h.core.StopAnswered(h.now, *h.takeAction(isStop).Stop, Answer{
				Refusal: RefusalUnhealthy,
			}, nil)
		}
		if h.countOpen(isRenewal) > 0 {
			h.answerRenewal(clock, Listing{})
		}
		h.sync(framer.Sync{
			Starts: []framer.RunStart{{
				RunRef:   one,
				Repeated: true,
			}},
			LeaseUntilMillis: clock + 6000,
		})
		for _, e := range h.reports[len(h.reports)-1].Finished {
			given = given || e.RunRef == one && e.Reason == framer.FinishNeverStarted
		}
	}
	assert.Assert(t, given, "the task still waits %v after the start", 2*unconfirmedStartTTL)
}
