package scheduler

import (
	"math"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// stallTimeout is how long a runner may make no progress if three or more
	// of its runs are stalled; pairStallTimeout applies to two runs and
	// singleStallTimeout to one. The fewer runs, the weaker the evidence and
	// the longer the timeout.
	stallTimeout       = 700 * time.Millisecond
	pairStallTimeout   = 1200 * time.Millisecond
	singleStallTimeout = 2500 * time.Millisecond
	// maxListingGap is the longest time between two listings that counts
	// towards a stall. In a longer gap, the runner or its instance may have
	// been suspended.
	maxListingGap = 800 * time.Millisecond
	// speedHalfLife is the half-life of the observations of a runner's speed,
	// and minElapsed is the least decayed run time that must have been observed
	// before a runner can count as slow.
	speedHalfLife = 1500 * time.Millisecond
	minElapsed    = time.Second
	// slowRatio is the ratio to the expected speed below which a runner is
	// slow.
	slowRatio = 0.4
	// fullPercent is the progress of a run that is about to finish.
	fullPercent = 100
	// percentStep is the share of a run's estimated time after which its
	// reported progress should change. It leaves a margin, since estimates can
	// be off by a factor of a few.
	percentStep = 0.05
)

// detectStall detects a runner whose runs make no progress although it lists
// them and reports that they use its processors. It quarantines the runner and
// stops the stalled runs, so that they start again elsewhere.
func (c *Cell) detectStall(now time.Time, s *runnerState, running []framer.RunStatus) {
	elapsed := now.Sub(s.progressCheckedAt)
	s.progressCheckedAt = now
	if elapsed > maxListingGap {
		elapsed = 0
	}
	s.stalledFor += elapsed
	var stalled []*task
	for _, status := range running {
		t := c.currentTask(s, status.RunRef)
		if t == nil || t.stopping || !t.expectsProgress(status) {
			continue
		}
		t.stalledFor += elapsed
		s.recordWork(now, t, status.Percent, elapsed)
		if status.Percent != t.percent {
			t.percent = status.Percent
			t.stalledFor = 0
			s.stalledFor = 0
		}
		if t.stalledFor > t.stallLimit() {
			stalled = append(stalled, t)
		}
	}
	if len(stalled) == 0 || s.stalledFor < runnerStallLimit(len(stalled)) {
		return
	}
	s.stalled = true
	s.startQuarantine(now)
	c.cfg.LogEvent("runner stalled", "runner", s.key.ID, "runs", len(stalled), "still-millis", s.stalledFor.Milliseconds(), "for", s.quarantine)
	for _, t := range stalled {
		t.avoid = append(t.avoid, s.key.ID)
		c.stop(t)
	}
}

// runnerStallLimit returns how long a runner may make no progress if the given
// number of its runs is stalled.
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

// speed compares the work that runs completed with the time that elapsed.
type speed struct {
	// workSeconds and elapsedSeconds are exponentially decayed sums, in
	// seconds.
	workSeconds    float64
	elapsedSeconds float64
	updatedAt      time.Time
}

// decay returns the factor by which the sums have decayed since the last
// update.
func (v *speed) decay(now time.Time) float64 {
	return math.Exp2(-now.Sub(v.updatedAt).Seconds() / speedHalfLife.Seconds())
}

func (v *speed) add(now time.Time, work, elapsed float64) {
	decay := v.decay(now)
	v.workSeconds = v.workSeconds*decay + work
	v.elapsedSeconds = v.elapsedSeconds*decay + elapsed
	v.updatedAt = now
}

// slow reports whether runs take far longer than their estimates. Observations
// decay, so that the runner is tried again.
func (v *speed) slow(now time.Time) bool {
	return v.elapsedSeconds*v.decay(now) >= minElapsed.Seconds() && v.workSeconds < slowRatio*v.elapsedSeconds
}

// recordWork adds the progress of a run since the last listing to the runner's
// speed. Best-effort runs are ignored, because they get only the processors
// that others leave idle and so say little about the runner.
func (s *runnerState) recordWork(now time.Time, t *task, percent int, elapsed time.Duration) {
	step := t.spec()
	if step.BestEffort || t.progressRun != t.run {
		t.progressRun = t.run
		return
	}
	estimate := float64(step.EstimateMillis) / 1000
	s.speed.add(now, estimate*float64(percent-t.percent)/fullPercent, elapsed.Seconds())
}

// expectsProgress reports whether a run should make progress: it finishes by
// itself, and it is not throttled.
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

// stallLimit returns how long the run may show no progress before it counts as
// stalled.
func (t *task) stallLimit() time.Duration {
	estimate := time.Duration(t.spec().EstimateMillis) * time.Millisecond
	return stallTimeout + time.Duration(percentStep*float64(estimate))
}
