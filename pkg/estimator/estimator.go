// Package estimator estimates how long a job that arrives now would wait, and decides
// from that which jobs are refused. Its functions do no I/O and keep no clock.
//
// The wait of a queue is the work that waits in it and in more urgent ones, by the
// rate at which the service completes work. It is compared with the mean bound of the
// queue's jobs, weighted by their work: a job may wait in proportion to its bound, so
// the jobs of a queue are refused alike, whatever their size.
package estimator

import (
	"math"
	"time"
)

const (
	// rateHalfLife is the half-life of the observations of a rate.
	rateHalfLife = 3 * time.Second
	// boundHalfLife is the half-life of the arrivals that give the mean bound.
	boundHalfLife = 30 * time.Second
	// warmUp is how long a new owner observes before it estimates anything.
	warmUp = 3 * time.Second
	// closeAt is the wait, relative to the bound, from which jobs are refused. Large
	// jobs wait up to twice as long as in proportion to their bounds, since smaller ones
	// go first, so they complete in time only below about half.
	// docs/design/ordering-and-refusal.md states the cost of estimates that are too high.
	closeAt = 0.5
	// reopenAt is the relative wait below which jobs are accepted again.
	reopenAt = 0.45
	// minRateShare is the share of the rate that a queue gets at least, whatever the
	// more urgent ones take.
	minRateShare = 0.1
	// busyPercent is the allocated share of a service's processors below which nothing
	// is refused: what waits then waits for something else.
	busyPercent = 65
	// priorSpent is the processor time, in thousandths of a processor times
	// milliseconds, for which estimates are assumed to be right.
	priorSpent = 20_000 * 1000
	// maxMiss limits how far the measured error of the estimates is trusted.
	maxMiss = 4
)

// decayed is a sum whose parts lose half of their weight in each half-life.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) value(now time.Time, halfLife time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp2(-max(0, now.Sub(d.at).Seconds())/halfLife.Seconds())
}

func (d *decayed) add(now time.Time, halfLife time.Duration, v float64) {
	d.sum = d.value(now, halfLife) + v
	if now.After(d.at) {
		d.at = now
	}
}

// Backlog is the work that waits in a queue now. It includes jobs that are too late to
// have any worth: they must still be completed, and without them, more would be accepted
// than is completed. Work is in thousandths of a processor times milliseconds, by the
// callers' estimates.
type Backlog struct {
	Queue   string
	Urgency int
	Work    int64
}

// Service estimates the waits of the queues of one service.
type Service struct {
	// completed is the work that was completed, spent the processor time that it took.
	completed decayed
	spent     decayed
	// busy integrates the processors of tasks that end by themselves, elapsed the time.
	busy       decayed
	elapsed    decayed
	busyMillis int64
	// firstAt and observedAt are the first and the last observation.
	firstAt    time.Time
	observedAt time.Time
	queues     map[string]*queue
}

// queue is what is known of a queue.
type queue struct {
	urgency int
	// arrived is the work that arrived, for its rate. bounds is the sum of the bounds of
	// the jobs, weighted by their work, weights the sum of the weights.
	arrived  decayed
	bounds   decayed
	weights  decayed
	wait     time.Duration
	refusing bool
	// refusedAt is when the queue was last refusing.
	refusedAt time.Time
}

// NewService returns a service of which nothing is known.
func NewService() *Service {
	return &Service{
		queues: map[string]*queue{},
	}
}

func (s *Service) queue(name string) *queue {
	q := s.queues[name]
	if q == nil {
		q = &queue{}
		s.queues[name] = q
	}
	return q
}

// Arrived records an accepted job, with the urgency of its queue and the time within
// which its completion has worth.
func (s *Service) Arrived(now time.Time, name string, urgency int, work int64, bound time.Duration) {
	q := s.queue(name)
	q.urgency = urgency
	q.arrived.add(now, rateHalfLife, float64(work))
	q.weights.add(now, boundHalfLife, float64(work))
	q.bounds.add(now, boundHalfLife, float64(work)*bound.Seconds())
}

// Completed records a completed task with its work and the processor time that it
// took.
func (s *Service) Completed(now time.Time, work, spent int64) {
	s.completed.add(now, rateHalfLife, float64(work))
	s.spent.add(now, rateHalfLife, float64(spent))
}

// Observe records the processors of the tasks that end by themselves, those of all
// tasks and those of the runners, and updates the estimates. Queues without a backlog
// need not be listed.
func (s *Service) Observe(now time.Time, ending, allocated, capacity int64, backlogs []Backlog) {
	if s.firstAt.IsZero() {
		s.firstAt = now
	} else {
		elapsed := float64(now.Sub(s.observedAt).Milliseconds())
		s.elapsed.add(now, rateHalfLife, elapsed)
		s.busy.add(now, rateHalfLife, elapsed*float64(ending))
	}
	s.observedAt = now
	// What is free can be used by what waits.
	s.busyMillis = ending + max(0, capacity-allocated)
	for _, b := range backlogs {
		s.queue(b.Queue).urgency = b.Urgency
	}
	full := capacity > 0 && 100*allocated >= busyPercent*capacity
	for _, q := range s.queues {
		ahead := int64(0)
		for _, b := range backlogs {
			if b.Urgency <= q.urgency {
				ahead += b.Work
			}
		}
		q.wait = 0
		if rate := s.rateFor(now, q.urgency); full && rate > 0 {
			q.wait = time.Duration(float64(ahead) / rate * float64(time.Millisecond))
		}
		q.decide(now)
	}
}

// rate returns the work that the service completes in a millisecond: its busy
// processors, corrected by the measured error of the estimates.
func (s *Service) rate(now time.Time) float64 {
	busy := float64(s.busyMillis)
	if elapsed := s.elapsed.value(now, rateHalfLife); elapsed > 0 {
		// The mean lags behind when the load rises.
		busy = max(busy, s.busy.value(now, rateHalfLife)/elapsed)
	}
	miss := (s.completed.value(now, rateHalfLife) + priorSpent) / (s.spent.value(now, rateHalfLife) + priorSpent)
	return busy * min(maxMiss, max(1.0/maxMiss, miss))
}

// rateFor returns the rate that is left to a queue by more urgent ones.
func (s *Service) rateFor(now time.Time, urgency int) float64 {
	rate := s.rate(now)
	left := rate
	for _, q := range s.queues {
		if q.urgency < urgency {
			// A decayed sum of a steady rate is the rate times halfLife / ln 2.
			left -= q.arrived.value(now, rateHalfLife) * math.Ln2 / float64(rateHalfLife.Milliseconds())
		}
	}
	return max(left, minRateShare*rate)
}

// bound returns the mean bound of the queue's jobs.
func (q *queue) bound(now time.Time) time.Duration {
	weights := q.weights.value(now, boundHalfLife)
	if weights <= 0 {
		return 0
	}
	return time.Duration(q.bounds.value(now, boundHalfLife) / weights * float64(time.Second))
}

func (q *queue) decide(now time.Time) {
	bound := float64(q.bound(now))
	limit := closeAt
	if q.refusing {
		limit = reopenAt
	}
	q.refusing = bound > 0 && float64(q.wait) > limit*bound
	if q.refusing {
		q.refusedAt = now
	}
}

// Reports returns the estimates of the queues that have one to state: those in which
// jobs would wait.
func (s *Service) Reports(now time.Time) []Queue {
	if s.firstAt.IsZero() || now.Sub(s.firstAt) < warmUp {
		return nil
	}
	var list []Queue
	for name, q := range s.queues {
		if q.refusing || q.wait >= minWait {
			list = append(list, Queue{
				Name:        name,
				WaitMillis:  q.wait.Milliseconds(),
				BoundMillis: q.bound(now).Milliseconds(),
				Refusing:    q.refusing,
			})
		}
	}
	return list
}

// calmAfter is how long a queue's jobs must not have been refused until its overload
// counts as ended: refusals begin and end about once a second while it lasts.
const calmAfter = 10 * time.Second

// Calm reports whether a queue of the service was not refusing for a while.
func (s *Service) Calm(now time.Time, name string) bool {
	q := s.queues[name]
	return q != nil && now.Sub(q.refusedAt) >= calmAfter
}
