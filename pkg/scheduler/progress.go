package scheduler

import (
	"math"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// stillAfter is how long the runs of a runner may make no progress: the
	// more tell of it, the shorter.
	stillAfter     = 700 * time.Millisecond
	pairStillAfter = 1200 * time.Millisecond
	loneStillAfter = 2500 * time.Millisecond
	// longestGap is the longest time between two listings that counts: in a
	// longer one the runner or its instance may have been suspended.
	longestGap = 800 * time.Millisecond
	// speedHalfLife is the time in which what was seen of a runner's speed comes
	// to count half, and leastPassed how much must have been seen.
	speedHalfLife = 1500 * time.Millisecond
	leastPassed   = time.Second
	// slowShare is the share of the expected speed below which a runner is slow.
	slowShare = 0.4
	// allDone is the progress of a run that is about to end.
	allDone = 100
	// percentStep is the share of a run's time in which its progress changes;
	// estimates are off by a factor of some.
	percentStep = 0.05
)

// watch finds a runner on which the runs stand still, though it lists them and
// says that they use its processors. What stands still there is started again
// elsewhere.
func (c *Cell) watch(now time.Time, s *site, running []framer.RunStatus) {
	passed := now.Sub(s.watchedAt)
	s.watchedAt = now
	if passed > longestGap {
		passed = 0
	}
	s.stillFor += passed
	var stuck []*task
	for _, status := range running {
		t := c.find(s, status.RunRef)
		if t == nil || t.stopping || !t.judged(status) {
			continue
		}
		t.stillFor += passed
		s.noteWork(now, t, status.Percent, passed)
		if status.Percent != t.percent {
			t.percent = status.Percent
			t.stillFor = 0
			s.stillFor = 0
		}
		if t.stillFor > t.stillRunLimit() {
			stuck = append(stuck, t)
		}
	}
	if len(stuck) == 0 || s.stillFor < stillRunnerLimit(len(stuck)) {
		return
	}
	s.still = true
	s.keepAside(now)
	c.cfg.Log("runner stands still", "runner", s.key.ID, "runs", len(stuck), "still-millis", s.stillFor.Milliseconds(), "for", s.setAside)
	for _, t := range stuck {
		t.avoid = append(t.avoid, s.key.ID)
		c.stop(t)
	}
}

// stillRunnerLimit is how long a runner may stand still by so many runs.
func stillRunnerLimit(runs int) time.Duration {
	switch runs {
	case 1:
		return loneStillAfter
	case 2:
		return pairStillAfter
	default:
		return stillAfter
	}
}

// speed compares the work that runs got done with the time that passed.
type speed struct {
	// worked and passed are in seconds; what is older counts for less.
	worked float64
	passed float64
	at     time.Time
}

// left is how much of what was seen still counts.
func (v *speed) left(now time.Time) float64 {
	return math.Exp2(-now.Sub(v.at).Seconds() / speedHalfLife.Seconds())
}

func (v *speed) add(now time.Time, worked, passed float64) {
	left := v.left(now)
	v.worked = v.worked*left + worked
	v.passed = v.passed*left + passed
	v.at = now
}

// slow tells whether runs take far longer than their estimates. What was seen
// fades, so that the runner is tried again.
func (v *speed) slow(now time.Time) bool {
	return v.passed*v.left(now) >= leastPassed.Seconds() && v.worked < slowShare*v.passed
}

// noteWork takes the progress of a run since it was last looked at. Estimates
// of filling runs, which get what others leave, tell too little.
func (s *site) noteWork(now time.Time, t *task, percent int, passed time.Duration) {
	step := t.spec()
	if step.BestEffort || t.watchedRun != t.run {
		t.watchedRun = t.run
		return
	}
	estimate := float64(step.EstimateMillis) / 1000
	s.speed.add(now, estimate*float64(percent-t.percent)/allDone, passed.Seconds())
}

// judged tells whether a run should make progress: it ends by itself, and it
// isn't held back.
func (t *task) judged(status framer.RunStatus) bool {
	step := t.spec()
	if step.LongRunning || step.Gang || status.Percent >= allDone {
		return false
	}
	if step.BestEffort && 2*status.Measurement < float64(step.Needs.ProcessorMillis) {
		t.stillFor = 0
		return false
	}
	return true
}

// stillRunLimit is how long the run may show no progress.
func (t *task) stillRunLimit() time.Duration {
	estimate := time.Duration(t.spec().EstimateMillis) * time.Millisecond
	return stillAfter + time.Duration(percentStep*float64(estimate))
}
