package scheduler

import (
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// bestEffortShares returns the share of the runner that each best-effort image
// requests.
func (s *runnerState) bestEffortShares() imageShares {
	shares := imageShares{}
	for t := range s.tasks {
		if step := t.spec(); step.BestEffort {
			shares[step.Image] += s.share(step)
		}
	}
	return shares
}

// share returns the share of the runner's processors that a task of a step
// requests.
func (s *runnerState) share(step *Step) float64 {
	return float64(step.Needs.ProcessorMillis) / float64(max(1, s.info.ProcessorMillis))
}

func decrement(counts map[string]int, image string) {
	counts[image]--
	if counts[image] == 0 {
		delete(counts, image)
	}
}

// capacity returns the runner's resources less those that unexpected runs
// occupy.
func (s *runnerState) capacity() publisher.Resources {
	capacity := publisher.Resources{
		ProcessorMillis: s.info.ProcessorMillis,
		MemoryBytes:     s.info.MemoryBytes,
		Accelerators:    s.info.Accelerators,
	}
	for _, needs := range s.unexpectedRuns {
		capacity = publisher.Subtract(capacity, needs)
	}
	return capacity
}

// free returns the resources that can still be allocated.
func (s *runnerState) free() publisher.Resources {
	return publisher.Subtract(s.capacity(), s.allocated)
}

// idleMillis returns the processors that are neither requested by best-effort
// tasks nor expected to be used by others, in thousandths of one.
// Latency-critical tasks are expected to use latencyCriticalLoadPercent of their
// request, all others the whole of it.
func (s *runnerState) idleMillis() int64 {
	unused := s.latencyCriticalMillis * (100 - latencyCriticalLoadPercent) / 100
	return s.free().ProcessorMillis + unused - s.bestEffortMillis
}

// addUnexpected records a run that the runner lists but should not have, and
// the resources that it occupies.
func (s *runnerState) addUnexpected(ref framer.RunRef, needs publisher.Resources) {
	s.unexpectedRuns[ref] = needs
	s.index.worsened(s)
	s.needsSync()
}

// removeUnexpected drops an unexpected run that is gone.
func (s *runnerState) removeUnexpected(ref framer.RunRef) {
	if _, ok := s.unexpectedRuns[ref]; ok {
		delete(s.unexpectedRuns, ref)
		s.index.improved(s)
	}
}
