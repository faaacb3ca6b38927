package supervisor

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// A run may be in a row of the listing that could not be decoded.
func TestListingWithMalformedRowsResolvesNoStop(t *testing.T) {
	one := ref("a.0.0.0")
	h := newCoreHarness(t)
	h.answerRenewal(1000, Listing{})
	h.sync(framer.Sync{
		Starts:           starts(one),
		LeaseUntilMillis: 7000,
	})
	h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{}, nil)
	h.sync(framer.Sync{
		Stops: []framer.RunRef{one},
	})
	h.core.StopAnswered(h.now, *h.takeAction(isStop).Stop, Answer{}, nil)
	h.tick()
	for range 3 {
		h.answerRenewal(1500, Listing{
			Malformed: []error{errors.New("decoding a running task")},
		})
		h.advance(100 * time.Millisecond)
	}
	assert.Assert(t, !h.reportedNeverStarted(one))
	h.answerRenewal(1600, Listing{})
	h.advance(100 * time.Millisecond)
	h.answerRenewal(1700, Listing{})
	assert.Assert(t, h.reportedNeverStarted(one))
}
