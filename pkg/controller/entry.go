package controller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/clocker"
	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/drainer"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/looper"
	"github.com/bilberrywalk/bilberrywalk/pkg/measurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/relayer"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/server"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// tickInterval is the longest time between two ticks of the owner of the
	// cell, idleTickInterval the same for an entry that does not own it.
	tickInterval     = 50 * time.Millisecond
	idleTickInterval = 200 * time.Millisecond
	// standbyWatchDelay is how long an entry that does not own the cell waits
	// after a watch reply with changes before it sends the next watch request.
	standbyWatchDelay = 100 * time.Millisecond
	// maxStoreSilence is how long the store may be unavailable before the
	// entry reports itself as not ready for new callers.
	maxStoreSilence = 2 * time.Second
	// drainPeriod is how long a leaving entry still accepts requests after it
	// has reported itself as not ready. drainPollInterval is the time between
	// two checks for open requests.
	drainPeriod       = 2500 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// maxLinkBodyBytes limits the bodies of HTTP calls on the link address.
	maxLinkBodyBytes = 2 << 20
)

// Dependencies are the objects that an entry is built with.
type Dependencies struct {
	Log    hclog.Logger
	Assert *asserter.Asserter
	Framer *framer.Framer
	Clock  *clocker.Clock
	// Store is the direct route to the store, ThroughPeer the route through
	// another entry.
	Store       storer.RowStore
	ThroughPeer func(peer string) storer.RowStore
	// OperatorTable is the name of the table with the operators' rows.
	// DecodeQueues decodes one of them; it returns nil for a row without
	// queues. DecodeOrder decodes an order to drain a failure domain, and reports
	// whether the row is one; a deleted row withdraws the order.
	OperatorTable string
	DecodeQueues  func(row storer.PartitionedRow) (*scheduler.Queues, error)
	DecodeOrder   func(row storer.PartitionedRow) (drainer.Order, bool)
	// DecodeJob decodes a job of a queue as callers submit it.
	DecodeJob   func(id string, queue *scheduler.Queue, body []byte) (scheduler.Spec, error)
	Incarnation uint64
}

// Entry is the process that accepts callers' requests.
type Entry struct {
	cfg    configurer.Fleet
	deps   Dependencies
	log    hclog.Logger
	assert *asserter.Asserter
	framer *framer.Framer
	clock  *clocker.Clock
	relay  *relayer.Relay
	store  storer.RowStore
	hello  framer.Hello
	loop   *looper.Loop
	group  *errgroup.Group
	ctx    context.Context

	// configured is the newest configuration, for request handlers.
	configured atomic.Pointer[scheduler.Queues]
	leaving    atomic.Bool
	owning     atomic.Bool
	// storeRepliedAt is when the store last replied, in nanoseconds since
	// 1970.
	storeRepliedAt atomic.Int64
	// openRequests counts the callers' requests that are being answered.
	openRequests atomic.Int64
	metrics      atomic.Pointer[Metrics]
	// submits, cancels and commits measure the latency of each operation.
	submits   *measurer.Latency
	cancels   *measurer.Latency
	commits   *measurer.Latency
	admission admission
	refused   atomic.Int64
	unknown   atomic.Int64

	// The fields below belong to the control goroutine.
	cache  *jobCache
	owner  owner
	queues *scheduler.Queues
	// orders are the orders to drain failure domains, complete as of ordersReadAt.
	orders       drainer.Orders
	ordersReadAt time.Time
	// leaseRead is set once the cell's partition was read from the store.
	leaseRead bool
	agents    map[string]*agentLink
	// peers maps the address of each other entry to its processors.
	peers   map[string]float64
	sweeper sweeper
}

// New returns an entry; Run starts it.
func New(cfg configurer.Fleet, d Dependencies) *Entry {
	e := &Entry{
		cfg:    cfg,
		deps:   d,
		log:    d.Log,
		assert: d.Assert,
		framer: d.Framer,
		clock:  d.Clock,
		relay:  relayer.New(d.Store, d.ThroughPeer, d.Clock.Now),
		hello: framer.Hello{
			Role:          framer.RoleEntry,
			Address:       cfg.Link,
			FailureDomain: cfg.FailureDomain,
			Incarnation:   d.Incarnation,
		},
		cache:  newJobCache(d.Log, cfg.MemoryBytes),
		agents: map[string]*agentLink{},
		peers:  map[string]float64{},

		submits: measurer.NewLatency(),
		cancels: measurer.NewLatency(),
		commits: measurer.NewLatency(),
	}
	e.store = e.relay.RowStore()
	e.owner.lease = leaser.NewWith(cfg.Link, leaser.Terms{
		Duration:     leaseDuration,
		AcquireAfter: acquireAfter,
	})
	e.metrics.Store(&Metrics{})
	e.loop = looper.New(e.tick)
	e.loop.Now = d.Clock.Now
	e.loop.TickWhenIdle = true
	return e
}

// Run runs the entry until ctx is done, then shuts it down: the cell is
// released at once, and callers are answered until no requests are open, for at
// most three quarters of the grace period. serve runs the server for callers'
// requests.
func (e *Entry) Run(ctx context.Context, serve func(ctx context.Context) error) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(runCtx)
	e.group = group
	e.ctx = groupCtx
	h := server.New(e.cfg.Link, maxLinkBodyBytes)
	h.GET("/debug/vars", server.Vars)
	e.serveExplanations(h)
	relayer.Serve(h, e.deps.Store, e.relay)
	group.Go(func() error { return e.loop.Run(groupCtx) })
	group.Go(func() error { return server.Run(groupCtx, h) })
	group.Go(func() error { return serve(groupCtx) })
	for _, w := range e.watchers() {
		group.Go(func() error {
			w.run(groupCtx)
			return nil
		})
	}
	group.Go(func() error {
		e.announce(groupCtx)
		return nil
	})
	e.log.Info("entry started", "link", e.cfg.Link, "callers", e.cfg.Callers, "store", e.cfg.Store, "incarnation", e.hello.Incarnation)
	select {
	case <-ctx.Done():
		e.leave(groupCtx)
	case <-groupCtx.Done():
	}
	e.log.Info("entry stopping")
	stop()
	return group.Wait()
}

// leave releases the cell and still accepts requests for the drain period, but
// for at most half the grace period. It then waits until no callers' requests
// are open, for at most a quarter of the grace period.
func (e *Entry) leave(ctx context.Context) {
	e.leaving.Store(true)
	e.log.Info("entry leaving", "owner", e.owning.Load())
	e.loop.Post(func(time.Time) { e.owner.leaving = true })
	grace := time.Duration(e.cfg.Grace)
	sleep(ctx, min(drainPeriod, grace/2))
	ctx, cancel := context.WithTimeout(ctx, grace/4)
	defer cancel()
	for ctx.Err() == nil && e.openRequests.Load() > 0 {
		sleep(ctx, drainPollInterval)
	}
}

// watchers returns the watchers of all tables. The owner of the cell watches
// without a pause. A standby entry, and every entry for the cell table, waits
// for standbyWatchDelay after each reply with changes.
func (e *Entry) watchers() []*tableWatcher {
	delay := func() time.Duration {
		if e.owning.Load() {
			return 0
		}
		return standbyWatchDelay
	}
	watch := func(table string, partitions []string, delay func() time.Duration, apply func(now time.Time, rows []storer.PartitionedRow)) *tableWatcher {
		return &tableWatcher{
			log:        e.log,
			now:        e.clock.Now,
			timeout:    watchTimeout,
			store:      e.store,
			table:      table,
			partitions: partitions,
			delay:      delay,
			apply: func(rows []storer.PartitionedRow, _ bool) {
				e.loop.Post(func(now time.Time) { apply(now, rows) })
			},
			onContact: e.recordStoreContact,
		}
	}
	operators := watch(e.deps.OperatorTable, []string{""}, delay, e.queuesChanged)
	if e.cfg.DrainWithin > 0 {
		operators.timeout = orderWatchTimeout
	}
	operators.apply = func(rows []storer.PartitionedRow, whole bool) {
		e.loop.Post(func(now time.Time) {
			e.queuesChanged(now, rows)
			e.ordersChanged(now, rows, whole)
		})
	}
	operators.readAsOf = func(at time.Time) {
		e.loop.Post(func(time.Time) { e.ordersRead(at) })
	}
	return []*tableWatcher{
		operators,
		watch(jobTable, allJobPartitions(), delay, e.jobsChanged),
		watch(cellTable, []string{cellPartition}, func() time.Duration { return standbyWatchDelay }, e.cellChanged),
		watch(storer.MemberTable, []string{""}, delay, e.membersChanged),
	}
}

// recordStoreContact records the time of a reply of the store; ok is false if
// the store did not reply.
func (e *Entry) recordStoreContact(ok bool) {
	if ok {
		e.storeRepliedAt.Store(e.clock.Now().UnixNano())
	}
}

// queuesChanged applies queues of a newer version.
func (e *Entry) queuesChanged(_ time.Time, rows []storer.PartitionedRow) {
	for _, row := range rows {
		queues, err := e.deps.DecodeQueues(row)
		if err != nil {
			e.log.Error("configuration row skipped: cannot be decoded", "error", err)
			continue
		}
		if queues == nil || e.queues != nil && queues.Version <= e.queues.Version {
			continue
		}
		queues.Succeed(e.queues)
		e.queues = queues
		e.configured.Store(queues)
		if e.owner.cell != nil {
			e.owner.cell.SetQueues(queues)
		}
		e.log.Info("configuration applied", "version", queues.Version, "queues", len(queues.List))
	}
}

func (e *Entry) jobsChanged(now time.Time, rows []storer.PartitionedRow) {
	for _, row := range rows {
		if id := e.cache.applyJob(now, row); id != "" {
			e.activate(now, id)
		}
	}
}

func (e *Entry) cellChanged(now time.Time, rows []storer.PartitionedRow) {
	e.leaseRead = true
	for _, row := range rows {
		e.cache.applyCell(row)
	}
	e.observeLease(now)
}

func (e *Entry) membersChanged(_ time.Time, rows []storer.PartitionedRow) {
	for _, row := range rows {
		e.applyMember(row)
	}
	e.linkAgents()
}

// announce writes the entry's row to the member table, so that other processes
// can find it.
func (e *Entry) announce(ctx context.Context) {
	storer.Announce(ctx, e.store, storer.Member{
		Role:          framer.RoleEntry,
		Address:       e.cfg.Link,
		FailureDomain: e.cfg.FailureDomain,
		Processors:    e.cfg.Processors,
	}, func(err error) { e.log.Warn("announcement failed", "error", err) })
}

// tick does the periodic work and returns the time until the next tick.
func (e *Entry) tick(now time.Time) time.Duration {
	e.manageCell(now)
	e.owning.Store(e.owner.cell != nil)
	e.updateMetrics()
	if e.owner.cell != nil {
		return tickInterval
	}
	return idleTickInterval
}

// Ready reports whether the entry accepts new callers: it is not leaving, has
// a configuration, and the store replied within maxStoreSilence.
func (e *Entry) Ready() bool {
	repliedAt := time.Unix(0, e.storeRepliedAt.Load())
	return !e.leaving.Load() && e.configured.Load() != nil && e.clock.Now().Sub(repliedAt) < maxStoreSilence
}

// Leaving reports whether the entry is shutting down.
func (e *Entry) Leaving() bool {
	return e.leaving.Load()
}

// Queues returns the current configuration, or nil if there is none yet.
func (e *Entry) Queues() *scheduler.Queues {
	return e.configured.Load()
}

// TrackRequest counts a caller's request as open until the returned function is
// called.
func (e *Entry) TrackRequest() func() {
	e.openRequests.Add(1)
	return func() { e.openRequests.Add(-1) }
}
