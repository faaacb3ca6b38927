package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Guards against an end that is acknowledged and was never processed: the owner skips an end
// behind one with a higher number, and the acknowledgement covers both.
func TestEndsAreReportedInOrder(t *testing.T) {
	h := newCoreHarness(t)
	h.answerRenewal(1000, Listing{})
	h.advance(renewBackoff)
	var ends []framer.FinishedRun
	for _, n := range []int64{3, 1, 2} {
		ends = append(ends, framer.FinishedRun{
			RunRef:   ref("a.0.0.0"),
			Sequence: n,
			Reason:   framer.FinishDone,
		})
	}
	h.answerRenewal(1100, Listing{
		Finished: ends,
	})
	h.advance(reportInterval)
	var reported []int64
	for _, e := range h.reports[len(h.reports)-1].Finished {
		reported = append(reported, e.Sequence)
	}
	assert.DeepEqual(t, reported, []int64{1, 2, 3})
}
