package placer

import (
	"slices"
	"time"
)

const (
	// slowdownLimit is how slow a service may become beside batch tasks.
	slowdownLimit = 1.3
	// slowdownEasy is the slowdown below which a held task is let go again.
	slowdownEasy = 1.1
	// learnRate is how far one report moves what is believed of a pair.
	learnRate = 0.2
	// throttledWeight is how much of its interference a throttled task keeps.
	throttledWeight = 0.3
	// reportLag is how old a reported slowdown may be: before this has passed
	// since a change on the worker, a report tells of the time before it.
	reportLag = 6 * time.Second
	// patience is how long a batch task waits for a worker where it would
	// keep the services within their limit.
	patience = 30 * time.Second
	// evictionsPerMinute and evictionBurst ration evictions of a cell.
	evictionsPerMinute = 6
	evictionBurst      = 3
)

// pair is a latency-critical service and a kind of batch task.
type pair struct {
	service string
	kind    string
}

// Interference learns how much a batch task of each kind slows each service
// down, from reports of services that share a worker with several of them.
type Interference struct {
	excess map[pair]float64
}

// NewInterference returns a learner that believes no pair interferes.
func NewInterference() *Interference {
	return &Interference{
		excess: map[pair]float64{},
	}
}

// Predict returns a service's slowdown beside the given weights of kinds; one
// means none.
func (i *Interference) Predict(service string, kinds map[string]float64) float64 {
	slowdown := 1.0
	for kind, weight := range kinds {
		slowdown += weight * i.excess[pair{service, kind}]
	}
	return slowdown
}

// Learn takes a measured slowdown. The error of the prediction is shared among
// the kinds by their weights (normalised least mean squares).
func (i *Interference) Learn(service string, kinds map[string]float64, slowdown float64) {
	norm := 0.0
	for _, weight := range kinds {
		norm += weight * weight
	}
	if norm == 0 {
		return
	}
	miss := slowdown - i.Predict(service, kinds)
	for kind, weight := range kinds {
		p := pair{service, kind}
		i.excess[p] = max(0, i.excess[p]+learnRate*miss*weight/norm)
	}
}

// Colocation is the policy for batch tasks beside services. Its parts can be
// switched off to compare.
type Colocation struct {
	// Avoid keeps batch tasks from workers whose services they would slow.
	Avoid bool
	// Throttle holds a task back before it is evicted.
	Throttle bool
	// Evict stops tasks whose service stays slow.
	Evict bool
	// Ration bounds evictions.
	Ration bool
}

// ration is a token bucket for evictions.
type ration struct {
	tokens float64
	at     time.Time
}

func (r *ration) spend(now time.Time) bool {
	if r.at.IsZero() {
		r.tokens = evictionBurst
	} else {
		r.tokens = min(evictionBurst, r.tokens+now.Sub(r.at).Minutes()*evictionsPerMinute)
	}
	r.at = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// colocated is what runs on a worker, as far as interference goes.
type colocated struct {
	// kinds are the weights of the kinds of batch tasks.
	kinds map[string]float64
	// services are the latency-critical services.
	services []string
}

// mix returns what runs on a worker; it is counted anew after a change.
func (w *worker) mix() colocated {
	if w.mixed != nil {
		return *w.mixed
	}
	m := colocated{
		kinds: map[string]float64{},
	}
	for _, e := range w.tasks {
		switch {
		case e.Spec.Class == ClassLatencyCritical:
			if !slices.Contains(m.services, e.Spec.Service) {
				m.services = append(m.services, e.Spec.Service)
			}
		case e.throttled:
			m.kinds[e.Spec.Kind] += throttledWeight
		default:
			m.kinds[e.Spec.Kind]++
		}
	}
	w.mixed = &m
	return m
}

// changed notes that a task came, went, was held back or let go.
func (w *worker) changed(now time.Time) {
	w.changedAt = now
	w.mixed = nil
}

// watchServices learns from the slowdowns in a report and reacts to them. A
// report that may be older than the last change on the worker is passed over.
func (c *Cell) watchServices(w *worker, r Report) {
	if c.now.Sub(w.changedAt) < reportLag {
		return
	}
	worst, service := 0.0, ""
	for _, t := range r.Tasks {
		e := c.tasks[t.ID]
		if e == nil || t.Slowdown == 0 || e.Spec.Class != ClassLatencyCritical {
			continue
		}
		c.Interference.Learn(e.Spec.Service, w.mix().kinds, t.Slowdown)
		if t.Slowdown > worst {
			worst, service = t.Slowdown, e.Spec.Service
		}
	}
	switch {
	case worst > slowdownLimit:
		c.relieve(w, service)
	case worst > 0 && worst < slowdownEasy:
		c.ease(w, service)
	}
}

// relieve takes the next step against the task that slows a service most:
// throttle it, and if that was done, checkpoint and stop it.
func (c *Cell) relieve(w *worker, service string) {
	if e := c.heaviest(w, service, false); e != nil && c.Colocation.Throttle {
		e.throttled = true
		w.changed(c.now)
		c.Counts.Throttled++
		return
	}
	e := c.heaviest(w, service, c.Colocation.Throttle)
	if e == nil || !c.Colocation.Evict || c.Colocation.Ration && !c.ration.spend(c.now) {
		return
	}
	w.changed(c.now)
	c.Evict(c.now, e.Spec.ID, "it slows "+service)
}

// ease lets a throttled task go if the service would stay within its limit.
func (c *Cell) ease(w *worker, service string) {
	e := c.heaviest(w, service, true)
	if e == nil {
		return
	}
	more := (1 - throttledWeight) * c.Interference.excess[pair{service, e.Spec.Kind}]
	if c.Interference.Predict(service, w.mix().kinds)+more > slowdownLimit {
		return
	}
	e.throttled = false
	w.changed(c.now)
}

// heaviest returns the running batch task, throttled or not, that is believed
// to slow the service most.
func (c *Cell) heaviest(w *worker, service string, throttled bool) *tracked {
	var worst *tracked
	excess := -1.0
	for _, e := range w.placed() {
		if e.Spec.Class != ClassBatch || e.State != StateRunning || e.throttled != throttled {
			continue
		}
		if x := c.Interference.excess[pair{service, e.Spec.Kind}]; x > excess {
			worst, excess = e, x
		}
	}
	return worst
}

// withinLimits leaves the workers on which a batch task would keep every
// service within its limit. After its patience a task takes the least bad one.
func (c *Cell) withinLimits(e *tracked, fitting []Candidate) []Candidate {
	if !c.Colocation.Avoid || e.Spec.Class != ClassBatch {
		return fitting
	}
	var within []Candidate
	least, leastSlow := -1, 0.0
	for i, candidate := range fitting {
		slow := c.slowdownWith(c.workers[candidate.Address], e.Spec.Kind)
		if slow <= slowdownLimit {
			within = append(within, candidate)
		}
		if least < 0 || slow < leastSlow {
			least, leastSlow = i, slow
		}
	}
	if len(within) == 0 && least >= 0 && c.now.Sub(e.AcceptedAt) > patience {
		return fitting[least : least+1]
	}
	return within
}

// slowdownWith predicts the worst slowdown on a worker with one more task.
func (c *Cell) slowdownWith(w *worker, kind string) float64 {
	m := w.mix()
	worst := 1.0
	for _, service := range m.services {
		more := c.Interference.excess[pair{service, kind}]
		worst = max(worst, c.Interference.Predict(service, m.kinds)+more)
	}
	return worst
}
