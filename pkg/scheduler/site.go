package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	// freshFor is how long a runner counts as answering after it did.
	freshFor = 1500 * time.Millisecond
	// sameListing is by how much the ages of one listing may differ as reports
	// of it arrive.
	sameListing = 30 * time.Millisecond
	// leaseDrift allows for a runner's clock that is up to 2 % slow, and
	// leaseMargin for a kill that takes effect late.
	leaseDrift  = 3
	leaseMargin = 300 * time.Millisecond
	// heldUp is how long a call without an answer may take to be carried out.
	heldUp = 12 * time.Second
	// leftMargin is how long a runner may go on after its goodbye.
	leftMargin = time.Second
	// failuresToSetAside is how many different jobs must fail in a row
	// before a runner is set aside.
	failuresToSetAside = 2
	firstSetAside      = 4 * time.Second
	longestSetAside    = time.Minute
	// servingLoad is the share of its processors, in percent, that a serving
	// task is taken to use.
	servingLoad = 55
)

// site is one life of a runner, and what is placed on it.
type site struct {
	key  framer.RunnerKey
	info framer.RunnerInfo
	// known is set once an agent reported this life.
	known bool
	// agent is the address of the agent that reports it, or empty while no
	// link to that agent is up.
	agent string
	// freshAt is when the runner last listed its runs.
	freshAt     time.Time
	clockMillis int64
	clockAt     time.Time
	// leaseEnd is when the last lease that could have been granted is over.
	leaseEnd time.Time
	tasks    map[*task]struct{}
	held     publisher.Resources
	// fillMillis is the processors that filling tasks ask for, and servingMillis
	// those that serving tasks ask for.
	fillMillis    int64
	servingMillis int64
	// serving and filling count the tasks of each image.
	serving map[string]int
	filling map[string]int
	// learntAt is when the figures of its tasks were last learnt from.
	learntAt time.Time
	// strays are runs that should not be there.
	strays map[framer.RunRef]publisher.Resources
	// ordered holds the runs that the runner was told to start, and when that
	// was first, for as long as a call may be held up.
	ordered map[framer.RunRef]time.Time
	// fences are runs that an earlier life was told to start, which must not
	// start in this one.
	fences map[framer.RunRef]struct{}
	// ends are taken but not yet on record, by number.
	ends     []pendingEnd
	endNoted int64
	endsSeen int64
	dirty    bool

	// watchedAt is when its runs were last looked at, and stillFor for how long
	// none of them has made progress.
	watchedAt time.Time
	stillFor  time.Duration
	// speed tells how fast runs make progress.
	speed speed
	// still is set while the runs of the runner make no progress.
	still         bool
	failedJobs    []string
	setAside      time.Duration
	setAsideUntil time.Time
}

// pendingEnd is an end and the change that puts it on record.
type pendingEnd struct {
	number int64
	change uint64
}

func newSite(key framer.RunnerKey, leaseEnd time.Time) *site {
	return &site{
		key:      key,
		leaseEnd: leaseEnd,
		tasks:    map[*task]struct{}{},
		serving:  map[string]int{},
		filling:  map[string]int{},
		strays:   map[framer.RunRef]publisher.Resources{},
		ordered:  map[framer.RunRef]time.Time{},
		fences:   map[framer.RunRef]struct{}{},
	}
}

// bind counts a task as held by the site.
func (s *site) bind(t *task) {
	step := t.spec()
	t.site = s
	s.tasks[t] = struct{}{}
	s.held = publisher.Add(s.held, step.room())
	if step.BestEffort {
		s.filling[step.Image]++
		s.fillMillis += step.Needs.ProcessorMillis
	}
	if step.TargetMillis > 0 {
		s.serving[step.Image]++
		s.servingMillis += step.Needs.ProcessorMillis
	}
}

// release undoes bind once a run provably is over.
func (s *site) release(t *task) {
	step := t.spec()
	t.site = nil
	delete(s.tasks, t)
	s.held = publisher.Subtract(s.held, step.room())
	if step.BestEffort {
		decrement(s.filling, step.Image)
		s.fillMillis -= step.Needs.ProcessorMillis
	}
	if step.TargetMillis > 0 {
		decrement(s.serving, step.Image)
		s.servingMillis -= step.Needs.ProcessorMillis
	}
}

// placed returns the tasks on the site by name.
func (s *site) placed() []*task {
	list := make([]*task, 0, len(s.tasks))
	for t := range s.tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, compareTasks)
	return list
}

// fillers is the share of the runner that each filling image asks for.
func (s *site) fillers() mix {
	fillers := mix{}
	for t := range s.tasks {
		if step := t.spec(); step.BestEffort {
			fillers[step.Image] += s.share(step)
		}
	}
	return fillers
}

// share is the part of the runner's processors that a task of a step asks for.
func (s *site) share(step *Step) float64 {
	return float64(step.Needs.ProcessorMillis) / float64(max(1, s.info.ProcessorMillis))
}

func decrement(counts map[string]int, image string) {
	counts[image]--
	if counts[image] == 0 {
		delete(counts, image)
	}
}

// noteListing takes when the runner listed what a report holds, and tells
// whether that is news.
func (s *site) noteListing(now time.Time, r framer.Report) bool {
	if !r.Listed {
		return false
	}
	at := now.Add(-time.Duration(r.ListingAgeMillis) * time.Millisecond)
	news := at.Sub(s.freshAt) > sameListing
	s.freshAt = maxTime(s.freshAt, at)
	return news
}

// noteOrder remembers that the runner was told to start a run.
func (s *site) noteOrder(now time.Time, ref framer.RunRef) {
	if _, ok := s.ordered[ref]; ok {
		return
	}
	maps.DeleteFunc(s.ordered, func(_ framer.RunRef, at time.Time) bool { return now.Sub(at) > heldUp })
	s.ordered[ref] = now
}

// heldUp tells whether an order to start a run may still come through.
func (s *site) heldUp(now time.Time, ref framer.RunRef) bool {
	at, ok := s.ordered[ref]
	return ok && now.Sub(at) <= heldUp
}

// capacity is what the runner has, less what strays hold.
func (s *site) capacity() publisher.Resources {
	capacity := publisher.Resources{
		ProcessorMillis: s.info.ProcessorMillis,
		MemoryBytes:     s.info.MemoryBytes,
		Accelerators:    s.info.Accelerators,
	}
	for _, needs := range s.strays {
		capacity = publisher.Subtract(capacity, needs)
	}
	return capacity
}

// free is what may still be placed on the site.
func (s *site) free() publisher.Resources {
	return publisher.Subtract(s.capacity(), s.held)
}

// idleMillis is the processors that neither tasks use nor fillers ask for.
func (s *site) idleMillis() int64 {
	unused := s.servingMillis * (100 - servingLoad) / 100
	return s.free().ProcessorMillis + unused - s.fillMillis
}

// usable tells whether tasks may be placed on the site now. A runner that was
// set aside gets one task at a time until one succeeds.
func (s *site) usable(now time.Time) bool {
	if !s.known || s.agent == "" || s.info.Draining || s.info.Left || now.Sub(s.freshAt) > freshFor {
		return false
	}
	if len(s.failedJobs) < failuresToSetAside && !s.still {
		return true
	}
	return now.After(s.setAsideUntil) && s.passing() == 0
}

// passing counts the tasks that come to an end by themselves.
func (s *site) passing() int {
	n := 0
	for t := range s.tasks {
		if !t.spec().LongRunning {
			n++
		}
	}
	return n
}

// noteFailure counts a failed run; failures of one job count once. It tells
// whether the runner is set aside.
func (s *site) noteFailure(now time.Time, job string) bool {
	if !slices.Contains(s.failedJobs, job) {
		s.failedJobs = append(s.failedJobs, job)
	}
	return len(s.failedJobs) >= failuresToSetAside && s.keepAside(now)
}

// keepAside keeps tasks off the runner, longer each time. It tells whether that
// is news: what is set aside stays so for the time that was set.
func (s *site) keepAside(now time.Time) bool {
	if now.Before(s.setAsideUntil) {
		return false
	}
	s.setAside = min(longestSetAside, max(firstSetAside, 2*s.setAside))
	s.setAsideUntil = now.Add(s.setAside)
	return true
}

// forgive takes back a failure that turned out to be the job's own.
func (s *site) forgive(job string) {
	s.failedJobs = slices.DeleteFunc(s.failedJobs, func(id string) bool { return id == job })
}

func (s *site) noteSuccess() {
	s.failedJobs = nil
	s.still = false
	s.setAside = 0
	s.setAsideUntil = time.Time{}
}

// noteEnd remembers that an end was taken with the change that records it.
func (s *site) noteEnd(number int64, change uint64) {
	if number > s.endNoted {
		s.endNoted = number
		s.ends = append(s.ends, pendingEnd{
			number: number,
			change: change,
		})
	}
}

// confirmEnds moves the number up to which all ends are on record.
func (s *site) confirmEnds(committed uint64) {
	n := 0
	for n < len(s.ends) && s.ends[n].change <= committed {
		s.endsSeen = s.ends[n].number
		n++
	}
	if n > 0 {
		s.ends = s.ends[n:]
		s.dirty = true
	}
}
