package receiver

import (
	"bufio"
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"golang.org/x/sync/errgroup"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/linker"
)

// handleLink answers the short links on which processes announce themselves and
// entries exchange views and documents.
func (e *Entry) handleLink(_ context.Context, c *app.RequestContext) {
	linker.Upgrade(c, func(_ context.Context, conn net.Conn, r *bufio.Reader) {
		l, err := linker.Accept(conn, r, e.framer, e.hello)
		if err != nil {
			e.log.Warn("link refused", "error", err)
			return
		}
		err = l.Run(e.ctx, func(f framer.Frame) {
			if f.Members == nil {
				return
			}
			e.loop.Post(func(now time.Time) {
				l.Send(e.memberFrame(now, f.Members.Digest))
				e.mergePeerState(now, *f.Members)
			})
		})
		e.log.Debug("announcement ended", "peer", l.Peer.Address, "cause", err)
	})
}

// mergePeerState takes another process's view and documents.
func (e *Entry) mergePeerState(now time.Time, m framer.Members) {
	e.install(now, m.Documents)
	e.mergeMembers(now, m.Members)
}

// memberFrame is this entry's view, with its documents if the other end's
// digest differs. An agent's announcement has no digest.
func (e *Entry) memberFrame(now time.Time, digest uint64) framer.Frame {
	members := &framer.Members{
		Members: e.view.Members(now),
		Digest:  e.documentCache.Digest(),
	}
	if digest != 0 && digest != members.Digest {
		members.Documents = e.documentCache.All()
	}
	return framer.Frame{
		Members: members,
	}
}

// exchangeWithPeers meets each other entry at an interval.
func (e *Entry) exchangeWithPeers(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		var targets []string
		if e.loop.Ask(ctx, func(time.Time) { targets = e.peers() }) != nil {
			return nil
		}
		var group errgroup.Group
		for _, address := range targets {
			group.Go(func() error {
				e.exchangeWith(ctx, address)
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

// exchangeWith shows this entry's view and documents to another entry and
// takes its answer.
func (e *Entry) exchangeWith(ctx context.Context, address string) {
	var own framer.Frame
	err := e.loop.Ask(ctx, func(now time.Time) {
		own = e.memberFrame(now, 0)
		own.Members.Documents = e.unsentDocuments(address)
	})
	if err != nil {
		return
	}
	reply, err := linker.Exchange(ctx, e.framer, address, e.hello, own)
	if err != nil {
		e.log.Debug("exchange failed", "entry", address, "error", err)
		return
	}
	if reply.Members == nil {
		return
	}
	e.loop.Post(func(now time.Time) {
		e.sentDigests[address] = own.Members.Digest
		e.mergePeerState(now, *reply.Members)
	})
}

// unsentDocuments returns the documents if the entry at address has not been shown
// them yet.
func (e *Entry) unsentDocuments(address string) []framer.Document {
	if e.sentDigests[address] == e.documentCache.Digest() {
		return nil
	}
	return e.documentCache.All()
}

// peers returns the other entries, set or learnt.
func (e *Entry) peers() []string {
	var targets []string
	for _, address := range e.cfg.Join {
		if address != e.cfg.Address {
			targets = append(targets, address)
		}
	}
	for _, m := range e.view.Role(framer.RoleEntry) {
		if !slices.Contains(targets, m.Address) {
			targets = append(targets, m.Address)
		}
	}
	return targets
}

// pollDocumentLog reads the document log, which tells of documents accepted by entries
// that died before they handed them on.
func (e *Entry) pollDocumentLog(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var place uint64
	for {
		documents, next, err := e.editor.Since(ctx, place)
		if err != nil {
			e.log.Debug("document log not read", "error", err)
		}
		place = next
		if len(documents) > 0 {
			e.loop.Post(func(now time.Time) { e.install(now, documents) })
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *Entry) agentAddresses() []string {
	return slices.Sorted(maps.Keys(e.links))
}
