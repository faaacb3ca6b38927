package supervisor

import (
	"math"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	fullSpeedPercent = 100
	// speedStepPercent is the smallest step by which the speed limit of a
	// best-effort run is raised.
	speedStepPercent = 15
	// speedCutDivisor divides the speed limit of a run that interferes too much.
	speedCutDivisor = 4
	// pauseAllAfter is how long a latency-critical run may exceed its target
	// before all best-effort runs are paused, including those whose learned
	// interference is low.
	pauseAllAfter = 1800 * time.Millisecond
	// raiseBelowShare is the share of the target latency below which speed
	// limits are raised, since the latency-critical run then leaves capacity for
	// co-located runs.
	raiseBelowShare = 0.75
	// adjustInterval is the minimum time between two adjustments; the
	// measurements of a runner cover half a second.
	adjustInterval = 500 * time.Millisecond
)

// throttler limits the speed of best-effort runs while a co-located
// latency-critical run exceeds its target latency.
type throttler struct {
	// targetMillis is the target latency of each latency-critical run.
	targetMillis map[framer.RunRef]float64
	// speeds is the speed limit of each best-effort run, in percent, and
	// interference its learned slowdown of the latency-critical runs at full
	// speed.
	speeds       map[framer.RunRef]int
	interference map[framer.RunRef]float64
	// worstShare is the highest tail latency of a latency-critical run as a
	// share of its target.
	worstShare float64
	measured   bool
	// overTargetSince is the time since when a latency-critical run exceeds its
	// target; zero while none does.
	overTargetSince time.Time
	nextAdjustAt    time.Time
}

// speedChange is a new speed limit of a run.
type speedChange struct {
	ref     framer.RunRef
	percent int
}

func newThrottler() *throttler {
	return &throttler{
		targetMillis: map[framer.RunRef]float64{},
		speeds:       map[framer.RunRef]int{},
		interference: map[framer.RunRef]float64{},
	}
}

// setSharing replaces the sets of latency-critical and best-effort runs. Speed
// limits of known best-effort runs are kept.
func (t *throttler) setSharing(sharing []framer.Sharing) {
	targetMillis := map[framer.RunRef]float64{}
	speeds := map[framer.RunRef]int{}
	interference := map[framer.RunRef]float64{}
	for _, s := range sharing {
		if s.TargetMillis > 0 {
			targetMillis[s.RunRef] = s.TargetMillis
			continue
		}
		interference[s.RunRef] = s.Interference
		speeds[s.RunRef] = fullSpeedPercent
		if speed, ok := t.speeds[s.RunRef]; ok {
			speeds[s.RunRef] = speed
		}
	}
	t.targetMillis = targetMillis
	t.speeds = speeds
	t.interference = interference
}

// measure records the measurements of the last half second.
func (t *throttler) measure(now time.Time, running []framer.RunStatus) {
	t.worstShare = 0
	t.measured = false
	for _, r := range running {
		target := t.targetMillis[r.RunRef]
		if target > 0 {
			t.worstShare = max(t.worstShare, r.Measurement/target)
			t.measured = true
		}
	}
	switch {
	case t.worstShare <= 1:
		t.overTargetSince = time.Time{}
	case t.overTargetSince.IsZero():
		t.overTargetSince = now
	}
}

// decide returns the speed limits to change now. While a latency-critical run
// exceeds its target, the limits of the runs with at least half of the highest
// interference are cut; after pauseAllAfter all runs are paused. While all
// latency-critical runs are well below their targets, all limits are raised.
func (t *throttler) decide(now time.Time, running []framer.RunStatus) []speedChange {
	if len(t.speeds) == 0 || !t.measured || now.Before(t.nextAdjustAt) {
		return nil
	}
	gradual := t.overTargetSince.IsZero() || now.Sub(t.overTargetSince) < pauseAllAfter
	maxInterference := 0.0
	for _, r := range running {
		maxInterference = max(maxInterference, t.currentInterference(r.RunRef))
	}
	raise := t.raiseShare(running)
	var changes []speedChange
	for _, r := range running {
		speed, ok := t.speeds[r.RunRef]
		if !ok {
			continue
		}
		next := t.nextSpeed(speed, raise, t.currentInterference(r.RunRef) >= maxInterference/2)
		if !gradual {
			next = 0
		}
		if next == speed {
			continue
		}
		t.speeds[r.RunRef] = next
		changes = append(changes, speedChange{
			ref:     r.RunRef,
			percent: next,
		})
	}
	if len(changes) > 0 {
		t.nextAdjustAt = now.Add(adjustInterval)
	}
	return changes
}

// currentInterference returns how much a run slows the latency-critical runs at
// its present speed limit.
func (t *throttler) currentInterference(ref framer.RunRef) float64 {
	return t.interference[ref] * float64(t.speeds[ref]) / fullSpeedPercent
}

// raiseShare returns the share by which all limits may approach full speed: the
// tail latencies are then expected to stay below raiseBelowShare of their
// targets, by the learned interference.
func (t *throttler) raiseShare(running []framer.RunStatus) float64 {
	added := 0.0
	for _, r := range running {
		added += t.interference[r.RunRef] - t.currentInterference(r.RunRef)
	}
	room := math.Log(raiseBelowShare / t.worstShare)
	if added <= room {
		return 1
	}
	return max(0, room/added)
}

func (t *throttler) nextSpeed(speed int, raise float64, interferesMost bool) int {
	switch {
	case t.worstShare > 1 && interferesMost:
		return speed / speedCutDivisor
	case t.worstShare < raiseBelowShare:
		step := int(raise * float64(fullSpeedPercent-speed))
		return min(fullSpeedPercent, speed+max(speedStepPercent, step))
	default:
		return speed
	}
}
