package reserver

import (
	"slices"
	"time"
)

const (
	// ratioCount is how many finished runs of a queue the error is learned from.
	ratioCount = 64
	// minRatios is how many of them there must be before they are used.
	minRatios = 8
	// unknownFactor is used until then: callers' estimates are off by up to 90 %.
	unknownFactor = 1.9
	// ratioPercentile is the share of runs, in percent, that end by the corrected
	// estimate.
	ratioPercentile = 90
	// A run that exceeded the corrected estimate is expected to last for its elapsed
	// time divided by overdueDivisor from now on, but at least for minOverdue.
	overdueDivisor = 4
	minOverdue     = 100 * time.Millisecond
)

// Class is a set of runs whose estimates have the same error. Best-effort runs get only
// the processors that others leave idle, so they have a class of their own in each queue.
type Class struct {
	Queue      string
	BestEffort bool
}

// Estimates corrects callers' estimates by the error of finished runs. The zero value
// knows no run.
type Estimates struct {
	classes map[Class]*ratios
	// version counts the finished runs.
	version uint64
}

// ratios holds the last ratios of run time to estimate of a class.
type ratios struct {
	recent []float64
	next   int
	sorted []float64
}

// Observe records the estimate of a finished run and how long it took.
func (e *Estimates) Observe(class Class, estimate, actual time.Duration) {
	if estimate <= 0 || actual < 0 {
		return
	}
	if e.classes == nil {
		e.classes = map[Class]*ratios{}
	}
	c := e.classes[class]
	if c == nil {
		c = &ratios{}
		e.classes[class] = c
	}
	c.add(float64(actual) / float64(estimate))
	e.version++
}

// Version changes whenever a correction may have changed.
func (e *Estimates) Version() uint64 {
	return e.version
}

// Factor returns the multiple of the estimate by which ratioPercentile percent of the
// runs of a class end.
func (e *Estimates) Factor(class Class) float64 {
	c := e.classes[class]
	if c == nil || len(c.recent) < minRatios {
		return unknownFactor
	}
	return c.percentile()
}

// EndsBy returns the time by which a run that began at startedAt ends. It is zero if the
// run has no estimate.
func (e *Estimates) EndsBy(now, startedAt time.Time, class Class, estimate time.Duration) time.Time {
	if estimate <= 0 {
		return time.Time{}
	}
	end := startedAt.Add(time.Duration(e.Factor(class) * float64(estimate)))
	if end.After(now) {
		return end
	}
	return now.Add(max(minOverdue, now.Sub(startedAt)/overdueDivisor))
}

func (c *ratios) add(ratio float64) {
	c.sorted = c.sorted[:0]
	if len(c.recent) < ratioCount {
		c.recent = append(c.recent, ratio)
		return
	}
	c.recent[c.next] = ratio
	c.next = (c.next + 1) % ratioCount
}

func (c *ratios) percentile() float64 {
	if len(c.sorted) == 0 {
		c.sorted = append(c.sorted, c.recent...)
		slices.Sort(c.sorted)
	}
	return c.sorted[(len(c.sorted)-1)*ratioPercentile/100]
}
