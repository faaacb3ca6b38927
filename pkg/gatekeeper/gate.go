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
	if until := now.Add(f.Remember); until.After(rec.forgetAt) {
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

// Report returns the gate's load as a frame for one peer. A peer that is told
// of a kind without room is told again once room appears.
func (g *Gate) Report(peer string) Action {
	rooms := make([]framer.KindRoom, 0, len(g.plan.Rules))
	for i := range g.plan.Rules {
		room := g.room(&g.plan.Rules[i])
		if room == 0 {
			g.subscribe(peer)
		}
		rooms = append(rooms, framer.KindRoom{
			Kind: g.plan.Rules[i].Kind,
			Room: room,
		})
	}
	return send(peer, framer.Frame{
		Load: &framer.Load{
			Running: g.total,
			Waiting: len(g.waiting),
			Slots:   g.plan.Slots,
			Leaving: g.leaving,
			Seen:    g.seen[peer],
			Rooms:   rooms,
		},
	})
}

// room is how many more requests of a kind the gate would take now.
func (g *Gate) room(rule *Rule) int {
	if g.leaving {
		return 0
	}
	standby := g.standby(rule) - g.waitingOf(rule.Kind)
	return max(0, g.runRoom(rule)) + max(0, standby)
}

// standby is how many requests of a kind may wait at the gate. A kind below
// its floor may wait even if it runs long: while others flood no slot is ever
// free, and only who waits here gets the next one.
func (g *Gate) standby(rule *Rule) int {
	return max(rule.Standby, rule.FloorSlots-g.running[rule.Kind])
}

// runRoom is how many more requests of a kind could start now: the free
// slots, less what is held back for other kinds.
func (g *Gate) runRoom(rule *Rule) int {
	free := g.plan.Slots - g.total - g.heldBack(rule)
	return min(free, rule.CeilingSlots-g.running[rule.Kind])
}

// heldBack is how many free slots a kind must leave to the floors of others.
// Work that is over soon may borrow all of them. Work whose slots come back
// well before the others' deadlines may borrow all but a common headroom. Work
// that runs longer may borrow none: a slot can't be recalled.
func (g *Gate) heldBack(rule *Rule) int {
	held, common := 0, 0
	for i := range g.plan.Rules {
		other := &g.plan.Rules[i]
		if other.Kind == rule.Kind || rule.RunTime <= other.LendLimit {
			continue
		}
		free := max(0, other.FloorSlots-g.running[other.Kind])
		if rule.RunTime <= other.Deadline/lendDeadlines {
			common += free
			continue
		}
		held += free
	}
	if g.running[rule.Kind] < rule.FloorSlots {
		return held
	}
	return held + min(common, headroomSlots)
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

func (g *Gate) waitingOf(kind string) int {
	n := 0
	for _, rec := range g.waiting {
		if rec.start.Kind == kind {
			n++
		}
	}
	return n
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

func (g *Gate) subscribe(peer string) {
	if _, linked := g.seen[peer]; !linked {
		return
	}
	if !slices.Contains(g.subscribed, peer) {
		g.subscribed = append(g.subscribed, peer)
	}
}

// notify reports the load to each peer that was refused for want of room.
func (g *Gate) notify() []Action {
	peers := g.subscribed
	g.subscribed = nil
	actions := make([]Action, 0, len(peers))
	for _, peer := range peers {
		actions = append(actions, g.Report(peer))
	}
	return actions
}

func (g *Gate) peers() []string {
	peers := make([]string, 0, len(g.seen))
	for peer := range g.seen {
		peers = append(peers, peer)
	}
	slices.Sort(peers)
	return peers
}

// keep holds an answer for a peer whose link may be gone, within a bound of
// bytes: the oldest answers go first, and their requests count as failed.
func (g *Gate) keep(rec *record, result Result) {
	rec.answer = &result
	g.kept = append(g.kept, rec)
	g.keptBytes += len(result.Body)
	for len(g.kept) > 1 && (g.keptBytes > keptAnswerBytes || g.kept[0].answer == nil) {
		g.dropAnswer(g.kept[0])
		g.kept[0] = nil
		g.kept = g.kept[1:]
	}
}

// dropAnswer gives an answer's bytes back; its place in the order of age stays
// until it comes to the front.
func (g *Gate) dropAnswer(rec *record) {
	if rec.answer == nil {
		return
	}
	g.keptBytes -= len(rec.answer.Body)
	rec.answer = nil
}
