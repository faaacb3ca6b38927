package scheduler

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/reserver"
)

const (
	// reserveAfter is how long a task must have waited for a runner until room is
	// reserved for it. It is what the objectives of the most urgent jobs allow beside
	// the run time.
	reserveAfter = 300 * time.Millisecond
	// largeFactor is the multiple of the average run in progress from which a task is
	// large: the end of one such run does not free enough for it.
	largeFactor = 2
	// runnersPerPlan is how many runners of a service one plan looks at, beside those
	// with reservations. With more of them, plans look at them in turn, so that the
	// cost does not grow with their number. A gang needs more: gangWindow for each of
	// its tasks.
	runnersPerPlan    = 32
	gangWindow        = 2
	maxRunnersPerPlan = 512
	// needsPerReservation is how many waiting needs a plan is given for each
	// reservation, since no runner can ever hold some of them.
	needsPerReservation = 16
)

// reservations connects a cell with its Reserver.
type reservations struct {
	reserver  *reserver.Reserver
	estimates reserver.Estimates
	limit     int
	plannedAt time.Time
	// sweeps holds the runners of each service that plans look at in turn.
	sweeps map[string]*runnerSweep
	// packed holds the services with a reservation for processors: other tasks are
	// packed there, so that whole gaps remain.
	packed map[string]struct{}
	// estimatesVersion is the version of the estimates in the last plan.
	estimatesVersion uint64
	// needs, runners and runs are scratch space.
	needs   []reserver.Need
	runners []reserver.Runner
	runs    []reserver.Run
}

// runnerSweep lists runners of which next is the next one to look at.
type runnerSweep struct {
	runners []*runnerState
	next    int
	// byRack is set if the runners are sorted by their racks.
	byRack bool
}

// newReservations returns nil, which reserves nothing, if the limit is zero.
func newReservations(limit int) *reservations {
	if limit == 0 {
		return nil
	}
	return &reservations{
		reserver: reserver.New(reserver.Config{
			Limit: limit,
		}),
		limit:  limit,
		sweeps: map[string]*runnerSweep{},
		packed: map[string]struct{}{},
	}
}

// runSizes sums up what finite runs are allocated. Best-effort ones are not counted in
// withProcessors, since they are allocated no processors.
type runSizes struct {
	runs           int64
	withProcessors int64
	allocated      publisher.Resources
}

// add adds the sizes of another set of runs, sign times.
func (z *runSizes) add(other runSizes, sign int64) {
	z.runs += sign * other.runs
	z.withProcessors += sign * other.withProcessors
	z.allocated.ProcessorMillis += sign * other.allocated.ProcessorMillis
	z.allocated.MemoryBytes += sign * other.allocated.MemoryBytes
	z.allocated.Accelerators += sign * other.allocated.Accelerators
}

// sizes returns the sizes of one run of the step.
func (s *Step) sizes() runSizes {
	if s.LongRunning {
		return runSizes{}
	}
	z := runSizes{
		runs:      1,
		allocated: s.allocation(),
	}
	if !s.BestEffort {
		z.withProcessors = 1
	}
	return z
}

// large reports whether a step's task or gang needs largeFactor times as much as the
// average run.
func (z *runSizes) large(step *Step) bool {
	needs := step.allocation()
	tasks := int64(1)
	if step.Gang {
		tasks = int64(step.Count)
	}
	exceeds := func(need, sum, runs int64) bool {
		return sum > 0 && float64(need)*float64(tasks)*float64(runs) >= largeFactor*float64(sum)
	}
	return exceeds(needs.ProcessorMillis, z.allocated.ProcessorMillis, z.withProcessors) ||
		exceeds(needs.MemoryBytes, z.allocated.MemoryBytes, z.runs) ||
		exceeds(needs.Accelerators, z.allocated.Accelerators, z.runs)
}

func (t *task) needKey() reserver.Key {
	return reserver.Key{
		Job:        t.job.spec.ID,
		Occurrence: t.occurrence.index,
		Step:       t.step,
	}
}

// planReservations reserves room for the large tasks that wait. It must follow
// collectWaiting.
func (c *Cell) planReservations(now time.Time) {
	p := c.reservations
	if p == nil || now.Sub(p.plannedAt) < placementInterval {
		return
	}
	p.plannedAt = now
	c.collectNeeds(now)
	reserved := p.reserver.Runners()
	clear(p.packed)
	if len(p.needs) == 0 && len(reserved) == 0 {
		return
	}
	limits := make([]reserver.Reservation, len(reserved))
	for i, key := range reserved {
		limits[i] = *p.reserver.On(key)
	}
	c.collectRunners(now, reserved)
	for i := range p.needs {
		c.setBarred(now, &p.needs[i])
	}
	p.reserver.Plan(now, p.needs, p.runners)
	for i := range p.needs {
		if n := &p.needs[i]; n.Needs.ProcessorMillis > 0 && p.reserver.For(n.Key) != nil {
			p.packed[n.Service] = struct{}{}
		}
	}
	relearned := p.estimatesVersion != p.estimates.Version()
	p.estimatesVersion = p.estimates.Version()
	for i, key := range reserved {
		if s := c.runners[key]; s != nil && (relearned || loosened(&limits[i], p.reserver.On(key), key)) {
			// It may hold tasks now that it refused because of the reservation.
			c.index.improved(s)
		}
	}
	c.index.refresh()
	c.logReservations(now)
}

// loosened reports whether a runner may hold more by a reservation, which may be nil,
// than by the former one.
func loosened(before, after *reserver.Reservation, runner framer.RunnerKey) bool {
	return after == nil || after.Need != before.Need || after.BackfillUntil().After(before.BackfillUntil()) ||
		!publisher.Within(after.Part(runner).Spare, before.Part(runner).Spare)
}

// endsBy returns the time by which the run of a task ends, or would if it was started
// now. It is zero if the task runs until its job is cancelled.
func (c *Cell) endsBy(now time.Time, t *task) time.Time {
	if t.spec().LongRunning {
		return time.Time{}
	}
	return c.reservations.estimates.EndsBy(now, t.runsSince(now), t.class(), t.estimate())
}

func (t *task) class() reserver.Class {
	return reserver.Class{
		Queue:      t.job.spec.Queue,
		BestEffort: t.spec().BestEffort,
	}
}

func (t *task) estimate() time.Duration {
	return time.Duration(t.spec().EstimateMillis) * time.Millisecond
}

// runsSince returns since when the task has run, as far as this owner knows.
func (t *task) runsSince(now time.Time) time.Time {
	switch {
	case t.runner != nil && t.listed:
		return t.listedSince
	case t.runner != nil && t.startSent && !t.startSentAt.IsZero():
		return t.startSentAt
	default:
		return now
	}
}

// learnEstimate records how long a run took that is done. A resumed run does only a part
// of the work, and of one that a former owner started it is not known when it began.
func (c *Cell) learnEstimate(now time.Time, t *task) {
	if c.reservations != nil && t.run == 1 && !t.spec().LongRunning && t.startSent && !t.startSentAt.IsZero() {
		c.reservations.estimates.Observe(t.class(), t.estimate(), now.Sub(t.runsSince(now)))
	}
}

// reservedFromTask reports whether a reservation for another task keeps a task off a
// runner.
func (c *Cell) reservedFromTask(now time.Time, s *runnerState, w *candidate, t *task) bool {
	p := c.reservations
	if p == nil || p.reserver.On(s.key) == nil || s.hold.task == t {
		return false
	}
	return !p.reserver.Allows(now, s.key, c.need(now, w, t), c.endsBy(now, t))
}

// startReserved records a start with regard to reservations.
func (c *Cell) startReserved(now time.Time, s *runnerState, t *task) {
	p := c.reservations
	if p == nil || p.reserver.On(s.key) == nil && p.reserver.For(t.needKey()) == nil {
		return
	}
	w := candidate{
		job:        t.job,
		occurrence: t.occurrence,
		step:       t.step,
		urgency:    c.terms(t.job).Urgency,
	}
	held := p.reserver.For(t.needKey())
	p.reserver.Started(s.key, c.need(now, &w, t), c.endsBy(now, t))
	if held != nil {
		for _, part := range held.Parts {
			if other := c.runners[part.Runner]; other != nil {
				c.index.improved(other)
			}
		}
		c.index.refresh()
	}
	c.logReservations(now)
}

// logReservations logs the changes of reservations and counts them.
func (c *Cell) logReservations(now time.Time) {
	p := c.reservations
	for _, change := range p.reserver.Changes() {
		held := &change.Reservation
		runners := make([]string, len(held.Parts))
		for i, part := range held.Parts {
			runners[i] = part.Runner.ID
		}
		c.cfg.LogEvent("reservation "+string(change.Kind), "job", held.Need.Job, "occurrence", held.Need.Occurrence, "step", held.Need.Step,
			"urgency", held.Urgency, "runners", runners, "starts-in-millis", held.StartsAt.Sub(now).Milliseconds(),
			"promised-in-millis", held.PromisedAt.Sub(now).Milliseconds(), "reserved-millis", now.Sub(held.MadeAt).Milliseconds())
	}
	c.Counts.Reservations = p.reserver.Counts()
}

// reservationFor returns the reservation for a task, or nil.
func (c *Cell) reservationFor(t *task) *reserver.Reservation {
	if c.reservations == nil {
		return nil
	}
	return c.reservations.reserver.For(t.needKey())
}
