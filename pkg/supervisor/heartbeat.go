package supervisor

import (
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// maxHeartbeatSilence is how long the known incarnation sends no heartbeat
	// before one with an earlier start time may replace it, and minHeartbeats how
	// many heartbeats that one must have sent.
	maxHeartbeatSilence = 4 * time.Second
	minHeartbeats       = 3
	// heartbeatSmoothing is the number of heartbeats over which their interval is
	// averaged.
	heartbeatSmoothing = 4
)

// rival is what contradicts the known incarnation: one with an earlier start time, or
// another description of the same one.
type rival struct {
	info     framer.RunnerInfo
	sequence int64
	// heartbeats counts the heartbeats that arrived in order.
	heartbeats int
}

func (r *rival) record(b Heartbeat) {
	if r.info.Key != b.Info.Key || !sameDescription(r.info, b.Info) {
		*r = rival{
			info: b.Info,
		}
	}
	if b.Sequence > r.sequence {
		r.sequence = b.Sequence
		r.heartbeats++
	}
}

// alone reports whether only the rival has sent heartbeats for some time.
func (r *rival) alone(now, knownHeartbeatAt time.Time) bool {
	return r.heartbeats >= minHeartbeats && now.Sub(knownHeartbeatAt) >= maxHeartbeatSilence
}

// Heartbeat processes a heartbeat of the runner and reports whether it was
// accepted. A heartbeat of an earlier incarnation, or one that arrives out of
// order, is ignored. One of another incarnation is a claim until that incarnation
// answers a call.
func (c *Core) Heartbeat(now time.Time, b Heartbeat) bool {
	key := b.Info.Key
	if c.known && key == c.runner.Key {
		return c.updateKnown(now, b)
	}
	if c.known && c.presumedEarlier(key) && !c.replacesKnown(now, b) {
		return false
	}
	return c.claimIncarnation(now, b)
}

// updateKnown applies a heartbeat of the known incarnation, unless it arrives out of
// order or contradicts the earlier ones.
func (c *Core) updateKnown(now time.Time, b Heartbeat) bool {
	if !sameDescription(b.Info, c.runner) {
		if !c.replacesDescription(now, b) {
			return false
		}
	} else if b.Sequence <= c.heartbeatSequence {
		return false
	}
	interval := c.heartbeatInterval + (now.Sub(c.heartbeatAt)-c.heartbeatInterval)/heartbeatSmoothing
	c.heartbeatInterval = max(minHeartbeatInterval, interval)
	c.heartbeatAt = now
	c.rival = rival{}
	if !holds(b.Info, c.runner) {
		c.shrunkAt = now
	}
	if b.Info.Draining != c.runner.Draining || !holds(b.Info, c.runner) || !holds(c.runner, b.Info) {
		c.nextReport = now
	}
	c.runner = b.Info
	c.leaveNoticed = false
	c.heartbeatSequence = b.Sequence
	return true
}

// sameDescription reports whether two heartbeats agree in what doesn't change during
// an incarnation.
func sameDescription(a, b framer.RunnerInfo) bool {
	return a.Address == b.Address && a.Service == b.Service && a.FailureDomain == b.FailureDomain && slices.Equal(a.Labels, b.Labels)
}

// replacesDescription reports whether a heartbeat with another description of the known
// incarnation is to be believed: only such ones have arrived for some time.
func (c *Core) replacesDescription(now time.Time, b Heartbeat) bool {
	c.rival.record(b)
	return c.rival.alone(now, c.heartbeatAt)
}

// holds reports whether a runner has at least the capacity of another one.
func holds(r, other framer.RunnerInfo) bool {
	return r.ProcessorMillis >= other.ProcessorMillis && r.MemoryBytes >= other.MemoryBytes && r.Accelerators >= other.Accelerators
}

// presumedEarlier reports whether an incarnation is taken for an earlier one than
// the known one: its start time is earlier, or the known one replaced it although
// its own start time is earlier.
func (c *Core) presumedEarlier(key framer.RunnerKey) bool {
	return key.StartedAtMillis < c.runner.Key.StartedAtMillis || key == c.replaced
}

// replacesKnown reports whether an incarnation that is taken for an earlier one
// than the known one is the later one. The start time is a time of day, which may have
// been set back. The incarnation is the later one if it answers calls, or if only
// it has sent heartbeats for some time.
func (c *Core) replacesKnown(now time.Time, b Heartbeat) bool {
	c.rival.record(b)
	return b.Info.Key.StartedAtMillis == c.answeredBy || c.rival.alone(now, c.heartbeatAt)
}

// RunnerLeft processes a notice that the runner has left. It names no incarnation, and may
// be a delayed one of an earlier incarnation, which is certain if the known one does not
// drain. The known one has left once it also leaves calls without a response.
func (c *Core) RunnerLeft(now time.Time, id string) {
	if c.known && c.runner.Key.ID == id && c.runner.Draining {
		c.leaveNoticed = true
		c.nextRenewal = now
		c.confirmLeave(now)
	}
}

// confirmLeave records that the runner has left, if a notice said so and it does not answer.
func (c *Core) confirmLeave(now time.Time) {
	if c.leaveNoticed && !c.runner.Left && c.unansweredRenewals >= maxUnansweredRenewals {
		c.runner.Left = true
		c.nextReport = now
	}
}

// resetForIncarnation discards the state of an earlier incarnation of the
// runner. Starts without a response may still reach a new incarnation with the
// same id, so they are stopped there before anything is reported about it.
func (c *Core) resetForIncarnation(now time.Time, sameID bool) {
	fences := c.recentUnconfirmedStarts(now)
	if !sameID {
		fences = nil
	}
	c.Counts.RunnerIncarnations++
	c.answeredBy = 0
	c.leaveNoticed = false
	c.clockMillis = 0
	c.startsUntilMillis = 0
	c.listedAt = time.Time{}
	c.listedEpoch = 0
	c.listedClock = 0
	c.verifyDue = false
	c.unansweredRenewals = 0
	c.ackedSequence = 0
	c.deliveredAckSequence = 0
	c.lease = lease{}
	c.running = nil
	c.finished = nil
	c.commands = map[framer.RunRef]*command{}
	c.throttler = newThrottler()
	c.speedCalls = newSpeedCalls()
	c.nextRenewal = time.Time{}
	for _, ref := range fences {
		c.commands[ref] = &command{
			start: framer.RunStart{
				RunRef: ref,
			},
			phase:      phaseStopping,
			receivedAt: now,
			fence:      true,
		}
	}
}
