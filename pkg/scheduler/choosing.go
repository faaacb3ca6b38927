package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// reservePercent is the percentage of a runner's processors that only the most
// urgent queue may use, and jobs that have waited for long on a mostly idle service.
// For a long-running task, the reserve is at most what the task needs: one that fits
// twice is to run however full the service is.
const reservePercent = 6

// chooseRunner returns the best runner for a task, or nil: the best schedulable one
// (chooseSchedulable), of which only those need to be looked at that improved since
// none could hold the task (chooseImproved), or else a quarantined one, if the task
// has waited for long (chooseQuarantined). gang lists the
// runners that were chosen for earlier members of the task's gang. A rack-local
// gang prefers runners with the labels of the first one, which name its rack.
func (c *Cell) chooseRunner(now time.Time, w *candidate, t *task, gang []*runnerState) *runnerState {
	if s := c.chooseSchedulable(now, w, t, gang); s != nil {
		return s
	}
	return c.chooseQuarantined(now, w, t)
}

// chooseSchedulable is like chooseRunner, without quarantined runners.
func (c *Cell) chooseSchedulable(now time.Time, w *candidate, t *task, gang []*runnerState) *runnerState {
	c.index.refresh()
	service := c.index.service(c.service(w.job))
	// A runner may be reserved for a suspect, or hold room for a task that is moved, that
	// the other tasks of its step cannot use.
	if change := c.fullUpTo(w); change > 0 && len(gang) == 0 && !t.spec().Gang && !t.suspect() && t.roomOn == nil {
		return c.chooseImproved(now, service, change, w, t)
	}
	if c.packsTightly(service, t.spec()) {
		return c.chooseTight(now, service, w, t, gang)
	}
	order := service.orderFor(t.spec())
	var best *runnerState
	var bestRating rating
	for _, s := range order.runners {
		if order == &service.byIdle && w.tooBusy(s) {
			// All runners that follow have no more idle processors.
			break
		}
		if !c.mayPlace(now, s, w, t) {
			continue
		}
		r := c.rate(now, s, t, gang)
		if r == (rating{}) {
			return s
		}
		if best == nil || r.compare(bestRating) < 0 {
			best = s
			bestRating = r
		}
	}
	return best
}

// chooseImproved is like chooseSchedulable, for a step whose tasks no runner could
// hold at a change; only the runners that improved since then are considered.
func (c *Cell) chooseImproved(now time.Time, v *serviceIndex, change uint64, w *candidate, t *task) *runnerState {
	compare := compareRated(v.orderFor(t.spec()).compare)
	if c.packsTightly(v, t.spec()) {
		compare = compareTight(t.spec())
	}
	var best *runnerState
	var bestRating rating
	for e := v.improved.Front(); e != nil; e = e.Next() {
		s, ok := e.Value.(*runnerState)
		if !ok || s.position.improvedAt <= change {
			break
		}
		if !c.mayPlace(now, s, w, t) {
			continue
		}
		r := c.rate(now, s, t, nil)
		if best == nil || compare(s, best, r, bestRating) < 0 {
			best = s
			bestRating = r
		}
	}
	return best
}

// orderFor returns the order in which a step's tasks take runners with the same
// rating. Latency-critical tasks are packed together, which leaves other runners
// to best-effort tasks.
func (v *serviceIndex) orderFor(step *Step) *ranking {
	if step.TargetMillis > 0 {
		return &v.byPacked
	}
	return &v.byIdle
}

// mayPlace reports whether a task may be placed on a runner now.
func (c *Cell) mayPlace(now time.Time, s *runnerState, w *candidate, t *task) bool {
	if !s.takes(now, t) || c.tooCold(now, s, t.spec()) {
		c.index.block(s)
		return false
	}
	return c.fits(s, w, t) && !c.reservedFromTask(now, s, w, t)
}

// tooBusy reports whether a runner has too few idle processors for a
// best-effort task, which would only slow the others.
func (w *candidate) tooBusy(s *runnerState) bool {
	step := &w.job.spec.Steps[w.step]
	return step.BestEffort && !w.starved && 2*s.idleMillis() < step.Needs.ProcessorMillis
}

// misfit returns why a task may not be placed on a schedulable runner, or
// accepted.
func (c *Cell) misfit(s *runnerState, w *candidate, t *task) refusal {
	step := t.spec()
	if step.Requires != "" && !slices.Contains(s.info.Labels, step.Requires) {
		return refusedWithoutLabel
	}
	if step.AntiAffinity > 0 && siblings(s, t) >= step.AntiAffinity {
		return refusedAntiAffinity
	}
	needs := step.allocation()
	if w.urgency > 0 && !step.BestEffort && !w.starved {
		reserve := s.info.ProcessorMillis * reservePercent / 100
		if step.LongRunning {
			reserve = min(reserve, needs.ProcessorMillis)
		}
		needs = publisher.Add(needs, publisher.Resources{
			ProcessorMillis: reserve,
		})
	}
	if free := publisher.Subtract(s.free(), s.held(t)); !publisher.Within(needs, free) {
		return shortage(step.allocation(), free)
	}
	if !step.BestEffort || w.starved {
		return accepted
	}
	if w.tooBusy(s) {
		return refusedBusy
	}
	if !c.interference.tolerates(s.latencyCritical, s.bestEffortShares(), step.Image, s.share(step)) {
		return refusedNotTolerated
	}
	return accepted
}

// siblings returns the number of tasks of the same step and occurrence on a
// runner.
func siblings(s *runnerState, t *task) int {
	n := 0
	for other := range s.tasks {
		if other.occurrence == t.occurrence && other.step == t.step {
			n++
		}
	}
	return n
}

// The penalties of a runner, from least to most severe.
const (
	penaltyOtherRack = 1
	penaltySuspect   = 2
	penaltyColocated = 4
	penaltyFailed    = 8
	penaltySlow      = 16
	penaltyRefused   = 32
	// penaltyRestarted: the task would wait for long if the runner was lost.
	penaltyRestarted = 64
)

// rating rates a runner for a task; zero is best. Of runners with the same
// rating, the first in the order of the index is the best.
type rating struct {
	// exposure is what a crash of the runner would cost, for a suspect only.
	exposure exposure
	penalty  int
	// rejections is how many more best-effort images the runner is expected to
	// reject with the task on it.
	rejections float64
	// otherImages counts the latency-critical images that the task would join.
	otherImages int
}

func (r rating) compare(other rating) int {
	return cmp.Or(
		r.exposure.compare(other.exposure),
		cmp.Compare(r.penalty, other.penalty),
		cmp.Compare(r.rejections, other.rejections),
		cmp.Compare(r.otherImages, other.otherImages),
	)
}

// rate rates a runner for a task; gang is as for chooseRunner.
func (c *Cell) rate(now time.Time, s *runnerState, t *task, gang []*runnerState) rating {
	r := rating{
		penalty: penaltyOf(now, s, t, gang),
	}
	if t.suspect() {
		r.exposure = s.exposureTo(now, t)
	}
	if step := t.spec(); step.TargetMillis > 0 {
		r.rejections = c.rejections.added(step.Image, s.latencyCritical)
		r.otherImages = len(s.latencyCritical)
		if s.latencyCritical[step.Image] > 0 {
			r.otherImages--
		}
	}
	return r
}

// penaltyOf returns the sum of the penalties of a runner for a task.
func penaltyOf(now time.Time, s *runnerState, t *task, gang []*runnerState) int {
	step := t.spec()
	penalty := 0
	if step.DataRack != "" && !slices.Contains(s.info.Labels, step.DataRack) {
		penalty += penaltyOtherRack
	}
	if step.RackLocal && len(gang) > 0 && !slices.Equal(gang[0].info.Labels, s.info.Labels) {
		penalty += penaltyOtherRack
	}
	if len(s.failedJobs) > 0 {
		penalty += penaltySuspect
	}
	if s.speed.slow(now) {
		penalty += penaltySlow
	}
	if s.delaysRestart(now, step) {
		penalty += penaltyRestarted
	}
	if s.startRefusals.recent(now) {
		penalty += penaltyRefused
	}
	if step.BestEffort && len(s.latencyCritical) > 0 || step.TargetMillis > 0 && len(s.bestEffort) > 0 {
		penalty += penaltyColocated
	}
	if t.avoids(s.key.ID) {
		penalty += penaltyFailed
	}
	return penalty
}

func compareKeys(a, b framer.RunnerKey) int {
	return cmp.Or(
		cmp.Compare(a.ID, b.ID),
		cmp.Compare(a.StartedAtMillis, b.StartedAtMillis),
	)
}
