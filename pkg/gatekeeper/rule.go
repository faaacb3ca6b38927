// Package gatekeeper is the gate in front of one endpoint. It alone decides
// when a request starts there: it holds the slots, the floors of the kinds,
// the memory of request ids, fencing and draining. It does no I/O.
package gatekeeper

import "time"

// Rule is what the gate needs to know of one kind of request.
type Rule struct {
	Kind string
	// FloorSlots are kept for the kind against kinds that run longer than
	// LendLimit, and are served first when all slots are taken.
	FloorSlots int
	// CeilingSlots is the most slots the kind may take.
	CeilingSlots int
	// RunTime is how long a request of the kind is expected to run.
	RunTime time.Duration
	// Deadline is the deadline of a request of the kind that names none.
	Deadline time.Duration
	// LendLimit is the longest expected run time of another kind that may
	// borrow this kind's free floor.
	LendLimit time.Duration
	// Standby is how many requests of the kind may wait at the gate.
	Standby int
}

// Plan is the set of rules in force at a gate, from one document version.
type Plan struct {
	Version uint64
	Slots   int
	Rules   []Rule
}

// rule returns the rule of a kind, or nil.
func (p *Plan) rule(kind string) *Rule {
	for i := range p.Rules {
		if p.Rules[i].Kind == kind {
			return &p.Rules[i]
		}
	}
	return nil
}
