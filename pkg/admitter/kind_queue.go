package admitter

import (
	"slices"
	"time"
)

const (
	// tailShare is the share of runs that the learnt tail must cover, and
	// tailStep how fast it moves.
	tailShare = 0.99
	tailStep  = 0.1
	// tailOfRunTime is the first tail, in expected run times.
	tailOfRunTime = 3
	// waitShare is the part of the time left that a request may be expected
	// to spend in the queue: a longer queue only makes every answer later.
	waitShare = 0.25
	// paceWeight is the least weight of the newest interval in the average.
	paceWeight = 0.02
	// paceSamples is how many departures the average needs before it is used.
	paceSamples = 8
)

// kindQueue holds the waiting requests of one kind in order of acceptance.
type kindQueue struct {
	rule     Rule
	items    []Item
	inFlight int

	// interval is the average time between two departures while others wait.
	interval   time.Duration
	samples    int
	lastDepart time.Time

	// tail is the run time that few requests of the kind exceed.
	tail time.Duration
}

// learn moves the tail by one run time: a quantile kept without samples.
func (q *kindQueue) learn(took time.Duration) {
	move := -tailStep * (1 - tailShare)
	if took > q.tail {
		move = tailStep * tailShare
	}
	q.tail += time.Duration(move * float64(q.tail))
}

// setRule puts a rule in force.
func (q *kindQueue) setRule(rule Rule) {
	q.rule = rule
	if q.tail == 0 {
		q.tail = max(time.Millisecond, tailOfRunTime*rule.RunTime)
	}
}

// hopeless tells whether an item started now would likely miss its deadline.
func (q *kindQueue) hopeless(now time.Time, item Item) bool {
	return now.Add(q.tail).After(item.Deadline)
}

// overloaded tells whether the queue is too long for an item to join.
func (q *kindQueue) overloaded(now time.Time, item Item) bool {
	left := item.Deadline.Sub(now) - q.tail
	return float64(q.wait(now)) > waitShare*float64(left)
}

// push inserts an item in its turn, which matters for a request that returns.
func (q *kindQueue) push(now time.Time, item Item) {
	if len(q.items) == 0 {
		q.lastDepart = now
	}
	at := len(q.items)
	for at > 0 && q.items[at-1].AcceptedAt.After(item.AcceptedAt) {
		at--
	}
	q.items = slices.Insert(q.items, at, item)
}

// pop removes the first item and learns the pace of departures.
func (q *kindQueue) pop(now time.Time) Item {
	item := q.items[0]
	q.items[0] = Item{}
	q.items = q.items[1:]
	gap := now.Sub(q.lastDepart)
	q.lastDepart = now
	q.samples++
	weight := max(paceWeight, 1/float64(q.samples))
	q.interval += time.Duration(weight * float64(gap-q.interval))
	return item
}

// wait estimates how long an item pushed now would wait.
func (q *kindQueue) wait(now time.Time) time.Duration {
	if q.samples < paceSamples || len(q.items) == 0 {
		return 0
	}
	pace := q.interval
	if stalled := now.Sub(q.lastDepart); stalled > pace {
		pace += time.Duration(paceWeight * float64(stalled-pace))
	}
	return time.Duration(len(q.items)) * pace
}
