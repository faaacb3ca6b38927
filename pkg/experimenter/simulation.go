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

// gateAction is an alias for the gate's action type.
type gateAction = gatekeeper.Action

// Config is the configuration of a simulation of entries, agents and endpoints.
type Config struct {
	Seed      uint64
	Entries   int
	Endpoints int
	Domains   []string
	// Delay is the one-way delay between an entry and an agent.
	Delay time.Duration
	// Document is the service document, in TOML.
	Document string
	// RunTime draws the time that a request runs on an endpoint.
	RunTime func(rnd *rand.Rand, kind string) time.Duration
	// RetryRatio and RetryBurst are the retry budget of each entry.
	RetryRatio, RetryBurst float64
	// ConfigureDispatcher changes a new entry's dispatcher before its first
	// request, for example to install another policy. It may be nil.
	ConfigureDispatcher func(d *dispatcher.Dispatcher)
	// Assert receives broken invariants.
	Assert *asserter.Asserter
}

// Simulation simulates entries, agents and endpoints in virtual time.
type Simulation struct {
	Clock
	cfg     Config
	rnd     *rand.Rand
	doc     publisher.Document
	Entries []*Entry
	Agents  []*Agent
	// Jobs holds all submitted requests by id.
	Jobs map[string]*Job
	// ClaimsDown makes every claim fail as unavailable.
	ClaimsDown bool
	claims     map[string]string
	links      map[*Entry]map[*Agent]*agentLink
	nextID     int
}

// Job is a request with its outcome and its runs.
type Job struct {
	Request dispatcher.Request
	// Outcomes are the outcomes reported to the caller; more than one is a
	// fault.
	Outcomes []dispatcher.Outcome
	EndedAt  time.Time
	// Runs counts the starts of the request on endpoints.
	Runs int
	// LastRunTime is the duration of the last completed run.
	LastRunTime time.Duration
	// FirstRunAt is the time of the first start on an endpoint.
	FirstRunAt time.Time
	// Orphaned is set if the entry was killed before the outcome was known.
	Orphaned bool
}

// NewSimulation builds a simulation with all links open. It fails if the service
// document cannot be parsed.
func NewSimulation(cfg Config) (*Simulation, error) {
	doc, err := publisher.Parse(cfg.Document)
	if err != nil {
		return nil, err
	}
	sim := &Simulation{
		Clock:  *NewClock(),
		cfg:    cfg,
		rnd:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		doc:    doc,
		Jobs:   map[string]*Job{},
		claims: map[string]string{},
		links:  map[*Entry]map[*Agent]*agentLink{},
	}
	for i := range cfg.Endpoints {
		sim.Agents = append(sim.Agents, newAgent(sim, i))
	}
	for i := range cfg.Entries {
		sim.addEntry(i)
	}
	return sim, nil
}

func (sim *Simulation) addEntry(i int) {
	e := newEntry(sim, fmt.Sprintf("entry-%d", i), sim.failureDomain(i))
	sim.Entries = append(sim.Entries, e)
	sim.connect(e)
}

// connect opens a link from an entry to each agent.
func (sim *Simulation) connect(e *Entry) {
	sim.links[e] = map[*Agent]*agentLink{}
	for _, a := range sim.Agents {
		l := &agentLink{
			sim:   sim,
			entry: e,
			agent: a,
		}
		sim.links[e][a] = l
		l.dial()
	}
}

func (sim *Simulation) failureDomain(i int) string {
	return sim.cfg.Domains[i%len(sim.cfg.Domains)]
}

// arrivalTime draws the arrival time of a frame that is sent now. It is never
// before last, the arrival of the previous frame, so that frames stay in order.
func (sim *Simulation) arrivalTime(last time.Time) time.Time {
	at := sim.now.Add(sim.cfg.Delay + time.Duration(sim.rnd.Int64N(int64(maxJitter))))
	if at.Before(last) {
		return last
	}
	return at
}

// Submit submits a request to an entry. A request with a callerID can be
// submitted again, to any entry, as a duplicate.
func (sim *Simulation) Submit(e *Entry, kind, callerID string) *Job {
	sim.nextID++
	k := sim.doc.Kind(kind)
	job := &Job{
		Request: dispatcher.Request{
			ID:         fmt.Sprintf("r%07d", sim.nextID),
			CallerID:   callerID,
			Service:    sim.doc.Service,
			Kind:       kind,
			Idempotent: k.Idempotent,
			AcceptedAt: sim.now,
			Deadline:   sim.now.Add(time.Duration(k.Deadline)),
		},
	}
	sim.Jobs[job.Request.ID] = job
	e.perform(e.Dispatcher.Submit(sim.now, job.Request))
	return job
}

// Entry runs an entry's dispatcher in a simulation.
type Entry struct {
	Dispatcher *dispatcher.Dispatcher

	sim   *Simulation
	name  string
	alive bool
}

func newEntry(sim *Simulation, name, domain string) *Entry {
	e := &Entry{
		Dispatcher: dispatcher.New(dispatcher.Settings{
			FailureDomain: domain,
			RetryRatio:    sim.cfg.RetryRatio,
			RetryBurst:    sim.cfg.RetryBurst,
		}, rand.New(rand.NewPCG(sim.cfg.Seed, sim.rnd.Uint64())), sim.cfg.Assert),
		sim:   sim,
		name:  name,
		alive: true,
	}
	e.Dispatcher.Install(sim.now, sim.doc.Service, sim.doc.AdmissionRules())
	if sim.cfg.ConfigureDispatcher != nil {
		sim.cfg.ConfigureDispatcher(e.Dispatcher)
	}
	sim.Every(entryTickInterval, func() bool {
		if e.alive {
			e.perform(e.Dispatcher.Tick(sim.now))
		}
		return e.alive
	})
	return e
}

const (
	entryTickInterval = 5 * time.Millisecond
	agentTickInterval = 20 * time.Millisecond
	// claimDelay is the time that the table takes to answer a claim.
	claimDelay = 5 * time.Millisecond
)

func (e *Entry) perform(actions []dispatcher.Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			if l := e.sim.linkTo(e, a.Send.Address); l != nil {
				l.toAgent(a.Send.Frame)
			}
		case a.Finish != nil:
			job := e.sim.Jobs[a.Finish.ID]
			job.Outcomes = append(job.Outcomes, a.Finish.Outcome)
			job.EndedAt = e.sim.now
		case a.Claim != nil:
			e.claim(*a.Claim)
		case a.Release != nil:
			key := a.Release.Service + "/" + a.Release.CallerID
			if e.sim.claims[key] == a.Release.ID {
				delete(e.sim.claims, key)
			}
		}
	}
}

// claim simulates the table: an id belongs to the request that claimed it first.
func (e *Entry) claim(c dispatcher.Claim) {
	e.sim.After(claimDelay, func() {
		result := dispatcher.ClaimGranted
		key := c.Service + "/" + c.CallerID
		switch {
		case e.sim.ClaimsDown:
			result = dispatcher.ClaimUnavailable
		case e.sim.claims[key] != "":
			result = dispatcher.ClaimTaken
		default:
			e.sim.claims[key] = c.ID
		}
		if e.alive {
			e.perform(e.Dispatcher.Claimed(e.sim.now, c.ID, result))
		}
	})
}

func (sim *Simulation) linkTo(e *Entry, address string) *agentLink {
	for _, a := range sim.Agents {
		if a.address == address {
			return sim.links[e][a]
		}
	}
	return nil
}

// Agent runs an agent's gate in a simulation, with a simulated endpoint.
type Agent struct {
	// RunTimeFactor is a factor on the run times of the endpoint.
	RunTimeFactor float64
	// Failing makes the endpoint answer with status 500.
	Failing bool
	// Running counts the requests that run on the endpoint; MaxRunning is the
	// highest value that it has had.
	Running, MaxRunning int

	sim         *Simulation
	address     string
	domain      string
	service     string
	incarnation uint64
	alive       bool
	paused      bool
	pending     []func()
	gate        *gatekeeper.Gate
}

func newAgent(sim *Simulation, i int) *Agent {
	a := &Agent{
		RunTimeFactor: 1,
		sim:           sim,
		address:       fmt.Sprintf("agent-%02d", i),
		domain:        sim.failureDomain(i),
		service:       sim.doc.Service,
	}
	a.start()
	return a
}

// start starts the agent as a new incarnation.
func (a *Agent) start() {
	a.incarnation++
	a.alive = true
	a.paused = false
	a.pending = nil
	a.Running = 0
	a.gate = gatekeeper.New(a.sim.cfg.Assert)
	a.gate.Install(a.sim.now, a.sim.doc.GatePlan(1))
	gate := a.gate
	a.sim.Every(agentTickInterval, func() bool {
		if a.gate == gate && a.alive && !a.paused {
			a.perform(gate.Tick(a.sim.now))
		}
		return a.gate == gate && a.alive
	})
}

// runOrDefer runs f now, or when the agent resumes if it is paused. It drops f
// if the agent is killed, also while f is deferred.
func (a *Agent) runOrDefer(f func()) {
	if !a.alive {
		return
	}
	if a.paused {
		a.pending = append(a.pending, f)
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
	for _, e := range a.sim.Entries {
		if e.name == s.Peer {
			a.sim.links[e][a].toEntry(s.Frame)
		}
	}
}

// run simulates a request on the endpoint: it answers after the drawn run time,
// or fails at the deadline.
func (a *Agent) run(run *gatekeeper.Run) {
	job := a.sim.Jobs[run.Start.ID]
	if job.Runs == 0 {
		job.FirstRunAt = a.sim.now
	}
	job.Runs++
	a.Running++
	a.MaxRunning = max(a.MaxRunning, a.Running)
	runTime := time.Duration(a.RunTimeFactor * float64(a.sim.cfg.RunTime(a.sim.rnd, run.Start.Kind)))
	result := gatekeeper.Result{
		Status: 200,
		Body:   []byte(run.Start.ID),
	}
	if a.Failing {
		result.Status = 500
	}
	if limit := run.Deadline.Sub(a.sim.now); runTime > limit {
		runTime = limit
		result = gatekeeper.Result{
			Failure: "deadline-passed",
		}
	}
	incarnation := a.incarnation
	a.sim.After(runTime, func() {
		if a.incarnation != incarnation || !a.alive {
			return
		}
		a.Running--
		job.LastRunTime = runTime
		a.runOrDefer(func() { a.perform(a.gate.Finished(a.sim.now, run.Start.ID, result)) })
	})
}
