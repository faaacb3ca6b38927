package ranker

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the half-life of what the floors count. It covers several of
	// the longest objectives, so that a single large job is no share of its own.
	shareHalfLife = 15 * time.Second
	// classFloor is the rate at which a size class is served, relative to its queue,
	// below which it is promoted. Half is required; the margin covers jobs that start
	// in time and end late.
	classFloor = 0.7
	// minArrived is how many jobs of a class must have arrived lately for its floor to
	// hold.
	minArrived = 0.5
	// workFloor is the share of the work started lately that is kept for the jobs of a
	// less urgent queue, and for those that are very late.
	workFloor = 0.05
)

// decayed is a sum whose parts lose half of their weight in each shareHalfLife.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) add(now time.Time, v float64) {
	d.sum = d.value(now) + v
	if now.After(d.at) {
		d.at = now
	}
}

func (d *decayed) value(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp2(-max(0, now.Sub(d.at).Seconds())/shareHalfLife.Seconds())
}

// Standing is what the floors know of a job.
type Standing struct {
	Queue *Queue
	Class Class
	// promoted is set once a floor has promoted the job. It stays so until it is very
	// late: a job that is left half done has cost capacity for nothing.
	promoted bool
}

// Queue counts what arrived in a queue lately, and what was served of it.
type Queue struct {
	// Shares is what the queue belongs to.
	Shares *Shares
	Sizes  Sizes
	// Starts counts the starts of tasks by size class, Promotions the jobs that a floor
	// promoted.
	Starts     [ClassCount]int64
	Promotions int64

	arrived [ClassCount]decayed
	served  [ClassCount]decayed
	work    decayed
	// best holds the waiting step of each class that would be served first of those
	// that are not promoted, and late those past their objective. They are scratch
	// space of Promote.
	best   [ClassCount]*Entry
	late   lateSteps
	listed bool
	// promoted is set for the classes of which a promoted job waits that can still be
	// in time. One that has become late may be one that no runner can hold.
	promoted [ClassCount]bool
}

// Entry is a waiting step as the floors see it.
type Entry struct {
	Key      Key
	Standing *Standing
	// Waited and Objective are as in Job.
	Waited    time.Duration
	Objective time.Duration
}

// Shares holds the queues that share capacity, and what was started lately.
type Shares struct {
	queues   map[string]*Queue
	work     decayed
	veryLate decayed
	// turn counts the calls of Promote. listed and veryLateSteps are scratch space of it.
	turn          uint64
	listed        []*Queue
	veryLateSteps lateSteps
}

// lateSteps are the steps of which one gets capacity that is kept for late ones.
type lateSteps struct {
	oldest *Entry
	best   *Entry
}

func (l *lateSteps) consider(e *Entry) {
	if l.oldest == nil || e.later(l.oldest) {
		l.oldest = e
	}
	if l.best == nil || e.Key.Compare(&l.best.Key) < 0 {
		l.best = e
	}
}

// promote promotes the oldest step and the best one in turn. The oldest may be one that
// no runner can hold.
func (l *lateSteps) promote(turn uint64) {
	switch {
	case l.oldest == nil:
	case turn%2 == 0:
		l.oldest.Key.First = true
	default:
		l.best.Key.First = true
	}
}

// NewShares returns the shares of queues of which nothing is known.
func NewShares() *Shares {
	return &Shares{
		queues: map[string]*Queue{},
	}
}

// Queue returns the counts of a queue and creates them if they are missing.
func (s *Shares) Queue(name string) *Queue {
	q := s.queues[name]
	if q == nil {
		q = &Queue{
			Shares: s,
		}
		s.queues[name] = q
	}
	return q
}

// Queues returns all queues by name.
func (s *Shares) Queues() map[string]*Queue {
	return s.queues
}

// Arrived records a job, and returns its standing.
func (q *Queue) Arrived(now time.Time, work int64) Standing {
	q.Sizes.Add(work)
	class := q.Sizes.Class(work)
	q.arrived[class].add(now, 1)
	return Standing{
		Queue: q,
		Class: class,
	}
}

// Completed records that a job has completed within its bound.
func (s *Standing) Completed(now time.Time) {
	if !s.promoted {
		s.Queue.served[s.Class].add(now, 1)
	}
}

// Started records the work of a task that has started.
func (s *Shares) Started(now time.Time, standing *Standing, rank Rank, work int64) {
	q := standing.Queue
	q.Starts[standing.Class]++
	q.work.add(now, float64(work))
	s.work.add(now, float64(work))
	if rank == VeryLate {
		s.veryLate.add(now, float64(work))
	}
}

// behind reports whether a size class was served lately less often than its floor,
// compared with the queue as a whole.
func (q *Queue) behind(now time.Time, class Class) bool {
	arrived, served := 0.0, 0.0
	for c := range q.arrived {
		arrived += q.arrived[c].value(now)
		served += q.served[c].value(now)
	}
	of := q.arrived[class].value(now)
	return of >= minArrived && q.served[class].value(now)/of < classFloor*served/arrived
}

// Consider prepares Promote with a waiting step. The entry must stay where it is
// until then.
func (s *Shares) Consider(e *Entry) {
	q := e.Standing.Queue
	if !q.listed {
		q.listed = true
		s.listed = append(s.listed, q)
	}
	if e.Waited > e.Objective {
		q.late.consider(e)
	}
	if e.Key.Rank == VeryLate {
		s.veryLateSteps.consider(e)
		return
	}
	if e.Standing.promoted {
		e.Key.Promoted = true
		if e.Key.Rank == OnTime {
			q.promoted[e.Standing.Class] = true
		}
	}
	if best := q.best[e.Standing.Class]; !e.Key.Promoted && (best == nil || e.Key.Compare(&best.Key) < 0) {
		q.best[e.Standing.Class] = e
	}
}

// later reports whether a step is further past its objective than another.
func (e *Entry) later(other *Entry) bool {
	return e.Waited-e.Objective > other.Waited-other.Objective
}

// Promote promotes one step for each floor that is not met.
func (s *Shares) Promote(now time.Time) {
	floor := workFloor * s.work.value(now)
	s.turn++
	if s.veryLate.value(now) < floor {
		s.veryLateSteps.promote(s.turn)
	}
	s.veryLateSteps = lateSteps{}
	for _, q := range s.listed {
		for class := Large; class < ClassCount; class++ {
			if best := q.best[class]; best != nil && !q.promoted[class] && q.behind(now, class) {
				best.Key.Promoted = true
				best.Standing.promoted = true
				q.Promotions++
				q.served[class].add(now, 1)
			}
		}
		if q.work.value(now) < floor {
			q.late.promote(s.turn)
		}
		q.best = [ClassCount]*Entry{}
		q.promoted = [ClassCount]bool{}
		q.late = lateSteps{}
		q.listed = false
	}
	clear(s.listed)
	s.listed = s.listed[:0]
}
