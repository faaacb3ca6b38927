package dispatcher

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/admitter"
	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/router"
)

const (
	// gateMargin is subtracted from the remaining time that is sent to the
	// gate, so that its refusal arrives before the caller's deadline.
	gateMargin = 10 * time.Millisecond
	// fenceTimeout is how long, after a lost link, an idempotent request waits
	// for a new link and the reply to its fence before its attempt counts as
	// lost.
	fenceTimeout = 400 * time.Millisecond
	// fenceMargin is how long after the deadline a gate must retain a fence.
	fenceMargin = 5 * time.Second
	// maxLostAttempts is the number of lost attempts after which a request is not
	// retried: it may be what ends its endpoints.
	maxLostAttempts = 3
	// initialBackoff and maxBackoff bound the backoff between attempts.
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxAnswerBytes is the maximum size of a complete answer.
	maxAnswerBytes = 8 << 20
	// firstServerErrorStatus is the lowest HTTP status that counts as a
	// failed run.
	firstServerErrorStatus = 500
)

// Settings are the operator's settings of a dispatcher.
type Settings struct {
	FailureDomain string
	// RetryRatio is the maximum ratio of retries to new requests.
	RetryRatio float64
	// RetryBurst is the maximum number of retries that can accumulate.
	RetryBurst float64
}

// service is the dispatcher's state of one service.
type service struct {
	queue  *admitter.Queue
	router *router.Router
	budget *RetryBudget
}

// Dispatcher owns the requests of one entry. It is not safe for concurrent use;
// one goroutine owns it.
type Dispatcher struct {
	cfg      Settings
	rnd      *rand.Rand
	assert   *asserter.Asserter
	services map[string]*service
	requests map[string]*request
	// serviceNameAt is the service of the endpoint at each address.
	serviceNameAt map[string]string
	timers        timerHeap
	leaving       bool
	actions       []Action

	// Counts are the totals since start, for metrics.
	Counts Counts
}

// Counts are the totals of a dispatcher since its start.
type Counts struct {
	Accepted int64 `json:"accepted"`
	Answered int64 `json:"answered"`
	NotRun   int64 `json:"not-run"`
	Unknown  int64 `json:"unknown"`
	Attempts int64 `json:"attempts"`
	Retries  int64 `json:"retries"`
	// Rejected is the number of attempts that a gate rejected without running
	// them.
	Rejected int64 `json:"bounces"`
	Fences   int64 `json:"fences"`
}

// New returns a dispatcher without services.
func New(cfg Settings, rnd *rand.Rand, assert *asserter.Asserter) *Dispatcher {
	return &Dispatcher{
		cfg:           cfg,
		rnd:           rnd,
		assert:        assert,
		services:      map[string]*service{},
		requests:      map[string]*request{},
		serviceNameAt: map[string]string{},
	}
}

// Install applies the admission rules of a service, and creates the service if
// it is new.
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
	d.sendQueued(now, s)
	return d.takeActions()
}

// Submit accepts a new request. The returned actions may already contain its
// outcome.
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
	case s == nil || s.router.EndpointCount() == 0:
		d.finish(q, notRun(framer.ReasonNoEndpoint))
	case !r.Idempotent && r.CallerID != "":
		q.stage = StageClaiming
		d.addTimer(q, r.Deadline, timerDeadline)
		d.addAction(Action{
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
	return d.takeActions()
}

// Receive handles a frame from the agent at address.
func (d *Dispatcher) Receive(now time.Time, address string, f framer.Frame) []Action {
	s := d.serviceAt(address)
	if s == nil {
		return nil
	}
	switch {
	case f.Load != nil:
		s.router.Report(address, *f.Load)
		d.sendQueued(now, s)
	case f.Refused != nil:
		d.handleRefused(now, s, address, f.Refused)
	case f.Answer != nil:
		d.handleAnswer(now, s, address, f.Answer)
	case f.Failed != nil:
		if q := d.currentAttempt(address, f.Failed.ID, f.Failed.Attempt); q != nil {
			s.router.Failed(now, address)
			d.handleLostAttempt(now, s, q, f.Failed.Reason)
		}
	case f.Fenced != nil:
		d.handleFenced(now, s, address, f.Fenced)
	}
	return d.takeActions()
}

// Tick fires the timers that are due and refuses queued requests that can no
// longer meet their deadline.
func (d *Dispatcher) Tick(now time.Time) []Action {
	for {
		t, ok := d.timers.popDue(now)
		if !ok {
			break
		}
		if q := d.requests[t.id]; q != nil {
			d.fire(now, q, t)
		}
	}
	for _, name := range d.serviceNames() {
		d.sendQueued(now, d.services[name])
	}
	return d.takeActions()
}

// Leave makes the dispatcher refuse new requests from now on.
func (d *Dispatcher) Leave() {
	d.leaving = true
}

// InFlight returns the number of requests without an outcome.
func (d *Dispatcher) InFlight() int {
	return len(d.requests)
}

// Waiting returns the number of requests of a service that wait at this entry.
func (d *Dispatcher) Waiting(name string) int {
	if s := d.services[name]; s != nil {
		return s.queue.Waiting()
	}
	return 0
}

// ConfigureRouters calls configure with the router of each service, so that an
// experiment can change how endpoints are chosen.
func (d *Dispatcher) ConfigureRouters(configure func(r *router.Router)) {
	for _, name := range d.serviceNames() {
		configure(d.services[name].router)
	}
}

// HasRequest reports whether a request is in progress, that is, has no outcome yet.
func (d *Dispatcher) HasRequest(id string) bool {
	return d.requests[id] != nil
}

// HasService reports whether the rules of a service have been applied.
func (d *Dispatcher) HasService(name string) bool {
	return d.services[name] != nil
}

// serviceNames returns the names of the services in sorted order.
func (d *Dispatcher) serviceNames() []string {
	return slices.Sorted(maps.Keys(d.services))
}

// enqueue admits a request to the queue of its service, or finishes it if the
// queue refuses it.
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
	d.sendQueued(now, s)
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

func (d *Dispatcher) addAction(a Action) {
	d.actions = append(d.actions, a)
}

// takeActions returns the pending actions and clears them.
func (d *Dispatcher) takeActions() []Action {
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
