package scheduler

import (
	"maps"
	"slices"
	"time"
)

// placeByScan places waiting tasks like Cell.place, but looks at every runner
// for every task and remembers nothing.
func placeByScan(c *Cell, now time.Time) {
	c.index.refresh()
	c.rejections.reset()
	c.collectWaiting(now)
	c.planReservations(now)
	waiting := slices.Clone(c.waiting)
	for i, w := range waiting {
		waiting[i].starved = w.job.waitedLong && w.job.placed < minRunning && mostlyIdleByScan(c, c.service(w.job))
	}
	for _, w := range waiting {
		tasks := w.occurrence.steps[w.step]
		if w.job.spec.Steps[w.step].Gang {
			placeGangByScan(c, now, &w, tasks)
			continue
		}
		waits := false
		for _, t := range heldRoomFirst(tasks) {
			if !t.pending(now) {
				continue
			}
			s := chooseByScan(c, now, &w, t, nil)
			if s == nil {
				waits = true
				break
			}
			c.start(now, s, t)
			s.lastPlacedAt = now
			waits = waits || s.startRefusals.recent(now)
			w.starved = w.starved && w.job.placed < minRunning
		}
		waitByScan(now, &w, waits)
	}
}

func placeGangByScan(c *Cell, now time.Time, w *candidate, members []*task) {
	run := 0
	for _, t := range members {
		if !t.pending(now) {
			return
		}
		run = max(run, t.run)
	}
	var bound []*runnerState
	for _, t := range members {
		s := chooseByScan(c, now, w, t, bound)
		if s == nil {
			break
		}
		s.bind(t)
		bound = append(bound, s)
	}
	for i, s := range bound {
		s.release(members[i])
	}
	waits := len(bound) < len(members)
	for _, s := range bound {
		waits = waits || s.startRefusals.recent(now)
	}
	waitByScan(now, w, waits)
	if len(bound) < len(members) {
		return
	}
	for i, t := range members {
		t.run = run
		t.checkpoint = members[0].checkpoint
		c.start(now, bound[i], t)
		bound[i].lastPlacedAt = now
	}
}

// waitByScan records since when a step has had tasks that no runner could hold.
func waitByScan(now time.Time, w *candidate, waits bool) {
	since := &w.occurrence.full[w.step].noRunnerSince
	if !waits {
		*since = time.Time{}
	} else if since.IsZero() {
		*since = now
	}
}

func mostlyIdleByScan(c *Cell, service string) bool {
	allocated, capacity := int64(0), int64(0)
	for _, s := range c.runners {
		if s.info.Service == service && s.agent != "" && !s.domainClosed {
			allocated += s.allocated.ProcessorMillis
			capacity += s.info.ProcessorMillis
		}
	}
	return 100*allocated < idlePercent*capacity
}

func chooseByScan(c *Cell, now time.Time, w *candidate, t *task, gang []*runnerState) *runnerState {
	c.index.refresh()
	var best *runnerState
	bestRating, bestMillis := rating{}, int64(0)
	for _, key := range slices.SortedFunc(maps.Keys(c.runners), compareKeys) {
		s := c.runners[key]
		takes := s.info.Service == c.service(w.job) && s.takes(now, t) && !c.tooCold(now, s, t.spec())
		if !takes || !c.fits(s, w, t) || c.reservedFromTask(now, s, w, t) {
			continue
		}
		r, millis := c.rate(now, s, t, gang), s.idleMillis()
		if c.packsTightly(c.index.service(s.info.Service), t.spec()) {
			// The tightest runner is the best, unless it has too few idle processors.
			tight := compareTight(t.spec())
			if best == nil || tight(s, best, r, bestRating) < 0 {
				best, bestRating = s, r
			}
			continue
		}
		if t.spec().TargetMillis > 0 {
			millis += s.latencyCriticalMillis
		}
		order := r.compare(bestRating)
		if best == nil || order < 0 || order == 0 && millis > bestMillis {
			best, bestRating, bestMillis = s, r, millis
		}
	}
	if best == nil {
		best = chooseQuarantinedByScan(c, now, w, t)
	}
	return best
}

// chooseQuarantinedByScan chooses a quarantined runner for a task that waited
// for long.
func chooseQuarantinedByScan(c *Cell, now time.Time, w *candidate, t *task) *runnerState {
	since := w.occurrence.full[w.step].noRunnerSince
	if since.IsZero() || now.Sub(since) < maxQuarantineWait || !t.spec().LongRunning && w.job.placed > 0 {
		return nil
	}
	interval := finiteProbeInterval
	if t.spec().LongRunning {
		interval = longRunningProbeInterval
	}
	var best *runnerState
	for _, key := range slices.SortedFunc(maps.Keys(c.runners), compareKeys) {
		s := c.runners[key]
		probed := now.Sub(s.lastPlacedAt) < interval
		if s.info.Service != c.service(w.job) || !s.available(now) || !s.quarantined(now) || probed || !c.fits(s, w, t) {
			continue
		}
		switch {
		case best == nil, t.avoids(best.key.ID) && !t.avoids(s.key.ID):
			best = s
		case !t.avoids(best.key.ID) && t.avoids(s.key.ID):
		case s.quarantinedUntil.Before(best.quarantinedUntil):
			best = s
		default:
		}
	}
	return best
}
