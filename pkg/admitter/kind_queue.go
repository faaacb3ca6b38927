package admitter

import (
	"slices"
	"time"
)

const (
	// tailQuantile is the share of requests whose run time must not exceed the
	// estimated tail. tailAdjustStep is the step size of the estimator, as a
	// fraction of the present estimate.
	tailQuantile   = 0.99
	tailAdjustStep = 0.1
	// initialTailRunTimes is the initial tail estimate as a multiple of the
	// expected run time.
	initialTailRunTimes = 3
	// maxWaitShare is the largest share of its slack that a request may be
	// expected to spend in the queue. The slack is the time left until the
	// deadline less the tail run time. A longer queue would only delay every
	// response.
	maxWaitShare = 0.25
	// minIntervalWeight is the minimum weight of the newest interval in the
	// moving average.
	minIntervalWeight = 0.02
	// minIntervalSamples is the number of departures that are required before
	// the average is used.
	minIntervalSamples = 8
)

// kindQueue is the queue of one kind, ordered by acceptance time.
type kindQueue struct {
	rule     Rule
	items    []Item
	inFlight int

	// departureInterval is the moving average of the time between departures
	// while other requests wait.
	departureInterval time.Duration
	intervalSamples   int
	lastDeparture     time.Time

	// tailRunTime is the estimate of the tailQuantile of the run times.
	tailRunTime time.Duration
}

// recordRunTime adjusts the tail estimate by one measured run time. It is a
// streaming quantile estimator that stores no samples.
func (q *kindQueue) recordRunTime(took time.Duration) {
	step := -tailAdjustStep * (1 - tailQuantile)
	if took > q.tailRunTime {
		step = tailAdjustStep * tailQuantile
	}
	q.tailRunTime += time.Duration(step * float64(q.tailRunTime))
}

// setRule replaces the rule of the kind.
func (q *kindQueue) setRule(rule Rule) {
	q.rule = rule
	if q.tailRunTime == 0 {
		q.tailRunTime = max(time.Millisecond, initialTailRunTimes*rule.RunTime)
	}
}

// infeasible reports whether an item that starts at now would probably miss its
// deadline.
func (q *kindQueue) infeasible(now time.Time, item Item) bool {
	return now.Add(q.tailRunTime).After(item.Deadline)
}

// overloaded reports whether the estimated wait is too long for an item to be
// admitted.
func (q *kindQueue) overloaded(now time.Time, item Item) bool {
	left := item.Deadline.Sub(now) - q.tailRunTime
	return float64(q.estimatedWait(now)) > maxWaitShare*float64(left)
}

// push inserts an item by its acceptance time, so that a returned request keeps
// its position.
func (q *kindQueue) push(now time.Time, item Item) {
	if len(q.items) == 0 {
		q.lastDeparture = now
	}
	at := len(q.items)
	for at > 0 && q.items[at-1].AcceptedAt.After(item.AcceptedAt) {
		at--
	}
	q.items = slices.Insert(q.items, at, item)
}

// pop removes the first item and updates the average departure interval.
func (q *kindQueue) pop(now time.Time) Item {
	item := q.items[0]
	q.items[0] = Item{}
	q.items = q.items[1:]
	gap := now.Sub(q.lastDeparture)
	q.lastDeparture = now
	q.intervalSamples++
	weight := max(minIntervalWeight, 1/float64(q.intervalSamples))
	q.departureInterval += time.Duration(weight * float64(gap-q.departureInterval))
	return item
}

// estimatedWait returns how long an item that is pushed now is expected to
// wait.
func (q *kindQueue) estimatedWait(now time.Time) time.Duration {
	if q.intervalSamples < minIntervalSamples || len(q.items) == 0 {
		return 0
	}
	interval := q.departureInterval
	if stalled := now.Sub(q.lastDeparture); stalled > interval {
		interval += time.Duration(minIntervalWeight * float64(stalled-interval))
	}
	return time.Duration(len(q.items)) * interval
}
