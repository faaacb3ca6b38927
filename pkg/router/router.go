// Package router chooses the endpoint for an attempt. It keeps an entry's view
// of each endpoint of one service: free slots, latency and failures. It does
// no I/O; randomness comes from a seeded source that is passed in.
package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// pauseThreshold is the number of consecutive failures that pauses an
	// endpoint.
	pauseThreshold = 3
	// initialPause and maxPause bound the time for which a failing endpoint
	// gets no requests before a trial.
	initialPause = 250 * time.Millisecond
	maxPause     = 8 * time.Second
	// latencyWeight is the weight of the newest run time in the moving
	// average.
	latencyWeight = 0.2
	// slowFactor is the multiple of the lowest average latency above which
	// an endpoint counts as slow and gets fewer requests.
	slowFactor = 3.0
	// slowTrialShare is the share of choices that still include slow
	// endpoints, so that a recovered one is noticed.
	slowTrialShare = 0.05
)

// Endpoint is an entry's view of one endpoint.
type Endpoint struct {
	Address       string
	FailureDomain string
	Incarnation   uint64

	linked         bool
	leaving        bool
	startsSent     uint64
	startsReceived uint64
	running        int
	freeSlots      map[string]int
	failures       int
	pause          time.Duration
	pausedUntil    time.Time
	trialRunning   bool
	latency        map[string]time.Duration
}

// Router chooses among the endpoints of one service.
type Router struct {
	failureDomain string
	rnd           *rand.Rand
	endpoints     []*Endpoint
	// Choose selects one of the candidates; the list is never empty.
	Choose func(kind string, candidates []*Endpoint) *Endpoint
}

// New returns a router for an entry in the given failure domain.
func New(failureDomain string, rnd *rand.Rand) *Router {
	r := &Router{
		failureDomain: failureDomain,
		rnd:           rnd,
	}
	r.Choose = r.lessLoadedOfTwo
	return r
}

// Connect records a new link to an endpoint. The endpoint has no free slots
// until its first report. A new incarnation resets the latency averages and the
// failure count and ends a pause; the length of the last pause is kept.
func (r *Router) Connect(address, failureDomain string, incarnation uint64) {
	e := r.Endpoint(address)
	if e == nil {
		e = &Endpoint{
			Address: address,
		}
		r.endpoints = append(r.endpoints, e)
	}
	if e.Incarnation != incarnation {
		e.latency = map[string]time.Duration{}
		e.failures = 0
		e.pausedUntil = time.Time{}
	}
	e.FailureDomain = failureDomain
	e.Incarnation = incarnation
	e.linked = true
	e.leaving = false
	e.startsSent = 0
	e.startsReceived = 0
	e.freeSlots = map[string]int{}
}

// Disconnect records that the link to an endpoint was lost.
func (r *Router) Disconnect(address string) {
	if e := r.Endpoint(address); e != nil {
		e.linked = false
	}
}

// Remove removes an endpoint.
func (r *Router) Remove(address string) {
	r.endpoints = slices.DeleteFunc(r.endpoints, func(e *Endpoint) bool { return e.Address == address })
}

// Report records the load that an endpoint reported.
func (r *Router) Report(address string, load framer.Load) {
	e := r.Endpoint(address)
	if e == nil {
		return
	}
	e.startsReceived = load.StartsReceived
	e.leaving = load.Leaving
	e.running = load.Running
	clear(e.freeSlots)
	for _, slots := range load.FreeSlots {
		e.freeSlots[slots.Kind] = slots.FreeSlots
	}
}

// Pick returns an endpoint with a free slot for a kind, or nil if there is
// none. It returns the endpoint at the address avoid only if there is no other
// candidate. Only idempotent requests are used as trials of a failing
// endpoint.
func (r *Router) Pick(now time.Time, kind string, idempotent bool, avoid string) *Endpoint {
	candidates := r.candidates(now, kind, idempotent, avoid)
	if len(candidates) == 0 && avoid != "" {
		candidates = r.candidates(now, kind, idempotent, "")
	}
	if len(candidates) == 0 {
		return nil
	}
	e := r.Choose(kind, candidates)
	if e.failing() {
		e.trialRunning = true
	}
	e.startsSent++
	return e
}

// Succeeded records a complete answer and its run time.
func (r *Router) Succeeded(address, kind string, runTime time.Duration) {
	e := r.Endpoint(address)
	if e == nil {
		return
	}
	e.failures = 0
	e.pause = 0
	e.trialRunning = false
	average, ok := e.latency[kind]
	if !ok {
		average = runTime
	}
	e.latency[kind] = average + time.Duration(latencyWeight*float64(runTime-average))
}

// Failed records an attempt that gave no complete answer. From pauseThreshold
// consecutive failures on, each failure pauses the endpoint, for twice as long as
// the last one, up to maxPause.
func (r *Router) Failed(now time.Time, address string) {
	e := r.Endpoint(address)
	if e == nil {
		return
	}
	e.failures++
	e.trialRunning = false
	if e.failures < pauseThreshold {
		return
	}
	e.pause = min(maxPause, max(initialPause, 2*e.pause))
	e.pausedUntil = now.Add(e.pause)
}

// NotStarted records an attempt that ended without having been run.
func (r *Router) NotStarted(address string) {
	if e := r.Endpoint(address); e != nil {
		e.trialRunning = false
	}
}

// AvailableCount returns the number of endpoints that are linked and accept new work.
func (r *Router) AvailableCount() int {
	n := 0
	for _, e := range r.endpoints {
		if e.linked && !e.leaving {
			n++
		}
	}
	return n
}

// Leaving reports whether an endpoint has reported that it accepts no new work.
func (r *Router) Leaving(address string) bool {
	e := r.Endpoint(address)
	return e != nil && e.leaving
}

// EndpointCount returns the number of endpoints, linked or not.
func (r *Router) EndpointCount() int {
	return len(r.endpoints)
}

// Endpoint returns the state of the endpoint at an address, or nil if there is
// none.
func (r *Router) Endpoint(address string) *Endpoint {
	for _, e := range r.endpoints {
		if e.Address == address {
			return e
		}
	}
	return nil
}

// FreeSlots returns the estimated number of free slots for a kind: those of the
// newest report less the starts, of any kind, that the report does not include.
func (e *Endpoint) FreeSlots(kind string) int {
	return e.freeSlots[kind] - e.unreportedStarts()
}

// failing reports whether the endpoint has reached the failure threshold.
func (e *Endpoint) failing() bool {
	return e.failures >= pauseThreshold
}

// unreportedStarts returns the number of starts sent that the newest report
// does not include.
func (e *Endpoint) unreportedStarts() int {
	return int(e.startsSent - e.startsReceived)
}

// candidates returns the linked endpoints that accept work and have a free slot
// for a kind, without paused ones and, most of the time, without slow ones.
func (r *Router) candidates(now time.Time, kind string, idempotent bool, avoid string) []*Endpoint {
	var list []*Endpoint
	pauseAllowed := r.pauseAllowed()
	for _, e := range r.endpoints {
		if !e.linked || e.leaving || e.Address == avoid || e.FreeSlots(kind) <= 0 {
			continue
		}
		if pauseAllowed && e.failing() && (e.trialRunning || !idempotent || now.Before(e.pausedUntil)) {
			continue
		}
		list = append(list, e)
	}
	return r.excludeSlow(kind, list)
}

// pauseAllowed reports whether fewer than half of the linked endpoints are
// failing. If half or more fail, the requests rather than the endpoints are
// likely to be at fault, so none is paused.
func (r *Router) pauseAllowed() bool {
	linked, failing := 0, 0
	for _, e := range r.endpoints {
		if !e.linked {
			continue
		}
		linked++
		if e.failing() {
			failing++
		}
	}
	return 2*failing < linked
}

// excludeSlow drops endpoints whose average latency is more than slowFactor
// times the lowest. It keeps them in a small share of calls, so that an
// endpoint that has become fast again regains its share of requests.
func (r *Router) excludeSlow(kind string, list []*Endpoint) []*Endpoint {
	best := time.Duration(0)
	for _, e := range list {
		if l := e.latency[kind]; l > 0 && (best == 0 || l < best) {
			best = l
		}
	}
	if best == 0 || r.rnd.Float64() < slowTrialShare {
		return list
	}
	limit := time.Duration(slowFactor * float64(best))
	return slices.DeleteFunc(list, func(e *Endpoint) bool { return e.latency[kind] > limit })
}

// lessLoadedOfTwo draws two candidates at random and returns the less loaded
// one (power of two choices). Of two with equal load it prefers one in the
// entry's failure domain.
func (r *Router) lessLoadedOfTwo(kind string, candidates []*Endpoint) *Endpoint {
	a := candidates[r.rnd.IntN(len(candidates))]
	b := candidates[r.rnd.IntN(len(candidates))]
	la, lb := a.running+a.unreportedStarts(), b.running+b.unreportedStarts()
	if la != lb {
		if la < lb {
			return a
		}
		return b
	}
	if b.FailureDomain == r.failureDomain {
		return b
	}
	return a
}
