package admitter

import (
	"fmt"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// RefusedError reports why a request was not admitted and after what time it
// may be retried.
type RefusedError struct {
	Reason     framer.Reason
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("not admitted: %s; try again after %s", e.Reason, e.RetryAfter)
}

// Queue holds the waiting requests of one service. It is not safe for
// concurrent use; one goroutine owns it.
type Queue struct {
	kinds    []*kindQueue
	inFlight int
	sorted   []*kindQueue
}

// New returns an empty queue with the given rules.
func New(rules []Rule) *Queue {
	q := &Queue{}
	q.Install(rules)
	return q
}

// Install replaces the rules. Kinds that the new rules lack keep their old rule
// until their waiting and in-flight requests are done.
func (q *Queue) Install(rules []Rule) {
	kinds := make([]*kindQueue, 0, len(rules))
	for _, rule := range rules {
		k := q.kind(rule.Kind)
		if k == nil {
			k = &kindQueue{}
		}
		k.setRule(rule)
		kinds = append(kinds, k)
	}
	for _, old := range q.kinds {
		if !slices.Contains(kinds, old) && (len(old.items) > 0 || old.inFlight > 0) {
			kinds = append(kinds, old)
		}
	}
	q.kinds = kinds
}

// Admit enqueues a new request, or returns a RefusedError with the reason.
func (q *Queue) Admit(now time.Time, item Item) error {
	k := q.kind(item.Kind)
	if k == nil {
		return &RefusedError{
			Reason: framer.ReasonUnknownKind,
		}
	}
	if k.infeasible(now, item) {
		return &RefusedError{
			Reason: framer.ReasonTooShort,
		}
	}
	wait := k.estimatedWait(now)
	if len(k.items) >= k.rule.MaxQueued {
		return &RefusedError{
			Reason:     framer.ReasonQueueFull,
			RetryAfter: wait,
		}
	}
	if k.overloaded(now, item) {
		return &RefusedError{
			Reason:     framer.ReasonOverloaded,
			RetryAfter: wait,
		}
	}
	k.push(now, item)
	return nil
}

// Requeue requeues a request by its acceptance time after an attempt that did
// not run.
func (q *Queue) Requeue(now time.Time, item Item) {
	k := q.kind(item.Kind)
	k.push(now, item)
}

// NextOfEachKind returns the first waiting request of each kind in dispatch
// order: kinds below their floor first, by largest relative deficit, then by
// urgency, then by acceptance time.
func (q *Queue) NextOfEachKind() []Item {
	q.sorted = q.sorted[:0]
	for _, k := range q.kinds {
		if len(k.items) > 0 {
			q.sorted = append(q.sorted, k)
		}
	}
	slices.SortStableFunc(q.sorted, q.compare)
	items := make([]Item, 0, len(q.sorted))
	for _, k := range q.sorted {
		items = append(items, k.items[0])
	}
	return items
}

// Dispatch removes the first request of a kind and counts it as in flight.
func (q *Queue) Dispatch(now time.Time, kind string) Item {
	k := q.kind(kind)
	k.inFlight++
	q.inFlight++
	return k.pop(now)
}

// FinishAttempt decrements the count of requests in flight when one of them
// finished or was returned.
func (q *Queue) FinishAttempt(kind string) {
	k := q.kind(kind)
	k.inFlight--
	q.inFlight--
}

// RecordRunTime records the time from sending a request to its response, or to its
// deadline if there was none.
func (q *Queue) RecordRunTime(kind string, took time.Duration) {
	if k := q.kind(kind); k != nil {
		k.recordRunTime(took)
	}
}

// Remove deletes a waiting request and reports whether it was found.
func (q *Queue) Remove(kind, id string) bool {
	k := q.kind(kind)
	if k == nil {
		return false
	}
	before := len(k.items)
	k.items = slices.DeleteFunc(k.items, func(item Item) bool { return item.ID == id })
	return len(k.items) < before
}

// RemoveInfeasible removes and returns the waiting requests that can no longer
// complete before their deadline. It examines each kind from the head of its
// queue and stops at the first request that can.
func (q *Queue) RemoveInfeasible(now time.Time) []Item {
	var removed []Item
	for _, k := range q.kinds {
		for len(k.items) > 0 && k.infeasible(now, k.items[0]) {
			removed = append(removed, k.items[0])
			k.items = k.items[1:]
		}
	}
	return removed
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	n := 0
	for _, k := range q.kinds {
		n += len(k.items)
	}
	return n
}

// InFlight returns the number of requests with an attempt in progress.
func (q *Queue) InFlight() int {
	return q.inFlight
}

func (q *Queue) compare(a, b *kindQueue) int {
	da, db := q.floorDeficit(a), q.floorDeficit(b)
	switch {
	case da > 0 && db <= 0:
		return -1
	case da <= 0 && db > 0:
		return 1
	case da > 0 && db > 0 && da != db:
		if da > db {
			return -1
		}
		return 1
	case a.rule.Urgency != b.rule.Urgency:
		return b.rule.Urgency - a.rule.Urgency
	default:
		return a.items[0].AcceptedAt.Compare(b.items[0].AcceptedAt)
	}
}

// floorDeficit returns how far a kind is below its floor relative to that
// floor: 1 if nothing of the kind is in flight, 0 or less if the floor is met.
func (q *Queue) floorDeficit(k *kindQueue) float64 {
	if k.rule.Floor <= 0 {
		return 0
	}
	guaranteed := k.rule.Floor * float64(max(1, q.inFlight))
	return (guaranteed - float64(k.inFlight)) / guaranteed
}

func (q *Queue) kind(name string) *kindQueue {
	for _, k := range q.kinds {
		if k.rule.Kind == name {
			return k
		}
	}
	return nil
}
