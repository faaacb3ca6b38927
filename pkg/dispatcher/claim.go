package dispatcher

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// ClaimResult is the result of a claim.
type ClaimResult int

// The results of a claim.
const (
	// ClaimGranted: the id belongs to this request.
	ClaimGranted ClaimResult = iota + 1
	// ClaimTaken: another request owns the id.
	ClaimTaken
	// ClaimUnavailable: the claim failed without a confirmed result; it may
	// have taken effect.
	ClaimUnavailable
)

// Claimed handles the result of a claim. A claim without a confirmed result is
// released, since it may have taken effect.
func (d *Dispatcher) Claimed(now time.Time, id string, result ClaimResult) []Action {
	q := d.requests[id]
	if q == nil || q.stage != StageClaiming {
		return nil
	}
	switch result {
	case ClaimGranted:
		q.claimed = true
		d.enqueue(now, d.services[q.Service], q)
	case ClaimTaken:
		d.finish(q, unknown(framer.ReasonDuplicate))
	default:
		q.claimed = true
		d.finish(q, notRun(framer.ReasonStoreUnavailable))
	}
	return d.takeActions()
}
