package gatekeeper

import (
	"slices"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// freeSlots returns how many more requests of a kind the gate would accept now,
// whether they start or wait.
func (g *Gate) freeSlots(rule *Rule) int {
	if g.leaving {
		return 0
	}
	standby := g.standby(rule) - g.waitingCount(rule.Kind)
	return max(0, g.startableSlots(rule)) + max(0, standby)
}

// standby returns how many requests of a kind may wait at the gate. A kind
// below its floor may wait even if its requests run long: under a flood of
// other kinds no slot is ever free on arrival, and only a request that waits at
// the gate gets the next one.
func (g *Gate) standby(rule *Rule) int {
	return max(rule.Standby, rule.FloorSlots-g.running[rule.Kind])
}

// startableSlots returns how many more requests of a kind could start now: the
// free slots less those reserved for other kinds, within the ceiling of the
// kind.
func (g *Gate) startableSlots(rule *Rule) int {
	free := g.plan.Slots - g.total - g.reservedSlots(rule)
	return min(free, rule.CeilingSlots-g.running[rule.Kind])
}

// reservedSlots returns how many free slots a kind must leave to the floors of
// other kinds. A kind whose expected run time is within the lend limit of
// another kind may borrow all free floor slots of it. A kind whose expected run
// time fits minDeadlineRunTimes times into the other kind's deadline may also
// borrow them, but if it is at or above its own floor, it must leave
// headroomSlots of all slots that it may borrow in this way. A kind that runs
// longer may borrow none, since a running request cannot be preempted.
func (g *Gate) reservedSlots(rule *Rule) int {
	reserved, common := 0, 0
	for i := range g.plan.Rules {
		other := &g.plan.Rules[i]
		if other.Kind == rule.Kind || rule.RunTime <= other.LendLimit {
			continue
		}
		free := max(0, other.FloorSlots-g.running[other.Kind])
		if rule.RunTime <= other.Deadline/minDeadlineRunTimes {
			common += free
			continue
		}
		reserved += free
	}
	if g.running[rule.Kind] < rule.FloorSlots {
		return reserved
	}
	return reserved + min(common, headroomSlots)
}

// Report returns a load frame for one peer. If a kind has no free slots, the
// peer is subscribed and gets another report when the next request finishes.
func (g *Gate) Report(peer string) Action {
	slots := make([]framer.KindFreeSlots, 0, len(g.plan.Rules))
	for i := range g.plan.Rules {
		free := g.freeSlots(&g.plan.Rules[i])
		if free == 0 {
			g.subscribe(peer)
		}
		slots = append(slots, framer.KindFreeSlots{
			Kind:      g.plan.Rules[i].Kind,
			FreeSlots: free,
		})
	}
	return send(peer, framer.Frame{
		Load: &framer.Load{
			Running:        g.total,
			Waiting:        len(g.waiting),
			Slots:          g.plan.Slots,
			Leaving:        g.leaving,
			StartsReceived: g.startsReceived[peer],
			FreeSlots:      slots,
		},
	})
}

func (g *Gate) subscribe(peer string) {
	if _, linked := g.startsReceived[peer]; !linked {
		return
	}
	if !slices.Contains(g.subscribed, peer) {
		g.subscribed = append(g.subscribed, peer)
	}
}

// notify sends the load to each subscribed peer and clears the subscriptions.
func (g *Gate) notify() []Action {
	peers := g.subscribed
	g.subscribed = nil
	actions := make([]Action, 0, len(peers))
	for _, peer := range peers {
		actions = append(actions, g.Report(peer))
	}
	return actions
}

func (g *Gate) waitingCount(kind string) int {
	n := 0
	for _, rec := range g.waiting {
		if rec.start.Kind == kind {
			n++
		}
	}
	return n
}
