package estimator

import (
	"slices"
	"time"
)

// stableFor is how long the runners of a service must be unchanged before jobs that
// none of them can hold are refused: longer than a runner takes to restart or an agent
// to report to a new owner.
const stableFor = 10 * time.Second

// RunnerSet remembers what the runners of a service can hold and since when.
type RunnerSet struct {
	known     Runners
	changedAt time.Time
	next      Runners
}

// Begin begins an observation of all runners.
func (s *RunnerSet) Begin(service string) {
	s.next = Runners{
		Service:   service,
		Labels:    s.next.Labels[:0],
		AllLabels: true,
	}
}

// Add adds a runner to the observation.
func (s *RunnerSet) Add(processorMillis, memoryBytes, accelerators int64, labels []string) {
	n := &s.next
	n.ProcessorMillis = max(n.ProcessorMillis, processorMillis)
	n.MemoryBytes = max(n.MemoryBytes, memoryBytes)
	n.Accelerators = max(n.Accelerators, accelerators)
	for _, label := range labels {
		h := hash(label)
		i, found := slices.BinarySearch(n.Labels, h)
		switch {
		case found || !n.AllLabels:
		case len(n.Labels) == maxLabels:
			n.AllLabels = false
			n.Labels = n.Labels[:0]
		default:
			n.Labels = slices.Insert(n.Labels, i, h)
		}
	}
}

// End ends the observation.
func (s *RunnerSet) End(now time.Time) {
	n, known := &s.next, &s.known
	same := n.ProcessorMillis == known.ProcessorMillis && n.MemoryBytes == known.MemoryBytes &&
		n.Accelerators == known.Accelerators && n.AllLabels == known.AllLabels && slices.Equal(n.Labels, known.Labels)
	if !same || s.changedAt.IsZero() {
		s.changedAt = now
	}
	labels := slices.Clone(n.Labels)
	*known = *n
	known.Labels = labels
}

// Stable returns the runners if they have been unchanged for long enough and there are
// any.
func (s *RunnerSet) Stable(now time.Time) (Runners, bool) {
	if s.changedAt.IsZero() || now.Sub(s.changedAt) < stableFor || s.known.ProcessorMillis == 0 {
		return Runners{}, false
	}
	return s.known, true
}
