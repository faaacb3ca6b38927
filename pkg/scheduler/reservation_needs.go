package scheduler

import (
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/reserver"
)

// collectNeeds sets needs to the large tasks that wait, those that come first at the
// front.
func (c *Cell) collectNeeds(now time.Time) {
	p := c.reservations
	clear(p.needs)
	p.needs = p.needs[:0]
	for i := range c.waiting {
		w := &c.waiting[i]
		since := w.occurrence.full[w.step].noRunnerSince
		if since.IsZero() || now.Sub(since) < reserveAfter {
			continue
		}
		if !c.mayReserve(w) {
			continue
		}
		if t := c.nextTask(now, w); t != nil {
			p.addNeed(c.need(now, w, t))
		}
	}
}

// mayReserve reports whether room may be reserved for a step: its tasks are large, or one
// has a reservation.
func (c *Cell) mayReserve(w *candidate) bool {
	if c.index.service(c.service(w.job)).sizes.large(&w.job.spec.Steps[w.step]) {
		return true
	}
	return c.reservationFor(w.occurrence.steps[w.step][0]) != nil
}

// nextTask returns the next task of a step to be placed, the first one of a gang, or nil
// if none can be.
func (c *Cell) nextTask(now time.Time, w *candidate) *task {
	step := &w.job.spec.Steps[w.step]
	tasks := w.occurrence.steps[w.step]
	i := slices.IndexFunc(tasks, func(t *task) bool { return t.pending(now) })
	t := tasks[i]
	placeable := c.rowRoom(w.job) >= 1
	if step.Gang {
		placeable = c.rowRoom(w.job) >= len(tasks) && !slices.ContainsFunc(tasks, func(t *task) bool { return !t.pending(now) })
	}
	// A suspect waits for a runner of its own.
	if !placeable || t.suspect() {
		return nil
	}
	return t
}

// addNeed adds a need, unless there are enough that come before it.
func (p *reservations) addNeed(n reserver.Need) {
	i, _ := slices.BinarySearchFunc(p.needs, n, reserver.CompareNeeds)
	if i == p.limit*needsPerReservation {
		return
	}
	p.needs = slices.Insert(p.needs, i, n)
	p.needs = p.needs[:min(len(p.needs), p.limit*needsPerReservation)]
}

// need returns what a task needs, or its gang.
func (c *Cell) need(now time.Time, w *candidate, t *task) reserver.Need {
	step := t.spec()
	n := reserver.Need{
		Key:          t.needKey(),
		Service:      c.service(t.job),
		Urgency:      w.urgency,
		Since:        w.occurrence.full[w.step].noRunnerSince,
		Needs:        step.allocation(),
		Count:        1,
		MaxPerRunner: step.AntiAffinity,
	}
	if step.Gang {
		n.Count = step.Count
		n.RackLocal = step.RackLocal
		n.OneRackOnly = step.RackLocal && now.Sub(n.Since) < reserveAfter+c.sweepTime(n.Service, n.Count)
	}
	if w.urgency > 0 && !step.BestEffort {
		n.KeepPercent = reservePercent
		n.KeepMost = reserver.NoLimit
		if step.LongRunning {
			n.KeepMost = n.Needs.ProcessorMillis
		}
	}
	return n
}

// setBarred sets which of the runners in the plan a need cannot use, whatever is free
// there.
func (c *Cell) setBarred(now time.Time, n *reserver.Need) {
	r := c.jobs[n.Key.Job].occurrences[n.Key.Occurrence]
	c.setBarredFor(now, n, r.steps[n.Key.Step][0])
}

// setBarredFor is like setBarred, for the need of a task.
func (c *Cell) setBarredFor(now time.Time, n *reserver.Need, t *task) {
	step := t.spec()
	if step.Requires == "" && step.AntiAffinity == 0 && c.cfg.ColdRuns == 0 {
		return
	}
	n.Barred = map[framer.RunnerKey]struct{}{}
	for i := range c.reservations.runners {
		s := c.runners[c.reservations.runners[i].Key]
		if step.Requires != "" && !slices.Contains(s.info.Labels, step.Requires) ||
			step.AntiAffinity > 0 && siblings(s, t) >= step.AntiAffinity || c.tooCold(now, s, step) {
			n.Barred[s.key] = struct{}{}
		}
	}
}
