package receiver

import (
	"context"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/dispatcher"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/server"
)

// headerWho is the header with the name of the operator who makes a change.
const headerWho = "Bilberrywalk-Who"

// DocumentBody is a document in the operators' API.
type DocumentBody struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// ConflictBody is the response to an edit whose base is not the version in force.
// It contains the version in force and the text of the edit.
type ConflictBody struct {
	Error     string       `json:"error"`
	Base      uint64       `json:"base"`
	Current   DocumentBody `json:"current"`
	Submitted string       `json:"yours"`
}

// EndpointBody is an endpoint in the operators' API.
type EndpointBody struct {
	Address       string             `json:"address"`
	Service       string             `json:"service"`
	FailureDomain string             `json:"failure-domain"`
	Incarnation   string             `json:"incarnation"`
	State         framer.MemberState `json:"state"`
	Linked        bool               `json:"linked"`
}

// DrainBody is the response to a drain. Drained is the endpoint's address.
type DrainBody struct {
	Drained string `json:"drained"`
}

// StatusBody is an entry's state in the operators' API.
type StatusBody struct {
	Address          string            `json:"address"`
	FailureDomain    string            `json:"failure-domain"`
	Leaving          bool              `json:"leaving"`
	InFlight         int               `json:"in-flight"`
	Endpoints        int               `json:"endpoints"`
	Linked           int               `json:"linked"`
	Documents        map[string]uint64 `json:"documents"`
	Counts           dispatcher.Counts `json:"counts"`
	BrokenInvariants map[string]int64  `json:"broken-invariants"`
}

// applyDocument records an operator's edit of a service document.
func (e *Entry) applyDocument(ctx context.Context, c *app.RequestContext) {
	base, err := strconv.ParseUint(c.Query("base"), 10, 64)
	if err != nil {
		server.WriteError(c, consts.StatusBadRequest, &publisher.FieldError{
			Field:   "base",
			Value:   c.Query("base"),
			Allowed: "the version that the edit was made from; 0 for a new document",
		})
		return
	}
	edit := publisher.Edit{
		Service: c.Param("service"),
		Base:    base,
		Text:    string(c.Request.Body()),
		Who:     string(c.GetHeader(headerWho)),
	}
	doc, err := e.editor.Apply(ctx, time.Now(), edit)
	if err != nil {
		refuseEdit(c, edit, err)
		return
	}
	if e.loop.PostAndWait(ctx, func(now time.Time) { e.publishAccepted(now, doc) }) != nil {
		server.WriteError(c, consts.StatusServiceUnavailable, errors.New("the entry is leaving; the edit was accepted"))
		return
	}
	c.JSON(consts.StatusOK, documentBody(doc))
}

func refuseEdit(c *app.RequestContext, edit publisher.Edit, err error) {
	var field *publisher.FieldError
	var stale *publisher.StaleEditError
	switch {
	case errors.As(err, &field):
		server.WriteError(c, consts.StatusBadRequest, err)
	case errors.As(err, &stale):
		c.JSON(consts.StatusConflict, ConflictBody{
			Error:     err.Error(),
			Base:      stale.Base,
			Current:   documentBody(stale.Current),
			Submitted: edit.Text,
		})
	default:
		refuseChange(c, err)
	}
}

// publishAccepted puts an accepted document in force at this entry and sends it to
// the other entries.
func (e *Entry) publishAccepted(now time.Time, doc framer.Document) {
	if !e.install(now, []framer.Document{doc}) {
		return
	}
	for _, m := range e.view.WithRole(framer.RoleEntry) {
		e.group.Go(func() error {
			e.exchangeWith(e.ctx, m.Address)
			return nil
		})
	}
}

// install puts newer documents in force and reports whether any was newer.
func (e *Entry) install(now time.Time, documents []framer.Document) bool {
	changed := false
	for _, doc := range documents {
		newer, err := e.documentCache.Put(doc)
		if err != nil {
			e.log.Error("document rejected", "service", doc.Service, "version", doc.Version, "error", err)
			continue
		}
		if !newer {
			continue
		}
		changed = true
		e.log.Info("document applied", "service", doc.Service, "version", doc.Version)
		e.activateDocument(now, doc)
	}
	return changed
}

// activateDocument applies a document to the cell and the dispatcher, and sends it
// to the agents of its service.
func (e *Entry) activateDocument(now time.Time, doc framer.Document) {
	_, parsed := e.documentCache.Get(doc.Service)
	snapshot := maps.Clone(*e.documents.Load())
	snapshot[doc.Service] = parsed
	e.documents.Store(&snapshot)
	if e.cell != nil {
		e.cell.Core.SetQuota(parsed.Team, parsed.Quota)
		e.cell.Core.SetReplicas(parsed.Service, placer.ReplicaNeed{
			Team:  parsed.Team,
			Count: parsed.Replicas.Count,
			Needs: parsed.Replicas.Needs,
		})
	}
	isNew := !e.dispatcher.HasService(doc.Service)
	e.perform(e.dispatcher.Install(now, doc.Service, parsed.AdmissionRules()))
	for _, address := range e.agentAddresses() {
		l := e.links[address].link
		if l == nil || l.Peer.Service != doc.Service {
			continue
		}
		if isNew {
			e.perform(e.dispatcher.Connect(now, l.Peer.Service, address, l.Peer.FailureDomain, l.Peer.Incarnation))
		}
		l.Send(documentsFrame(doc))
	}
}

func (e *Entry) getDocument(ctx context.Context, c *app.RequestContext) {
	var doc framer.Document
	if err := e.loop.PostAndWait(ctx, func(time.Time) { doc, _ = e.documentCache.Get(c.Param("service")) }); err != nil {
		server.WriteError(c, consts.StatusServiceUnavailable, err)
		return
	}
	if doc.Version == 0 {
		server.WriteError(c, consts.StatusNotFound, &UnknownServiceError{
			Service: c.Param("service"),
		})
		return
	}
	c.JSON(consts.StatusOK, documentBody(doc))
}

func (e *Entry) listServices(ctx context.Context, c *app.RequestContext) {
	var documents []framer.Document
	if err := e.loop.PostAndWait(ctx, func(time.Time) { documents = e.documentCache.All() }); err != nil {
		server.WriteError(c, consts.StatusServiceUnavailable, err)
		return
	}
	c.JSON(consts.StatusOK, documentBodies(documents))
}

func (e *Entry) listHistory(ctx context.Context, c *app.RequestContext) {
	documents, err := e.editor.History(ctx, c.Param("service"))
	if err != nil {
		server.WriteError(c, consts.StatusServiceUnavailable, err)
		return
	}
	c.JSON(consts.StatusOK, documentBodies(documents))
}

func (e *Entry) listAudit(ctx context.Context, c *app.RequestContext) {
	trail, err := e.editor.Audit(ctx, c.Query("after"))
	if err != nil {
		server.WriteError(c, consts.StatusServiceUnavailable, err)
		return
	}
	c.JSON(consts.StatusOK, trail)
}

func (e *Entry) listEndpoints(ctx context.Context, c *app.RequestContext) {
	list := []EndpointBody{}
	err := e.loop.PostAndWait(ctx, func(time.Time) {
		for _, m := range e.view.WithRole(framer.RoleAgent) {
			a := e.links[m.Address]
			list = append(list, EndpointBody{
				Address:       m.Address,
				Service:       m.Service,
				FailureDomain: m.FailureDomain,
				Incarnation:   strconv.FormatUint(m.Incarnation, 16),
				State:         e.dispatcher.EndpointState(m.Address),
				Linked:        a != nil && a.link != nil,
			})
		}
	})
	if err != nil {
		server.WriteError(c, consts.StatusServiceUnavailable, err)
		return
	}
	c.JSON(consts.StatusOK, list)
}

// drainEndpoint requests that an agent close its gate.
func (e *Entry) drainEndpoint(ctx context.Context, c *app.RequestContext) {
	sent := false
	err := e.loop.PostAndWait(ctx, func(time.Time) {
		a := e.links[c.Param("address")]
		if a == nil || a.link == nil {
			return
		}
		sent = a.link.Send(framer.Frame{
			Leave: &framer.Leave{
				Who: string(c.GetHeader(headerWho)),
			},
		})
	})
	switch {
	case err != nil:
		server.WriteError(c, consts.StatusServiceUnavailable, err)
	case !sent:
		server.WriteError(c, consts.StatusNotFound, errors.Newf("no link to an endpoint at %s; see the list of endpoints", c.Param("address")))
	default:
		// The parameter's memory belongs to the request and is reused after it.
		e.recordDrain(strings.Clone(c.Param("address")), string(c.GetHeader(headerWho)))
		c.JSON(consts.StatusOK, DrainBody{
			Drained: c.Param("address"),
		})
	}
}

// recordDrain adds a drain to the audit trail. A drain does not wait for the
// platform; while the platform is unavailable, the drain appears only in the log.
func (e *Entry) recordDrain(address, who string) {
	e.log.Info("endpoint drained", "address", address, "who", who)
	e.group.Go(func() error {
		err := e.editor.RecordAudit(e.ctx, publisher.AuditRow{
			At:      time.Now(),
			Who:     who,
			What:    "drain",
			Subject: address,
			From:    string(framer.MemberServing),
			To:      string(framer.MemberLeaving),
		})
		if err != nil {
			e.log.Warn("drain not recorded in the audit trail", "address", address, "error", err)
		}
		return nil
	})
}

func (e *Entry) getStatus(ctx context.Context, c *app.RequestContext) {
	body := StatusBody{
		Address:          e.cfg.Address,
		FailureDomain:    e.cfg.FailureDomain,
		Leaving:          e.leaving.Load(),
		Documents:        map[string]uint64{},
		BrokenInvariants: e.assert.Broken(),
	}
	err := e.loop.PostAndWait(ctx, func(time.Time) {
		body.InFlight = e.dispatcher.InFlight()
		body.Endpoints = len(e.links)
		body.Counts = e.dispatcher.Counts
		for _, a := range e.links {
			if a.link != nil {
				body.Linked++
			}
		}
		for _, doc := range e.documentCache.All() {
			body.Documents[doc.Service] = doc.Version
		}
	})
	if err != nil {
		server.WriteError(c, consts.StatusServiceUnavailable, err)
		return
	}
	c.JSON(consts.StatusOK, body)
}

func documentBody(doc framer.Document) DocumentBody {
	return DocumentBody{
		Service: doc.Service,
		Version: doc.Version,
		Text:    doc.Text,
	}
}

func documentBodies(documents []framer.Document) []DocumentBody {
	list := make([]DocumentBody, 0, len(documents))
	for _, doc := range documents {
		list = append(list, documentBody(doc))
	}
	return list
}
