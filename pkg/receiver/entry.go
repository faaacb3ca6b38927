// Package receiver implements the entry process: it accepts callers' requests and
// operators' edits, and maintains links to the agents of the endpoints.
package receiver

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/bilberrywalk/bilberrywalk/pkg/announcer"
	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/claimer"
	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/connector"
	"github.com/bilberrywalk/bilberrywalk/pkg/dispatcher"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/looper"
	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	bwserver "github.com/bilberrywalk/bilberrywalk/pkg/server"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// tickInterval is the time between ticks while requests are in flight.
	tickInterval = 5 * time.Millisecond
	// idleTickInterval is the time between ticks while no request is in
	// flight, and the minimum time between ticks of the cell.
	idleTickInterval = 25 * time.Millisecond
	// exchangeInterval is the time between exchanges with the other entries.
	exchangeInterval = 2 * time.Second
	// pollInterval is the time between reads of the document log.
	pollInterval = time.Second
	// sweepInterval is the time between deletions of old claims.
	sweepInterval = time.Minute
	// idlePollInterval is the time between a leaving entry's checks for
	// unanswered calls.
	idlePollInterval = 20 * time.Millisecond
	// notReadyPeriod is how long a leaving entry continues to listen, so that
	// the load balancer's readiness check sees that it is not ready.
	notReadyPeriod = 500 * time.Millisecond
)

// Entry is the process that serves callers and operators.
type Entry struct {
	cfg     configurer.Settings
	log     hclog.Logger
	assert  *asserter.Asserter
	framer  *framer.Framer
	hello   framer.Hello
	loop    *looper.Loop
	group   *errgroup.Group
	claimer *claimer.Claimer
	editor  *publisher.Editor
	jobs    *overseer.Jobs
	table   storer.Table
	workers overseer.WorkerClient

	leaving atomic.Bool
	// callsInFlight is the number of tracked HTTP calls without a response.
	callsInFlight atomic.Int64
	// documents is a snapshot of the documents in force, by service name.
	documents atomic.Pointer[map[string]publisher.Document]
	// metrics is the latest snapshot of the entry's metrics.
	metrics atomic.Pointer[Metrics]

	// Only the control goroutine uses the fields below.
	ctx           context.Context
	dispatcher    *dispatcher.Dispatcher
	view          *announcer.View
	documentCache *publisher.DocumentCache
	links         map[string]*agentLink
	waiters       map[string]chan<- dispatcher.Outcome
	// sentDigests maps an entry's address to the digest of the documents that
	// were last sent to it.
	sentDigests map[string]uint64
	// cell is nil if no workers are configured.
	cell          *overseer.Overseer
	cellTickedAt  time.Time
	viewExpiredAt time.Time
}

// Dependencies are the dependencies of an entry.
type Dependencies struct {
	Log         hclog.Logger
	Assert      *asserter.Asserter
	Framer      *framer.Framer
	Table       storer.Table
	Workers     overseer.WorkerClient
	Random      *rand.Rand
	Incarnation uint64
}

// New returns an entry.
func New(cfg configurer.Settings, deps Dependencies) *Entry {
	e := &Entry{
		cfg:    cfg,
		log:    deps.Log,
		assert: deps.Assert,
		framer: deps.Framer,
		hello: framer.Hello{
			Role:          framer.RoleEntry,
			Address:       cfg.Address,
			FailureDomain: cfg.FailureDomain,
			Incarnation:   deps.Incarnation,
		},
		claimer: claimer.New(cfg.Address, deps.Table),
		editor:  publisher.NewEditor(deps.Table),
		jobs:    overseer.NewJobs(deps.Table),
		table:   deps.Table,
		workers: deps.Workers,
		dispatcher: dispatcher.New(dispatcher.Settings{
			FailureDomain: cfg.FailureDomain,
			RetryRatio:    cfg.Entry.RetryRatio,
			RetryBurst:    cfg.Entry.RetryBurst,
		}, deps.Random, deps.Assert),
		view: announcer.New(framer.Member{
			Role:          framer.RoleEntry,
			Address:       cfg.Address,
			FailureDomain: cfg.FailureDomain,
			Incarnation:   deps.Incarnation,
			State:         framer.MemberServing,
		}),
		documentCache: publisher.NewDocumentCache(deps.Assert),
		links:         map[string]*agentLink{},
		waiters:       map[string]chan<- dispatcher.Outcome{},
		sentDigests:   map[string]uint64{},
	}
	e.documents.Store(&map[string]publisher.Document{})
	e.metrics.Store(&Metrics{})
	e.loop = looper.New(e.tick)
	return e
}

// Run serves until ctx is done and then leaves: it reports that it is not ready,
// refuses new requests and answers those in flight within the leave grace. It
// reports whether all were answered.
func (e *Entry) Run(ctx context.Context) (bool, error) {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(runCtx)
	e.group = group
	e.ctx = groupCtx
	e.cell = e.newCell()
	h := bwserver.New(e.cfg.Address, e.cfg.Entry.MaxBodyBytes)
	e.route(h)
	listenCtx, stopListening := context.WithCancel(groupCtx)
	defer stopListening()
	group.Go(func() error { return e.loop.Run(groupCtx) })
	group.Go(func() error { return bwserver.Run(listenCtx, h) })
	group.Go(func() error { return e.exchangeWithPeers(groupCtx) })
	group.Go(func() error { return e.pollDocumentLog(groupCtx) })
	group.Go(func() error { return e.sweepClaims(groupCtx) })
	e.log.Info("entry started", "address", e.cfg.Address, "failure-domain", e.cfg.FailureDomain)
	finished := true
	select {
	case <-ctx.Done():
		finished = e.leave(groupCtx, stopListening)
	case <-groupCtx.Done():
	}
	stop()
	return finished, group.Wait()
}

func (e *Entry) route(h *server.Hertz) {
	h.POST("/v1/services/:service/requests", e.trackCall(e.handleRequest))
	h.PUT("/v1/services/:service/document", e.trackCall(e.applyDocument))
	h.GET("/v1/services/:service/document", e.getDocument)
	h.GET("/v1/services/:service/history", e.listHistory)
	h.GET("/v1/services", e.listServices)
	h.GET("/v1/endpoints", e.listEndpoints)
	h.POST("/v1/endpoints/:address/drain", e.trackCall(e.drainEndpoint))
	h.POST("/v1/jobs", e.trackCall(e.submitJob))
	h.GET("/v1/jobs", e.listJobs)
	h.GET("/v1/jobs/:cell/:job", e.getJob)
	h.DELETE("/v1/jobs/:cell/:job", e.trackCall(e.cancelJob))
	h.GET("/v1/instances", e.listInstances)
	h.GET("/v1/cells", e.listCells)
	h.GET("/v1/status", e.getStatus)
	h.GET("/v1/audit", e.listAudit)
	h.GET(connector.Path, e.handleLink)
	h.GET("/healthz", bwserver.Health)
	h.GET("/readyz", e.ready)
	h.GET("/debug/vars", bwserver.Vars)
}

// trackCall returns a handler that includes its calls in callsInFlight.
func (e *Entry) trackCall(next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		e.callsInFlight.Add(1)
		defer e.callsInFlight.Add(-1)
		next(ctx, c)
	}
}

func (e *Entry) ready(_ context.Context, c *app.RequestContext) {
	if e.leaving.Load() {
		c.String(consts.StatusServiceUnavailable, "leaving\n")
		return
	}
	c.String(consts.StatusOK, "ready\n")
}

// leave stops the admission of new requests and waits until the calls in flight
// are answered. It reports whether all were answered within the leave grace.
func (e *Entry) leave(ctx context.Context, stopListening func()) bool {
	e.leaving.Store(true)
	e.log.Info("entry leaving")
	if e.loop.PostAndWait(ctx, func(time.Time) { e.dispatcher.Leave() }) != nil {
		return false
	}
	graceCtx, cancel := context.WithTimeout(ctx, time.Duration(e.cfg.LeaveGrace))
	defer cancel()
	timer := time.NewTimer(notReadyPeriod)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-graceCtx.Done():
	}
	stopListening()
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for e.callsInFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-graceCtx.Done():
			e.log.Error("leave grace ended before all requests were answered", "requests", e.callsInFlight.Load())
			return false
		}
	}
	return true
}

// tick runs the periodic work of the dispatcher, the view and the cell, and
// returns the time until the next tick, which is longer while no request is in
// flight.
func (e *Entry) tick(now time.Time) time.Duration {
	e.perform(e.dispatcher.Tick(now))
	if now.Sub(e.viewExpiredAt) >= announcer.ExpireInterval {
		e.viewExpiredAt = now
		e.metrics.Store(e.collectMetrics())
		for _, m := range e.view.Expire(now, e.linked) {
			e.removeAgent(m.Address)
		}
	}
	if e.cell != nil && now.Sub(e.cellTickedAt) >= idleTickInterval {
		e.cellTickedAt = now
		e.cell.Tick(e.ctx, now)
	}
	if e.dispatcher.InFlight() > 0 {
		return tickInterval
	}
	return idleTickInterval
}

// Metrics is a snapshot of an entry's metrics, taken once a second.
type Metrics struct {
	Requests dispatcher.Counts `json:"requests"`
	InFlight int               `json:"in-flight"`
	Linked   int               `json:"linked-endpoints"`
	Tasks    placer.Counts     `json:"tasks"`
	Waiting  int               `json:"waiting-tasks"`
}

// Metrics returns the latest snapshot of the entry's metrics.
func (e *Entry) Metrics() Metrics {
	return *e.metrics.Load()
}

func (e *Entry) collectMetrics() *Metrics {
	m := &Metrics{
		Requests: e.dispatcher.Counts,
		InFlight: e.dispatcher.InFlight(),
	}
	for address := range e.links {
		if e.linked(address) {
			m.Linked++
		}
	}
	if e.cell != nil && e.cell.Core.Cell() != nil {
		m.Tasks = e.cell.Core.Cell().Counts
		m.Waiting = e.cell.Core.Cell().Waiting()
	}
	return m
}

// perform executes the actions that the dispatcher returned.
func (e *Entry) perform(actions []dispatcher.Action) {
	for _, action := range actions {
		switch {
		case action.Send != nil:
			e.send(action.Send)
		case action.Finish != nil:
			if waiter := e.waiters[action.Finish.ID]; waiter != nil {
				delete(e.waiters, action.Finish.ID)
				waiter <- action.Finish.Outcome
			}
		case action.Claim != nil:
			e.claim(*action.Claim)
		case action.Release != nil:
			e.release(*action.Release)
		}
	}
}

// claim records a claim in the store on a new goroutine and passes the result to
// the dispatcher.
func (e *Entry) claim(a dispatcher.Claim) {
	e.group.Go(func() error {
		result := e.claimer.Claim(e.ctx, a)
		e.loop.Post(func(now time.Time) {
			e.perform(e.dispatcher.Claimed(now, a.ID, result))
		})
		return nil
	})
}

// sweepClaims periodically deletes a batch of old claims, until ctx is done.
func (e *Entry) sweepClaims(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	after := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			next, err := e.claimer.Sweep(ctx, now, after)
			if err != nil {
				e.log.Debug("sweeping claims failed", "error", err)
			}
			after = next
		}
	}
}

func (e *Entry) release(a dispatcher.Release) {
	e.group.Go(func() error {
		if err := e.claimer.Release(e.ctx, a); err != nil {
			e.log.Warn("releasing a claim failed", "request", a.ID, "error", err)
		}
		return nil
	})
}
