package supervisor

import (
	"testing"
	"time"
)

// Guards against an end that is acknowledged, and a lease that is renewed, by a runner that
// has not noticed yet that its lease has expired: it was stopped again between two readings
// of its clock, and answered each time before its timers.
func TestReadingsAroundAnotherStopRenewNothing(t *testing.T) {
	h := newExpiredHarness(t)
	h.advance(5 * time.Second)
	h.answerRenewal(14_000, Listing{})
	h.advance(renewBackoff)
	assertNextRenewal(t, h, 7000, 0)
}
