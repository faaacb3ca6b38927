package gatekeeper

import (
	"slices"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// room is how many more requests of a kind the gate would take now.
func (g *Gate) room(rule *Rule) int {
	if g.leaving {
		return 0
	}
	standby := g.standby(rule) - g.waitingOf(rule.Kind)
	return max(0, g.runRoom(rule)) + max(0, standby)
}

// standby is how many requests of a kind may wait at the gate. A kind below
// its floor may wait even if it runs long: while others flood no slot is ever
// free, and only who waits here gets the next one.
func (g *Gate) standby(rule *Rule) int {
	return max(rule.Standby, rule.FloorSlots-g.running[rule.Kind])
}

// runRoom is how many more requests of a kind could start now: the free
// slots, less what is held back for other kinds.
func (g *Gate) runRoom(rule *Rule) int {
	free := g.plan.Slots - g.total - g.heldBack(rule)
	return min(free, rule.CeilingSlots-g.running[rule.Kind])
}

// heldBack is how many free slots a kind must leave to the floors of others.
// Work that is over soon may borrow all of them. Work whose slots come back
// well before the others' deadlines may borrow all but a common headroom. Work
// that runs longer may borrow none: a slot can't be recalled.
func (g *Gate) heldBack(rule *Rule) int {
	held, common := 0, 0
	for i := range g.plan.Rules {
		other := &g.plan.Rules[i]
		if other.Kind == rule.Kind || rule.RunTime <= other.LendLimit {
			continue
		}
		free := max(0, other.FloorSlots-g.running[other.Kind])
		if rule.RunTime <= other.Deadline/lendDeadlines {
			common += free
			continue
		}
		held += free
	}
	if g.running[rule.Kind] < rule.FloorSlots {
		return held
	}
	return held + min(common, headroomSlots)
}

// Report returns the gate's load as a frame for one peer. A peer that is told
// of a kind without room is told again once room appears.
func (g *Gate) Report(peer string) Action {
	rooms := make([]framer.KindFreeSlots, 0, len(g.plan.Rules))
	for i := range g.plan.Rules {
		room := g.room(&g.plan.Rules[i])
		if room == 0 {
			g.subscribe(peer)
		}
		rooms = append(rooms, framer.KindFreeSlots{
			Kind:      g.plan.Rules[i].Kind,
			FreeSlots: room,
		})
	}
	return send(peer, framer.Frame{
		Load: &framer.Load{
			Running:        g.total,
			Waiting:        len(g.waiting),
			Slots:          g.plan.Slots,
			Leaving:        g.leaving,
			StartsReceived: g.seen[peer],
			FreeSlots:      rooms,
		},
	})
}

func (g *Gate) subscribe(peer string) {
	if _, linked := g.seen[peer]; !linked {
		return
	}
	if !slices.Contains(g.subscribed, peer) {
		g.subscribed = append(g.subscribed, peer)
	}
}

// notify reports the load to each peer that was refused for want of room.
func (g *Gate) notify() []Action {
	peers := g.subscribed
	g.subscribed = nil
	actions := make([]Action, 0, len(peers))
	for _, peer := range peers {
		actions = append(actions, g.Report(peer))
	}
	return actions
}

func (g *Gate) waitingOf(kind string) int {
	n := 0
	for _, rec := range g.waiting {
		if rec.start.Kind == kind {
			n++
		}
	}
	return n
}
