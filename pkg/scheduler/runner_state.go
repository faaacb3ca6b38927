package scheduler

import (
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	// listingTTL is how long after its last listing a runner counts as
	// responsive.
	listingTTL = 1500 * time.Millisecond
	// listingJitter is how much the computed time of one listing may vary
	// between the reports that carry it.
	listingJitter = 30 * time.Millisecond
	// latencyCriticalLoadPercent is the share of its requested processors that
	// a latency-critical task is assumed to use, in percent. It is low, since a
	// task that uses more only slows the best-effort tasks beside it, while
	// processors that are taken for busy stay idle.
	latencyCriticalLoadPercent = 40
)

// runnerState is the state of one incarnation of a runner, and the tasks placed
// on it.
type runnerState struct {
	key  framer.RunnerKey
	info framer.RunnerInfo
	// reported is set once an agent has reported this incarnation.
	reported bool
	// domainClosed is set while the runner's failure domain takes no tasks.
	domainClosed bool
	// hold is room for a task on its way. coldSince is when the runner was first seen
	// cold, and coldUntil when it will be warm; zero if it is warm.
	hold      hold
	coldSince time.Time
	coldUntil time.Time
	// listedSinceLink is set once the runner has made a listing so long after its
	// agent linked to this owner that it shows all runs of former owners.
	listedSinceLink bool
	// agent is the address of the agent that reports the runner, or empty while
	// there is no link to that agent. The link has been open since linkedAt, and the
	// last report came at reportedAt.
	agent      string
	linkedAt   time.Time
	reportedAt time.Time
	// listedAt is when the runner last listed its runs, and listings counts the
	// listings.
	listedAt time.Time
	listings int
	// unanswered is set while the runner does not answer its agent. unansweredAt is when
	// the agent first reported that since the last listing; zero if it has not.
	unanswered   bool
	unansweredAt time.Time
	// claimedAt is when the agent last reported that another incarnation may have replaced
	// this one.
	claimedAt   time.Time
	clockMillis int64
	clockAt     time.Time
	// leaseEnd is when the last lease that could have been granted expires, and
	// grantedUntilMillis the end of the last known one by the runner's clock.
	leaseEnd           time.Time
	grantedUntilMillis int64
	expiry             expiry
	// delayedLeaseEnd is when a lease expires that a delayed call for an earlier
	// incarnation can have granted. fenceEpoch is the epoch from which calls are
	// sent to this incarnation only; zero if there was no earlier one, or once
	// the runner has answered such a call.
	delayedLeaseEnd time.Time
	fenceEpoch      uint64
	// delayedUntilMillis is the latest end of such a lease that the call can state, by
	// this incarnation's clock. Such calls arrive until delayedCallsEnd.
	delayedUntilMillis int64
	delayedCallsEnd    time.Time
	tasks              map[*task]struct{}
	allocated          publisher.Resources
	// bestEffortMillis and latencyCriticalMillis are the processors that tasks
	// of the two kinds request, in thousandths of one.
	bestEffortMillis      int64
	latencyCriticalMillis int64
	// sizes sums up the finite tasks.
	sizes runSizes
	// latencyCritical and bestEffort count the tasks of each image.
	latencyCritical map[string]int
	bestEffort      map[string]int
	// observedAt is when the interference models were last updated with
	// measurements of the runner.
	observedAt time.Time
	// unexpectedRuns are runs that the runner lists but should not have, with
	// the resources that they occupy.
	unexpectedRuns map[framer.RunRef]publisher.Resources
	// startsSent holds the runs whose start was requested and the time of the
	// first request. Entries are kept for as long as the call may be delayed.
	startsSent map[framer.RunRef]time.Time
	// startsHeld is set while starts wait until the agent has confirmed others.
	startsHeld bool
	// fences are runs whose start was requested of an earlier incarnation and
	// that must not start in this one.
	fences map[framer.RunRef]struct{}
	// unacked lists the processed finished runs whose rows are not committed
	// yet, by sequence number.
	unacked          []pendingFinish
	recordedSequence int64
	ackedSequence    int64
	// syncs queues the runner while its agent is to be sent a sync; queued and
	// dirty belong to it. leaseSentAt is when the last lease was granted.
	syncs       *syncQueue
	queued      bool
	dirty       bool
	leaseSentAt time.Time
	// index is told of changes to what the runner can hold; position belongs to
	// it.
	index    *runnerIndex
	position indexPosition

	// progressCheckedAt is when the progress of the runs was last checked, and
	// stalledFor is how long none of them has made progress.
	progressCheckedAt time.Time
	stalledFor        time.Duration
	// speed is the observed speed of the runs, relative to their estimates.
	speed speed
	// stalled is set while the runs of the runner make no progress.
	stalled          bool
	failedJobs       []string
	quarantine       time.Duration
	quarantinedUntil time.Time
	// lastPlacedAt is when a task was last placed on the runner.
	lastPlacedAt time.Time
	// trial is the last suspect for which the runner was reserved, or that was placed
	// there. It gets no other task until trialUntil, unless the suspect survives its
	// start before that.
	trial         *task
	trialUntil    time.Time
	startRefusals startRefusals
}

func newRunnerState(key framer.RunnerKey, leaseEnd time.Time, index *runnerIndex, syncs *syncQueue) *runnerState {
	return &runnerState{
		key:             key,
		leaseEnd:        leaseEnd,
		index:           index,
		syncs:           syncs,
		tasks:           map[*task]struct{}{},
		latencyCritical: map[string]int{},
		bestEffort:      map[string]int{},
		unexpectedRuns:  map[framer.RunRef]publisher.Resources{},
		startsSent:      map[framer.RunRef]time.Time{},
		fences:          map[framer.RunRef]struct{}{},
	}
}

// bind places a task on the runner and counts its allocation.
func (s *runnerState) bind(t *task) {
	step := t.spec()
	s.index.worsened(s)
	t.runner = s
	s.tasks[t] = struct{}{}
	s.allocated = publisher.Add(s.allocated, step.allocation())
	s.sizes.add(step.sizes(), 1)
	if step.BestEffort {
		s.bestEffort[step.Image]++
		s.bestEffortMillis += step.Needs.ProcessorMillis
	}
	if step.TargetMillis > 0 {
		s.latencyCritical[step.Image]++
		s.latencyCriticalMillis += step.Needs.ProcessorMillis
	}
}

// release reverts bind. The run must have provably ended.
func (s *runnerState) release(t *task) {
	step := t.spec()
	s.index.improved(s)
	t.runner = nil
	delete(s.tasks, t)
	s.allocated = publisher.Subtract(s.allocated, step.allocation())
	s.sizes.add(step.sizes(), -1)
	if step.BestEffort {
		decrement(s.bestEffort, step.Image)
		s.bestEffortMillis -= step.Needs.ProcessorMillis
	}
	if step.TargetMillis > 0 {
		decrement(s.latencyCritical, step.Image)
		s.latencyCriticalMillis -= step.Needs.ProcessorMillis
	}
}

// placed returns the tasks on the runner, sorted by job, occurrence, step and
// index.
func (s *runnerState) placed() []*task {
	list := make([]*task, 0, len(s.tasks))
	for t := range s.tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, compareTasks)
	return list
}

// needsSync records that the runner's agent must be sent a sync.
func (s *runnerState) needsSync() {
	s.syncs.add(s)
}

// setInfo replaces the runner's description.
func (s *runnerState) setInfo(info framer.RunnerInfo) {
	if !sameInfo(s.info, info) {
		s.index.improved(s)
		s.needsSync()
	}
	s.info = info
}

// reportedBy records that an agent has reported the runner.
func (s *runnerState) reportedBy(now time.Time, agent string) {
	s.reportedAt = now
	if s.agent == agent {
		return
	}
	s.agent = agent
	s.linkedAt = now
	s.index.improved(s)
	s.needsSync()
}

// unlinked records that no agent reports the runner any more.
func (s *runnerState) unlinked() {
	if s.agent != "" {
		s.agent = ""
		s.index.improved(s)
	}
}

// setUnanswered records whether the runner does not answer its agent.
func (s *runnerState) setUnanswered(now time.Time, unanswered bool) {
	if s.unanswered && !unanswered {
		s.index.improved(s)
	}
	if unanswered && s.unansweredAt.IsZero() {
		s.unansweredAt = now
	}
	s.unanswered = unanswered
}

func sameInfo(a, b framer.RunnerInfo) bool {
	return a.Address == b.Address && a.Key == b.Key && a.Service == b.Service && a.FailureDomain == b.FailureDomain &&
		a.ProcessorMillis == b.ProcessorMillis && a.MemoryBytes == b.MemoryBytes && a.Accelerators == b.Accelerators &&
		a.Draining == b.Draining && a.Left == b.Left && slices.Equal(a.Labels, b.Labels)
}
