package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/estimator"
	"github.com/bilberrywalk/bilberrywalk/pkg/ranker"
)

const (
	// demandInterval is the time between two observations of the load.
	demandInterval = 200 * time.Millisecond
	// maxReportedQueues and maxReportedServices limit the size of a report, which each
	// entry reads several times a second. Of others, nothing is refused.
	maxReportedQueues   = 32
	maxReportedServices = 8
)

// demand is the load of all services, from which the waits of new jobs are estimated.
type demand struct {
	services   map[string]*serviceLoad
	observedAt time.Time
	// refusing holds the queues whose refusals were logged as begun.
	refusing map[string]bool
}

// serviceLoad is the load of one service.
type serviceLoad struct {
	estimates *estimator.Service
	runners   estimator.RunnerSet
	// ending is what tasks that end by themselves occupy, in thousandths of a
	// processor. backlogs holds the work that waits in each queue. Both are of the last
	// observation.
	ending   int64
	backlogs []estimator.Backlog
}

func newDemand() *demand {
	return &demand{
		services: map[string]*serviceLoad{},
		refusing: map[string]bool{},
	}
}

func (d *demand) service(name string) *serviceLoad {
	s := d.services[name]
	if s == nil {
		s = &serviceLoad{
			estimates: estimator.NewService(),
		}
		d.services[name] = s
	}
	return s
}

// Competes reports whether a job ends by itself, is due at once, and needs processors
// that others do not leave idle. Only such jobs are refused for load, and only they
// count as load.
func (s *Spec) Competes() bool {
	return s.ends() && !slices.ContainsFunc(s.Steps, func(step Step) bool { return step.BestEffort })
}

// Needs returns what a task of each step needs.
func (s *Spec) Needs() []estimator.Need {
	needs := make([]estimator.Need, len(s.Steps))
	for i := range s.Steps {
		allocation := s.Steps[i].allocation()
		needs[i] = estimator.Need{
			ProcessorMillis: allocation.ProcessorMillis,
			MemoryBytes:     allocation.MemoryBytes,
			Accelerators:    allocation.Accelerators,
			Label:           s.Steps[i].Requires,
		}
	}
	return needs
}

// loadArrived records an accepted job.
func (c *Cell) loadArrived(now time.Time, j *job) {
	if j.spec.Competes() {
		bound := ranker.LateFactor * c.objective(j)
		c.demand.service(c.service(j)).estimates.Arrived(now, j.spec.Queue, c.terms(j).Urgency, j.work, bound)
	}
}

// loadCompleted records a completed task with the time since it was placed.
func (c *Cell) loadCompleted(now time.Time, t *task) {
	if !t.placedHere || !t.job.spec.Competes() {
		return
	}
	spent := t.spec().Needs.ProcessorMillis * now.Sub(t.placedAt).Milliseconds()
	c.demand.service(c.service(t.job)).estimates.Completed(now, t.spec().taskWork(), spent)
}

// observeLoad updates the estimates if that is due.
func (c *Cell) observeLoad(now time.Time) {
	if now.Sub(c.demand.observedAt) < demandInterval {
		return
	}
	c.demand.observedAt = now
	for name, s := range c.demand.services {
		s.ending = 0
		s.backlogs = s.backlogs[:0]
		s.runners.Begin(name)
	}
	for _, s := range c.runners {
		if s.reported {
			c.observeRunner(s)
		}
	}
	for _, j := range c.unplaced {
		c.observeBacklog(j)
	}
	c.index.refresh()
	for name, s := range c.demand.services {
		s.runners.End(now)
		v := c.index.service(name)
		s.estimates.Observe(now, s.ending, v.allocatedMillis, v.capacityMillis, s.backlogs)
		c.logRefusals(now, s)
	}
}

// observeRunner adds a runner and its tasks to the observation. A runner that takes no
// tasks at present is one that may hold them later.
func (c *Cell) observeRunner(s *runnerState) {
	load, known := c.demand.services[s.info.Service]
	if !known {
		load = c.demand.service(s.info.Service)
		load.runners.Begin(s.info.Service)
	}
	load.runners.Add(s.info.ProcessorMillis, s.info.MemoryBytes, s.info.Accelerators, s.info.Labels)
	for t := range s.tasks {
		if step := t.spec(); !step.LongRunning && !s.domainClosed {
			load.ending += step.allocation().ProcessorMillis
		}
	}
}

// observeBacklog adds what waits of a job to the observation.
func (c *Cell) observeBacklog(j *job) {
	if j.state.Final() || j.unfinished <= j.placed || !j.spec.Competes() {
		return
	}
	work := int64(0)
	for _, r := range j.occurrences {
		for i := range j.spec.Steps {
			work += int64(r.unfinished[i]) * j.spec.Steps[i].taskWork()
		}
	}
	load := c.demand.service(c.service(j))
	i := slices.IndexFunc(load.backlogs, func(b estimator.Backlog) bool { return b.Queue == j.spec.Queue })
	if i < 0 {
		i = len(load.backlogs)
		load.backlogs = append(load.backlogs, estimator.Backlog{
			Queue:   j.spec.Queue,
			Urgency: c.terms(j).Urgency,
		})
	}
	load.backlogs[i].Work += int64(float64(work) * float64(j.unfinished-j.placed) / float64(j.unfinished))
}

// logRefusals logs the queues whose jobs are refused from now on, or no longer.
func (c *Cell) logRefusals(now time.Time, s *serviceLoad) {
	for _, q := range s.estimates.Reports(now) {
		if q.Refusing && !c.demand.refusing[q.Name] {
			c.demand.refusing[q.Name] = true
			c.cfg.LogEvent("queue overloaded", "queue", q.Name, "wait-millis", q.WaitMillis, "bound-millis", q.BoundMillis)
		}
	}
	for name := range c.demand.refusing {
		if s.estimates.Calm(now, name) {
			delete(c.demand.refusing, name)
			c.cfg.LogEvent("queue no longer overloaded", "queue", name)
		}
	}
}

// LoadReport returns the estimates for entries, in the same order each time.
func (c *Cell) LoadReport(now time.Time) estimator.Report {
	var r estimator.Report
	for _, s := range c.demand.services {
		r.Queues = append(r.Queues, s.estimates.Reports(now)...)
		if runners, ok := s.runners.Stable(now); ok {
			r.Runners = append(r.Runners, runners)
		}
	}
	slices.SortFunc(r.Queues, func(a, b estimator.Queue) int {
		return cmp.Or(cmp.Compare(b.WaitMillis, a.WaitMillis), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(r.Runners, func(a, b estimator.Runners) int { return cmp.Compare(a.Service, b.Service) })
	r.Queues = r.Queues[:min(len(r.Queues), maxReportedQueues)]
	r.Runners = r.Runners[:min(len(r.Runners), maxReportedServices)]
	return r
}
