package placer

import (
	"slices"
	"time"
)

const (
	// slowdownLimit is the highest slowdown of a service that co-located batch
	// tasks may cause.
	slowdownLimit = 1.3
	// unthrottleSlowdown is the slowdown below which a throttled task may run at
	// full speed again.
	unthrottleSlowdown = 1.1
	// learningRate is the share of the prediction error that one report corrects.
	learningRate = 0.2
	// throttledWeight is the share of its interference that a throttled task still
	// causes.
	throttledWeight = 0.3
	// maxReportLag bounds the age of a reported slowdown: until it has passed
	// since a change on the worker, a report may describe the time before the
	// change.
	maxReportLag = 6 * time.Second
	// maxInterferenceWait is how long a batch task waits for a worker where it
	// would keep all services within slowdownLimit.
	maxInterferenceWait = 30 * time.Second
	// evictionsPerMinute and evictionBurst limit the rate of evictions in a cell.
	evictionsPerMinute = 6
	evictionBurst      = 3
)

// pair is a latency-critical service and a kind of batch task.
type pair struct {
	service string
	kind    string
}

// InterferenceModel is a learned model of how much one batch task of each kind slows
// each service. It learns from reports of services that share a worker with
// several kinds.
type InterferenceModel struct {
	excess map[pair]float64
}

// NewInterferenceModel returns a model that predicts no interference for any pair.
func NewInterferenceModel() *InterferenceModel {
	return &InterferenceModel{
		excess: map[pair]float64{},
	}
}

// Predict returns the slowdown of a service that is co-located with the given
// kinds, each with its weight. A slowdown of 1 means none.
func (i *InterferenceModel) Predict(service string, kinds map[string]float64) float64 {
	slowdown := 1.0
	for kind, weight := range kinds {
		slowdown += weight * i.excess[pair{service, kind}]
	}
	return slowdown
}

// Learn updates the model from a measured slowdown. The prediction error is
// divided among the kinds by their weights (normalised least mean squares).
func (i *InterferenceModel) Learn(service string, kinds map[string]float64, slowdown float64) {
	norm := 0.0
	for _, weight := range kinds {
		norm += weight * weight
	}
	if norm == 0 {
		return
	}
	predictionError := slowdown - i.Predict(service, kinds)
	for kind, weight := range kinds {
		p := pair{service, kind}
		i.excess[p] = max(0, i.excess[p]+learningRate*predictionError*weight/norm)
	}
}

// Colocation is the policy for batch tasks that share a worker with services. Each
// part can be switched off for comparison.
type Colocation struct {
	// Avoid keeps batch tasks off workers whose services they would slow.
	Avoid bool
	// Throttle slows a task before it is evicted.
	Throttle bool
	// Evict stops tasks whose co-located service remains slow.
	Evict bool
	// LimitEvictions limits the rate of evictions.
	LimitEvictions bool
}

// evictionBudget is a token bucket for evictions.
type evictionBudget struct {
	tokens float64
	at     time.Time
}

func (b *evictionBudget) spend(now time.Time) bool {
	if b.at.IsZero() {
		b.tokens = evictionBurst
	} else {
		b.tokens = min(evictionBurst, b.tokens+now.Sub(b.at).Minutes()*evictionsPerMinute)
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// colocatedSet describes the co-located tasks of a worker as far as interference
// is concerned.
type colocatedSet struct {
	// kinds are the weights of the kinds of batch tasks.
	kinds map[string]float64
	// services are the latency-critical services.
	services []string
}

// colocatedTasks returns the set of co-located tasks; it is computed again after
// a change.
func (w *worker) colocatedTasks() colocatedSet {
	if w.colocatedCache != nil {
		return *w.colocatedCache
	}
	set := colocatedSet{
		kinds: map[string]float64{},
	}
	for _, e := range w.tasks {
		switch {
		case e.Spec.Class == ClassLatencyCritical:
			if !slices.Contains(set.services, e.Spec.Service) {
				set.services = append(set.services, e.Spec.Service)
			}
		case e.throttled:
			set.kinds[e.Spec.Kind] += throttledWeight
		default:
			set.kinds[e.Spec.Kind]++
		}
	}
	w.colocatedCache = &set
	return set
}

// recordChange records that a task was added, removed, throttled or unthrottled.
func (w *worker) recordChange(now time.Time) {
	w.changedAt = now
	w.colocatedCache = nil
}

// processSlowdowns learns from the slowdowns in a report and reacts to them. A
// report that may be older than the last change on the worker is ignored.
func (c *Cell) processSlowdowns(w *worker, r Report) {
	if c.now.Sub(w.changedAt) < maxReportLag {
		return
	}
	worst, service := 0.0, ""
	for _, t := range r.Tasks {
		e := c.tasks[t.ID]
		if e == nil || t.Slowdown == 0 || e.Spec.Class != ClassLatencyCritical {
			continue
		}
		c.Interference.Learn(e.Spec.Service, w.colocatedTasks().kinds, t.Slowdown)
		if t.Slowdown > worst {
			worst, service = t.Slowdown, e.Spec.Service
		}
	}
	switch {
	case len(w.colocatedTasks().services) == 0:
		w.unthrottleAll(c.now)
	case worst > slowdownLimit:
		c.mitigate(w, service)
	case worst > 0 && worst < unthrottleSlowdown:
		c.unthrottle(w, service)
	}
}

// mitigate takes the next step against the task that slows a service most: it
// throttles the task, or checkpoints and stops it if there is none left to
// throttle.
func (c *Cell) mitigate(w *worker, service string) {
	if e := c.mostInterfering(w, service, false); e != nil && c.Colocation.Throttle {
		e.throttled = true
		w.recordChange(c.now)
		c.Counts.Throttled++
		return
	}
	e := c.mostInterfering(w, service, c.Colocation.Throttle)
	if e == nil || !c.Colocation.Evict || c.Colocation.LimitEvictions && !c.evictionBudget.spend(c.now) {
		return
	}
	w.recordChange(c.now)
	c.Evict(c.now, e.Spec.ID, "it slows "+service)
}

// unthrottle lets one throttled task run at full speed if the service would stay
// within slowdownLimit.
func (c *Cell) unthrottle(w *worker, service string) {
	e := c.mostInterfering(w, service, true)
	if e == nil {
		return
	}
	added := (1 - throttledWeight) * c.Interference.excess[pair{service, e.Spec.Kind}]
	if c.Interference.Predict(service, w.colocatedTasks().kinds)+added > slowdownLimit {
		return
	}
	e.throttled = false
	w.recordChange(c.now)
}

// unthrottleAll lets all tasks of a worker without services run at full speed: no
// report of a slowdown will release them.
func (w *worker) unthrottleAll(now time.Time) {
	for _, e := range w.tasks {
		if e.throttled {
			e.throttled = false
			w.recordChange(now)
		}
	}
}

// mostInterfering returns the running batch task, throttled or not as given, with
// the highest predicted interference with the service.
func (c *Cell) mostInterfering(w *worker, service string, throttled bool) *trackedTask {
	var worst *trackedTask
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

// withinSlowdownLimit returns the candidates on which a batch task would leave
// every service within slowdownLimit. If there is none after
// maxInterferenceWait, it returns the one with the lowest predicted slowdown.
func (c *Cell) withinSlowdownLimit(e *trackedTask, fitting []Candidate) []Candidate {
	if !c.Colocation.Avoid || e.Spec.Class != ClassBatch {
		return fitting
	}
	var within []Candidate
	least, leastSlowdown := -1, 0.0
	for i, candidate := range fitting {
		slowdown := c.slowdownWith(c.workers[candidate.Address], e.Spec.Kind)
		if slowdown <= slowdownLimit {
			within = append(within, candidate)
		}
		if least < 0 || slowdown < leastSlowdown {
			least, leastSlowdown = i, slowdown
		}
	}
	if len(within) == 0 && least >= 0 && c.now.Sub(e.seenAt) > maxInterferenceWait {
		return fitting[least : least+1]
	}
	return within
}

// slowdownWith predicts the highest slowdown on a worker with one more task.
func (c *Cell) slowdownWith(w *worker, kind string) float64 {
	set := w.colocatedTasks()
	worst := 1.0
	for _, service := range set.services {
		added := c.Interference.excess[pair{service, kind}]
		worst = max(worst, c.Interference.Predict(service, set.kinds)+added)
	}
	return worst
}
