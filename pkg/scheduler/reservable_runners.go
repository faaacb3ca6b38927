package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/reserver"
)

// collectRunners sets runners to those with reservations and the next ones of the
// services with needs.
func (c *Cell) collectRunners(now time.Time, reserved []framer.RunnerKey) {
	p := c.reservations
	clear(p.runners)
	p.runners = p.runners[:0]
	p.runs = p.runs[:0]
	seen := map[framer.RunnerKey]struct{}{}
	add := func(s *runnerState) {
		if _, ok := seen[s.key]; ok || !s.schedulable(now) {
			return
		}
		seen[s.key] = struct{}{}
		p.runners = append(p.runners, c.reservable(now, s))
	}
	for _, key := range reserved {
		if s := c.runners[key]; s != nil {
			add(s)
		}
	}
	windows := map[string]int{}
	for i := range p.needs {
		n := &p.needs[i]
		windows[n.Service] = max(windows[n.Service], planWindow(n.Count))
	}
	for service, window := range windows {
		for _, s := range c.nextRunners(service, window) {
			add(s)
		}
	}
}

// planWindow returns how many runners a plan looks at for a need of some tasks.
func planWindow(tasks int) int {
	return min(maxRunnersPerPlan, max(runnersPerPlan, gangWindow*tasks))
}

// sweepTime returns the time by which plans have looked at all runners of a service for a
// need, whatever part of a sweep was over when it began to wait.
func (c *Cell) sweepTime(service string, tasks int) time.Duration {
	runners, window := len(c.index.service(service).byIdle.runners), planWindow(tasks)
	if runners <= window {
		return 0
	}
	return 2 * time.Duration(runners/window+1) * placementInterval
}

// nextRunners returns the next runners of a service to look at.
func (c *Cell) nextRunners(service string, window int) []*runnerState {
	p := c.reservations
	sweep := p.sweeps[service]
	if sweep == nil {
		sweep = &runnerSweep{}
		p.sweeps[service] = sweep
	}
	if sweep.next >= len(sweep.runners) {
		sweep.runners = append(sweep.runners[:0], c.index.service(service).byIdle.runners...)
		sweep.next = 0
		sweep.byRack = slices.ContainsFunc(p.needs, func(n reserver.Need) bool { return n.RackLocal && n.Service == service })
		if sweep.byRack {
			// A plan can reserve one rack only if it looks at the whole of it.
			slices.SortFunc(sweep.runners, compareRacks)
		}
	}
	end := min(len(sweep.runners), sweep.next+window)
	for last := min(len(sweep.runners), end+window); sweep.byRack && end < last && slices.Equal(sweep.runners[end-1].info.Labels, sweep.runners[end].info.Labels); {
		end++
	}
	next := sweep.runners[sweep.next:end]
	sweep.next = end
	return slices.DeleteFunc(slices.Clone(next), func(s *runnerState) bool { return s.position.removed })
}

// compareRacks orders runners by their labels, which name their racks.
func compareRacks(a, b *runnerState) int {
	return cmp.Or(slices.Compare(a.info.Labels, b.info.Labels), compareKeys(a.key, b.key))
}

// reservable describes a runner to the Reserver.
func (c *Cell) reservable(now time.Time, s *runnerState) reserver.Runner {
	p := c.reservations
	from := len(p.runs)
	for t := range s.tasks {
		p.runs = append(p.runs, reserver.Run{
			EndsBy: c.endsBy(now, t),
			Needs:  t.spec().allocation(),
		})
	}
	return reserver.Runner{
		Key:             s.key,
		Service:         s.info.Service,
		Rack:            strings.Join(s.info.Labels, "\n"),
		ProcessorMillis: s.info.ProcessorMillis,
		Free:            publisher.Subtract(s.free(), s.held(nil)),
		Runs:            p.runs[from:len(p.runs):len(p.runs)],
	}
}
