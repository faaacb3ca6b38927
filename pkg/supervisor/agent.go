package supervisor

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/bilberrywalk/bilberrywalk/pkg/clocker"
	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/connector"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/looper"
	"github.com/bilberrywalk/bilberrywalk/pkg/measurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/server"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// maxLinkBodyBytes bounds the request bodies of HTTP calls to the link
	// address.
	maxLinkBodyBytes = 4 << 10
	// maxStartDelay is the longest time from the decision to call the runner until the
	// call is made.
	maxStartDelay = 500 * time.Millisecond
)

// Dependencies are the collaborators of an agent.
type Dependencies struct {
	Log         hclog.Logger
	Framer      *framer.Framer
	Clock       *clocker.Clock
	Store       storer.RowStore
	Runner      Runner
	Incarnation uint64
}

// Agent is the process beside one runner.
type Agent struct {
	cfg     configurer.Fleet
	log     hclog.Logger
	framer  *framer.Framer
	store   storer.RowStore
	runner  Runner
	hello   framer.Hello
	loop    *looper.Loop
	group   *errgroup.Group
	ctx     context.Context
	metrics atomic.Pointer[Counts]
	// accepted counts the links that owners opened.
	accepted atomic.Uint64
	// startLatency measures the response time of the runner to start calls.
	startLatency *measurer.Latency

	// The fields below belong to the control goroutine.
	core    *Core
	answers *answerLog
	// owner is the link to the owner with the highest epoch received, or nil.
	owner *connector.Link
	// ownerNumber is the number of the last such link among the accepted ones.
	ownerNumber uint64
}

// NewAgent returns an agent that is not running yet.
func NewAgent(cfg configurer.Fleet, d Dependencies) *Agent {
	a := &Agent{
		cfg:    cfg,
		log:    d.Log,
		framer: d.Framer,
		store:  d.Store,
		runner: d.Runner,
		hello: framer.Hello{
			Role:          framer.RoleAgent,
			Address:       cfg.Link,
			FailureDomain: cfg.FailureDomain,
			Incarnation:   d.Incarnation,
		},
		core:         NewCore(),
		answers:      newAnswerLog(),
		startLatency: measurer.NewLatency(),
	}
	a.metrics.Store(&Counts{})
	a.loop = looper.New(a.tick)
	a.loop.Now = d.Clock.Now
	a.loop.TickWhenIdle = true
	return a
}

// Run serves until ctx is done. Runs continue without the agent until their
// lease expires, so a restart of the agent interrupts none. The function serve
// runs the handlers of the runner's calls.
func (a *Agent) Run(ctx context.Context, serve func(ctx context.Context) error) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(runCtx)
	a.group = group
	a.ctx = groupCtx
	h := server.New(a.cfg.Link, maxLinkBodyBytes)
	h.GET(connector.Path, func(_ context.Context, c *app.RequestContext) {
		connector.Upgrade(c, func(_ context.Context, conn net.Conn, r *bufio.Reader) {
			a.serveLink(groupCtx, conn, r)
		})
	})
	h.GET("/debug/vars", server.Vars)
	group.Go(func() error { return a.loop.Run(groupCtx) })
	group.Go(func() error { return server.Run(groupCtx, h) })
	group.Go(func() error { return serve(groupCtx) })
	group.Go(func() error {
		a.announce(groupCtx)
		return nil
	})
	a.log.Info("agent started", "link", a.cfg.Link, "runner", a.cfg.Runner, "incarnation", a.hello.Incarnation)
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	a.log.Info("agent stopping")
	stop()
	return group.Wait()
}

// announce writes the agent's row to the store, where owners look it up.
func (a *Agent) announce(ctx context.Context) {
	storer.Announce(ctx, a.store, storer.Member{
		Role:          framer.RoleAgent,
		Address:       a.cfg.Link,
		FailureDomain: a.cfg.FailureDomain,
	}, func(err error) { a.log.Warn("announcement failed", "error", err) })
	if ctx.Err() == nil {
		a.log.Info("agent announced", "link", a.cfg.Link)
	}
}

// Heartbeat processes a heartbeat of the runner. The runner's address is the one that
// the agent calls, whatever the heartbeat says.
func (a *Agent) Heartbeat(ctx context.Context, b Heartbeat) error {
	b.Info.Address = a.cfg.Runner
	return a.loop.PostAndWait(ctx, func(now time.Time) {
		before, known := a.core.Runner()
		if !a.core.Heartbeat(now, b) {
			a.log.Info("stale heartbeat ignored", "runner", b.Info.Key.ID, "born-millis", b.Info.Key.StartedAtMillis, "sequence", b.Sequence)
			return
		}
		if !known || before.Key != b.Info.Key {
			a.log.Info("runner incarnation claimed", "runner", b.Info.Key.ID, "born-millis", b.Info.Key.StartedAtMillis,
				"service", b.Info.Service, "sequence", b.Sequence)
			return
		}
		if b.Info.Draining && !before.Draining {
			a.log.Info("runner draining", "runner", b.Info.Key.ID)
		}
	})
}

// RunnerLeft processes the notice that the runner has left.
func (a *Agent) RunnerLeft(ctx context.Context, id string) error {
	return a.loop.PostAndWait(ctx, func(now time.Time) {
		a.log.Info("runner left", "runner", id)
		a.core.RunnerLeft(now, id)
	})
}

// Metrics are the counters and latencies of an agent.
type Metrics struct {
	Counts
	StartLatency measurer.Summary `json:"start-latency"`
}

// Metrics returns the latest values.
func (a *Agent) Metrics() Metrics {
	return Metrics{
		Counts:       *a.metrics.Load(),
		StartLatency: a.startLatency.Summary(),
	}
}

func (a *Agent) serveLink(ctx context.Context, conn net.Conn, r *bufio.Reader) {
	// It is numbered before the owner can know that it is open, and so before the
	// owner can open another.
	number := a.accepted.Add(1)
	l, err := connector.Accept(conn, r, a.framer, a.hello)
	if err != nil {
		a.log.Warn("link refused", "error", err)
		return
	}
	a.log.Info("link opened", "peer", l.Peer.Address, "number", number)
	err = l.Run(ctx, func(f framer.Frame) {
		if f.Sync == nil {
			return
		}
		a.loop.Post(func(now time.Time) { a.syncReceived(now, l, number, *f.Sync) })
	})
	a.log.Info("link ended", "peer", l.Peer.Address, "cause", err)
	a.loop.Post(func(time.Time) { a.linkEnded(l) })
}

// linkEnded records that a link has ended. Its number stays the highest one: what is read
// from earlier links is out of date in any case.
func (a *Agent) linkEnded(l *connector.Link) {
	if a.owner == l {
		a.owner = nil
	}
}

// syncReceived processes a sync that arrived on the link with a number. An owner
// opens a link only once its earlier one has ended, so what is still read from
// that one is out of date: it may request starts that were given back meanwhile.
func (a *Agent) syncReceived(now time.Time, l *connector.Link, number uint64, s framer.Sync) {
	before := a.core.Epoch()
	if s.Epoch == before && number < a.ownerNumber {
		a.log.Info("sync of an earlier link ignored", "peer", l.Peer.Address, "epoch", s.Epoch, "number", number)
		return
	}
	if !a.core.SyncReceived(now, s) {
		a.log.Info("sync from former owner rejected", "peer", l.Peer.Address, "epoch", s.Epoch, "highest", before)
		l.Abort()
		return
	}
	if a.owner != l {
		a.log.Info("owner changed", "peer", l.Peer.Address, "epoch", s.Epoch)
		a.owner = l
		a.ownerNumber = number
		a.core.Reconnected(now)
	}
	for _, start := range s.Starts {
		a.log.Debug("start requested", "task", start.Task, "run", start.Run, "epoch", s.Epoch)
	}
}

// tick carries out the actions that the core returns.
func (a *Agent) tick(now time.Time) time.Duration {
	actions, wake := a.core.Tick(now)
	for _, action := range actions {
		a.perform(now, action)
	}
	counts := a.core.Counts
	a.metrics.Store(&counts)
	return wake
}

func (a *Agent) perform(now time.Time, action Action) {
	switch {
	case action.Report != nil:
		if a.owner != nil {
			a.owner.Send(framer.Frame{
				Report: action.Report,
			})
		}
	case action.Renew != nil:
		a.group.Go(func() error {
			call := *action.Renew
			l, err := a.runner.RenewLease(a.ctx, call.Header, call.AckedSequence, call.Wait)
			a.loop.Post(func(now time.Time) { a.leaseRenewed(now, call, l, err) })
			return nil
		})
	case action.Start != nil:
		a.group.Go(func() error {
			call := *action.Start
			began := time.Now()
			answer, err := a.start(now, call)
			a.startLatency.Record(time.Since(began))
			a.loop.Post(func(now time.Time) { a.startAnswered(now, call, answer, err) })
			return nil
		})
	case action.Stop != nil:
		a.group.Go(func() error {
			call := *action.Stop
			answer, err := a.runner.Stop(a.ctx, call.Header, call.Ref)
			a.loop.Post(func(now time.Time) { a.stopAnswered(now, call, answer, err) })
			return nil
		})
	case action.SetSpeed != nil:
		a.group.Go(func() error {
			call := *action.SetSpeed
			answer, err := a.runner.SetSpeed(a.ctx, call.Header, call.Ref, call.Percent)
			a.loop.Post(func(now time.Time) { a.speedSet(now, call, answer, err) })
			return nil
		})
	}
}

// start calls the runner, unless the process was stopped since the call was decided on: the
// start may have lapsed meanwhile.
func (a *Agent) start(decidedAt time.Time, call StartCall) (Answer, error) {
	if late := a.loop.Now().Sub(decidedAt); late > maxStartDelay {
		return Answer{}, &NotSentError{
			Cause: "decided on " + late.String() + " ago",
		}
	}
	return a.runner.Start(a.ctx, call.Header, call.Start)
}

func (a *Agent) leaseRenewed(now time.Time, call RenewCall, l Listing, err error) {
	refuted := a.core.Counts.RefutedClaims
	before := a.core.listedAt
	a.core.LeaseRenewed(now, call, l, err)
	if silence := a.core.listedAt.Sub(before); !before.IsZero() && silence > listingTTL {
		a.log.Info("first listing after a silence", "runner", call.Header.Runner.ID, "silence-millis", silence.Milliseconds(),
			"clock-millis", l.ClockMillis, "lease-until-millis", a.core.lease.untilMillis, "requested-until-millis", call.Header.LeaseUntilMillis,
			"acknowledged", a.core.deliveredAckSequence, "running", len(l.Running), "finished", len(l.Finished))
	}
	if call.Purpose == PurposeProbe {
		a.logProbe(call, l, err, a.core.Counts.RefutedClaims > refuted)
	}
	if len(l.Malformed) > 0 {
		a.log.Error("rows of a listing skipped", "runner", call.Header.Runner.ID, "rows", len(l.Malformed), "error", l.Malformed[0])
	}
	if err != nil || l.Refusal != "" {
		a.log.Debug("lease not renewed", "runner", call.Header.Runner.ID, "epoch", call.Header.Epoch, "refusal", l.Refusal, "error", err)
	}
}

// logProbe logs the result of a probe of a claimed incarnation.
func (a *Agent) logProbe(call RenewCall, l Listing, err error, refuted bool) {
	key := call.Header.Runner
	known, _ := a.core.Runner()
	switch {
	case refuted:
		a.log.Warn("claim of a runner incarnation refuted", "runner", key.ID, "born-millis", key.StartedAtMillis,
			"refusal", l.Refusal, "answered-by-millis", l.StartedAtMillis, "known", known.Key.ID, "known-born-millis", known.Key.StartedAtMillis)
	case known.Key == key:
		a.log.Info("new runner incarnation", "runner", key.ID, "born-millis", key.StartedAtMillis, "service", known.Service,
			"clock-millis", l.ClockMillis)
	default:
		a.log.Debug("claim of a runner incarnation not answered", "runner", key.ID, "born-millis", key.StartedAtMillis, "refusal", l.Refusal, "error", err)
	}
}

func (a *Agent) startAnswered(now time.Time, call StartCall, answer Answer, err error) {
	a.core.StartAnswered(now, call, answer, err)
	if err == nil && answer.Refusal == "" {
		return
	}
	repeats, due := a.answers.due(now, loggedCall{
		ref: call.Start.RunRef,
	}, answer, err)
	if due {
		a.log.Info("start not accepted", "task", call.Start.Task, "run", call.Start.Run, "epoch", call.Header.Epoch,
			"lease-until-millis", call.Header.LeaseUntilMillis, "refusal", answer.Refusal, "error", err, "repeats", repeats)
	}
}

func (a *Agent) stopAnswered(now time.Time, call StopCall, answer Answer, err error) {
	a.core.StopAnswered(now, call, answer, err)
	repeats, due := a.answers.due(now, loggedCall{
		stop: true,
		ref:  call.Ref,
	}, answer, err)
	if due {
		a.log.Info("stop request sent", "task", call.Ref.Task, "run", call.Ref.Run, "epoch", call.Header.Epoch,
			"refusal", answer.Refusal, "error", err, "repeats", repeats)
	}
}

func (a *Agent) speedSet(now time.Time, call SetSpeedCall, answer Answer, err error) {
	a.core.SpeedSet(now, call, answer, err)
	repeats, due := a.answers.due(now, loggedCall{
		speed:   true,
		percent: call.Percent,
		ref:     call.Ref,
	}, answer, err)
	if due {
		a.log.Info("speed limit change sent", "task", call.Ref.Task, "run", call.Ref.Run, "percent", call.Percent,
			"refusal", answer.Refusal, "error", err, "repeats", repeats)
	}
}
