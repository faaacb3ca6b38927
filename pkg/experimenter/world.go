package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/dispatcher"
	"github.com/bilberrywalk/bilberrywalk/pkg/gatekeeper"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// gateAction shortens the gate's type in this package.
type gateAction = gatekeeper.Action

// Config shapes a world.
type Config struct {
	Seed      uint64
	Entries   int
	Endpoints int
	Domains   []string
	// Delay is the one-way delay between an entry and an agent.
	Delay time.Duration
	// Document is the service document, in TOML.
	Document string
	// RunTime draws how long a request runs on an endpoint.
	RunTime func(rnd *rand.Rand, kind string) time.Duration
	// RetryRatio and RetryBurst are the entries' retry budget.
	RetryRatio, RetryBurst float64
	// Shape may change an entry's parts before the run, to try a policy.
	Shape func(d *dispatcher.Dispatcher)
	// Assert is told of broken invariants.
	Assert *asserter.Asserter
}

// World is a set of entries, agents and endpoints in virtual time.
type World struct {
	Clock
	cfg     Config
	rnd     *rand.Rand
	doc     publisher.Document
	Entries []*Entry
	Agents  []*Agent
	// Jobs are all requests by their id.
	Jobs map[string]*Job
	// ClaimsDown makes every claim fail.
	ClaimsDown bool
	claims     map[string]string
	pairs      map[*Entry]map[*Agent]*pair
	nextID     int
}

// Job is one request and what became of it.
type Job struct {
	Request dispatcher.Request
	// Outcomes are what the caller was told; more than one is a fault.
	Outcomes []dispatcher.Outcome
	EndedAt  time.Time
	// Runs counts the starts on endpoints.
	Runs int
	// RunTook is how long the last whole run took.
	RunTook time.Duration
	// FirstRun is when it first started.
	FirstRun time.Time
	// Orphaned is set when the job's entry was killed.
	Orphaned bool
}

// NewWorld builds a world whose links are up.
func NewWorld(cfg Config) (*World, error) {
	doc, err := publisher.Parse(cfg.Document)
	if err != nil {
		return nil, err
	}
	w := &World{
		Clock:  *NewClock(),
		cfg:    cfg,
		rnd:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		doc:    doc,
		Jobs:   map[string]*Job{},
		claims: map[string]string{},
		pairs:  map[*Entry]map[*Agent]*pair{},
	}
	for i := range cfg.Endpoints {
		w.Agents = append(w.Agents, newAgent(w, i))
	}
	for i := range cfg.Entries {
		w.addEntry(i)
	}
	return w, nil
}

func (w *World) addEntry(i int) {
	e := newEntry(w, fmt.Sprintf("entry-%d", i), w.domain(i))
	w.Entries = append(w.Entries, e)
	w.connect(e)
}

// connect links an entry to all agents.
func (w *World) connect(e *Entry) {
	w.pairs[e] = map[*Agent]*pair{}
	for _, a := range w.Agents {
		p := &pair{
			w:     w,
			entry: e,
			agent: a,
		}
		w.pairs[e][a] = p
		p.dial()
	}
}

func (w *World) domain(i int) string {
	return w.cfg.Domains[i%len(w.cfg.Domains)]
}

// arrival is when a frame sent now arrives, not before the one sent last.
func (w *World) arrival(last time.Time) time.Time {
	at := w.now.Add(w.cfg.Delay + time.Duration(w.rnd.Int64N(int64(jitter))))
	if at.Before(last) {
		return last
	}
	return at
}

// Submit hands a request to an entry. With a callerID the same id can be
// submitted again elsewhere.
func (w *World) Submit(e *Entry, kind, callerID string) *Job {
	w.nextID++
	k := w.doc.Kind(kind)
	job := &Job{
		Request: dispatcher.Request{
			ID:         fmt.Sprintf("r%07d", w.nextID),
			CallerID:   callerID,
			Service:    w.doc.Service,
			Kind:       kind,
			Idempotent: k.Idempotent,
			AcceptedAt: w.now,
			Deadline:   w.now.Add(time.Duration(k.Deadline)),
		},
	}
	w.Jobs[job.Request.ID] = job
	e.perform(e.Dispatcher.Submit(w.now, job.Request))
	return job
}

// Entry is an entry's decision code in a world.
type Entry struct {
	Dispatcher *dispatcher.Dispatcher

	w     *World
	name  string
	alive bool
}

func newEntry(w *World, name, domain string) *Entry {
	e := &Entry{
		Dispatcher: dispatcher.New(dispatcher.Settings{
			FailureDomain: domain,
			RetryRatio:    w.cfg.RetryRatio,
			RetryBurst:    w.cfg.RetryBurst,
		}, rand.New(rand.NewPCG(w.cfg.Seed, w.rnd.Uint64())), w.cfg.Assert),
		w:     w,
		name:  name,
		alive: true,
	}
	e.Dispatcher.Install(w.now, w.doc.Service, w.doc.AdmissionRules())
	if w.cfg.Shape != nil {
		w.cfg.Shape(e.Dispatcher)
	}
	w.Every(entryTick, func() bool {
		if e.alive {
			e.perform(e.Dispatcher.Tick(w.now))
		}
		return e.alive
	})
	return e
}

const (
	entryTick = 5 * time.Millisecond
	agentTick = 20 * time.Millisecond
	// claimDelay is how long the table takes for a claim.
	claimDelay = 5 * time.Millisecond
)

func (e *Entry) perform(actions []dispatcher.Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			if p := e.w.pairTo(e, a.Send.Address); p != nil {
				p.toAgent(a.Send.Frame)
			}
		case a.Finish != nil:
			job := e.w.Jobs[a.Finish.ID]
			job.Outcomes = append(job.Outcomes, a.Finish.Outcome)
			job.EndedAt = e.w.now
		case a.Claim != nil:
			e.claim(*a.Claim)
		case a.Release != nil:
			key := a.Release.Service + "/" + a.Release.CallerID
			if e.w.claims[key] == a.Release.ID {
				delete(e.w.claims, key)
			}
		}
	}
}

// claim plays the table: an id belongs to the request that claimed it first.
func (e *Entry) claim(c dispatcher.Claim) {
	e.w.After(claimDelay, func() {
		result := dispatcher.ClaimGranted
		key := c.Service + "/" + c.CallerID
		switch {
		case e.w.ClaimsDown:
			result = dispatcher.ClaimUnavailable
		case e.w.claims[key] != "":
			result = dispatcher.ClaimTaken
		default:
			e.w.claims[key] = c.ID
		}
		if e.alive {
			e.perform(e.Dispatcher.Claimed(e.w.now, c.ID, result))
		}
	})
}

func (w *World) pairTo(e *Entry, address string) *pair {
	for _, a := range w.Agents {
		if a.address == address {
			return w.pairs[e][a]
		}
	}
	return nil
}

// Agent is a gate and its endpoint in a world.
type Agent struct {
	// Slow multiplies the run times on the endpoint.
	Slow float64
	// Failing makes the endpoint answer with server errors.
	Failing bool
	// Running and MostRunning count requests on the endpoint.
	Running, MostRunning int

	w           *World
	address     string
	domain      string
	service     string
	incarnation uint64
	alive       bool
	frozen      bool
	asleep      []func()
	gate        *gatekeeper.Gate
}

func newAgent(w *World, i int) *Agent {
	a := &Agent{
		Slow:    1,
		w:       w,
		address: fmt.Sprintf("agent-%02d", i),
		domain:  w.domain(i),
		service: w.doc.Service,
	}
	a.start()
	return a
}

// start brings the agent up as a new incarnation.
func (a *Agent) start() {
	a.incarnation++
	a.alive = true
	a.frozen = false
	a.asleep = nil
	a.Running = 0
	a.gate = gatekeeper.New(a.w.cfg.Assert)
	a.gate.Install(a.w.now, a.w.doc.GatePlan(1))
	gate := a.gate
	a.w.Every(agentTick, func() bool {
		if a.gate == gate && a.alive && !a.frozen {
			a.perform(gate.Tick(a.w.now))
		}
		return a.gate == gate && a.alive
	})
}

// whenAwake runs f now, or once the agent is no longer frozen; a killed agent
// never runs it.
func (a *Agent) whenAwake(f func()) {
	if !a.alive {
		return
	}
	if a.frozen {
		a.asleep = append(a.asleep, f)
		return
	}
	f()
}

func (a *Agent) perform(actions []gateAction) {
	for _, action := range actions {
		switch {
		case action.Send != nil:
			a.send(action.Send)
		case action.Run != nil:
			a.run(action.Run)
		}
	}
}

func (a *Agent) send(s *gatekeeper.Send) {
	for _, e := range a.w.Entries {
		if e.name == s.Peer {
			a.w.pairs[e][a].toEntry(s.Frame)
		}
	}
}

// run plays the endpoint: it takes the drawn time and answers.
func (a *Agent) run(run *gatekeeper.Run) {
	job := a.w.Jobs[run.Start.ID]
	if job.Runs == 0 {
		job.FirstRun = a.w.now
	}
	job.Runs++
	a.Running++
	a.MostRunning = max(a.MostRunning, a.Running)
	took := time.Duration(a.Slow * float64(a.w.cfg.RunTime(a.w.rnd, run.Start.Kind)))
	result := gatekeeper.Result{
		Status: 200,
		Body:   []byte(run.Start.ID),
	}
	if a.Failing {
		result.Status = 500
	}
	if limit := run.Deadline.Sub(a.w.now); took > limit {
		took = limit
		result = gatekeeper.Result{
			Failure: "deadline-passed",
		}
	}
	incarnation := a.incarnation
	a.w.After(took, func() {
		if a.incarnation != incarnation || !a.alive {
			return
		}
		a.Running--
		job.RunTook = took
		a.whenAwake(func() { a.perform(a.gate.Finished(a.w.now, run.Start.ID, result)) })
	})
}
