// Package gatekeeper implements the gate in front of one endpoint. Only the
// gate decides when a request starts there: it tracks the slots, the floors of
// the kinds and the recent request ids, and handles fencing and draining. It
// does no I/O.
package gatekeeper

import "time"

// Rule configures the gate for one kind of request.
type Rule struct {
	Kind string
	// FloorSlots is the number of slots reserved for the kind. Kinds that run no
	// longer than LendLimit may borrow them all while they are free, kinds that
	// run longer only some or none; see reservedSlots. Below its floor, the kind
	// gets the next slot first when all slots are taken.
	FloorSlots int
	// CeilingSlots is the maximum number of slots that the kind may use.
	CeilingSlots int
	// RunTime is the expected run time of a request of the kind.
	RunTime time.Duration
	// Deadline is the default deadline of a request of the kind.
	Deadline time.Duration
	// LendLimit is the longest expected run time of another kind that may borrow
	// all free floor slots of this kind.
	LendLimit time.Duration
	// Standby is the number of requests of the kind that may wait at the gate.
	Standby int
}

// Plan is the set of rules in force at a gate, taken from one document version.
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
