package scheduler

import (
	"math"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// stallTimeout is how long the runs of a runner may make no progress: the
	// more tell of it, the shorter.
	stallTimeout       = 700 * time.Millisecond
	pairStallTimeout   = 1200 * time.Millisecond
	singleStallTimeout = 2500 * time.Millisecond
	// maxListingGap is the longest time between two listings that counts: in a
	// longer one the runner or its instance may have been suspended.
	maxListingGap = 800 * time.Millisecond
	// speedHalfLife is the time in which what was seen of a runner's speed comes
	// to count half, and leastPassed how much must have been seen.
	speedHalfLife = 1500 * time.Millisecond
	minElapsed    = time.Second
	// slowRatio is the share of the expected speed below which a runner is slow.
	slowRatio = 0.4
	// fullPercent is the progress of a run that is about to end.
	fullPercent = 100
	// percentStep is the share of a run's time in which its progress changes;
	// estimates are off by a factor of some.
	percentStep = 0.05
)

// detectStall finds a runner on which the runs stand still, though it lists them and
// says that they use its processors. What stands still there is started again
// elsewhere.
func (c *Cell) detectStall(now time.Time, s *runnerState, running []framer.RunStatus) {
	passed := now.Sub(s.progressCheckedAt)
	s.progressCheckedAt = now
	if passed > maxListingGap {
		passed = 0
	}
	s.stalledFor += passed
	var stuck []*task
	for _, status := range running {
		t := c.currentTask(s, status.RunRef)
		if t == nil || t.stopping || !t.expectsProgress(status) {
			continue
		}
		t.stalledFor += passed
		s.recordWork(now, t, status.Percent, passed)
		if status.Percent != t.percent {
			t.percent = status.Percent
			t.stalledFor = 0
			s.stalledFor = 0
		}
		if t.stalledFor > t.stallLimit() {
			stuck = append(stuck, t)
		}
	}
	if len(stuck) == 0 || s.stalledFor < runnerStallLimit(len(stuck)) {
		return
	}
	s.stalled = true
	s.startQuarantine(now)
	c.cfg.Log("runner stands still", "runner", s.key.ID, "runs", len(stuck), "still-millis", s.stalledFor.Milliseconds(), "for", s.quarantine)
	for _, t := range stuck {
		t.avoid = append(t.avoid, s.key.ID)
		c.stop(t)
	}
}

// runnerStallLimit is how long a runner may stand still by so many runs.
func runnerStallLimit(runs int) time.Duration {
	switch runs {
	case 1:
		return singleStallTimeout
	case 2:
		return pairStallTimeout
	default:
		return stallTimeout
	}
}

// speed compares the work that runs got done with the time that passed.
type speed struct {
	// workSeconds and passed are in seconds; what is older counts for less.
	workSeconds    float64
	elapsedSeconds float64
	updatedAt      time.Time
}

// decay is how much of what was seen still counts.
func (v *speed) decay(now time.Time) float64 {
	return math.Exp2(-now.Sub(v.updatedAt).Seconds() / speedHalfLife.Seconds())
}

func (v *speed) add(now time.Time, worked, passed float64) {
	left := v.decay(now)
	v.workSeconds = v.workSeconds*left + worked
	v.elapsedSeconds = v.elapsedSeconds*left + passed
	v.updatedAt = now
}

// slow tells whether runs take far longer than their estimates. What was seen
// fades, so that the runner is tried again.
func (v *speed) slow(now time.Time) bool {
	return v.elapsedSeconds*v.decay(now) >= minElapsed.Seconds() && v.workSeconds < slowRatio*v.elapsedSeconds
}

// recordWork takes the progress of a run since it was last looked at. Estimates
// of filling runs, which get what others leave, tell too little.
func (s *runnerState) recordWork(now time.Time, t *task, percent int, passed time.Duration) {
	step := t.spec()
	if step.BestEffort || t.progressRun != t.run {
		t.progressRun = t.run
		return
	}
	estimate := float64(step.EstimateMillis) / 1000
	s.speed.add(now, estimate*float64(percent-t.percent)/fullPercent, passed.Seconds())
}

// expectsProgress tells whether a run should make progress: it ends by itself, and it
// isn't held back.
func (t *task) expectsProgress(status framer.RunStatus) bool {
	step := t.spec()
	if step.LongRunning || step.Gang || status.Percent >= fullPercent {
		return false
	}
	if step.BestEffort && 2*status.Measurement < float64(step.Needs.ProcessorMillis) {
		t.stalledFor = 0
		return false
	}
	return true
}

// stallLimit is how long the run may show no progress.
func (t *task) stallLimit() time.Duration {
	estimate := time.Duration(t.spec().EstimateMillis) * time.Millisecond
	return stallTimeout + time.Duration(percentStep*float64(estimate))
}
