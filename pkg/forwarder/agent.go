package forwarder

import (
	"bufio"
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/bilberrywalk/bilberrywalk/pkg/announcer"
	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/connector"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/gatekeeper"
	"github.com/bilberrywalk/bilberrywalk/pkg/looper"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/server"
)

const (
	// tickInterval is the time between ticks while requests run or wait at the
	// gate.
	tickInterval = 20 * time.Millisecond
	// idleTickInterval is the time between ticks while the gate is idle.
	idleTickInterval = 100 * time.Millisecond
	// announceInterval is the time between announcements to an entry that
	// has no link to this agent.
	announceInterval = time.Second
	// idlePollInterval is the time between a leaving agent's checks for
	// unfinished work.
	idlePollInterval = 20 * time.Millisecond
	// maxHTTPBodyBytes is the maximum size of a body in an HTTP call to an agent.
	maxHTTPBodyBytes = 4 << 10
)

// Agent is the process that runs alongside one endpoint and admits the requests
// to it.
type Agent struct {
	cfg    configurer.Settings
	log    hclog.Logger
	assert *asserter.Asserter
	framer *framer.Framer
	hello  framer.Hello
	loop   *looper.Loop
	group  *errgroup.Group

	leaving atomic.Bool
	// metrics is the latest snapshot of the agent's metrics.
	metrics atomic.Pointer[Metrics]

	// Only the control goroutine uses the fields below.
	gate          *gatekeeper.Gate
	view          *announcer.View
	documentCache *publisher.DocumentCache
	endpoint      *EndpointClient
	// connections is the maximum number of connections that endpoint was
	// created with.
	connections int
	// links maps the key of a peer to its link.
	links map[string]*connector.Link
	// viewExpiredAt is when expired members were last removed from the view.
	viewExpiredAt time.Time
}

// New returns an agent. Its incarnation must be higher than those of all earlier
// agents at the same address.
func New(cfg configurer.Settings, log hclog.Logger, assert *asserter.Asserter, fr *framer.Framer, incarnation uint64) *Agent {
	a := &Agent{
		cfg:    cfg,
		log:    log,
		assert: assert,
		framer: fr,
		hello: framer.Hello{
			Role:          framer.RoleAgent,
			Address:       cfg.Address,
			FailureDomain: cfg.FailureDomain,
			Service:       cfg.Agent.Service,
			Incarnation:   incarnation,
		},
		gate:          gatekeeper.New(assert),
		documentCache: publisher.NewDocumentCache(assert),
		links:         map[string]*connector.Link{},
	}
	a.view = announcer.New(framer.Member{
		Role:          framer.RoleAgent,
		Address:       cfg.Address,
		FailureDomain: cfg.FailureDomain,
		Service:       cfg.Agent.Service,
		Incarnation:   incarnation,
		State:         framer.MemberServing,
	})
	a.metrics.Store(&Metrics{})
	a.loop = looper.New(a.tick)
	return a
}

// Run serves until ctx is done and then leaves: it closes the gate immediately
// and lets work in flight finish within the leave grace. It reports whether all
// work was finished.
func (a *Agent) Run(ctx context.Context) (bool, error) {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(runCtx)
	a.group = group
	h := server.New(a.cfg.Address, maxHTTPBodyBytes)
	h.GET(connector.Path, func(_ context.Context, c *app.RequestContext) {
		connector.Upgrade(c, func(_ context.Context, conn net.Conn, r *bufio.Reader) {
			a.serveLink(groupCtx, conn, r)
		})
	})
	h.GET("/healthz", server.Health)
	h.GET("/readyz", a.ready)
	h.GET("/debug/vars", server.Vars)
	group.Go(func() error { return a.loop.Run(groupCtx) })
	group.Go(func() error { return server.Run(groupCtx, h) })
	group.Go(func() error { return a.announce(groupCtx) })
	a.log.Info("agent started", "address", a.cfg.Address, "service", a.cfg.Agent.Service, "endpoint", a.cfg.Agent.Endpoint)
	finished := true
	select {
	case <-ctx.Done():
		finished = a.leave(groupCtx)
	case <-groupCtx.Done():
	}
	stop()
	return finished, group.Wait()
}

// leave closes the gate and waits for the work in flight. It reports whether all
// work finished within the leave grace.
func (a *Agent) leave(ctx context.Context) bool {
	a.leaving.Store(true)
	if a.loop.PostAndWait(ctx, func(now time.Time) { a.closeGate(now, "signal") }) != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(a.cfg.LeaveGrace))
	defer cancel()
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		idle := false
		if a.loop.PostAndWait(ctx, func(time.Time) { idle = a.gate.Idle() }) != nil {
			a.log.Error("leave grace ended before all work was finished")
			return false
		}
		if idle {
			a.finishLinks(ctx)
			return true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// finishLinks closes all links after they have written their queued frames.
func (a *Agent) finishLinks(ctx context.Context) {
	var links []*connector.Link
	if a.loop.PostAndWait(ctx, func(time.Time) { links = slices.Collect(maps.Values(a.links)) }) != nil {
		return
	}
	var group errgroup.Group
	for _, l := range links {
		group.Go(func() error {
			l.Finish()
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		a.log.Error("closing links failed", "error", err)
	}
}

// closeGate stops the admission of new work. who is the operator who requested
// it, or "signal".
func (a *Agent) closeGate(now time.Time, who string) {
	if a.gate.Leaving() {
		return
	}
	a.log.Info("gate closed", "who", who, "running", a.gate.Running())
	a.leaving.Store(true)
	a.view.SetState(framer.MemberLeaving)
	a.perform(now, a.gate.Leave())
}

func (a *Agent) ready(_ context.Context, c *app.RequestContext) {
	if a.leaving.Load() {
		c.String(consts.StatusServiceUnavailable, "leaving\n")
		return
	}
	c.String(consts.StatusOK, "ready\n")
}

// serveLink runs the link on an accepted connection until the link ends.
func (a *Agent) serveLink(ctx context.Context, conn net.Conn, r *bufio.Reader) {
	l, err := connector.Accept(conn, r, a.framer, a.hello)
	if err != nil {
		a.log.Warn("link refused", "error", err)
		return
	}
	key := peerKey(l.Peer)
	a.loop.Post(func(now time.Time) { a.linkUp(now, key, l) })
	err = l.Run(ctx, func(f framer.Frame) {
		a.loop.Post(func(now time.Time) { a.receive(now, key, l, f) })
	})
	a.log.Info("link ended", "peer", l.Peer.Address, "cause", err)
	a.loop.Post(func(time.Time) { a.linkDown(key, l) })
}

// peerKey returns a key that identifies one incarnation of an entry, since an
// entry may be replaced by another at the same address.
func peerKey(h framer.Hello) string {
	return h.Address + "#" + strconv.FormatUint(h.Incarnation, 16)
}

// linkUp registers a new link. It closes an older link of the same peer, so that
// no frame from the older link is processed after a fence on the new one.
func (a *Agent) linkUp(now time.Time, key string, l *connector.Link) {
	if old := a.links[key]; old != nil {
		old.Abort()
	}
	a.links[key] = l
	a.view.Merge(now, []framer.Member{{
		Role:          l.Peer.Role,
		Address:       l.Peer.Address,
		FailureDomain: l.Peer.FailureDomain,
		Incarnation:   l.Peer.Incarnation,
		State:         framer.MemberServing,
	}})
	a.gate.Connect(key)
	a.perform(now, []gatekeeper.Action{a.gate.Report(key)})
}

func (a *Agent) linkDown(key string, l *connector.Link) {
	if a.links[key] != l {
		return
	}
	delete(a.links, key)
	a.gate.Disconnect(key)
}

func (a *Agent) receive(now time.Time, key string, l *connector.Link, f framer.Frame) {
	if a.links[key] != l {
		return
	}
	switch {
	case f.Start != nil:
		a.perform(now, a.gate.Start(now, key, *f.Start))
	case f.Fence != nil:
		a.perform(now, a.gate.Fence(now, key, *f.Fence))
	case f.Documents != nil:
		a.install(now, f.Documents.Documents)
		a.perform(now, []gatekeeper.Action{a.gate.Report(key)})
	case f.Leave != nil:
		a.closeGate(now, f.Leave.Who)
	}
}

// install activates newer documents of the agent's own service.
func (a *Agent) install(now time.Time, documents []framer.Document) {
	for _, doc := range documents {
		if doc.Service != a.cfg.Agent.Service {
			continue
		}
		newer, err := a.documentCache.Put(doc)
		if err != nil {
			a.log.Error("document rejected", "service", doc.Service, "version", doc.Version, "error", err)
			continue
		}
		if !newer {
			continue
		}
		if err := a.activateDocument(now, doc.Version); err != nil {
			a.log.Error("activating the document failed", "service", doc.Service, "version", doc.Version, "error", err)
			continue
		}
		a.log.Info("document applied", "service", doc.Service, "version", doc.Version)
	}
}

// activateDocument applies the cached document of the agent's service to the
// gate, and replaces the endpoint's client if the connection limit changed.
func (a *Agent) activateDocument(now time.Time, version uint64) error {
	_, doc := a.documentCache.Get(a.cfg.Agent.Service)
	if a.endpoint == nil || a.connections != doc.Endpoint.Connections {
		endpoint, err := NewEndpointClient(a.cfg.Agent.Endpoint, doc.Endpoint.Connections)
		if err != nil {
			return err
		}
		a.endpoint = endpoint
		a.connections = doc.Endpoint.Connections
	}
	a.perform(now, a.gate.Install(now, doc.GatePlan(version)))
	return nil
}

// perform executes the actions that the gate returned.
func (a *Agent) perform(now time.Time, actions []gatekeeper.Action) {
	for _, action := range actions {
		switch {
		case action.Send != nil:
			if l := a.links[action.Send.Peer]; l != nil {
				l.Send(action.Send.Frame)
			}
		case action.Run != nil:
			a.run(now, action.Run)
		}
	}
}

// run calls the endpoint with a request on a new goroutine and passes the result
// to the gate.
func (a *Agent) run(now time.Time, run *gatekeeper.Run) {
	endpoint := a.endpoint
	remaining := run.Deadline.Sub(now)
	a.group.Go(func() error {
		result := endpoint.Run(context.Background(), run.Start, remaining)
		a.loop.Post(func(now time.Time) {
			a.perform(now, a.gate.Finished(now, run.Start.ID, result))
		})
		return nil
	})
}

// Metrics is a snapshot of an agent's metrics, taken once a second.
type Metrics struct {
	Running         int    `json:"running"`
	TrackedIDs      int    `json:"remembered-ids"`
	Links           int    `json:"links"`
	DocumentVersion uint64 `json:"document-version"`
	Leaving         bool   `json:"leaving"`
}

// Metrics returns the latest snapshot of the agent's metrics.
func (a *Agent) Metrics() Metrics {
	return *a.metrics.Load()
}

func (a *Agent) collectMetrics() *Metrics {
	return &Metrics{
		Running:         a.gate.Running(),
		TrackedIDs:      a.gate.TrackedIDs(),
		Links:           len(a.links),
		DocumentVersion: a.gate.PlanVersion(),
		Leaving:         a.gate.Leaving(),
	}
}

// tick runs the gate's periodic work and returns the time until the next tick,
// which is longer while the gate is idle.
func (a *Agent) tick(now time.Time) time.Duration {
	a.perform(now, a.gate.Tick(now))
	if now.Sub(a.viewExpiredAt) >= announcer.ExpireInterval {
		a.viewExpiredAt = now
		a.metrics.Store(a.collectMetrics())
		linked := a.linkedAddresses()
		a.view.Expire(now, func(address string) bool { return linked[address] })
	}
	if a.gate.Idle() {
		return idleTickInterval
	}
	return tickInterval
}
