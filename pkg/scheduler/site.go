package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	// listingTTL is how long a runner counts as answering after it did.
	listingTTL = 1500 * time.Millisecond
	// listingJitter is by how much the ages of one listing may differ as reports
	// of it arrive.
	listingJitter = 30 * time.Millisecond
	// leaseDriftPercent allows for a runner's clock that is up to 2 % slow, and
	// leaseMargin for a kill that takes effect late.
	leaseDriftPercent = 3
	leaseMargin       = 300 * time.Millisecond
	// maxCallDelay is how long a call without an answer may take to be carried out.
	maxCallDelay = 12 * time.Second
	// leaveMargin is how long a runner may go on after its goodbye.
	leaveMargin = time.Second
	// quarantineThreshold is how many different jobs must fail in a row
	// before a runner is set aside.
	quarantineThreshold = 2
	minQuarantine       = 4 * time.Second
	maxQuarantine       = time.Minute
	// latencyCriticalLoadPercent is the share of its processors, in percent, that a serving
	// task is taken to use.
	latencyCriticalLoadPercent = 55
)

// runnerState is one life of a runner, and what is placed on it.
type runnerState struct {
	key  framer.RunnerKey
	info framer.RunnerInfo
	// reported is set once an agent reported this life.
	reported bool
	// agent is the address of the agent that reports it, or empty while no
	// link to that agent is up.
	agent string
	// listedAt is when the runner last listed its runs.
	listedAt    time.Time
	clockMillis int64
	clockAt     time.Time
	// leaseEnd is when the last lease that could have been granted is over.
	leaseEnd  time.Time
	tasks     map[*task]struct{}
	allocated publisher.Resources
	// bestEffortMillis is the processors that filling tasks ask for, and servingMillis
	// those that serving tasks ask for.
	bestEffortMillis      int64
	latencyCriticalMillis int64
	// latencyCritical and filling count the tasks of each image.
	latencyCritical map[string]int
	bestEffort      map[string]int
	// observedAt is when the figures of its tasks were last learnt from.
	observedAt time.Time
	// unexpectedRuns are runs that should not be there.
	unexpectedRuns map[framer.RunRef]publisher.Resources
	// startsSent holds the runs that the runner was told to start, and when that
	// was first, for as long as a call may be held up.
	startsSent map[framer.RunRef]time.Time
	// fences are runs that an earlier life was told to start, which must not
	// start in this one.
	fences map[framer.RunRef]struct{}
	// unacked are taken but not yet on record, by number.
	unacked          []pendingFinish
	recordedSequence int64
	ackedSequence    int64
	dirty            bool

	// progressCheckedAt is when its runs were last looked at, and stillFor for how long
	// none of them has made progress.
	progressCheckedAt time.Time
	stalledFor        time.Duration
	// speed tells how fast runs make progress.
	speed speed
	// stalled is set while the runs of the runner make no progress.
	stalled          bool
	failedJobs       []string
	quarantine       time.Duration
	quarantinedUntil time.Time
}

// pendingFinish is an end and the change that puts it on record.
type pendingFinish struct {
	sequence int64
	change   uint64
}

func newRunnerState(key framer.RunnerKey, leaseEnd time.Time) *runnerState {
	return &runnerState{
		key:             key,
		leaseEnd:        leaseEnd,
		tasks:           map[*task]struct{}{},
		latencyCritical: map[string]int{},
		bestEffort:      map[string]int{},
		unexpectedRuns:  map[framer.RunRef]publisher.Resources{},
		startsSent:      map[framer.RunRef]time.Time{},
		fences:          map[framer.RunRef]struct{}{},
	}
}

// bind counts a task as held by the site.
func (s *runnerState) bind(t *task) {
	step := t.spec()
	t.runner = s
	s.tasks[t] = struct{}{}
	s.allocated = publisher.Add(s.allocated, step.allocation())
	if step.BestEffort {
		s.bestEffort[step.Image]++
		s.bestEffortMillis += step.Needs.ProcessorMillis
	}
	if step.TargetMillis > 0 {
		s.latencyCritical[step.Image]++
		s.latencyCriticalMillis += step.Needs.ProcessorMillis
	}
}

// release undoes bind once a run provably is over.
func (s *runnerState) release(t *task) {
	step := t.spec()
	t.runner = nil
	delete(s.tasks, t)
	s.allocated = publisher.Subtract(s.allocated, step.allocation())
	if step.BestEffort {
		decrement(s.bestEffort, step.Image)
		s.bestEffortMillis -= step.Needs.ProcessorMillis
	}
	if step.TargetMillis > 0 {
		decrement(s.latencyCritical, step.Image)
		s.latencyCriticalMillis -= step.Needs.ProcessorMillis
	}
}

// placed returns the tasks on the site by name.
func (s *runnerState) placed() []*task {
	list := make([]*task, 0, len(s.tasks))
	for t := range s.tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, compareTasks)
	return list
}

// bestEffortShares is the share of the runner that each filling image asks for.
func (s *runnerState) bestEffortShares() imageShares {
	fillers := imageShares{}
	for t := range s.tasks {
		if step := t.spec(); step.BestEffort {
			fillers[step.Image] += s.share(step)
		}
	}
	return fillers
}

// share is the part of the runner's processors that a task of a step asks for.
func (s *runnerState) share(step *Step) float64 {
	return float64(step.Needs.ProcessorMillis) / float64(max(1, s.info.ProcessorMillis))
}

func decrement(counts map[string]int, image string) {
	counts[image]--
	if counts[image] == 0 {
		delete(counts, image)
	}
}

// recordListing takes when the runner listed what a report holds, and tells
// whether that is news.
func (s *runnerState) recordListing(now time.Time, r framer.Report) bool {
	if !r.Listed {
		return false
	}
	at := now.Add(-time.Duration(r.ListingAgeMillis) * time.Millisecond)
	news := at.Sub(s.listedAt) > listingJitter
	s.listedAt = maxTime(s.listedAt, at)
	return news
}

// recordStartSent remembers that the runner was told to start a run.
func (s *runnerState) recordStartSent(now time.Time, ref framer.RunRef) {
	if _, ok := s.startsSent[ref]; ok {
		return
	}
	maps.DeleteFunc(s.startsSent, func(_ framer.RunRef, at time.Time) bool { return now.Sub(at) > maxCallDelay })
	s.startsSent[ref] = now
}

// startMayArrive tells whether an order to start a run may still come through.
func (s *runnerState) startMayArrive(now time.Time, ref framer.RunRef) bool {
	at, ok := s.startsSent[ref]
	return ok && now.Sub(at) <= maxCallDelay
}

// capacity is what the runner has, less what strays hold.
func (s *runnerState) capacity() publisher.Resources {
	capacity := publisher.Resources{
		ProcessorMillis: s.info.ProcessorMillis,
		MemoryBytes:     s.info.MemoryBytes,
		Accelerators:    s.info.Accelerators,
	}
	for _, needs := range s.unexpectedRuns {
		capacity = publisher.Subtract(capacity, needs)
	}
	return capacity
}

// free is what may still be placed on the site.
func (s *runnerState) free() publisher.Resources {
	return publisher.Subtract(s.capacity(), s.allocated)
}

// idleMillis is the processors that neither tasks use nor fillers ask for.
func (s *runnerState) idleMillis() int64 {
	unused := s.latencyCriticalMillis * (100 - latencyCriticalLoadPercent) / 100
	return s.free().ProcessorMillis + unused - s.bestEffortMillis
}

// schedulable tells whether tasks may be placed on the site now. A runner that was
// set aside gets one task at a time until one succeeds.
func (s *runnerState) schedulable(now time.Time) bool {
	if !s.reported || s.agent == "" || s.info.Draining || s.info.Left || now.Sub(s.listedAt) > listingTTL {
		return false
	}
	if len(s.failedJobs) < quarantineThreshold && !s.stalled {
		return true
	}
	return now.After(s.quarantinedUntil) && s.terminatingTasks() == 0
}

// terminatingTasks counts the tasks that come to an end by themselves.
func (s *runnerState) terminatingTasks() int {
	n := 0
	for t := range s.tasks {
		if !t.spec().LongRunning {
			n++
		}
	}
	return n
}

// recordFailure counts a failed run; failures of one job count once. It tells
// whether the runner is set aside.
func (s *runnerState) recordFailure(now time.Time, job string) bool {
	if !slices.Contains(s.failedJobs, job) {
		s.failedJobs = append(s.failedJobs, job)
	}
	return len(s.failedJobs) >= quarantineThreshold && s.startQuarantine(now)
}

// startQuarantine keeps tasks off the runner, longer each time. It tells whether that
// is news: what is set aside stays so for the time that was set.
func (s *runnerState) startQuarantine(now time.Time) bool {
	if now.Before(s.quarantinedUntil) {
		return false
	}
	s.quarantine = min(maxQuarantine, max(minQuarantine, 2*s.quarantine))
	s.quarantinedUntil = now.Add(s.quarantine)
	return true
}

// removeFailure takes back a failure that turned out to be the job's own.
func (s *runnerState) removeFailure(job string) {
	s.failedJobs = slices.DeleteFunc(s.failedJobs, func(id string) bool { return id == job })
}

func (s *runnerState) recordSuccess() {
	s.failedJobs = nil
	s.stalled = false
	s.quarantine = 0
	s.quarantinedUntil = time.Time{}
}

// recordFinished remembers that an end was taken with the change that records it.
func (s *runnerState) recordFinished(number int64, change uint64) {
	if number > s.recordedSequence {
		s.recordedSequence = number
		s.unacked = append(s.unacked, pendingFinish{
			sequence: number,
			change:   change,
		})
	}
}

// ackCommitted moves the number up to which all ends are on record.
func (s *runnerState) ackCommitted(committed uint64) {
	n := 0
	for n < len(s.unacked) && s.unacked[n].change <= committed {
		s.ackedSequence = s.unacked[n].sequence
		n++
	}
	if n > 0 {
		s.unacked = s.unacked[n:]
		s.dirty = true
	}
}
