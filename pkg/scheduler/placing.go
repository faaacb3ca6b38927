package scheduler

import (
	"cmp"
	"maps"
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
	for _, w := range c.candidates(now) {
		step := &w.job.spec.Steps[w.step]
		if step.Gang {
			c.placeGang(now, w)
			continue
		}
		for _, t := range w.occurrence.steps[w.step] {
			if !t.pending(now) {
				continue
			}
			s := c.chooseRunner(now, w, t, nil)
			if s == nil {
				break
			}
			c.start(now, s, t)
			w.starved = w.starved && w.job.placed < minRunning
		}
	}
}

// pending reports whether a task may be placed now.
func (t *task) pending(now time.Time) bool {
	return !t.done && t.runner == nil && !now.Before(t.notBefore)
}

// candidates returns the steps with tasks that may start now, in the order of
// their placement.
func (c *Cell) candidates(now time.Time) []candidate {
	var list []candidate
	for _, j := range c.jobs {
		if j.state.Final() || j.unfinished == j.placed {
			continue
		}
		if j.placed == 0 && j.idleSince.IsZero() {
			j.idleSince = now
		}
		for _, r := range j.occurrences {
			for number := range r.steps {
				if r.unfinished[number] == 0 || !r.ready(now, j.spec.Steps, number) {
					continue
				}
				if !slices.ContainsFunc(r.steps[number], func(t *task) bool { return t.pending(now) }) {
					continue
				}
				list = append(list, c.candidate(now, j, r, number))
			}
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.urgency, b.urgency),
			cmp.Compare(a.remainingWork, b.remainingWork),
			a.dueBy.Compare(b.dueBy),
			cmp.Compare(a.job.spec.ID, b.job.spec.ID),
			cmp.Compare(a.occurrence.index, b.occurrence.index),
			cmp.Compare(a.step, b.step),
		)
	})
	return list
}

func (c *Cell) candidate(now time.Time, j *job, r *occurrence, number int) candidate {
	w := candidate{
		job:        j,
		occurrence: r,
		step:       number,
		rank:       rankOnTime,

		starved: c.starved(now, j),
	}
	from := time.UnixMilli(j.spec.AcceptedAtMillis)
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
	remaining := r.remainingChain(j.spec.Steps)
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
	allocated, capacity := int64(0), int64(0)
	for _, s := range c.runners {
		if s.info.Service == service && s.agent != "" {
			allocated += s.allocated.ProcessorMillis
			capacity += s.info.ProcessorMillis
		}
	}
	return 100*allocated < idlePercent*capacity
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
func (c *Cell) placeGang(now time.Time, w candidate) {
	members := w.occurrence.steps[w.step]
	run := 0
	for _, t := range members {
		if !t.pending(now) {
			return
		}
		run = max(run, t.run)
	}
	var bound []*runnerState
	for _, t := range members {
		s := c.chooseRunner(now, w, t, bound)
		if s == nil {
			for i := range bound {
				bound[i].release(members[i])
			}
			return
		}
		s.bind(t)
		bound = append(bound, s)
	}
	for i, t := range members {
		bound[i].release(t)
		t.run = run
		t.checkpoint = members[0].checkpoint
		c.start(now, bound[i], t)
	}
}

// chooseRunner returns the best runner for a task, or nil. gang lists the
// runners that were chosen for earlier members of the task's gang. A rack-local
// gang prefers runners with the labels of the first one, which name its rack.
func (c *Cell) chooseRunner(now time.Time, w candidate, t *task, gang []*runnerState) *runnerState {
	step := t.spec()
	service := c.service(w.job)
	var best *runnerState
	var bestScore score
	for _, key := range slices.SortedFunc(maps.Keys(c.runners), compareKeys) {
		s := c.runners[key]
		if s.info.Service != service || !s.schedulable(now) || !c.fits(s, w, t) {
			continue
		}
		rating := rate(now, s, step, t, gang)
		if best == nil || rating.better(bestScore) {
			best = s
			bestScore = rating
		}
	}
	return best
}

// fits reports whether a task may be placed on a runner.
func (c *Cell) fits(s *runnerState, w candidate, t *task) bool {
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
	// With few idle processors, a best-effort task only slows the others.
	return 2*s.idleMillis() >= step.Needs.ProcessorMillis &&
		c.interference.tolerates(s.latencyCritical, s.bestEffortShares(), step.Image, s.share(step))
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

// score rates a runner for a task. A lower penalty is better, then more free
// processors, in thousandths of one.
type score struct {
	penalty    int
	freeMillis int64
}

func (a score) better(b score) bool {
	if a.penalty != b.penalty {
		return a.penalty < b.penalty
	}
	return a.freeMillis > b.freeMillis
}

// The penalties of a runner, from least to most severe.
const (
	penaltyOtherRack = 1
	penaltySuspect   = 2
	penaltyColocated = 4
	penaltyFailed    = 8
	penaltySlow      = 16
)

func rate(now time.Time, s *runnerState, step *Step, t *task, gang []*runnerState) score {
	rating := score{
		freeMillis: s.idleMillis(),
	}
	if step.DataRack != "" && !slices.Contains(s.info.Labels, step.DataRack) {
		rating.penalty += penaltyOtherRack
	}
	if step.RackLocal && len(gang) > 0 && !slices.Equal(gang[0].info.Labels, s.info.Labels) {
		rating.penalty += penaltyOtherRack
	}
	if len(s.failedJobs) > 0 {
		rating.penalty += penaltySuspect
	}
	if s.speed.slow(now) {
		rating.penalty += penaltySlow
	}
	if step.BestEffort && len(s.latencyCritical) > 0 || step.TargetMillis > 0 && len(s.bestEffort) > 0 {
		rating.penalty += penaltyColocated
	}
	if t.avoids(s.key.ID) {
		rating.penalty += penaltyFailed
	}
	if step.TargetMillis > 0 {
		// Latency-critical tasks are packed together, which leaves other
		// runners to best-effort tasks.
		rating.freeMillis = s.latencyCriticalMillis + rating.freeMillis
	}
	return rating
}

func compareKeys(a, b framer.RunnerKey) int {
	return cmp.Or(
		cmp.Compare(a.ID, b.ID),
		cmp.Compare(a.StartedAtMillis, b.StartedAtMillis),
	)
}
