package dispatcher

import (
	"slices"
	"strings"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Connect records a new link to the agent of an endpoint. Attempts in flight at
// the same incarnation are fenced; those at another incarnation are lost.
func (d *Dispatcher) Connect(now time.Time, name, address, failureDomain string, incarnation uint64) []Action {
	s := d.services[name]
	if s == nil {
		return nil
	}
	d.serviceNameAt[address] = name
	s.router.Connect(address, failureDomain, incarnation)
	for _, q := range d.requestsAt(address) {
		if q.stage != StageSent && q.stage != StageFencing {
			continue
		}
		if q.incarnation != incarnation {
			d.handleLostAttempt(now, s, q, framer.ReasonEndpointReplaced)
			continue
		}
		q.stage = StageFencing
		d.fence(now, q)
	}
	d.sendQueued(now, s)
	return d.takeActions()
}

// Disconnect records that the link to an agent was lost. Attempts in flight there
// wait for a new link and the reply to a fence: idempotent ones for at most
// fenceTimeout, the others until their deadline.
func (d *Dispatcher) Disconnect(now time.Time, address string) []Action {
	s := d.serviceAt(address)
	if s == nil {
		return nil
	}
	s.router.Disconnect(address)
	for _, q := range d.requestsAt(address) {
		if q.stage != StageSent {
			continue
		}
		q.stage = StageFencing
		q.answerParts = nil
		q.answerBytes = 0
		if q.Idempotent {
			d.addTimer(q, now.Add(fenceTimeout), timerFence)
		}
	}
	return d.takeActions()
}

// EndpointReplaced records that the process of an endpoint was replaced by one of
// a newer incarnation and will not return.
func (d *Dispatcher) EndpointReplaced(now time.Time, address string, incarnation uint64) []Action {
	s := d.serviceAt(address)
	if s == nil {
		return nil
	}
	for _, q := range d.requestsAt(address) {
		if q.stage == StageFencing && q.incarnation < incarnation {
			d.handleLostAttempt(now, s, q, framer.ReasonEndpointReplaced)
		}
	}
	return d.takeActions()
}

// EndpointState returns MemberLeaving if an endpoint has reported that it accepts
// no new work, and MemberServing otherwise.
func (d *Dispatcher) EndpointState(address string) framer.MemberState {
	if s := d.serviceAt(address); s != nil && s.router.Leaving(address) {
		return framer.MemberLeaving
	}
	return framer.MemberServing
}

// RemoveEndpoint removes an endpoint that has been unreachable for long.
func (d *Dispatcher) RemoveEndpoint(address string) {
	if s := d.serviceAt(address); s != nil {
		s.router.Remove(address)
	}
}

// requestsAt returns the requests last sent to an address, oldest first.
func (d *Dispatcher) requestsAt(address string) []*request {
	var list []*request
	for _, q := range d.requests {
		if q.address == address {
			list = append(list, q)
		}
	}
	slices.SortFunc(list, func(a, b *request) int {
		if c := a.AcceptedAt.Compare(b.AcceptedAt); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	return list
}

// serviceAt returns the service of the endpoint at an address, or nil.
func (d *Dispatcher) serviceAt(address string) *service {
	return d.services[d.serviceNameAt[address]]
}
