package supervisor

import (
	"math"
	"slices"
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
	// interference is the learned slowdown of the latency-critical runs by each
	// best-effort run at full speed.
	interference map[framer.RunRef]float64
	// speeds is the speed limit of each listed run, in percent. It is a guess for the
	// runs in unknown, whose limit an earlier agent may have set.
	speeds  map[framer.RunRef]int
	unknown map[framer.RunRef]struct{}
	// informed is set once the owner has sent which runs are latency-critical, and
	// listed once a listing without malformed rows was received.
	informed bool
	listed   bool
	// partial is set if rows of the last listing were malformed.
	partial bool
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
		interference: map[framer.RunRef]float64{},
		speeds:       map[framer.RunRef]int{},
		unknown:      map[framer.RunRef]struct{}{},
	}
}

// setSharing replaces the sets of latency-critical and best-effort runs. Speed
// limits are kept.
func (t *throttler) setSharing(sharing []framer.Sharing) {
	t.informed = true
	t.targetMillis = map[framer.RunRef]float64{}
	t.interference = map[framer.RunRef]float64{}
	for _, s := range sharing {
		if s.TargetMillis > 0 {
			t.targetMillis[s.RunRef] = s.TargetMillis
			continue
		}
		t.interference[s.RunRef] = s.Interference
	}
}

// record records which runs are listed. A run starts at full speed, but one that was
// there before the first listing may have got a limit from an earlier agent. Rows of a
// partial listing may be missing.
func (t *throttler) record(running []framer.RunStatus, partial bool) {
	t.partial = partial
	speeds := map[framer.RunRef]int{}
	unknown := map[framer.RunRef]struct{}{}
	if partial {
		speeds, unknown = t.speeds, t.unknown
	}
	for _, r := range running {
		speed, known := t.speeds[r.RunRef]
		_, guessed := t.unknown[r.RunRef]
		switch {
		case !known && !t.listed:
			speed, guessed = 0, true
		case !known:
			speed = fullSpeedPercent
		}
		speeds[r.RunRef] = speed
		if guessed {
			unknown[r.RunRef] = struct{}{}
		}
	}
	t.speeds = speeds
	t.unknown = unknown
	t.listed = t.listed || !partial
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
	if len(t.interference) == 0 || !t.measured || now.Before(t.nextAdjustAt) {
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
		if _, ok := t.interference[r.RunRef]; !ok {
			continue
		}
		next, ok := t.nextSpeed(t.speeds[r.RunRef], raise, t.currentInterference(r.RunRef) >= maxInterference/2)
		if !gradual {
			next, ok = 0, true
		}
		if ok {
			changes = t.change(changes, r.RunRef, next)
		}
	}
	if len(changes) > 0 {
		t.nextAdjustAt = now.Add(adjustInterval)
	}
	return changes
}

// lists reports whether a run is listed.
func (t *throttler) lists(ref framer.RunRef) bool {
	_, ok := t.speeds[ref]
	return ok
}

// release returns the limits to lift since no latency-critical run is listed. The limits
// of runs that are being stopped stay.
func (t *throttler) release(running []framer.RunStatus, isStopping func(framer.RunRef) bool) []speedChange {
	if !t.informed || t.partial && len(t.targetMillis) > 0 {
		return nil
	}
	if slices.ContainsFunc(running, func(r framer.RunStatus) bool { return t.targetMillis[r.RunRef] > 0 }) {
		return nil
	}
	var changes []speedChange
	for _, r := range running {
		if !isStopping(r.RunRef) {
			changes = t.change(changes, r.RunRef, fullSpeedPercent)
		}
	}
	return changes
}

// change sets the speed limit of a run and appends the change unless the run is known to
// have that limit.
func (t *throttler) change(changes []speedChange, ref framer.RunRef, percent int) []speedChange {
	_, unknown := t.unknown[ref]
	if percent == t.speeds[ref] && !unknown {
		return changes
	}
	t.speeds[ref] = percent
	delete(t.unknown, ref)
	return append(changes, speedChange{
		ref:     ref,
		percent: percent,
	})
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

// nextSpeed returns the next speed limit of a run; ok is false if the limit stays as it
// is.
func (t *throttler) nextSpeed(speed int, raise float64, interferesMost bool) (next int, ok bool) {
	switch {
	case t.worstShare > 1 && interferesMost:
		return speed / speedCutDivisor, true
	case t.worstShare < raiseBelowShare:
		step := int(raise * float64(fullSpeedPercent-speed))
		return min(fullSpeedPercent, speed+max(speedStepPercent, step)), true
	default:
		return speed, false
	}
}
