package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Sync returns what an agent must be sent now: the lease of its runner, the
// runs to start and to stop, and the acknowledged sequence. If granting is
// false, no runs are started and the lease is not renewed.
func (c *Cell) Sync(now time.Time, agent string, granting bool) framer.Sync {
	sync := framer.Sync{
		Epoch: c.cfg.Epoch,
	}
	s := c.agents[agent]
	if s == nil {
		return sync
	}
	s.dirty = false
	sync.Runner = s.key
	sync.AckedSequence = s.ackedSequence
	if granting && s.clockMillis > 0 {
		sync.LeaseUntilMillis = s.clockMillis + c.cfg.Lease.Milliseconds()
		s.leaseEnd = maxTime(s.leaseEnd, s.clockAt.Add(c.maxLease()))
	}
	for _, t := range s.placed() {
		switch {
		case t.stopping:
			sync.Stops = append(sync.Stops, t.ref())
		case !t.confirmed && t.committedRun == t.run && granting:
			sync.Starts = append(sync.Starts, framer.RunStart{
				RunRef:     t.ref(),
				Payload:    t.job.spec.Payload,
				Checkpoint: t.checkpoint,
				Repeated:   t.startSent,
			})
			t.startSent = true
			s.recordStartSent(now, t.ref())
		}
		sync.Sharing = append(sync.Sharing, c.sharing(s, t)...)
	}
	for ref := range s.unexpectedRuns {
		sync.Stops = append(sync.Stops, ref)
	}
	for ref := range s.fences {
		sync.Stops = append(sync.Stops, ref)
	}
	return sync
}

// maxLease returns how long a lease may last by this process's clock.
func (c *Cell) maxLease() time.Duration {
	return c.cfg.Lease + c.cfg.Lease*leaseDriftPercent/100 + leaseMargin
}

// sharing returns what an agent needs to throttle best-effort runs. It returns
// nil unless the runner has both kinds of tasks and the task is of one of them.
func (c *Cell) sharing(s *runnerState, t *task) []framer.Sharing {
	step := t.spec()
	colocated := len(s.latencyCritical) > 0 && len(s.bestEffort) > 0
	if !colocated || step.TargetMillis == 0 && !step.BestEffort {
		return nil
	}
	sharing := framer.Sharing{
		RunRef:       t.ref(),
		TargetMillis: step.TargetMillis,
	}
	if step.BestEffort {
		for image := range s.latencyCritical {
			sharing.Interference = max(sharing.Interference, c.interference.coefficient(image, step.Image)*s.share(step))
		}
	}
	return []framer.Sharing{sharing}
}

// Dirty returns the sorted addresses of the agents with changes to be sent.
func (c *Cell) Dirty() []string {
	var list []string
	for _, agent := range slices.Sorted(maps.Keys(c.agents)) {
		if c.agents[agent].dirty {
			list = append(list, agent)
		}
	}
	return list
}
