// Package speculator decides which running tasks get a copy, that is, a second run beside
// the first one, of which the first that is done counts. It does no I/O.
package speculator

import (
	"cmp"
	"slices"
	"time"
)

const (
	// earliestPercent is the share of the usual duration after which the reported progress
	// of a run is evidence. A copy that starts then still meets the objective of an
	// urgent job, 1.5 times its duration plus 0.3 s.
	earliestPercent = 40
	// latePercent is the share of the usual duration after which a run is late whatever
	// it reports, or if it reports no progress.
	latePercent = 150
	// projectedPercent is the share of the usual duration from which on the projected
	// duration of a run is late. Runners differ in speed by up to half.
	projectedPercent = 250
	// startMillis allows for the commit and the request of a start, and lateMillis also
	// for the time until the end of a run is reported.
	startMillis = 100
	lateMillis  = 200
	// estimatePercent corrects the estimate of a step of which no error is known.
	estimatePercent = 200
	// BudgetPercent is the share of a service's processors that copies may take. It is
	// half of what is reserved for the most urgent queue, so copies leave it the rest.
	BudgetPercent = 3
	// MaxSearches bounds the searches for a runner that fail in one decision.
	MaxSearches  = 16
	wholePercent = 100
)

// Run is what is known of a running task.
type Run struct {
	// Elapsed is how long it has been placed.
	Elapsed time.Duration
	// Percent is its last reported progress, made after ReportedAfter; zero if it has
	// reported none.
	Percent       int
	ReportedAfter time.Duration
	// Usual is the usual duration of the task; zero if it is not known.
	Usual time.Duration
}

// Remaining returns how long a late run is expected to take from now on, and whether it is
// late. Without progress, that is as long as it has taken so far.
func Remaining(r Run) (time.Duration, bool) {
	if r.Usual <= 0 {
		return 0, false
	}
	projected := time.Duration(0)
	if r.Percent > 0 {
		projected = r.ReportedAfter * wholePercent / time.Duration(r.Percent)
	}
	if r.ReportedAfter >= portion(r.Usual, earliestPercent)+startMillis*time.Millisecond && projected >= portion(r.Usual, projectedPercent) {
		return max(projected-r.Elapsed, 0), true
	}
	if r.Elapsed < portion(r.Usual, latePercent)+lateMillis*time.Millisecond {
		return 0, false
	}
	return max(projected-r.Elapsed, r.Elapsed), true
}

func portion(d time.Duration, percent int) time.Duration {
	return d * time.Duration(percent) / wholePercent
}

// Candidate is a running task that may get a copy.
type Candidate[T any] struct {
	Task T
	Run  Run
	// Urgency is the rank of its queue; zero is the most urgent.
	Urgency int
	// Service is whose runners it uses, and Millis the processors that a copy takes, in
	// thousandths of one.
	Service string
	Millis  int64
}

// Usage is what copies take of a service's processors, in thousandths of one.
type Usage struct {
	CapacityMillis int64
	CopiesMillis   int64
}

// allows reports whether the budget allows one more copy. A single copy is always allowed,
// since a task may need more than the share of a small service.
func (u *Usage) allows(millis int64) bool {
	return u.CopiesMillis == 0 || wholePercent*(u.CopiesMillis+millis) <= BudgetPercent*u.CapacityMillis
}

// Planner starts copies of late tasks.
type Planner[T any] struct {
	// Usage returns what copies take of a service now.
	Usage func(service string) Usage
	// Compare orders tasks that are equally urgent and late.
	Compare func(a, b T) int
	// Group identifies tasks of the same needs: if no runner can hold one of them, the
	// others are not tried.
	Group func(task T) any
	// Start starts a copy if a runner can hold it, and reports whether one can.
	Start func(task T) bool
	// Refused is told of a late task that gets no copy because of the budget.
	Refused func(task T)
}

type lateTask[T any] struct {
	Candidate[T]
	remaining time.Duration
}

// Plan starts the copies that are due: of the most urgent tasks first, and of these for
// those that are expected to take longest.
func (p *Planner[T]) Plan(candidates []Candidate[T]) {
	var late []lateTask[T]
	for i := range candidates {
		if remaining, ok := Remaining(candidates[i].Run); ok {
			late = append(late, lateTask[T]{
				Candidate: candidates[i],
				remaining: remaining,
			})
		}
	}
	slices.SortFunc(late, func(a, b lateTask[T]) int {
		return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(b.remaining, a.remaining), p.Compare(a.Task, b.Task))
	})
	usages := map[string]*Usage{}
	full := map[any]bool{}
	for i := range late {
		t := &late[i]
		u := usages[t.Service]
		if u == nil {
			usage := p.Usage(t.Service)
			u = &usage
			usages[t.Service] = u
		}
		switch {
		case !u.allows(t.Millis):
			p.Refused(t.Task)
		case len(full) >= MaxSearches || full[p.Group(t.Task)]:
		case p.Start(t.Task):
			u.CopiesMillis += t.Millis
		default:
			full[p.Group(t.Task)] = true
		}
	}
}
