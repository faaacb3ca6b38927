package scheduler

import (
	"math"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/ranker"
)

// promotionLogInterval is the time between two lines about the promotions of a queue.
const promotionLogInterval = 10 * time.Second

// ordering is what the cell knows of the jobs that compete for capacity.
type ordering struct {
	// shares holds what the queues of each service got lately.
	shares map[string]*ranker.Shares
	// promotions is how many promotions of each queue are logged, as of loggedAt.
	promotions map[string]int64
	loggedAt   time.Time
}

func newOrdering() *ordering {
	return &ordering{
		shares:     map[string]*ranker.Shares{},
		promotions: map[string]int64{},
	}
}

// of returns the shares of a service and creates them if they are missing.
func (o *ordering) of(service string) *ranker.Shares {
	s := o.shares[service]
	if s == nil {
		s = ranker.NewShares()
		o.shares[service] = s
	}
	return s
}

// ends reports whether a job ends by itself and is due at once. Only such jobs have a
// size and are counted by the floors.
func (s *Spec) ends() bool {
	if s.RunCount > 0 {
		return false
	}
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return false
		}
	}
	return true
}

// taskWork returns the processor time of a task of the step by the caller's estimate,
// in thousandths of a processor times milliseconds.
func (s *Step) taskWork() int64 {
	return s.Needs.ProcessorMillis * max(1, s.EstimateMillis)
}

// arrived records a job that competes for capacity from now on.
func (c *Cell) arrived(now time.Time, j *job) {
	for i := range j.spec.Steps {
		j.work += int64(j.spec.Steps[i].Count) * j.spec.Steps[i].taskWork()
	}
	q := c.ordering.of(c.service(j)).Queue(j.spec.Queue)
	j.rank = ranker.OnTime
	j.standing = ranker.Standing{
		Queue: q,
	}
	if j.spec.ends() {
		j.standing = q.Arrived(now, j.work)
	}
}

// recordStart records a start for the floors.
func (c *Cell) recordStart(now time.Time, t *task) {
	work := int64(0)
	if !t.spec().LongRunning {
		work = t.spec().taskWork()
	}
	t.job.standing.Queue.Shares.Started(now, &t.job.standing, t.job.rank, work)
}

// recordCompletion records a completed job for the floors.
func (c *Cell) recordCompletion(now time.Time, j *job) {
	if j.spec.ends() && now.Sub(j.seenAt) <= ranker.LateFactor*c.objective(j) {
		j.standing.Completed(now)
	}
}

// objective returns the time objective of an occurrence of a job.
func (c *Cell) objective(j *job) time.Duration {
	return c.terms(j).objective(j.chain)
}

func (t Terms) objective(chain time.Duration) time.Duration {
	return time.Duration(t.Stretch*float64(chain)) + t.TargetLatency
}

// candidate returns a step that waits, with its place in the order.
func (c *Cell) candidate(now time.Time, j *job, r *occurrence, number int) candidate {
	terms := c.terms(j)
	from := maxTime(j.seenAt, r.dueAt)
	objective := terms.objective(j.chain)
	w := candidate{
		Entry: ranker.Entry{
			Standing:  &j.standing,
			Waited:    now.Sub(from),
			Objective: objective,
		},
		job:        j,
		occurrence: r,
		step:       number,
		urgency:    terms.Urgency,
		dueBy:      from.Add(objective),
		starved:    c.starved(now, j),
	}
	if j.spec.Steps[number].LongRunning {
		w.Key = ranker.Key{
			Promoted: true,
			Rank:     ranker.OnTime,
			Urgency:  terms.Urgency,
			Density:  math.Inf(1),
		}
		return w
	}
	remaining := int64(0)
	for i := range j.spec.Steps {
		remaining += int64(r.unfinished[i]) * j.spec.Steps[i].taskWork()
	}
	w.Key = ranker.KeyOf(&ranker.Job{
		Urgency:   terms.Urgency,
		Waited:    w.Waited,
		Objective: objective,
		Work:      j.work,
		Remaining: remaining,
		MeanWork:  j.standing.Queue.Sizes.Mean(),
		Chain:     c.remainingChain(r, j.spec.Steps),
		Begun:     j.begun,
	})
	j.rank = w.Key.Rank
	return w
}

// applyFloors promotes the waiting steps that are entitled to capacity.
func (c *Cell) applyFloors(now time.Time) {
	if len(c.waiting) == 0 {
		return
	}
	for i := range c.waiting {
		w := &c.waiting[i]
		if !w.job.spec.Steps[w.step].LongRunning {
			w.Standing.Queue.Shares.Consider(&w.Entry)
		}
	}
	for _, shares := range c.ordering.shares {
		shares.Promote(now)
	}
	c.logPromotions(now)
}

// logPromotions logs how many jobs of each queue the floors promoted lately.
func (c *Cell) logPromotions(now time.Time) {
	o := c.ordering
	if now.Sub(o.loggedAt) < promotionLogInterval {
		return
	}
	o.loggedAt = now
	for service, shares := range o.shares {
		for name, q := range shares.Queues() {
			if n := q.Promotions - o.promotions[name]; n > 0 {
				c.cfg.LogEvent("large jobs promoted", "queue", name, "service", service, "jobs", n)
			}
			o.promotions[name] = q.Promotions
		}
	}
}

// QueueStarts counts the starts of a queue's tasks by size class of their jobs, and the
// jobs that were promoted because their class was served too seldom.
type QueueStarts struct {
	Rest       int64 `json:"rest"`
	Large      int64 `json:"large"`
	Largest    int64 `json:"largest"`
	Promotions int64 `json:"promotions"`
}

// QueueStarts returns the counts of each queue since the owner acquired the cell.
func (c *Cell) QueueStarts() map[string]QueueStarts {
	starts := map[string]QueueStarts{}
	for _, shares := range c.ordering.shares {
		for name, q := range shares.Queues() {
			starts[name] = QueueStarts{
				Rest:       starts[name].Rest + q.Starts[ranker.Rest],
				Large:      starts[name].Large + q.Starts[ranker.Large],
				Largest:    starts[name].Largest + q.Starts[ranker.Largest],
				Promotions: starts[name].Promotions + q.Promotions,
			}
		}
	}
	return starts
}
