package placer

import (
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
)

// maxReleased bounds the released starts that a task's row states; of more, the last ones.
const maxReleased = 8

// expiry is the proof, by the worker's own clock, that its lease has expired. It is needed
// once starts were given up because of that: one of them may turn out to have ended, and
// neither may the worker be told to forget that, nor get another lease, before the lease has
// expired there. The zero value needs no proof.
type expiry struct {
	due    bool
	proven bool
	// settling has the readings of the clock from after the end of the lease.
	settling leaser.Settling
}

// requireExpiry requires the proof, since starts are given up because the lease has expired
// by this process's clock: so much later than the last reading must the worker's clock be.
func (w *worker) requireExpiry(now time.Time) {
	if w.registered {
		w.leaseUntilMillis = max(w.leaseUntilMillis, w.clockMillis+now.Sub(w.clockAt).Milliseconds())
	}
	w.expiry = expiry{
		due: true,
	}
}

// proveExpiry processes a reading of the worker's clock. If this owner has granted no lease,
// that of a former one lasts no longer than the reading and a lease.
func (w *worker) proveExpiry(clockMillis int64) {
	if !w.expiry.due {
		return
	}
	if w.leaseUntilMillis == 0 {
		w.leaseUntilMillis = clockMillis + TaskLease.Milliseconds()
	}
	if clockMillis <= w.leaseUntilMillis {
		return
	}
	w.expiry.settling.Read(clockMillis)
	w.expiry.proven = w.expiry.settling.Done()
	w.expiry.due = !w.expiry.proven
}

// requireFor requires the proof for the end of a start that is not its task's present one, if
// the task runs again although the start was done, or failed and that was not counted: a
// former owner gave the start up.
func (c *Cell) requireFor(w *worker, t TaskReport) {
	e := c.tasks[t.ID]
	if e == nil || e.State.Final() || w.expiry.proven {
		return
	}
	if t.State == RunDone || t.State == RunFailed && slices.Contains(e.Released, t.Start) {
		w.expiry.due = true
	}
}

// recordReleased records that the present start is given up because of an expired lease.
func (e *trackedTask) recordReleased() {
	released := append(slices.Clone(e.Released), e.Start)
	e.Released = released[max(0, len(released)-maxReleased):]
}
