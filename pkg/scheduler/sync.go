package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Sync returns what an agent must be sent now: the lease of its runner, the
// runs to start and to stop, and the acknowledged sequence. If granting is
// false, no runs are started and the lease is not renewed. The lease of a runner
// that left is never renewed.
func (c *Cell) Sync(now time.Time, agent string, granting bool) framer.Sync {
	sync := framer.Sync{
		Epoch: c.cfg.Epoch,
	}
	s := c.agents[agent]
	if s == nil {
		return sync
	}
	s.dirty = false
	s.leaseSentAt = time.Time{}
	sync.Runner = s.key
	sync.AckedSequence = s.ackedSequence
	if granting && s.mayBeGranted() {
		sync.LeaseUntilMillis = c.grantLease(now, s)
	}
	c.withdrawStarts(now, s)
	if granting && !s.expiry.due && !s.domainClosed && c.ordersKnown(now) {
		sync.Starts = c.starts(now, s)
		sync.StartsUntilMillis = c.startsUntilMillis(now, s)
	}
	for t := range s.tasks {
		if t.stopping {
			sync.Stops = append(sync.Stops, t.ref())
		}
		if sharing, ok := c.sharing(s, t); ok {
			sync.Sharing = append(sync.Sharing, sharing)
		}
	}
	for ref := range s.unexpectedRuns {
		sync.Stops = append(sync.Stops, ref)
	}
	for ref := range s.fences {
		sync.Stops = append(sync.Stops, ref)
	}
	slices.SortFunc(sync.Stops, compareRefs)
	slices.SortFunc(sync.Sharing, func(a, b framer.Sharing) int { return compareRefs(a.RunRef, b.RunRef) })
	return sync
}

// maxStartsBytes bounds the starts in one sync, which is far below what a frame may have.
// The leases in the same sync never wait for starts.
const maxStartsBytes = 256 << 10

// startOverheadBytes is the size of a start without its payload and checkpoint, rounded
// up.
const startOverheadBytes = 128

// starts returns the starts that are not confirmed yet, sorted by run: those that were sent
// before and, of the others, as many as fit. One is sent at least. The rest follows once the
// agent has confirmed some.
func (c *Cell) starts(now time.Time, s *runnerState) []framer.RunStart {
	var unconfirmed []*task
	for t := range s.tasks {
		if !t.stopping && !t.confirmed && t.committedRun == t.run && c.keepsEnd(s, t) {
			unconfirmed = append(unconfirmed, t)
		}
	}
	slices.SortFunc(unconfirmed, func(a, b *task) int { return cmp.Or(sentFirst(a)-sentFirst(b), compareTasks(a, b)) })
	var starts []framer.RunStart
	bytes := 0
	s.startsHeld = false
	for _, t := range unconfirmed {
		bytes += startOverheadBytes + len(t.job.spec.Payload) + len(t.checkpoint)
		if bytes > maxStartsBytes && len(starts) > 0 {
			s.startsHeld = true
			break
		}
		starts = append(starts, framer.RunStart{
			RunRef:     t.ref(),
			Payload:    t.job.spec.Payload,
			Checkpoint: t.checkpoint,
			Repeated:   t.startSent,
		})
		t.startSent = true
		t.startSentAt = now
		s.recordStartSent(now, t.ref())
	}
	slices.SortFunc(starts, func(a, b framer.RunStart) int { return compareRefs(a.RunRef, b.RunRef) })
	return starts
}

// keepsEnd reports whether no delayed call can drop the end of a run that is started now. An
// acknowledgement to an earlier incarnation may be carried out by the one that started under
// its id, until a call of a higher epoch has reached that one. The start is such a call once
// the epoch is raised. A long-running task runs again after any end, so it need not wait.
func (c *Cell) keepsEnd(s *runnerState, t *task) bool {
	return c.cfg.Epoch >= s.fenceEpoch || t.spec().LongRunning
}

// sentFirst ranks the tasks whose start was sent before those whose start was not.
func sentFirst(t *task) int {
	if t.startSent {
		return 0
	}
	return 1
}

// withdrawStarts withdraws the starts that a runner has not accepted yet if it has become
// too small for what is placed on it, or its failure domain takes no tasks.
func (c *Cell) withdrawStarts(now time.Time, s *runnerState) {
	if !s.domainClosed && publisher.Within(s.allocated, s.capacity()) {
		return
	}
	for _, t := range s.placed() {
		if !t.confirmed && !t.stopping && (!s.domainClosed || c.mayWithdraw(s, t)) {
			c.Counts.Withdrawn++
			c.cfg.LogEvent("start withdrawn", "task", t.name(), "run", t.run, "runner", s.key.ID, "free-millis", s.free().ProcessorMillis, "domain-draining", s.domainClosed)
			c.stop(t)
			c.failExhausted(now, t)
		}
	}
}

func compareRefs(a, b framer.RunRef) int {
	return cmp.Or(
		cmp.Compare(a.Task, b.Task),
		cmp.Compare(a.Run, b.Run),
	)
}

// sharing returns what an agent needs to throttle best-effort runs. ok is false
// unless the runner has both kinds of tasks and the task is of one of them.
func (c *Cell) sharing(s *runnerState, t *task) (sharing framer.Sharing, ok bool) {
	step := t.spec()
	colocated := len(s.latencyCritical) > 0 && len(s.bestEffort) > 0
	if !colocated || step.TargetMillis == 0 && !step.BestEffort {
		return framer.Sharing{}, false
	}
	sharing = framer.Sharing{
		RunRef:       t.ref(),
		TargetMillis: step.TargetMillis,
	}
	if step.BestEffort {
		for image := range s.latencyCritical {
			sharing.Interference = max(sharing.Interference, c.interference.coefficient(image, step.Image)*s.share(step))
		}
	}
	return sharing, true
}

// Dirty returns the sorted addresses of the agents with changes to be sent.
func (c *Cell) Dirty() []string {
	return c.syncs.agents()
}
