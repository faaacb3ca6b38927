package gatekeeper

import (
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// lendDeadlines is how many times a borrower's run time must fit into the
	// lender's deadline.
	lendDeadlines = 4
	// headroomSlots are left free by work that borrows for a while.
	headroomSlots = 1
	// memoryMargin is how long an id is remembered past its deadline.
	memoryMargin = 5 * time.Second
	// answerPartBytes bounds one part of an answer, so that heartbeats
	// pass between the parts.
	answerPartBytes = 64 << 10
	// keptAnswerBytes bounds the answers kept for peers that lost a link.
	keptAnswerBytes = 2 << 20
)

// Gate decides what starts on one endpoint. It belongs to one goroutine.
type Gate struct {
	plan       Plan
	assert     *asserter.Asserter
	records    map[string]*record
	waiting    []*record
	running    map[string]int
	total      int
	leaving    bool
	seen       map[string]uint64
	subscribed []string
	kept       []*record
	keptBytes  int
	forgetNext time.Time
}

// New returns a gate that refuses everything until it has a plan.
func New(assert *asserter.Asserter) *Gate {
	return &Gate{
		assert:  assert,
		records: map[string]*record{},
		running: map[string]int{},
		seen:    map[string]uint64{},
	}
}

// Install puts a newer plan in force; an older one is ignored.
func (g *Gate) Install(now time.Time, plan Plan) []Action {
	if plan.Version <= g.plan.Version {
		return nil
	}
	g.plan = plan
	return g.promote(now)
}

// PlanVersion returns the document version in force.
func (g *Gate) PlanVersion() uint64 {
	return g.plan.Version
}

// Connect resets the count of starts seen from a peer on its new link.
func (g *Gate) Connect(peer string) {
	g.seen[peer] = 0
}

// Disconnect drops what the gate holds for a peer's link. Its requests stay.
func (g *Gate) Disconnect(peer string) {
	delete(g.seen, peer)
	g.subscribed = slices.DeleteFunc(g.subscribed, func(p string) bool { return p == peer })
}

// Start decides on an attempt that arrived from peer.
func (g *Gate) Start(now time.Time, peer string, s framer.Start) []Action {
	g.seen[peer]++
	rec := g.records[s.ID]
	if rec != nil && rec.state != stateFenced {
		// The attempt is here already; its answer is on the way.
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
		forgetAt:   now.Add(s.Remaining + memoryMargin),
	}
	if rec != nil {
		next.fencedUpTo = rec.fencedUpTo
	}
	waiting := g.waitingOf(s.Kind)
	if waiting == 0 && g.runRoom(rule) > 0 {
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

// Finished takes the endpoint's result of a running request.
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
		g.keep(rec, result)
		actions = append(actions, answers(rec)...)
	}
	rec.start.Body = nil
	g.subscribe(rec.peer)
	return append(actions, g.notify()...)
}

// Fence makes sure that an attempt has started already or never will.
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
	if until := now.Add(f.RetainFor); until.After(rec.forgetAt) {
		rec.forgetAt = until
	}
	if rec.state == stateWaiting {
		g.unqueue(rec)
		rec.state = stateFenced
	}
	switch rec.state {
	case stateRunning:
		return []Action{send(peer, fenced(f, framer.FenceRunning))}
	case stateAnswered:
		if rec.answer == nil {
			return []Action{send(peer, fenced(f, framer.FenceFailed))}
		}
		return append([]Action{send(peer, fenced(f, framer.FenceAnswered))}, answers(rec)...)
	case stateFailed:
		return []Action{send(peer, fenced(f, framer.FenceFailed))}
	default:
		rec.fencedUpTo = max(rec.fencedUpTo, f.Attempt)
		return []Action{send(peer, fenced(f, framer.FenceNeverStarted))}
	}
}

// Leave closes the gate for new work; what waits is refused, what runs goes on.
func (g *Gate) Leave() []Action {
	g.leaving = true
	var actions []Action
	for _, rec := range g.waiting {
		actions = append(actions, g.giveBack(rec, framer.ReasonLeaving))
	}
	g.waiting = nil
	for _, peer := range g.peers() {
		actions = append(actions, g.Report(peer))
	}
	return actions
}

// Tick refuses waiting requests past their deadline and forgets old ids.
func (g *Gate) Tick(now time.Time) []Action {
	var actions []Action
	keep := g.waiting[:0]
	for _, rec := range g.waiting {
		if now.Before(rec.deadline) {
			keep = append(keep, rec)
			continue
		}
		actions = append(actions, g.giveBack(rec, framer.ReasonExpired))
	}
	g.waiting = keep
	if now.Before(g.forgetNext) {
		return actions
	}
	g.forgetNext = now.Add(time.Second)
	for id, rec := range g.records {
		if rec.state != stateRunning && rec.state != stateWaiting && now.After(rec.forgetAt) {
			g.dropAnswer(rec)
			delete(g.records, id)
		}
	}
	return actions
}

// Idle tells whether nothing runs or waits at the gate.
func (g *Gate) Idle() bool {
	return g.total == 0 && len(g.waiting) == 0
}

// Running returns how many requests run on the endpoint.
func (g *Gate) Running() int {
	return g.total
}

// Remembered returns how many request ids the gate holds.
func (g *Gate) Remembered() int {
	return len(g.records)
}

// Leaving tells whether the gate takes no new work.
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

// promote starts what waits and fits, kinds below their floor first.
func (g *Gate) promote(now time.Time) []Action {
	var actions []Action
	for {
		rec := g.nextWaiting(now)
		if rec == nil {
			return actions
		}
		g.unqueue(rec)
		actions = append(actions, g.run(now, rec))
	}
}

func (g *Gate) nextWaiting(now time.Time) *record {
	var best *record
	bestBelow := false
	for _, rec := range g.waiting {
		rule := g.plan.rule(rec.start.Kind)
		if rule == nil || g.runRoom(rule) <= 0 || !now.Before(rec.deadline) {
			continue
		}
		below := g.running[rule.Kind] < rule.FloorSlots
		if best == nil || below && !bestBelow {
			best, bestBelow = rec, below
		}
	}
	return best
}

// enqueue keeps the waiting requests in the order of their acceptance.
func (g *Gate) enqueue(rec *record) {
	at, _ := slices.BinarySearchFunc(g.waiting, rec, func(a, b *record) int {
		return a.acceptedAt.Compare(b.acceptedAt)
	})
	g.waiting = slices.Insert(g.waiting, at, rec)
}

func (g *Gate) unqueue(rec *record) {
	g.waiting = slices.DeleteFunc(g.waiting, func(r *record) bool { return r == rec })
}

// giveBack refuses a request that waited at the gate.
func (g *Gate) giveBack(rec *record, reason framer.Reason) Action {
	rec.state = stateFenced
	rec.fencedUpTo = rec.start.Attempt
	rec.start.Body = nil
	return send(rec.peer, refused(rec.start, reason))
}

// refuse answers an attempt that leaves no trace here but its proof.
func (g *Gate) refuse(peer string, s framer.Start, reason framer.Reason) []Action {
	return []Action{
		send(peer, refused(s, reason)),
		g.Report(peer),
	}
}

func (g *Gate) peers() []string {
	peers := make([]string, 0, len(g.seen))
	for peer := range g.seen {
		peers = append(peers, peer)
	}
	slices.Sort(peers)
	return peers
}
