package supervisor

import (
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// maxClaims bounds the claims that are kept at a time; the oldest is dropped.
const maxClaims = 8

// claim is an incarnation of the runner that heartbeats name and that has not answered
// a call yet. A heartbeat may be late, or come from another writer. Only the answer to a
// call for the incarnation proves that it has replaced the known one.
type claim struct {
	// heartbeat is the latest one, received at receivedAt.
	heartbeat  Heartbeat
	receivedAt time.Time
	nextProbe  time.Time
}

func (l *claim) key() framer.RunnerKey {
	return l.heartbeat.Info.Key
}

// claimIncarnation records a heartbeat of another incarnation than the known one and
// reports whether it was accepted.
func (c *Core) claimIncarnation(now time.Time, b Heartbeat) bool {
	claimed := c.claimOf(b.Info.Key)
	if claimed != nil && b.Sequence <= claimed.heartbeat.Sequence {
		return false
	}
	if claimed == nil {
		c.Counts.Claims++
		claimed = &claim{
			nextProbe: now,
		}
		c.claims = append(c.claims, claimed)
		c.claims = c.claims[max(0, len(c.claims)-maxClaims):]
	}
	claimed.heartbeat = b
	claimed.receivedAt = now
	return true
}

// claimOf returns the claim of an incarnation, or nil.
func (c *Core) claimOf(key framer.RunnerKey) *claim {
	for _, claimed := range c.claims {
		if claimed.key() == key {
			return claimed
		}
	}
	return nil
}

// nextClaim returns the claim that is to be probed first, or nil.
func (c *Core) nextClaim() *claim {
	if len(c.claims) == 0 {
		return nil
	}
	return slices.MinFunc(c.claims, func(a, b *claim) int { return a.nextProbe.Compare(b.nextProbe) })
}

// probeClaims asks the runner for a listing of a claimed incarnation when that is due. It
// drops claims without heartbeats.
func (c *Core) probeClaims(now time.Time) {
	c.claims = slices.DeleteFunc(c.claims, func(l *claim) bool { return now.Sub(l.receivedAt) >= maxHeartbeatSilence })
	claimed := c.nextClaim()
	if c.probing || claimed == nil || now.Before(claimed.nextProbe) {
		return
	}
	c.probing = true
	c.actions = append(c.actions, Action{
		Renew: &RenewCall{
			Header: CallHeader{
				Runner: claimed.key(),
				Epoch:  c.epoch,
			},
			Purpose: PurposeProbe,
		},
	})
}

// probeAnswered processes the result of a probe; err is set if there was no response.
func (c *Core) probeAnswered(now time.Time, call RenewCall, l Listing, err error) {
	c.probing = false
	claimed := c.claimOf(call.Header.Runner)
	if claimed == nil {
		return
	}
	otherID := l.Refusal == RefusalWrongIncarnation
	answered := l.Refusal == "" && l.StartedAtMillis != 0
	if err != nil || !otherID && !answered {
		claimed.nextProbe = now.Add(renewBackoff)
		return
	}
	c.claims = slices.DeleteFunc(c.claims, func(l *claim) bool { return l == claimed })
	if otherID || l.StartedAtMillis != call.Header.Runner.StartedAtMillis {
		c.Counts.RefutedClaims++
		return
	}
	c.replaceKnown(now, claimed)
	c.listed(now, call, l)
}

// replaceKnown replaces the known incarnation by a claimed one.
func (c *Core) replaceKnown(now time.Time, claimed *claim) {
	b := claimed.heartbeat
	c.replaced = c.runner.Key
	c.resetForIncarnation(now, b.Info.Key.ID == c.runner.Key.ID)
	c.known = true
	c.runner = b.Info
	c.heartbeatSequence = b.Sequence
	c.heartbeatInterval = minHeartbeatInterval
	c.heartbeatAt = claimed.receivedAt
	c.rival = rival{}
	c.nextReport = now
}

// replacedUnheard reports whether another incarnation has answered a call to the known one,
// and so has replaced it, and the other's heartbeat hasn't arrived yet.
func (c *Core) replacedUnheard() bool {
	return c.answeredBy != 0
}

// claimedAgain reports whether another incarnation with the known one's id may have
// replaced it. A call cannot name one of the two.
func (c *Core) claimedAgain() bool {
	return slices.ContainsFunc(c.claims, func(l *claim) bool { return l.key().ID == c.runner.Key.ID })
}
