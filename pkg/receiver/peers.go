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

	"github.com/bilberrywalk/bilberrywalk/pkg/connector"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// handleLink serves the short-lived links on which processes announce themselves
// and entries exchange views and documents.
func (e *Entry) handleLink(_ context.Context, c *app.RequestContext) {
	connector.Upgrade(c, func(_ context.Context, conn net.Conn, r *bufio.Reader) {
		l, err := connector.Accept(conn, r, e.framer, e.hello)
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

// mergePeerState installs the documents and merges the members that another
// process sent.
func (e *Entry) mergePeerState(now time.Time, m framer.Members) {
	e.install(now, m.Documents)
	e.mergeMembers(now, m.Members)
}

// memberFrame returns a frame with this entry's view, and with its documents if
// the other end's digest differs. A digest of zero means that the other end sent
// none, as in an agent's announcement; it gets no documents.
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

// exchangeWithPeers exchanges views and documents with all other entries every
// exchangeInterval, until ctx is done.
func (e *Entry) exchangeWithPeers(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		var targets []string
		if e.loop.PostAndWait(ctx, func(time.Time) { targets = e.peers() }) != nil {
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

// exchangeWith sends this entry's view and documents to another entry and merges
// the reply.
func (e *Entry) exchangeWith(ctx context.Context, address string) {
	var own framer.Frame
	err := e.loop.PostAndWait(ctx, func(now time.Time) {
		own = e.memberFrame(now, 0)
		own.Members.Documents = e.unsentDocuments(address)
	})
	if err != nil {
		return
	}
	reply, err := connector.Exchange(ctx, e.framer, address, e.hello, own)
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

// unsentDocuments returns all documents if they differ from those last sent to the
// entry at address, or nil.
func (e *Entry) unsentDocuments(address string) []framer.Document {
	if e.sentDigests[address] == e.documentCache.Digest() {
		return nil
	}
	return e.documentCache.All()
}

// peers returns the addresses of the other entries, configured or discovered.
func (e *Entry) peers() []string {
	var targets []string
	for _, address := range e.cfg.Join {
		if address != e.cfg.Address {
			targets = append(targets, address)
		}
	}
	for _, m := range e.view.WithRole(framer.RoleEntry) {
		if !slices.Contains(targets, m.Address) {
			targets = append(targets, m.Address)
		}
	}
	return targets
}

// pollDocumentLog periodically reads the document log, which contains documents
// accepted by entries that failed before they sent them to others.
func (e *Entry) pollDocumentLog(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var cursor uint64
	for {
		documents, next, err := e.editor.ChangedSince(ctx, cursor)
		if err != nil {
			e.log.Debug("reading the document log failed", "error", err)
		}
		cursor = next
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

// agentAddresses returns the sorted addresses of all agents for which a link is
// maintained, open or not.
func (e *Entry) agentAddresses() []string {
	return slices.Sorted(maps.Keys(e.links))
}
