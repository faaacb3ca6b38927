// Package router chooses the endpoint for an attempt. It holds what an entry
// believes of each endpoint of one service: room, latency, failures. It does
// no I/O; randomness comes from a seeded source that is passed in.
package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// failuresToPause is how many failures in a row pause an endpoint.
	failuresToPause = 3
	// firstPause and longestPause bound the time without a trial.
	firstPause   = 250 * time.Millisecond
	longestPause = 8 * time.Second
	// latencyWeight is the weight of the newest run time in the average.
	latencyWeight = 0.2
	// slowFactor is how much slower than the best an endpoint may be before
	// it loses share.
	slowFactor = 3.0
	// slowTrialShare is the share of choices that still try a slow endpoint.
	slowTrialShare = 0.05
)

// Endpoint is what an entry believes of one endpoint.
type Endpoint struct {
	Address       string
	FailureDomain string
	Incarnation   uint64

	linked      bool
	leaving     bool
	sent        uint64
	seen        uint64
	running     int
	rooms       map[string]int
	failures    int
	pause       time.Duration
	pausedUntil time.Time
	trial       bool
	latency     map[string]time.Duration
}

// Router chooses among the endpoints of one service.
type Router struct {
	failureDomain string
	rnd           *rand.Rand
	endpoints     []*Endpoint
	// Choose picks one of the candidates, which are never empty.
	Choose func(kind string, candidates []*Endpoint) *Endpoint
}

// New returns a router for an entry in the given failure domain.
func New(failureDomain string, rnd *rand.Rand) *Router {
	r := &Router{
		failureDomain: failureDomain,
		rnd:           rnd,
	}
	r.Choose = r.betterOfTwo
	return r
}

// Connect notes a new link to an endpoint, which starts with no room until
// its first report.
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
	e.sent = 0
	e.seen = 0
	e.rooms = map[string]int{}
}

// Disconnect notes that the link to an endpoint is gone.
func (r *Router) Disconnect(address string) {
	if e := r.Endpoint(address); e != nil {
		e.linked = false
	}
}

// Forget removes an endpoint.
func (r *Router) Forget(address string) {
	r.endpoints = slices.DeleteFunc(r.endpoints, func(e *Endpoint) bool { return e.Address == address })
}

// Report takes an endpoint's load.
func (r *Router) Report(address string, load framer.Load) {
	e := r.Endpoint(address)
	if e == nil {
		return
	}
	e.seen = load.StartsReceived
	e.leaving = load.Leaving
	e.running = load.Running
	clear(e.rooms)
	for _, room := range load.FreeSlots {
		e.rooms[room.Kind] = room.FreeSlots
	}
}

// Pick chooses an endpoint with room for a kind, or nil. Only idempotent
// requests are used to try an endpoint that failed.
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
		e.trial = true
	}
	e.sent++
	return e
}

// Succeeded notes a whole answer and its run time.
func (r *Router) Succeeded(address, kind string, took time.Duration) {
	e := r.Endpoint(address)
	if e == nil {
		return
	}
	e.failures = 0
	e.pause = 0
	e.trial = false
	known, ok := e.latency[kind]
	if !ok {
		known = took
	}
	e.latency[kind] = known + time.Duration(latencyWeight*float64(took-known))
}

// Failed notes an attempt that gave no whole answer.
func (r *Router) Failed(now time.Time, address string) {
	e := r.Endpoint(address)
	if e == nil {
		return
	}
	e.failures++
	e.trial = false
	if e.failures < failuresToPause {
		return
	}
	e.pause = min(longestPause, max(firstPause, 2*e.pause))
	e.pausedUntil = now.Add(e.pause)
}

// Returned notes an attempt that came back without having been run.
func (r *Router) Returned(address string) {
	if e := r.Endpoint(address); e != nil {
		e.trial = false
	}
}

// Linked returns how many endpoints can be reached and take work.
func (r *Router) Linked() int {
	n := 0
	for _, e := range r.endpoints {
		if e.linked && !e.leaving {
			n++
		}
	}
	return n
}

// Leaving tells whether an endpoint said that it takes no new work.
func (r *Router) Leaving(address string) bool {
	e := r.Endpoint(address)
	return e != nil && e.leaving
}

// Known returns how many endpoints there are, linked or not.
func (r *Router) Known() int {
	return len(r.endpoints)
}

// Endpoint returns what is known of an endpoint, or nil.
func (r *Router) Endpoint(address string) *Endpoint {
	for _, e := range r.endpoints {
		if e.Address == address {
			return e
		}
	}
	return nil
}

// Room is how many requests of a kind the endpoint is believed to take now.
func (e *Endpoint) Room(kind string) int {
	return e.rooms[kind] - e.unseen()
}

func (e *Endpoint) failing() bool {
	return e.failures >= failuresToPause
}

// unseen is how many starts the newest report doesn't include.
func (e *Endpoint) unseen() int {
	return int(e.sent - e.seen)
}

func (r *Router) candidates(now time.Time, kind string, idempotent bool, avoid string) []*Endpoint {
	var list []*Endpoint
	mayPause := r.mayPause()
	for _, e := range r.endpoints {
		if !e.linked || e.leaving || e.Address == avoid || e.Room(kind) <= 0 {
			continue
		}
		if mayPause && e.failing() && (e.trial || !idempotent || now.Before(e.pausedUntil)) {
			continue
		}
		list = append(list, e)
	}
	return r.withoutSlow(kind, list)
}

// mayPause tells whether failing endpoints are few enough to be the ones at
// fault; when half of them fail, the requests are.
func (r *Router) mayPause() bool {
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

// withoutSlow leaves out endpoints that are far slower than the best, but for
// a small share of trials that lets them win back.
func (r *Router) withoutSlow(kind string, list []*Endpoint) []*Endpoint {
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

// betterOfTwo draws two candidates and takes the one with the lighter load;
// between equals the one in the entry's own failure domain.
func (r *Router) betterOfTwo(kind string, candidates []*Endpoint) *Endpoint {
	a := candidates[r.rnd.IntN(len(candidates))]
	b := candidates[r.rnd.IntN(len(candidates))]
	la, lb := a.running+a.unseen(), b.running+b.unseen()
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
