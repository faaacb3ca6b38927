package supervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Guards against a belief about a runner that is as old as its agent's stop: an answer that
// waited in a socket while the agent's process was stopped counted as a present listing, by
// which the owner placed runs and the agent sent starts.
func TestListingThatWaitedUnreadIsAsOldAsItIs(t *testing.T) {
	const stop = 8 * time.Second
	h := newCoreHarness(t)
	h.answerRenewal(1000, Listing{})
	h.advance(100 * time.Millisecond)
	h.answerRenewal(1100, Listing{})
	h.now = h.now.Add(stop)
	h.heartbeat(h.key.ID, h.key.StartedAtMillis, false)
	h.answerRenewal(1200, Listing{})
	h.sync(framer.Sync{
		LeaseUntilMillis: 7000,
		Starts:           starts(ref("a.0.0.0")),
	})
	assert.Equal(t, h.countOpen(isStart), 0)
	h.advance(reportInterval)
	last := h.reports[len(h.reports)-1]
	age := time.Duration(last.ListingAgeMillis) * time.Millisecond
	assert.Assert(t, age > stop-100*time.Millisecond, "%s", age)
}
