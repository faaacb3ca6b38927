package admitter

import (
	"fmt"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// RefusedError says that a request was not taken in and when to try again.
type RefusedError struct {
	Reason     framer.Reason
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("not admitted: %s; try again after %s", e.Reason, e.RetryAfter)
}

// Queue holds the waiting requests of one service. It belongs to one goroutine.
type Queue struct {
	kinds    []*kindQueue
	inFlight int
	order    []*kindQueue
}

// New returns an empty queue under the given rules.
func New(rules []Rule) *Queue {
	q := &Queue{}
	q.Install(rules)
	return q
}

// Install puts new rules in force. Kinds that are gone keep their waiting
// requests under their old rule until they are served.
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

// Admit takes a fresh request in, or says why it is refused.
func (q *Queue) Admit(now time.Time, item Item) error {
	k := q.kind(item.Kind)
	if k == nil {
		return &RefusedError{
			Reason: framer.ReasonUnknownKind,
		}
	}
	if k.hopeless(now, item) {
		return &RefusedError{
			Reason: framer.ReasonTooShort,
		}
	}
	wait := k.wait(now)
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

// Return puts a request back in its turn after an attempt that was not run.
func (q *Queue) Return(now time.Time, item Item) {
	k := q.kind(item.Kind)
	k.push(now, item)
}

// Turn returns the first request of each kind that has any, in the order in
// which the kinds are to be served: those below their floor, most deprived
// first, then by urgency, then by age.
func (q *Queue) Turn() []Item {
	q.order = q.order[:0]
	for _, k := range q.kinds {
		if len(k.items) > 0 {
			q.order = append(q.order, k)
		}
	}
	slices.SortStableFunc(q.order, q.compare)
	items := make([]Item, 0, len(q.order))
	for _, k := range q.order {
		items = append(items, k.items[0])
	}
	return items
}

// Depart removes the first request of a kind and counts it as in flight.
func (q *Queue) Depart(now time.Time, kind string) Item {
	k := q.kind(kind)
	k.inFlight++
	q.inFlight++
	return k.pop(now)
}

// Land counts a request that was in flight as ended or returned.
func (q *Queue) Land(kind string) {
	k := q.kind(kind)
	k.inFlight--
	q.inFlight--
}

// Learn takes the time that a request of a kind took from its sending to its
// answer, or to its deadline.
func (q *Queue) Learn(kind string, took time.Duration) {
	if k := q.kind(kind); k != nil {
		k.learn(took)
	}
}

// Remove takes a waiting request out; it tells whether the request waited.
func (q *Queue) Remove(kind, id string) bool {
	k := q.kind(kind)
	if k == nil {
		return false
	}
	before := len(k.items)
	k.items = slices.DeleteFunc(k.items, func(item Item) bool { return item.ID == id })
	return len(k.items) < before
}

// Hopeless removes and returns the waiting requests that could no longer be
// served before their deadline, looking at the head of each kind.
func (q *Queue) Hopeless(now time.Time) []Item {
	var gone []Item
	for _, k := range q.kinds {
		for len(k.items) > 0 && k.hopeless(now, k.items[0]) {
			gone = append(gone, k.items[0])
			k.items = k.items[1:]
		}
	}
	return gone
}

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int {
	n := 0
	for _, k := range q.kinds {
		n += len(k.items)
	}
	return n
}

// InFlight returns how many requests of the service are being attempted.
func (q *Queue) InFlight() int {
	return q.inFlight
}

func (q *Queue) compare(a, b *kindQueue) int {
	da, db := q.deprivation(a), q.deprivation(b)
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

// deprivation is how far a kind is below its floor, from nought to one.
func (q *Queue) deprivation(k *kindQueue) float64 {
	if k.rule.Floor <= 0 {
		return 0
	}
	owed := k.rule.Floor * float64(max(1, q.inFlight))
	return (owed - float64(k.inFlight)) / owed
}

func (q *Queue) kind(name string) *kindQueue {
	for _, k := range q.kinds {
		if k.rule.Kind == name {
			return k
		}
	}
	return nil
}
