package scheduler

import (
	"cmp"
	"sort"
	"time"
)

// packsTightly reports whether the tasks of a step go to the runners that they fill most
// tightly, so that whole gaps remain for a large task that waits. Best-effort tasks
// use idle processors, and latency-critical ones are packed in any case.
func (c *Cell) packsTightly(v *serviceIndex, step *Step) bool {
	if c.reservations == nil || step.BestEffort || step.TargetMillis > 0 {
		return false
	}
	_, packed := c.reservations.packed[v.name]
	return packed
}

// chooseTight is like chooseSchedulable, but of the runners with the same rating it
// returns the one with the fewest idle processors. Those with fewer of them than the task
// needs come last: only beside best-effort tasks can it fit there.
func (c *Cell) chooseTight(now time.Time, v *serviceIndex, w *candidate, t *task, gang []*runnerState) *runnerState {
	runners := v.byIdle.runners
	needs := t.spec().Needs.ProcessorMillis
	enough := sort.Search(len(runners), func(i int) bool { return runners[i].position.idle < needs })
	if s := c.lastBest(now, runners[:enough], w, t, gang); s != nil {
		return s
	}
	return c.lastBest(now, runners[enough:], w, t, gang)
}

// lastBest returns the runner with the best rating for a task, the last one of several.
func (c *Cell) lastBest(now time.Time, runners []*runnerState, w *candidate, t *task, gang []*runnerState) *runnerState {
	var best *runnerState
	var bestRating rating
	for i := len(runners) - 1; i >= 0; i-- {
		s := runners[i]
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

// compareRated orders runners by their ratings and, of the same rating, by another order.
func compareRated(compare func(a, b *runnerState) int) func(a, b *runnerState, ratingA, ratingB rating) int {
	return func(a, b *runnerState, ratingA, ratingB rating) int {
		return cmp.Or(ratingA.compare(ratingB), compare(a, b))
	}
}

// compareTight orders runners as chooseTight does.
func compareTight(step *Step) func(a, b *runnerState, ratingA, ratingB rating) int {
	needs := step.Needs.ProcessorMillis
	return func(a, b *runnerState, ratingA, ratingB rating) int {
		return cmp.Or(
			compareBools(a.position.idle < needs, b.position.idle < needs),
			ratingA.compare(ratingB),
			cmp.Compare(a.position.idle, b.position.idle),
			compareKeys(b.key, a.key),
		)
	}
}
