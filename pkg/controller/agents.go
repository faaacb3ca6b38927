package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/connector"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
)

// agentLink maintains the link to one agent while the entry owns the cell.
type agentLink struct {
	address string
	cancel  context.CancelFunc
	// link is the open link, or nil. It belongs to the control goroutine.
	link *connector.Link
}

// applyMember applies a row of the member table. Agents and peers are added,
// never removed.
func (e *Entry) applyMember(row storer.PartitionedRow) {
	if row.Deleted {
		return
	}
	m, err := storer.DecodeMember(row)
	if err != nil {
		e.log.Error("member row skipped: cannot be decoded", "error", err)
		return
	}
	switch m.Role {
	case framer.RoleAgent:
		if _, ok := e.agents[m.Address]; !ok {
			e.agents[m.Address] = nil
			e.log.Info("agent discovered", "address", m.Address, "failure-domain", m.FailureDomain)
		}
	case framer.RoleEntry:
		if m.Address != e.cfg.Link {
			e.peers[m.Address] = m.Processors
			e.relay.SetPeers(slices.Collect(maps.Keys(e.peers)))
		}
	}
}

// linkAgents starts a link to each agent that has none, if the entry owns the
// cell.
func (e *Entry) linkAgents() {
	if e.owner.cell == nil {
		return
	}
	for address, a := range e.agents {
		if a != nil {
			continue
		}
		ctx, cancel := context.WithCancel(e.ctx)
		a = &agentLink{
			address: address,
			cancel:  cancel,
		}
		e.agents[address] = a
		e.group.Go(func() error {
			e.maintainLink(ctx, a)
			return nil
		})
	}
}

// unlinkAgents closes all links to agents.
func (e *Entry) unlinkAgents() {
	for address, a := range e.agents {
		if a != nil {
			a.cancel()
			e.agents[address] = nil
		}
	}
}

// maintainLink dials an agent, again after each failure, until ctx is done.
func (e *Entry) maintainLink(ctx context.Context, a *agentLink) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		l, err := connector.Dial(ctx, e.framer, a.address, e.hello)
		if err != nil {
			e.log.Debug("opening link failed", "address", a.address, "error", err)
			sleep(ctx, delay)
			delay = min(maxRedialDelay, 2*delay)
			continue
		}
		delay = minRedialDelay
		l.Busy = func() bool { return true }
		e.loop.Post(func(now time.Time) { e.linkOpened(now, a, l) })
		err = l.Run(ctx, func(f framer.Frame) {
			if f.Report == nil {
				return
			}
			e.loop.Post(func(now time.Time) { e.reportReceived(now, a, l, *f.Report) })
		})
		e.log.Info("link ended", "peer", a.address, "cause", err)
		e.loop.Post(func(time.Time) { e.linkClosed(a, l) })
	}
}

func (e *Entry) linkOpened(now time.Time, a *agentLink, l *connector.Link) {
	if e.owner.cell == nil || e.agents[a.address] != a {
		l.Abort()
		return
	}
	a.link = l
	e.log.Info("link opened", "peer", a.address)
	e.sendSync(now, a, e.owner.lease.Valid(now))
}

func (e *Entry) linkClosed(a *agentLink, l *connector.Link) {
	if a.link != l {
		return
	}
	a.link = nil
	if e.owner.cell != nil && e.agents[a.address] == a {
		e.owner.cell.AgentDisconnected(a.address)
	}
}

// reportReceived passes a report to the scheduler. A report with a newer epoch
// than the cell's is dropped: the agent has a newer owner.
func (e *Entry) reportReceived(now time.Time, a *agentLink, l *connector.Link, r framer.Report) {
	cell := e.owner.cell
	if a.link != l || cell == nil || e.agents[a.address] != a {
		return
	}
	if r.Epoch > cell.Epoch() {
		e.log.Warn("agent report ignored: newer epoch", "peer", a.address, "epoch", r.Epoch)
		return
	}
	cell.HandleReport(now, a.address, r)
}

// syncAgents sends a sync to each agent with pending changes. It grants leases
// and starts runs only if granting is set.
func (e *Entry) syncAgents(now time.Time, granting bool) {
	for _, address := range e.owner.cell.Dirty() {
		if a := e.agents[address]; a != nil && a.link != nil {
			e.sendSync(now, a, granting)
		}
	}
}

func (e *Entry) sendSync(now time.Time, a *agentLink, granting bool) {
	s := e.owner.cell.Sync(now, a.address, granting)
	a.link.Send(framer.Frame{
		Sync: &s,
	})
}
