package ranker

import "slices"

// Class is the size of a job among the recent jobs of its queue.
type Class int

// The size classes.
const (
	// Rest: the job is smaller than three tenths of its queue's jobs.
	Rest Class = iota
	// Large: the job is among the fifth below the largest tenth.
	Large
	// Largest: the job is among the largest tenth.
	Largest

	// ClassCount is the number of size classes.
	ClassCount
)

// classNames are the names of the classes in metrics.
var classNames = [ClassCount]string{
	Rest:    "rest",
	Large:   "large",
	Largest: "largest",
}

// String implements fmt.Stringer.
func (c Class) String() string {
	return classNames[c]
}

const (
	// sizeSamples is how many recent jobs of a queue decide the size classes.
	sizeSamples = 256
	// minSizeSamples is how many jobs must be known before any counts as large.
	minSizeSamples = 20
	// samplesPerUpdate is the number of jobs between two updates of the limits.
	samplesPerUpdate = 16
)

// Sizes keeps the work of the recent jobs of a queue.
type Sizes struct {
	work   [sizeSamples]int64
	sorted [sizeSamples]int64
	count  int
	sum    int64
	// largeFrom and largestFrom are the least work of the two upper classes.
	largeFrom   int64
	largestFrom int64
}

// Add records the work of a job that has arrived.
func (s *Sizes) Add(work int64) {
	i := s.count % sizeSamples
	s.sum += work - s.work[i]
	s.work[i] = work
	s.count++
	if s.count < minSizeSamples || s.count%samplesPerUpdate != 0 && s.count != minSizeSamples {
		return
	}
	n := min(s.count, sizeSamples)
	sorted := s.sorted[:n]
	copy(sorted, s.work[:n])
	slices.Sort(sorted)
	s.largeFrom = sorted[n*7/10]
	s.largestFrom = sorted[n*9/10]
}

// Class returns the size class of a job. While few jobs are known, or all are of the
// same size, none is large.
func (s *Sizes) Class(work int64) Class {
	switch {
	case s.count < minSizeSamples || s.largestFrom == s.sorted[0]:
		return Rest
	case work >= s.largestFrom:
		return Largest
	case work >= s.largeFrom:
		return Large
	default:
		return Rest
	}
}

// Mean returns the mean work of the recent jobs; 0 if there are none.
func (s *Sizes) Mean() float64 {
	if s.count == 0 {
		return 0
	}
	return float64(s.sum) / float64(min(s.count, sizeSamples))
}
