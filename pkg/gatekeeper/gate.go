package gatekeeper

import (
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// minDeadlineRunTimes is how many times the expected run time of a borrowing
	// kind must fit into the deadline of the lending kind.
	minDeadlineRunTimes = 4
	// headroomSlots is the number of free floor slots of other kinds that a kind at
	// or above its own floor must leave free if its expected run time exceeds their
	// lend limits but fits minDeadlineRunTimes times into their deadlines.
	headroomSlots = 1
	// idRetentionMargin is how long a request id is retained past its deadline.
	idRetentionMargin = 5 * time.Second
	// maxAnswerPartBytes bounds one part of a response, so that heartbeats can
	// be sent between the parts.
	maxAnswerPartBytes = 64 << 10
	// maxKeptAnswerBytes bounds the total size of the responses retained for
	// peers whose link was lost.
	maxKeptAnswerBytes = 2 << 20
)

// Gate decides which requests start on one endpoint. It is not safe for
// concurrent use; one goroutine owns it.
type Gate struct {
	plan            Plan
	assert          *asserter.Asserter
	records         map[string]*record
	waiting         []*record
	running         map[string]int
	total           int
	leaving         bool
	startsReceived  map[string]uint64
	subscribed      []string
	keptAnswers     []*record
	keptAnswerBytes int
	nextEviction    time.Time
}

// New returns a gate that refuses every request until a plan is installed.
func New(assert *asserter.Asserter) *Gate {
	return &Gate{
		assert:         assert,
		records:        map[string]*record{},
		running:        map[string]int{},
		startsReceived: map[string]uint64{},
	}
}

// Install replaces the plan by a newer one. An older plan is ignored.
func (g *Gate) Install(now time.Time, plan Plan) []Action {
	if plan.Version <= g.plan.Version {
		return nil
	}
	g.plan = plan
	return g.promote(now)
}

// PlanVersion returns the document version of the plan in force.
func (g *Gate) PlanVersion() uint64 {
	return g.plan.Version
}

// Connect resets the count of starts received from a peer for its new link.
func (g *Gate) Connect(peer string) {
	g.startsReceived[peer] = 0
}

// Disconnect drops the state of a peer's link. The peer's requests stay.
func (g *Gate) Disconnect(peer string) {
	delete(g.startsReceived, peer)
	g.subscribed = slices.DeleteFunc(g.subscribed, func(p string) bool { return p == peer })
}

// Start runs, queues or refuses an attempt received from peer.
func (g *Gate) Start(now time.Time, peer string, s framer.Start) []Action {
	g.startsReceived[peer]++
	rec := g.records[s.ID]
	if rec != nil && rec.state != stateFenced {
		// The request was received before; its response was sent or will follow.
		return nil
	}
	if rec != nil && s.Attempt <= rec.fencedUpTo {
		return g.refuse(peer, s, framer.ReasonFenced)
	}
	if g.leaving {
		return g.refuse(peer, s, framer.ReasonLeaving)
	}
	if s.Remaining <= 0 {
		return g.refuse(peer, s, framer.ReasonExpired)
	}
	rule := g.plan.rule(s.Kind)
	if rule == nil {
		return g.refuse(peer, s, framer.ReasonUnknownKind)
	}
	next := &record{
		start:      s,
		peer:       peer,
		acceptedAt: now.Add(-s.Age),
		deadline:   now.Add(s.Remaining),
		evictAt:    now.Add(s.Remaining + idRetentionMargin),
	}
	if rec != nil {
		next.fencedUpTo = rec.fencedUpTo
	}
	waiting := g.waitingCount(s.Kind)
	if waiting == 0 && g.startableSlots(rule) > 0 {
		g.records[s.ID] = next
		return []Action{g.run(now, next)}
	}
	if waiting < g.standby(rule) {
		next.state = stateWaiting
		g.records[s.ID] = next
		g.enqueue(next)
		return nil
	}
	return g.refuse(peer, s, framer.ReasonBusy)
}

// Finished records the result of a running request and sends it to the peer.
func (g *Gate) Finished(now time.Time, id string, result Result) []Action {
	rec := g.records[id]
	if rec == nil || rec.state != stateRunning {
		g.assert.Check(false, "finish-of-a-request-that-does-not-run", "request", id)
		return nil
	}
	g.running[rec.start.Kind]--
	g.total--
	g.assert.Check(g.total >= 0 && g.running[rec.start.Kind] >= 0, "running-count-not-negative", "request", id)
	actions := g.promote(now)
	switch {
	case result.NotStarted != "":
		rec.state = stateFenced
		rec.fencedUpTo = rec.start.Attempt
		actions = append(actions, send(rec.peer, refused(rec.start, result.NotStarted)))
	case result.Failure != "":
		rec.state = stateFailed
		rec.reason = result.Failure
		actions = append(actions, send(rec.peer, failed(rec)))
	default:
		rec.state = stateAnswered
		g.keepAnswer(rec, result)
		actions = append(actions, answerParts(rec)...)
	}
	rec.start.Body = nil
	g.subscribe(rec.peer)
	return append(actions, g.notify()...)
}

// Fence prevents an attempt from starting later, unless it has started already,
// and returns its state to the peer.
func (g *Gate) Fence(now time.Time, peer string, f framer.Fence) []Action {
	rec := g.records[f.ID]
	if rec == nil {
		rec = &record{
			start: framer.Start{
				ID: f.ID,
			},
			state: stateFenced,
		}
		g.records[f.ID] = rec
	}
	rec.peer = peer
	if until := now.Add(f.RetainFor); until.After(rec.evictAt) {
		rec.evictAt = until
	}
	if rec.state == stateWaiting {
		g.dequeue(rec)
		rec.state = stateFenced
	}
	switch rec.state {
	case stateRunning:
		return []Action{send(peer, fenced(f, framer.FenceRunning))}
	case stateAnswered:
		if rec.answer == nil {
			return []Action{send(peer, fenced(f, framer.FenceFailed))}
		}
		return append([]Action{send(peer, fenced(f, framer.FenceAnswered))}, answerParts(rec)...)
	case stateFailed:
		return []Action{send(peer, fenced(f, framer.FenceFailed))}
	default:
		rec.fencedUpTo = max(rec.fencedUpTo, f.Attempt)
		return []Action{send(peer, fenced(f, framer.FenceNeverStarted))}
	}
}

// Leave closes the gate for new requests. Waiting requests are refused; running
// requests continue.
func (g *Gate) Leave() []Action {
	g.leaving = true
	var actions []Action
	for _, rec := range g.waiting {
		actions = append(actions, g.refuseWaiting(rec, framer.ReasonLeaving))
	}
	g.waiting = nil
	for _, peer := range g.peers() {
		actions = append(actions, g.Report(peer))
	}
	return actions
}

// Tick refuses waiting requests past their deadline and evicts expired request
// ids.
func (g *Gate) Tick(now time.Time) []Action {
	var actions []Action
	keep := g.waiting[:0]
	for _, rec := range g.waiting {
		if now.Before(rec.deadline) {
			keep = append(keep, rec)
			continue
		}
		actions = append(actions, g.refuseWaiting(rec, framer.ReasonExpired))
	}
	g.waiting = keep
	if now.Before(g.nextEviction) {
		return actions
	}
	g.nextEviction = now.Add(time.Second)
	for id, rec := range g.records {
		if rec.state != stateRunning && rec.state != stateWaiting && now.After(rec.evictAt) {
			g.dropAnswer(rec)
			delete(g.records, id)
		}
	}
	return actions
}

// Idle reports whether no request runs or waits at the gate.
func (g *Gate) Idle() bool {
	return g.total == 0 && len(g.waiting) == 0
}

// Running returns the number of requests that run on the endpoint.
func (g *Gate) Running() int {
	return g.total
}

// TrackedIDs returns the number of request ids that the gate tracks.
func (g *Gate) TrackedIDs() int {
	return len(g.records)
}

// Leaving reports whether the gate is closed for new requests.
func (g *Gate) Leaving() bool {
	return g.leaving
}

func (g *Gate) run(now time.Time, rec *record) Action {
	rec.state = stateRunning
	rec.startedAt = now
	g.running[rec.start.Kind]++
	g.total++
	g.assert.Check(g.total <= g.plan.Slots, "running-within-slots", "running", g.total, "slots", g.plan.Slots)
	g.assert.Check(!g.leaving, "no-start-while-leaving", "request", rec.start.ID)
	g.assert.Check(rec.start.Attempt > rec.fencedUpTo, "no-start-after-a-fence", "request", rec.start.ID)
	return Action{
		Run: &Run{
			Start:    rec.start,
			Deadline: rec.deadline,
		},
	}
}

// promote starts the waiting requests for which a slot is available, kinds
// below their floor first.
func (g *Gate) promote(now time.Time) []Action {
	var actions []Action
	for {
		rec := g.nextWaiting(now)
		if rec == nil {
			return actions
		}
		g.dequeue(rec)
		actions = append(actions, g.run(now, rec))
	}
}

func (g *Gate) nextWaiting(now time.Time) *record {
	var best *record
	bestBelow := false
	for _, rec := range g.waiting {
		rule := g.plan.rule(rec.start.Kind)
		if rule == nil || g.startableSlots(rule) <= 0 || !now.Before(rec.deadline) {
			continue
		}
		below := g.running[rule.Kind] < rule.FloorSlots
		if best == nil || below && !bestBelow {
			best, bestBelow = rec, below
		}
	}
	return best
}

// enqueue inserts a waiting request, ordered by acceptance time.
func (g *Gate) enqueue(rec *record) {
	at, _ := slices.BinarySearchFunc(g.waiting, rec, func(a, b *record) int {
		return a.acceptedAt.Compare(b.acceptedAt)
	})
	g.waiting = slices.Insert(g.waiting, at, rec)
}

func (g *Gate) dequeue(rec *record) {
	g.waiting = slices.DeleteFunc(g.waiting, func(r *record) bool { return r == rec })
}

// refuseWaiting refuses a request that waits at the gate and fences its
// attempt.
func (g *Gate) refuseWaiting(rec *record, reason framer.Reason) Action {
	rec.state = stateFenced
	rec.fencedUpTo = rec.start.Attempt
	rec.start.Body = nil
	return send(rec.peer, refused(rec.start, reason))
}

// refuse refuses an attempt without recording it. The refusal itself confirms
// that the attempt did not run.
func (g *Gate) refuse(peer string, s framer.Start, reason framer.Reason) []Action {
	return []Action{
		send(peer, refused(s, reason)),
		g.Report(peer),
	}
}

func (g *Gate) peers() []string {
	peers := make([]string, 0, len(g.startsReceived))
	for peer := range g.startsReceived {
		peers = append(peers, peer)
	}
	slices.Sort(peers)
	return peers
}
