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
	Accepted int64
	Answered int64
	NotRun   int64
	Unknown  int64
	Attempts int64
	Retries  int64
	Bounces  int64
	Fences   int64
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

// current returns the request if the attempt is the one it waits for.
func (d *Dispatcher) current(address, id string, attempt int) *request {
	q := d.requests[id]
	if q == nil || q.address != address || q.attempt != attempt {
		return nil
	}
	if q.stage != StageSent && q.stage != StageFencing {
		return nil
	}
	return q
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

// pump sends waiting requests, in their turn, while any endpoint has room.
func (d *Dispatcher) pump(now time.Time, s *service) {
	for _, item := range s.queue.Hopeless(now) {
		q := d.requests[item.ID]
		d.finish(q, q.unsuccessful(framer.ReasonOverloaded))
	}
	for {
		sent := false
		for _, item := range s.queue.Turn() {
			q := d.requests[item.ID]
			e := s.router.Pick(now, q.Kind, q.Idempotent, q.address)
			if e == nil {
				continue
			}
			s.queue.Depart(now, q.Kind)
			d.send(now, q, e)
			sent = true
			break
		}
		if !sent {
			return
		}
	}
}

func (d *Dispatcher) send(now time.Time, q *request, e *router.Endpoint) {
	d.assert.Check(q.stage == StageQueued, "send-only-what-is-queued", "request", q.ID, "stage", q.stage.String())
	d.assert.Check(q.Idempotent || !q.mayHaveRun, "non-idempotent-sent-once", "request", q.ID)
	q.stage = StageSent
	q.attempt++
	q.address = e.Address
	q.incarnation = e.Incarnation
	q.sentAt = now
	q.parts = nil
	q.partBytes = 0
	d.Counts.Attempts++
	d.act(Action{
		Send: &Send{
			Address: e.Address,
			Frame: framer.Frame{
				Start: &framer.Start{
					ID:          q.ID,
					Attempt:     q.attempt,
					Kind:        q.Kind,
					Idempotent:  q.Idempotent,
					Remaining:   max(0, q.Deadline.Sub(now)-gateMargin),
					Age:         now.Sub(q.AcceptedAt),
					ContentType: q.ContentType,
					Body:        q.Body,
				},
			},
		},
	})
}

func (d *Dispatcher) fence(now time.Time, q *request) {
	d.Counts.Fences++
	d.act(Action{
		Send: &Send{
			Address: q.address,
			Frame: framer.Frame{
				Fence: &framer.Fence{
					ID:       q.ID,
					Attempt:  q.attempt,
					Remember: max(0, q.Deadline.Sub(now)) + fenceMargin,
				},
			},
		},
	})
}

// refused takes a gate's proof that an attempt was not run.
func (d *Dispatcher) refused(now time.Time, s *service, address string, f *framer.Refused) {
	q := d.current(address, f.ID, f.Attempt)
	if q == nil {
		return
	}
	d.Counts.Bounces++
	s.queue.Land(q.Kind)
	if f.Reason == framer.ReasonEndpointDown {
		s.router.Failed(now, address)
	} else {
		s.router.Returned(address)
	}
	switch f.Reason {
	case framer.ReasonExpired:
		d.finish(q, q.unsuccessful(framer.ReasonExpired))
	case framer.ReasonBusy:
		q.stage = StageQueued
		s.queue.Return(now, q.item())
	default:
		d.delay(now, q)
	}
	d.pump(now, s)
}

func (d *Dispatcher) fenced(now time.Time, s *service, address string, f *framer.Fenced) {
	q := d.current(address, f.ID, f.Attempt)
	if q == nil || q.stage != StageFencing {
		return
	}
	switch f.State {
	case framer.FenceNeverStarted:
		s.queue.Land(q.Kind)
		s.router.Returned(address)
		q.stage = StageQueued
		s.queue.Return(now, q.item())
		d.pump(now, s)
	case framer.FenceRunning, framer.FenceAnswered:
		q.stage = StageSent
	default:
		s.router.Failed(now, address)
		d.lost(now, s, q, framer.ReasonBrokenAnswer)
	}
}

// answer gathers the parts of an answer; only a whole one is handed on.
func (d *Dispatcher) answer(now time.Time, s *service, address string, f *framer.Answer) {
	q := d.current(address, f.ID, f.Attempt)
	if q == nil || f.Part != len(q.parts) {
		return
	}
	if f.Part == 0 {
		q.status = f.Status
		q.contentType = f.ContentType
	}
	q.parts = append(q.parts, f.Body)
	q.partBytes += len(f.Body)
	if q.partBytes > maxAnswerBytes {
		d.lost(now, s, q, framer.ReasonBrokenAnswer)
		return
	}
	if !f.Last {
		return
	}
	d.whole(now, s, q)
}

// whole takes a complete answer. A server error of an idempotent request is
// tried again while the budget lasts.
func (d *Dispatcher) whole(now time.Time, s *service, q *request) {
	s.queue.Learn(q.Kind, now.Sub(q.sentAt))
	if q.status < serverError {
		s.router.Succeeded(q.address, q.Kind, now.Sub(q.sentAt))
	} else {
		s.router.Failed(now, q.address)
		if q.Idempotent && d.hasTimeForRetry(now, q) && s.budget.Spend() {
			d.Counts.Retries++
			q.mayHaveRun = true
			s.queue.Land(q.Kind)
			d.delay(now, q)
			return
		}
	}
	s.queue.Land(q.Kind)
	d.finish(q, Outcome{
		Kind:        Answered,
		Status:      q.status,
		ContentType: q.contentType,
		Body:        joined(q.parts, q.partBytes),
	})
	d.pump(now, s)
}

// lost ends an attempt that may have run without giving an answer.
func (d *Dispatcher) lost(now time.Time, s *service, q *request, reason framer.Reason) {
	s.queue.Land(q.Kind)
	q.mayHaveRun = true
	switch {
	case !q.Idempotent || !d.hasTimeForRetry(now, q):
		d.finish(q, unknown(reason))
	case !s.budget.Spend():
		d.finish(q, unknown(framer.ReasonRetryBudget))
	default:
		d.Counts.Retries++
		d.delay(now, q)
	}
	d.pump(now, s)
}

func (d *Dispatcher) hasTimeForRetry(now time.Time, q *request) bool {
	return now.Add(firstBackoff + gateMargin).Before(q.Deadline)
}

// delay puts a request aside for a jittered backoff before its next turn.
func (d *Dispatcher) delay(now time.Time, q *request) {
	q.stage = StageDelayed
	q.backoff = min(longestBackoff, max(firstBackoff, 2*q.backoff))
	wait := q.backoff/2 + time.Duration(d.rnd.Int64N(int64(q.backoff/2)+1))
	d.addTimer(q, now.Add(wait), timerBackoff)
}

func (d *Dispatcher) fire(now time.Time, q *request, t timer) {
	s := d.services[q.Service]
	switch t.kind {
	case timerDeadline:
		d.expire(now, s, q)
	case timerFence:
		if q.stage == StageFencing && q.attempt == t.attempt {
			s.router.Failed(now, q.address)
			d.lost(now, s, q, framer.ReasonLinkLost)
		}
	case timerBackoff:
		if q.stage == StageDelayed && q.attempt == t.attempt {
			q.stage = StageQueued
			s.queue.Return(now, q.item())
			d.pump(now, s)
		}
	}
}

// expire ends a request at its deadline with what is known of it.
func (d *Dispatcher) expire(now time.Time, s *service, q *request) {
	switch q.stage {
	case StageClaiming:
		q.claimed = true
		d.finish(q, notRun(framer.ReasonStoreUnavailable))
	case StageQueued:
		s.queue.Remove(q.Kind, q.ID)
		d.finish(q, q.unsuccessful(framer.ReasonExpired))
	case StageDelayed:
		d.finish(q, q.unsuccessful(framer.ReasonExpired))
	case StageSent, StageFencing:
		s.queue.Land(q.Kind)
		s.queue.Learn(q.Kind, now.Sub(q.sentAt))
		q.mayHaveRun = true
		s.router.Failed(now, q.address)
		d.finish(q, unknown(framer.ReasonExpired))
		d.pump(now, s)
	case StageDone:
	}
}

// finish gives a request its one outcome and forgets it.
func (d *Dispatcher) finish(q *request, outcome Outcome) {
	d.assert.Check(q.stage != StageDone, "one-outcome-a-request", "request", q.ID)
	d.assert.Check(outcome.Kind != NotRun || !q.mayHaveRun && q.stage != StageFencing,
		"not-run-implies-no-start", "request", q.ID)
	q.stage = StageDone
	outcome.Attempts = q.attempt
	delete(d.requests, q.ID)
	switch outcome.Kind {
	case Answered:
		d.Counts.Answered++
	case NotRun:
		d.Counts.NotRun++
		if q.claimed {
			d.act(Action{
				Release: &Release{
					ID:       q.ID,
					Service:  q.Service,
					CallerID: q.CallerID,
					Deadline: q.Deadline,
				},
			})
		}
	default:
		d.Counts.Unknown++
	}
	d.act(Action{
		Finish: &Finish{
			ID:      q.ID,
			Outcome: outcome,
		},
	})
}

func (d *Dispatcher) addTimer(q *request, at time.Time, kind timerKind) {
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

// unsuccessful is not-run when that is proved, and unknown otherwise.
func (q *request) unsuccessful(reason framer.Reason) Outcome {
	if q.mayHaveRun {
		return unknown(reason)
	}
	return notRun(reason)
}

func notRun(reason framer.Reason) Outcome {
	return Outcome{
		Kind:   NotRun,
		Reason: reason,
	}
}

func unknown(reason framer.Reason) Outcome {
	return Outcome{
		Kind:   Unknown,
		Reason: reason,
	}
}

func joined(parts [][]byte, size int) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	whole := make([]byte, 0, size)
	for _, part := range parts {
		whole = append(whole, part...)
	}
	return whole
}
