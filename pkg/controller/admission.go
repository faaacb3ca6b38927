package controller

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/estimator"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// unsettledTTL is how long a submission with an unknown outcome may still be
// committed: longer than the store lets a call wait.
const unsettledTTL = 30 * time.Second

// admission decides which submissions the entry refuses by the owner's estimates.
type admission struct {
	view atomic.Pointer[estimator.View]
	// version is the last version of the lease row, and seenAt when it was first read.
	// They belong to the control goroutine.
	version uint64
	seenAt  time.Time

	mu sync.Mutex
	// unsettled holds the ids of submissions that may still be committed; those that
	// are over are removed by the next sweep.
	unsettled map[string]unsettled
	nextSweep time.Time
	// refused counts refusals by reason.
	refused map[string]int64
}

// unsettled counts the submissions of an id that are under way. unknownUntil is until
// when one that ended with an unknown outcome may be committed.
type unsettled struct {
	open         int
	unknownUntil time.Time
}

func (u unsettled) over(now time.Time) bool {
	return u.open == 0 && !now.Before(u.unknownUntil)
}

// observe takes over the report of a lease row. The owner made it after this entry had
// read the previous version, which bounds its age. The age of the report in the first
// version that the entry reads is unknown.
func (a *admission) observe(now time.Time, version uint64, report estimator.Report) {
	if version <= a.version {
		return
	}
	a.view.Store(&estimator.View{
		Report: report,
		AsOf:   a.seenAt,
	})
	a.version = version
	a.seenAt = now
}

// begin records that a submission is under way.
func (a *admission) begin(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unsettled == nil {
		a.unsettled = map[string]unsettled{}
	}
	u := a.unsettled[id]
	u.open++
	a.unsettled[id] = u
}

// end records that a submission is over; unknown is set if it may still be committed.
func (a *admission) end(now time.Time, id string, unknown bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.unsettled[id]
	u.open--
	if unknown {
		u.unknownUntil = now.Add(unsettledTTL)
	}
	a.unsettled[id] = u
	if now.Before(a.nextSweep) {
		return
	}
	a.nextSweep = now.Add(time.Second)
	maps.DeleteFunc(a.unsettled, func(_ string, u unsettled) bool { return u.over(now) })
}

// underWay reports whether a submission of the id may still be committed.
func (a *admission) underWay(now time.Time, id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.unsettled[id]
	return !u.over(now)
}

// count counts a refusal.
func (a *admission) count(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refused == nil {
		a.refused = map[string]int64{}
	}
	a.refused[reason]++
}

// counts returns the refusals by reason.
func (a *admission) counts() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.refused)
}

// estimatedJob returns what the estimates need to know of a job.
func estimatedJob(spec *scheduler.Spec) *estimator.Job {
	return &estimator.Job{
		ID:      spec.ID,
		Queue:   spec.Queue,
		Service: spec.Service,
		Waits:   spec.Competes(),
		Needs:   spec.Needs(),
	}
}

// admit returns a *NotAcceptedError if the job is refused by the owner's estimates or for want of
// memory, and whether it was committed before. A refusal is based on the job's row as read from
// the store after the request arrived: the cache may not have a row yet that is
// committed. If the row cannot be read, or an earlier submission through this entry is
// under way, nothing is refused; the commit then decides.
func (e *Entry) admit(ctx context.Context, spec *scheduler.Spec) (known bool, err error) {
	now := e.clock.Now()
	refusal := e.refusal(now, spec)
	if refusal == nil || e.admission.underWay(now, spec.ID) || e.relay.AllRoutesDown() {
		return false, nil
	}
	ctx, cancel := e.settleContext(ctx)
	defer cancel()
	row, err := e.store.Get(ctx, jobKey(spec.ID))
	if err != nil {
		e.log.Info("job not refused: its row cannot be read", "job", spec.ID, "reason", refusal.Reason, "error", err)
		return false, nil
	}
	if row.Version > 0 && !row.Deleted {
		e.applyJobRows([]storer.PartitionedRow{row})
		return true, nil
	}
	e.refused.Add(1)
	e.admission.count(refusal.Reason)
	e.log.Info("job refused", "job", spec.ID, "queue", spec.Queue, "reason", refusal.Reason,
		"retry-after", refusal.RetryAfter, "wait-millis", refusal.Wait.Milliseconds())
	return false, &NotAcceptedError{
		Reason:     refusal.Reason,
		RetryAfter: refusal.RetryAfter,
	}
}
