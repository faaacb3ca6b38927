package dispatcher

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/admitter"
	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/router"
)

const (
	// gateMargin is taken off the deadline that the gate is told, so that
	// its refusal is back before the caller's deadline.
	gateMargin = 10 * time.Millisecond
	// fenceTimeout is how long an idempotent request waits for a new link.
	fenceTimeout = 400 * time.Millisecond
	// fenceMargin is how long past the deadline a gate must remember a fence.
	fenceMargin = 5 * time.Second
	// firstBackoff and longestBackoff bound the wait between attempts.
	firstBackoff   = 5 * time.Millisecond
	longestBackoff = 500 * time.Millisecond
	// maxAnswerBytes bounds a whole answer.
	maxAnswerBytes = 8 << 20
	// serverError is the first HTTP status that counts as a failed run.
	serverError = 500
)

// Settings are the parts of a dispatcher that an operator sets.
type Settings struct {
	FailureDomain string
	// RetryRatio is the share of fresh requests that may be retried.
	RetryRatio float64
	// RetryBurst is the most retries that can be saved up.
	RetryBurst float64
}

// service is the dispatcher's state for one service.
type service struct {
	queue  *admitter.Queue
	router *router.Router
	budget *RetryBudget
}

// Dispatcher owns the requests of one entry. It belongs to one goroutine.
type Dispatcher struct {
	cfg      Settings
	rnd      *rand.Rand
	assert   *asserter.Asserter
	services map[string]*service
	requests map[string]*request
	homes    map[string]string
	timers   timerHeap
	leaving  bool
	actions  []Action

	// Counts are the totals since start, for metrics.
	Counts Counts
}

// Counts are totals of a dispatcher.
type Counts struct {
	Accepted int64 `json:"accepted"`
	Answered int64 `json:"answered"`
	NotRun   int64 `json:"not-run"`
	Unknown  int64 `json:"unknown"`
	Attempts int64 `json:"attempts"`
	Retries  int64 `json:"retries"`
	// Bounces counts attempts that a gate gave back without running them.
	Bounces int64 `json:"bounces"`
	Fences  int64 `json:"fences"`
}

// New returns a dispatcher without services.
func New(cfg Settings, rnd *rand.Rand, assert *asserter.Asserter) *Dispatcher {
	return &Dispatcher{
		cfg:      cfg,
		rnd:      rnd,
		assert:   assert,
		services: map[string]*service{},
		requests: map[string]*request{},
		homes:    map[string]string{},
	}
}

// Install puts a service's rules in force.
func (d *Dispatcher) Install(now time.Time, name string, rules []admitter.Rule) []Action {
	s := d.services[name]
	if s == nil {
		d.services[name] = &service{
			queue:  admitter.New(rules),
			router: router.New(d.cfg.FailureDomain, d.rnd),
			budget: &RetryBudget{
				Ratio:  d.cfg.RetryRatio,
				Burst:  d.cfg.RetryBurst,
				tokens: d.cfg.RetryBurst,
			},
		}
		return nil
	}
	s.queue.Install(rules)
	d.pump(now, s)
	return d.take()
}

// Submit takes a fresh request in. Its outcome may come at once.
func (d *Dispatcher) Submit(now time.Time, r Request) []Action {
	q := &request{
		Request: r,
	}
	d.assert.Check(d.requests[r.ID] == nil, "request-id-is-fresh", "request", r.ID)
	d.requests[r.ID] = q
	d.Counts.Accepted++
	s := d.services[r.Service]
	switch {
	case d.leaving:
		d.finish(q, notRun(framer.ReasonLeaving))
	case s == nil || s.router.Known() == 0:
		d.finish(q, notRun(framer.ReasonNoEndpoint))
	case !r.Idempotent && r.CallerID != "":
		q.stage = StageClaiming
		d.addTimer(q, r.Deadline, timerDeadline)
		d.act(Action{
			Claim: &Claim{
				ID:       r.ID,
				Service:  r.Service,
				CallerID: r.CallerID,
				Deadline: r.Deadline,
			},
		})
	default:
		d.addTimer(q, r.Deadline, timerDeadline)
		d.enqueue(now, s, q)
	}
	return d.take()
}

// ClaimResult is what became of a claim.
type ClaimResult int

// The results of a claim.
const (
	ClaimGranted ClaimResult = iota + 1
	ClaimTaken
	ClaimUnavailable
)

// Claimed takes the table's word on a claim.
func (d *Dispatcher) Claimed(now time.Time, id string, result ClaimResult) []Action {
	q := d.requests[id]
	if q == nil || q.stage != StageClaiming {
		return nil
	}
	switch result {
	case ClaimGranted:
		q.claimed = true
		d.enqueue(now, d.services[q.Service], q)
	case ClaimTaken:
		d.finish(q, unknown(framer.ReasonDuplicate))
	default:
		q.claimed = true
		d.finish(q, notRun(framer.ReasonStoreUnavailable))
	}
	return d.take()
}

// Connect notes a new link to the agent of an endpoint.
func (d *Dispatcher) Connect(now time.Time, name, address, failureDomain string, incarnation uint64) []Action {
	s := d.services[name]
	if s == nil {
		return nil
	}
	d.homes[address] = name
	s.router.Connect(address, failureDomain, incarnation)
	for _, q := range d.atAddress(address) {
		if q.stage != StageSent && q.stage != StageFencing {
			continue
		}
		if q.incarnation != incarnation {
			d.lost(now, s, q, framer.ReasonEndpointReplaced)
			continue
		}
		q.stage = StageFencing
		d.fence(now, q)
	}
	d.pump(now, s)
	return d.take()
}

// Disconnect notes that the link to an agent is gone.
func (d *Dispatcher) Disconnect(now time.Time, address string) []Action {
	s := d.at(address)
	if s == nil {
		return nil
	}
	s.router.Disconnect(address)
	for _, q := range d.atAddress(address) {
		if q.stage != StageSent {
			continue
		}
		q.stage = StageFencing
		q.parts = nil
		q.partBytes = 0
		if q.Idempotent {
			d.addTimer(q, now.Add(fenceTimeout), timerFence)
		}
	}
	return d.take()
}

// Replaced notes that an endpoint's process is gone for good.
func (d *Dispatcher) Replaced(now time.Time, address string, incarnation uint64) []Action {
	s := d.at(address)
	if s == nil {
		return nil
	}
	for _, q := range d.atAddress(address) {
		if q.stage == StageFencing && q.incarnation < incarnation {
			d.lost(now, s, q, framer.ReasonEndpointReplaced)
		}
	}
	return d.take()
}

// Receive takes a frame from the agent at address.
func (d *Dispatcher) Receive(now time.Time, address string, f framer.Frame) []Action {
	s := d.at(address)
	if s == nil {
		return nil
	}
	switch {
	case f.Load != nil:
		s.router.Report(address, *f.Load)
		d.pump(now, s)
	case f.Refused != nil:
		d.refused(now, s, address, f.Refused)
	case f.Answer != nil:
		d.answer(now, s, address, f.Answer)
	case f.Failed != nil:
		if q := d.current(address, f.Failed.ID, f.Failed.Attempt); q != nil {
			s.router.Failed(now, address)
			d.lost(now, s, q, f.Failed.Reason)
		}
	case f.Fenced != nil:
		d.fenced(now, s, address, f.Fenced)
	}
	return d.take()
}

// Tick fires the timers that are due and refuses what has become hopeless.
func (d *Dispatcher) Tick(now time.Time) []Action {
	for {
		t, ok := d.timers.due(now)
		if !ok {
			break
		}
		if q := d.requests[t.id]; q != nil {
			d.fire(now, q, t)
		}
	}
	for _, name := range d.names() {
		d.pump(now, d.services[name])
	}
	return d.take()
}

// Leave refuses fresh requests from now on.
func (d *Dispatcher) Leave() {
	d.leaving = true
}

// InFlight returns how many requests have no outcome yet.
func (d *Dispatcher) InFlight() int {
	return len(d.requests)
}

// Waiting returns how many requests of a service wait at this entry.
func (d *Dispatcher) Waiting(name string) int {
	if s := d.services[name]; s != nil {
		return s.queue.Waiting()
	}
	return 0
}

// ShapeRouters lets an experiment change how endpoints are chosen.
func (d *Dispatcher) ShapeRouters(shape func(r *router.Router)) {
	for _, name := range d.names() {
		shape(d.services[name].router)
	}
}

// Holds tells whether a request has no outcome yet.
func (d *Dispatcher) Holds(id string) bool {
	return d.requests[id] != nil
}

// Serves tells whether the rules of a service are in force.
func (d *Dispatcher) Serves(name string) bool {
	return d.services[name] != nil
}

// EndpointState tells whether an endpoint takes new work, as far as is known.
func (d *Dispatcher) EndpointState(address string) framer.MemberState {
	if s := d.at(address); s != nil && s.router.Leaving(address) {
		return framer.MemberLeaving
	}
	return framer.MemberServing
}

// Forget drops an endpoint that has been silent for long.
func (d *Dispatcher) Forget(address string) {
	if s := d.at(address); s != nil {
		s.router.Forget(address)
	}
}

// atAddress returns the requests last sent to an address, oldest first.
func (d *Dispatcher) atAddress(address string) []*request {
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

// names returns the services in a fixed order.
func (d *Dispatcher) names() []string {
	return slices.Sorted(maps.Keys(d.services))
}

func (d *Dispatcher) at(address string) *service {
	return d.services[d.homes[address]]
}

func (d *Dispatcher) enqueue(now time.Time, s *service, q *request) {
	q.stage = StageQueued
	if err := s.queue.Admit(now, q.item()); err != nil {
		var refusal *admitter.RefusedError
		if errors.As(err, &refusal) {
			outcome := notRun(refusal.Reason)
			outcome.RetryAfter = refusal.RetryAfter
			d.finish(q, outcome)
		}
		return
	}
	s.budget.Earn()
	d.pump(now, s)
}

func (d *Dispatcher) addTimer(q *request, at time.Time, kind timerKind) {
	d.timers.prune(d.requests)
	d.timers.add(timer{
		at:      at,
		id:      q.ID,
		kind:    kind,
		attempt: q.attempt,
	})
}

func (d *Dispatcher) act(a Action) {
	d.actions = append(d.actions, a)
}

func (d *Dispatcher) take() []Action {
	actions := d.actions
	d.actions = nil
	return actions
}

func (q *request) item() admitter.Item {
	return admitter.Item{
		ID:         q.ID,
		Kind:       q.Kind,
		AcceptedAt: q.AcceptedAt,
		Deadline:   q.Deadline,
	}
}
