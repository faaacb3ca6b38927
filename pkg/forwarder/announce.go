package forwarder

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bilberrywalk/bilberrywalk/pkg/connector"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// announce periodically announces the agent to each entry that has no link to
// it, until ctx is done.
func (a *Agent) announce(ctx context.Context) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		var targets []string
		var own framer.Frame
		err := a.loop.PostAndWait(ctx, func(now time.Time) {
			targets = a.unlinkedEntries()
			own = framer.Frame{
				Members: &framer.Members{
					Members: []framer.Member{a.view.Own()},
				},
			}
		})
		if err != nil {
			return nil
		}
		var group errgroup.Group
		for _, address := range targets {
			group.Go(func() error {
				a.announceTo(ctx, address, own)
				return nil
			})
		}
		if group.Wait() != nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// announceTo sends the agent's announcement to one entry and merges the members
// that the entry returns into the view.
func (a *Agent) announceTo(ctx context.Context, address string, own framer.Frame) {
	reply, err := connector.Exchange(ctx, a.framer, address, a.hello, own)
	if err != nil {
		a.log.Debug("announcement failed", "entry", address, "error", err)
		return
	}
	if reply.Members == nil {
		return
	}
	a.loop.Post(func(now time.Time) { a.view.Merge(now, reply.Members.Members) })
}

// unlinkedEntries returns the addresses of the entries, configured or
// discovered, that have no link to this agent.
func (a *Agent) unlinkedEntries() []string {
	linked := a.linkedAddresses()
	var targets []string
	for _, address := range a.cfg.Join {
		if !linked[address] {
			targets = append(targets, address)
		}
	}
	for _, m := range a.view.WithRole(framer.RoleEntry) {
		if !linked[m.Address] && !slices.Contains(targets, m.Address) {
			targets = append(targets, m.Address)
		}
	}
	return targets
}

// linkedAddresses returns the set of addresses of the entries that have a link
// to this agent.
func (a *Agent) linkedAddresses() map[string]bool {
	linked := map[string]bool{}
	for _, l := range a.links {
		linked[l.Peer.Address] = true
	}
	return linked
}
