package receiver

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/connector"
	"github.com/bilberrywalk/bilberrywalk/pkg/dispatcher"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// The delay between attempts to dial an agent doubles from minRedialDelay
	// to maxRedialDelay.
	minRedialDelay = 20 * time.Millisecond
	maxRedialDelay = time.Second
)

// agentLink is the link to one agent, which is redialled until it is cancelled.
type agentLink struct {
	member framer.Member
	cancel context.CancelFunc
	// link is the open link, or nil. Only the control goroutine uses it.
	link *connector.Link
	// outstanding is the number of attempts that await the agent's answer.
	outstanding atomic.Int64
}

// mergeMembers merges members into the view and opens links to new agents.
func (e *Entry) mergeMembers(now time.Time, members []framer.Member) {
	for _, m := range e.view.Merge(now, members) {
		e.log.Info("member discovered", "role", m.Role, "address", m.Address, "service", m.Service, "incarnation", m.Incarnation)
		if m.Role != framer.RoleAgent {
			continue
		}
		e.perform(e.dispatcher.EndpointReplaced(now, m.Address, m.Incarnation))
		if e.links[m.Address] == nil {
			e.startLink(m)
		}
	}
}

// startLink starts the goroutine that maintains the link to an agent.
func (e *Entry) startLink(m framer.Member) {
	ctx, cancel := context.WithCancel(e.ctx)
	a := &agentLink{
		member: m,
		cancel: cancel,
	}
	e.links[m.Address] = a
	e.group.Go(func() error {
		e.maintainLink(ctx, a)
		return nil
	})
}

// linked reports whether the link to an agent is open.
func (e *Entry) linked(address string) bool {
	a := e.links[address]
	return a != nil && a.link != nil
}

// removeAgent removes an agent that has been silent for too long and stops the
// attempts to dial it. Such an agent has no open link.
func (e *Entry) removeAgent(address string) {
	a := e.links[address]
	if a == nil {
		return
	}
	e.log.Info("endpoint removed", "address", address)
	a.cancel()
	delete(e.links, address)
	e.dispatcher.RemoveEndpoint(address)
}

// maintainLink dials an agent and runs the link, again and again until ctx is
// done.
func (e *Entry) maintainLink(ctx context.Context, a *agentLink) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		l, err := connector.Dial(ctx, e.framer, a.member.Address, e.hello)
		if err != nil {
			e.log.Debug("opening link failed", "address", a.member.Address, "error", err)
			sleep(ctx, delay)
			delay = min(maxRedialDelay, 2*delay)
			continue
		}
		delay = minRedialDelay
		e.runLink(ctx, a, l)
	}
}

func (e *Entry) runLink(ctx context.Context, a *agentLink, l *connector.Link) {
	l.Busy = func() bool { return a.outstanding.Load() > 0 }
	e.loop.Post(func(now time.Time) { e.linkUp(now, a, l) })
	err := l.Run(ctx, func(f framer.Frame) {
		e.loop.Post(func(now time.Time) { e.receive(now, a, l, f) })
	})
	e.log.Info("link ended", "peer", a.member.Address, "cause", err)
	e.loop.Post(func(now time.Time) { e.linkDown(now, a, l) })
}

func (e *Entry) linkUp(now time.Time, a *agentLink, l *connector.Link) {
	a.link = l
	e.log.Info("link opened", "peer", l.Peer.Address, "incarnation", l.Peer.Incarnation)
	e.view.Merge(now, []framer.Member{{
		Role:          l.Peer.Role,
		Address:       l.Peer.Address,
		FailureDomain: l.Peer.FailureDomain,
		Service:       l.Peer.Service,
		Incarnation:   l.Peer.Incarnation,
		State:         framer.MemberServing,
	}})
	if doc, _ := e.documentCache.Get(l.Peer.Service); doc.Version > 0 {
		l.Send(documentsFrame(doc))
	}
	e.perform(e.dispatcher.Connect(now, l.Peer.Service, l.Peer.Address, l.Peer.FailureDomain, l.Peer.Incarnation))
}

func (e *Entry) linkDown(now time.Time, a *agentLink, l *connector.Link) {
	if a.link != l {
		return
	}
	a.link = nil
	a.outstanding.Store(0)
	e.perform(e.dispatcher.Disconnect(now, l.Peer.Address))
}

func (e *Entry) receive(now time.Time, a *agentLink, l *connector.Link, f framer.Frame) {
	if a.link != l {
		return
	}
	a.outstanding.Add(outstandingDelta(f))
	e.perform(e.dispatcher.Receive(now, l.Peer.Address, f))
}

func (e *Entry) send(s *dispatcher.Send) {
	a := e.links[s.Address]
	if a == nil || a.link == nil {
		return
	}
	a.outstanding.Add(outstandingDelta(s.Frame))
	a.link.Send(s.Frame)
}

// outstandingDelta returns by how much a frame changes the number of attempts
// that await an agent's answer.
func outstandingDelta(f framer.Frame) int64 {
	switch {
	case f.Start != nil:
		return 1
	case f.Fenced != nil && f.Fenced.State == framer.FenceRunning:
		return 1
	case f.Refused != nil, f.Failed != nil, f.Answer != nil && f.Answer.Last:
		return -1
	default:
		return 0
	}
}

func documentsFrame(documents ...framer.Document) framer.Frame {
	return framer.Frame{
		Documents: &framer.Documents{
			Documents: documents,
		},
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
