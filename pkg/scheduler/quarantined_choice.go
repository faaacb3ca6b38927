package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxQuarantineWait is how long a task waits for a runner that is not
	// quarantined. A quarantine may outlive its cause, so it must not keep a
	// task waiting while it lasts.
	maxQuarantineWait = 1500 * time.Millisecond
	// longRunningProbeInterval and finiteProbeInterval are the shortest times
	// after a placement on a quarantined runner until it may get a task of
	// either kind. A finite task has a limited number of attempts.
	longRunningProbeInterval = 500 * time.Millisecond
	finiteProbeInterval      = 2 * time.Second
)

// mayProbe reports whether a task that waited for maxQuarantineWait may be
// placed on the runner although it is quarantined.
func (s *runnerState) mayProbe(now time.Time, step *Step) bool {
	interval := finiteProbeInterval
	if step.LongRunning {
		interval = longRunningProbeInterval
	}
	return now.Sub(s.lastPlacedAt) >= interval && s.available(now) && s.quarantined(now)
}

// mayUseQuarantined reports whether tasks of a step may be placed on quarantined
// runners: the step waited for maxQuarantineWait, and its tasks run until the
// job is cancelled or the job has nothing running. Other tasks have a limited
// number of attempts, and their job makes progress without them.
func (w *candidate) mayUseQuarantined(now time.Time) bool {
	since := w.occurrence.full[w.step].noRunnerSince
	if since.IsZero() || now.Sub(since) < maxQuarantineWait {
		return false
	}
	return w.job.spec.Steps[w.step].LongRunning || w.job.placed == 0
}

// chooseQuarantined returns the quarantined runner for a task that no other
// runner can hold, or nil.
func (c *Cell) chooseQuarantined(now time.Time, w *candidate, t *task) *runnerState {
	if !w.mayUseQuarantined(now) {
		return nil
	}
	service := c.service(w.job)
	var best *runnerState
	for _, s := range c.index.blocked {
		if s.position.removed || s.info.Service != service || !s.mayProbe(now, t.spec()) || !c.fits(s, w, t) {
			continue
		}
		if best == nil || compareQuarantined(t, s, best) < 0 {
			best = s
		}
	}
	return best
}

// anyProbe reports whether a quarantined runner may get a task of a step.
func (c *Cell) anyProbe(now time.Time, w *candidate) bool {
	service, step := c.service(w.job), &w.job.spec.Steps[w.step]
	return w.mayUseQuarantined(now) && slices.ContainsFunc(c.index.blocked, func(s *runnerState) bool {
		return !s.position.removed && s.info.Service == service && s.mayProbe(now, step)
	})
}

// compareQuarantined orders quarantined runners for a task: those on which it
// did not fail come first, then those whose quarantine ends soonest.
func compareQuarantined(t *task, a, b *runnerState) int {
	return cmp.Or(
		compareBools(t.avoids(a.key.ID), t.avoids(b.key.ID)),
		a.quarantinedUntil.Compare(b.quarantinedUntil),
		compareKeys(a.key, b.key),
	)
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// recordPlacement records that a task was placed on a runner. A quarantined one gets
// the next task some time later.
func (s *runnerState) recordPlacement(now time.Time) {
	s.lastPlacedAt = now
}

// recordWaiting records whether a step has tasks that no runner could hold.
func (w *candidate) recordWaiting(now time.Time, waiting bool) {
	since := &w.occurrence.full[w.step].noRunnerSince
	switch {
	case !waiting:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	default:
	}
}
