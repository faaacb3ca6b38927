// Package ranker decides in which order waiting steps of jobs get capacity. Its
// functions do no I/O and keep no clock.
//
// A job has its full worth until its objective, a part of it until its bound, and
// none afterwards, though it must still complete. Of the jobs of one urgency, those
// come first whose worth is the highest for the work that is left. Floors keep the
// large jobs of a queue and the least urgent queues from being passed over.
package ranker

import (
	"cmp"
	"math"
	"time"
)

const (
	// LateFactor is the multiple of its objective up to which a late job has some
	// worth.
	LateFactor = 3
	// lateWeight is the weight of a late job in the order. It is higher than the share
	// of 0.15 of its worth that a late job has for callers: with that, late jobs would
	// yield to others until they have no worth at all, also those that were accepted
	// because they could complete within their bound.
	lateWeight = 0.6
	// fixedWorth is the worth of a job of no work, and workWorth what a job of the
	// mean work of its queue has beyond that.
	fixedWorth = 0.3
	workWorth  = 0.7
	// maxWorth limits the worth of a job.
	maxWorth = 4
	// begunFactor multiplies the worth of a job of which tasks have run: the work
	// that was spent is lost if it does not complete in time.
	begunFactor = 1.5
)

// Rank is the worth that the completion of a job still has.
type Rank int

// The ranks, best first.
const (
	// OnTime: the job can still meet its objective.
	OnTime Rank = iota + 1
	// Late: the job is late, but its completion still has some worth.
	Late
	// VeryLate: the completion has no worth, but the job must still complete.
	VeryLate
)

// Job is what is known of a waiting job.
type Job struct {
	Urgency int
	// Waited is how long the job has waited since it was due to start.
	Waited    time.Duration
	Objective time.Duration
	// Work and Remaining are the processor time of the whole job and of what is left of
	// it, MeanWork is the mean of its queue, all by the callers' estimates.
	Work      int64
	Remaining int64
	MeanWork  float64
	// Chain is the longest chain of estimates that is left.
	Chain time.Duration
	// Begun is set once a task of the job has run.
	Begun bool
}

// Rank returns the worth that the job's completion has if nothing delays it further. A job
// without an objective is never late.
func (j *Job) Rank() Rank {
	switch done := j.Waited + j.Chain; {
	case j.Objective <= 0, done <= j.Objective:
		return OnTime
	case done <= LateFactor*j.Objective:
		return Late
	default:
		return VeryLate
	}
}

// Worth returns the worth of a job that meets its objective, where meanWork is the
// mean of its queue.
func Worth(work int64, meanWork float64) float64 {
	if meanWork <= 0 {
		return 1
	}
	return min(maxWorth, fixedWorth+workWorth*float64(work)/meanWork)
}

// Key decides the place of a waiting step.
type Key struct {
	// First steps precede all others, and Promoted ones those of the same urgency: a
	// floor entitles them to capacity.
	First    bool
	Promoted bool
	Rank     Rank
	Urgency  int
	// Density is the worth of the job for each unit of work that is left.
	Density float64
	// Slack is the time that the job may still wait and keep its worth. It decides
	// between equal densities only: by slack alone, an overload makes all jobs late.
	Slack time.Duration
}

// KeyOf returns the key of a step of a job.
func KeyOf(j *Job) Key {
	k := Key{
		Rank:    j.Rank(),
		Urgency: j.Urgency,
		Slack:   j.Objective - j.Waited - j.Chain,
	}
	worth := Worth(j.Work, j.MeanWork)
	switch k.Rank {
	case OnTime:
	case Late:
		worth *= lateWeight
		k.Slack += (LateFactor - 1) * j.Objective
	case VeryLate:
		// The jobs that can be completed with the least work come first.
		worth = 1
	}
	if j.Begun {
		worth *= begunFactor
	}
	k.Density = worth / math.Max(1, float64(j.Remaining))
	return k
}

// Compare orders keys, the first to get capacity first.
func (k *Key) Compare(other *Key) int {
	return cmp.Or(
		compareSet(k.First, other.First),
		compareSet(k.Rank != VeryLate, other.Rank != VeryLate),
		cmp.Compare(k.Urgency, other.Urgency),
		compareSet(k.Promoted, other.Promoted),
		cmp.Compare(other.Density, k.Density),
		cmp.Compare(k.Slack, other.Slack),
	)
}

// compareSet orders what is set before what is not.
func compareSet(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
