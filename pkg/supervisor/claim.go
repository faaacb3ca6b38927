package supervisor

import (
	"time"
)

// claim is an incarnation of the runner that heartbeats name and that has not answered
// a call yet. A heartbeat may be late, or come from another writer. Only the answer to a
// call for the incarnation proves that it has replaced the known one.
type claim struct {
	// heartbeat is the latest one, received at receivedAt.
	heartbeat  Heartbeat
	receivedAt time.Time
	nextProbe  time.Time
}

// claimIncarnation records a heartbeat of another incarnation than the known one and
// reports whether it was accepted. The last claim replaces the one before.
func (c *Core) claimIncarnation(now time.Time, b Heartbeat) bool {
	if c.claim == nil || c.claim.heartbeat.Info.Key != b.Info.Key {
		c.Counts.Claims++
		c.claim = &claim{
			nextProbe: now,
		}
	} else if b.Sequence <= c.claim.heartbeat.Sequence {
		return false
	}
	c.claim.heartbeat = b
	c.claim.receivedAt = now
	return true
}

// probeClaim asks the runner for a listing of the claimed incarnation when that is due.
// It drops a claim without heartbeats.
func (c *Core) probeClaim(now time.Time) {
	if c.claim == nil || c.probing {
		return
	}
	if now.Sub(c.claim.receivedAt) >= maxHeartbeatSilence {
		c.claim = nil
		return
	}
	if now.Before(c.claim.nextProbe) {
		return
	}
	c.probing = true
	c.actions = append(c.actions, Action{
		Renew: &RenewCall{
			Header: CallHeader{
				Runner: c.claim.heartbeat.Info.Key,
				Epoch:  c.epoch,
			},
			Probe: true,
		},
	})
}

// probeAnswered processes the result of a probe; err is set if there was no response.
func (c *Core) probeAnswered(now time.Time, call RenewCall, l Listing, err error) {
	c.probing = false
	if c.claim == nil || c.claim.heartbeat.Info.Key != call.Header.Runner {
		return
	}
	otherID := l.Refusal == RefusalWrongIncarnation
	answered := l.Refusal == "" && l.StartedAtMillis != 0
	switch {
	case err != nil || !otherID && !answered:
		c.claim.nextProbe = now.Add(renewBackoff)
	case otherID || l.StartedAtMillis != call.Header.Runner.StartedAtMillis:
		c.Counts.RefutedClaims++
		c.claim = nil
	default:
		c.replaceKnown(now)
		c.listed(now, call, l)
	}
}

// replaceKnown replaces the known incarnation by the claimed one.
func (c *Core) replaceKnown(now time.Time) {
	b := c.claim.heartbeat
	c.replaced = c.runner.Key
	c.resetForIncarnation(now, b.Info.Key.ID == c.runner.Key.ID)
	c.known = true
	c.runner = b.Info
	c.heartbeatSequence = b.Sequence
	c.heartbeatInterval = minHeartbeatInterval
	c.heartbeatAt = c.claim.receivedAt
	c.claim = nil
	c.rival = rival{}
	c.nextReport = now
}

// claimedAgain reports whether another incarnation with the known one's id may have
// replaced it. A call cannot name one of the two.
func (c *Core) claimedAgain() bool {
	return c.claim != nil && c.claim.heartbeat.Info.Key.ID == c.runner.Key.ID
}
