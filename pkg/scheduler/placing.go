package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	// reservePercent is the percentage of a runner's processors that only the
	// most urgent queue may use.
	reservePercent = 6
	// maxIdleWait is how long a job waits, with nothing running, for a runner
	// whose latency-critical tasks tolerate its best-effort tasks.
	maxIdleWait = time.Second
	// minRunning is how many tasks of a job that exceeded maxIdleWait are kept
	// running from then on, while there is free capacity.
	minRunning = 2
	// idlePercent is the allocated share of a service's processors, in percent,
	// below which no job may wait with nothing running.
	idlePercent = 65
	// lateFactor is the multiple of its objective up to which a late job still
	// has some value.
	lateFactor = 3
)

// The ranks of a job by the value that its completion still has.
const (
	// rankOnTime: the job can still meet its objective.
	rankOnTime = iota + 1
	// rankLate: the job is late, but its completion still has some value.
	rankLate
	// rankVeryLate: the job's completion has no more value, but it must still
	// complete.
	rankVeryLate
)

// candidate is a step of an occurrence with tasks that may start now.
type candidate struct {
	job        *job
	occurrence *occurrence
	step       int
	urgency    int
	rank       int
	dueBy      time.Time
	// remainingWork is the job's unfinished work by the caller's estimates, in
	// thousandths of a processor times milliseconds.
	remainingWork int64
	// starved is set if the job waited longer than maxIdleWait with nothing
	// running while there is free capacity.
	starved bool
}

// place assigns waiting tasks to runners.
func (c *Cell) place(now time.Time) {
	c.index.unblock(now)
	c.index.refresh()
	c.rejections.reset()
	c.collectWaiting(now)
	for i := range c.waiting {
		w := &c.waiting[i]
		if w.job.spec.Steps[w.step].Gang {
			c.placeGang(now, w)
		} else {
			c.placeStep(now, w)
		}
	}
}

// placeStep places as many waiting tasks of a step as possible.
func (c *Cell) placeStep(now time.Time, w *candidate) {
	for _, t := range w.occurrence.steps[w.step] {
		if !t.pending(now) {
			continue
		}
		s := c.chooseRunner(now, w, t, nil)
		if s == nil {
			c.recordFullRunners(w)
			return
		}
		c.start(now, s, t)
		w.starved = w.starved && w.job.placed < minRunning
	}
}

// fullRunners records that no runner could hold a step's tasks. Only those that
// improved after change may hold them now, as long as queues is in force.
type fullRunners struct {
	change uint64
	queues *Queues
}

func (c *Cell) recordFullRunners(w *candidate) {
	c.index.refresh()
	w.occurrence.full[w.step] = fullRunners{
		change: c.index.change,
		queues: c.queues,
	}
}

// fullUpTo returns the change up to which no runner can hold a step's tasks; 0
// if that is not known. Whether a best-effort task fits also depends on models
// that are updated all the time.
func (c *Cell) fullUpTo(w *candidate) uint64 {
	full := w.occurrence.full[w.step]
	if full.queues != c.queues || w.job.spec.Steps[w.step].BestEffort {
		return 0
	}
	return full.change
}

// pending reports whether a task may be placed now.
func (t *task) pending(now time.Time) bool {
	return !t.done && t.runner == nil && !now.Before(t.notBefore)
}

// collectWaiting sets c.waiting to the steps with tasks that may start now, in
// the order of their placement.
func (c *Cell) collectWaiting(now time.Time) {
	clear(c.waiting)
	c.waiting = c.waiting[:0]
	unplaced := c.unplaced[:0]
	for _, j := range c.unplaced {
		if j.state.Final() || j.unfinished == j.placed {
			j.unplaced = false
			continue
		}
		unplaced = append(unplaced, j)
		if j.placed == 0 && j.idleSince.IsZero() {
			j.idleSince = now
		}
		for _, r := range j.occurrences {
			for number := range r.steps {
				if r.unfinished[number] > 0 && r.ready(now, j.spec.Steps, number) && anyPending(now, r.steps[number]) {
					c.waiting = append(c.waiting, c.candidate(now, j, r, number))
				}
			}
		}
	}
	clear(c.unplaced[len(unplaced):])
	c.unplaced = unplaced
	slices.SortFunc(c.waiting, compareCandidates)
}

func anyPending(now time.Time, tasks []*task) bool {
	for _, t := range tasks {
		if t.pending(now) {
			return true
		}
	}
	return false
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(a.remainingWork, b.remainingWork),
		a.dueBy.Compare(b.dueBy),
		cmp.Compare(a.job.spec.ID, b.job.spec.ID),
		cmp.Compare(a.occurrence.index, b.occurrence.index),
		cmp.Compare(a.step, b.step),
	)
}

func (c *Cell) candidate(now time.Time, j *job, r *occurrence, number int) candidate {
	w := candidate{
		job:        j,
		occurrence: r,
		step:       number,
		rank:       rankOnTime,

		starved: c.starved(now, j),
	}
	from := j.seenAt
	if r.dueAt.After(from) {
		from = r.dueAt
	}
	stretch, target := 2.0, time.Second
	if q := c.queue(j); q != nil {
		w.urgency = q.Urgency
		stretch = q.Stretch
		target = q.TargetLatency
	}
	objective := time.Duration(stretch*float64(j.chain)) + target
	w.dueBy = from.Add(objective)
	if j.spec.Steps[number].LongRunning {
		return w
	}
	for i, s := range j.spec.Steps {
		w.remainingWork += int64(r.unfinished[i]) * s.Needs.ProcessorMillis * max(1, s.EstimateMillis)
	}
	remaining := c.remainingChain(r, j.spec.Steps)
	if now.Add(remaining).After(w.dueBy) {
		w.rank = rankLate
	}
	if now.Add(remaining).After(from.Add(lateFactor * objective)) {
		w.rank = rankVeryLate
	}
	return w
}

// starved reports whether a job waited longer than maxIdleWait with nothing
// running while there is free capacity. From then on, minRunning tasks of the
// job are kept running.
func (c *Cell) starved(now time.Time, j *job) bool {
	if j.placed == 0 && now.Sub(j.idleSince) > maxIdleWait {
		j.waitedLong = true
	}
	return j.waitedLong && j.placed < minRunning && c.mostlyIdle(c.service(j))
}

// mostlyIdle reports whether less than idlePercent of a service's processors is
// allocated.
func (c *Cell) mostlyIdle(service string) bool {
	v := c.index.service(service)
	return 100*v.allocatedMillis < idlePercent*v.capacityMillis
}

// start assigns a task to a runner under a new run number.
func (c *Cell) start(now time.Time, s *runnerState, t *task) {
	t.run++
	t.job.state = StateRunning
	c.Counts.Starts++
	c.cfg.LogEvent("run placed", "task", t.name(), "run", t.run, "runner", s.key.ID, "born-millis", s.key.StartedAtMillis,
		"free-millis", s.free().ProcessorMillis, "report-age-millis", now.Sub(s.listedAt).Milliseconds(), "queues-version", c.queues.Version)
	c.bind(s, t)
	s.leaseEnd = maxTime(s.leaseEnd, now.Add(c.maxLease()))
	c.markChanged(t.job)
}

// placeGang places all tasks of a gang or none.
func (c *Cell) placeGang(now time.Time, w *candidate) {
	members := w.occurrence.steps[w.step]
	run := 0
	for _, t := range members {
		if !t.pending(now) {
			return
		}
		run = max(run, t.run)
	}
	if change := c.fullUpTo(w); change > 0 && change == c.index.change {
		return
	}
	var bound []*runnerState
	for _, t := range members {
		s := c.chooseRunner(now, w, t, bound)
		if s == nil {
			break
		}
		s.bind(t)
		bound = append(bound, s)
	}
	for i, s := range bound {
		s.release(members[i])
	}
	if len(bound) < len(members) {
		c.recordFullRunners(w)
		return
	}
	for i, t := range members {
		t.run = run
		t.checkpoint = members[0].checkpoint
		c.start(now, bound[i], t)
	}
}

// chooseRunner returns the best runner for a task, or nil. gang lists the
// runners that were chosen for earlier members of the task's gang. A rack-local
// gang prefers runners with the labels of the first one, which name its rack.
func (c *Cell) chooseRunner(now time.Time, w *candidate, t *task, gang []*runnerState) *runnerState {
	c.index.refresh()
	service := c.index.service(c.service(w.job))
	if change := c.fullUpTo(w); change > 0 && len(gang) == 0 && !t.spec().Gang {
		return c.chooseImproved(now, service, change, w, t)
	}
	order := &service.byIdle
	if t.spec().TargetMillis > 0 {
		// Latency-critical tasks are packed together, which leaves other
		// runners to best-effort tasks.
		order = &service.byPacked
	}
	var best *runnerState
	var bestRating rating
	for _, s := range order.runners {
		if w.tooBusy(s) && order == &service.byIdle {
			break
		}
		if !c.mayPlace(now, s, w, t) {
			continue
		}
		r := c.rate(now, s, t, gang)
		if r == (rating{}) {
			return s
		}
		if best == nil || r.compare(bestRating) < 0 {
			best = s
			bestRating = r
		}
	}
	return best
}

// chooseImproved is like chooseRunner, for a step whose tasks no runner could
// hold at a change; only the runners that improved since then are considered.
func (c *Cell) chooseImproved(now time.Time, v *serviceIndex, change uint64, w *candidate, t *task) *runnerState {
	order := &v.byIdle
	if t.spec().TargetMillis > 0 {
		order = &v.byPacked
	}
	var best *runnerState
	var bestRating rating
	for e := v.improved.Front(); e != nil; e = e.Next() {
		s, ok := e.Value.(*runnerState)
		if !ok || s.position.improvedAt <= change {
			break
		}
		if !c.mayPlace(now, s, w, t) {
			continue
		}
		r := c.rate(now, s, t, nil)
		if best == nil || cmp.Or(r.compare(bestRating), order.compare(s, best)) < 0 {
			best = s
			bestRating = r
		}
	}
	return best
}

// mayPlace reports whether a task may be placed on a runner now.
func (c *Cell) mayPlace(now time.Time, s *runnerState, w *candidate, t *task) bool {
	if !s.schedulable(now) {
		c.index.block(s)
		return false
	}
	return c.fits(s, w, t)
}

// tooBusy reports whether a runner has too few idle processors for a
// best-effort task, which would only slow the others.
func (w *candidate) tooBusy(s *runnerState) bool {
	step := &w.job.spec.Steps[w.step]
	return step.BestEffort && !w.starved && 2*s.idleMillis() < step.Needs.ProcessorMillis
}

// fits reports whether a task may be placed on a runner.
func (c *Cell) fits(s *runnerState, w *candidate, t *task) bool {
	step := t.spec()
	if step.Requires != "" && !slices.Contains(s.info.Labels, step.Requires) {
		return false
	}
	if step.AntiAffinity > 0 && siblings(s, t) >= step.AntiAffinity {
		return false
	}
	needs := step.allocation()
	if w.urgency > 0 && !step.BestEffort {
		needs = publisher.Add(needs, publisher.Resources{
			ProcessorMillis: s.info.ProcessorMillis * reservePercent / 100,
		})
	}
	if !publisher.Within(needs, s.free()) {
		return false
	}
	if !step.BestEffort || w.starved {
		return true
	}
	return !w.tooBusy(s) && c.interference.tolerates(s.latencyCritical, s.bestEffortShares(), step.Image, s.share(step))
}

// siblings returns the number of tasks of the same step and occurrence on a
// runner.
func siblings(s *runnerState, t *task) int {
	n := 0
	for other := range s.tasks {
		if other.occurrence == t.occurrence && other.step == t.step {
			n++
		}
	}
	return n
}

// The penalties of a runner, from least to most severe.
const (
	penaltyOtherRack = 1
	penaltySuspect   = 2
	penaltyColocated = 4
	penaltyFailed    = 8
	penaltySlow      = 16
)

// rating rates a runner for a task; zero is best. Of runners with the same
// rating, the first in the order of the index is the best.
type rating struct {
	penalty int
	// rejections is how many more best-effort images the runner is expected to
	// reject with the task on it.
	rejections float64
	// otherImages counts the latency-critical images that the task would join.
	otherImages int
}

func (r rating) compare(other rating) int {
	return cmp.Or(
		cmp.Compare(r.penalty, other.penalty),
		cmp.Compare(r.rejections, other.rejections),
		cmp.Compare(r.otherImages, other.otherImages),
	)
}

func (c *Cell) rate(now time.Time, s *runnerState, t *task, gang []*runnerState) rating {
	r := rating{
		penalty: penaltyOf(now, s, t, gang),
	}
	if step := t.spec(); step.TargetMillis > 0 {
		r.rejections = c.rejections.added(step.Image, s.latencyCritical)
		r.otherImages = len(s.latencyCritical)
		if s.latencyCritical[step.Image] > 0 {
			r.otherImages--
		}
	}
	return r
}

func penaltyOf(now time.Time, s *runnerState, t *task, gang []*runnerState) int {
	step := t.spec()
	penalty := 0
	if step.DataRack != "" && !slices.Contains(s.info.Labels, step.DataRack) {
		penalty += penaltyOtherRack
	}
	if step.RackLocal && len(gang) > 0 && !slices.Equal(gang[0].info.Labels, s.info.Labels) {
		penalty += penaltyOtherRack
	}
	if len(s.failedJobs) > 0 {
		penalty += penaltySuspect
	}
	if s.speed.slow(now) {
		penalty += penaltySlow
	}
	if step.BestEffort && len(s.latencyCritical) > 0 || step.TargetMillis > 0 && len(s.bestEffort) > 0 {
		penalty += penaltyColocated
	}
	if t.avoids(s.key.ID) {
		penalty += penaltyFailed
	}
	return penalty
}

func compareKeys(a, b framer.RunnerKey) int {
	return cmp.Or(
		cmp.Compare(a.ID, b.ID),
		cmp.Compare(a.StartedAtMillis, b.StartedAtMillis),
	)
}
