package supervisor

import (
	"testing"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Guards against an end that is acknowledged, and a lease that is renewed, by a runner that
// has not noticed yet that its lease has expired: it was stopped again between two readings
// of its clock, and answered each time before its timers.
func TestReadingsAroundAnotherStopRenewNothing(t *testing.T) {
	h := newCoreHarness(t)
	h.answerRenewal(1000, Listing{})
	h.sync(framer.Sync{
		LeaseUntilMillis: 7000,
	})
	h.advance(renewBackoff)
	h.answerRenewal(9000, Listing{})
	h.sync(framer.Sync{
		Epoch:            2,
		LeaseUntilMillis: 15_000,
		AckedSequence:    3,
	})
	h.advance(5 * time.Second)
	h.answerRenewal(14_000, Listing{})
	h.advance(renewBackoff)
	assertNextRenewal(t, h, 7000, 0)
}
