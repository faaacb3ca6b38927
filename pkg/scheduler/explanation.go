package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/reserver"
)

// Explanation is where the tasks of a job would be placed now, and why.
type Explanation struct {
	Job           string            `json:"job"`
	Queue         string            `json:"queue"`
	Service       string            `json:"service"`
	Urgency       int               `json:"urgency"`
	QueuesVersion int64             `json:"queues-version"`
	Steps         []StepExplanation `json:"steps"`
	// StepsOmitted counts the steps beyond the first maxExplainedSteps.
	StepsOmitted int `json:"steps-omitted,omitempty"`
}

// maxExplainedSteps limits the steps that are explained, since the owner looks at each
// runner for each of them.
const maxExplainedSteps = 8

// StepExplanation is the part of an Explanation for the first task of a step, as if the
// steps before it were done.
type StepExplanation struct {
	Step  int  `json:"step"`
	Tasks int  `json:"tasks"`
	Gang  bool `json:"gang,omitempty"`
	// Runner is the runner of the first task, or empty if Cause keeps it waiting.
	Runner string `json:"runner,omitempty"`
	Cause  string `json:"cause,omitempty"`
	// RoomOn are the runners that have room first, by the runs in progress, and
	// RoomInMillis in how many milliseconds; both are absent if none ever has.
	RoomOn       []string            `json:"room-on,omitempty"`
	RoomInMillis *int64              `json:"room-in-millis,omitempty"`
	Runners      []RunnerExplanation `json:"runners"`
}

// RunnerExplanation is what one runner of the service answers.
type RunnerExplanation struct {
	Runner          string `json:"runner"`
	StartedAtMillis int64  `json:"born-millis"`
	// Answer is "accepting" or why the runner refuses the task.
	Answer string `json:"answer"`
	Chosen bool   `json:"chosen,omitempty"`
	Tasks  int    `json:"tasks"`
	// CapacityMillis, FreeMillis and IdleMillis are thousandths of a processor.
	CapacityMillis  int64 `json:"capacity-millis"`
	FreeMillis      int64 `json:"free-millis"`
	IdleMillis      int64 `json:"idle-millis"`
	FreeBytes       int64 `json:"free-bytes"`
	ReportAgeMillis int64 `json:"report-age-millis"`
	// Penalty speaks against the runner among those that accept the task.
	Penalty int `json:"penalty"`
	// QuarantineMillis is how long the runner's quarantine still lasts.
	QuarantineMillis int64 `json:"quarantine-millis,omitempty"`
	// ReservedForJob has a reservation on the runner for one of its steps, from
	// ReservedInMillis on.
	ReservedForJob   string `json:"reserved-for-job,omitempty"`
	ReservedForStep  int    `json:"reserved-for-step,omitempty"`
	ReservedInMillis int64  `json:"reserved-in-millis,omitempty"`
}

// Explain returns where the tasks of a job would be placed now. It changes nothing.
func (c *Cell) Explain(now time.Time, spec Spec) Explanation {
	j := newJob(now, spec)
	terms := c.terms(j)
	e := Explanation{
		Job:           spec.ID,
		Queue:         spec.Queue,
		Service:       c.service(j),
		Urgency:       terms.Urgency,
		QueuesVersion: c.queues.Version,
	}
	c.index.refresh()
	explained := min(len(spec.Steps), maxExplainedSteps)
	e.StepsOmitted = len(spec.Steps) - explained
	for number := range explained {
		w := candidate{
			job:        j,
			occurrence: j.occurrences[0],
			step:       number,
			urgency:    terms.Urgency,
		}
		e.Steps = append(e.Steps, c.explainStep(now, &w))
	}
	return e
}

func (c *Cell) explainStep(now time.Time, w *candidate) StepExplanation {
	t := w.occurrence.steps[w.step][0]
	step := t.spec()
	e := StepExplanation{
		Step:  w.step,
		Tasks: step.Count,
		Gang:  step.Gang,
	}
	v := c.index.service(c.service(w.job))
	compare := compareRated(v.orderFor(step).compare)
	if c.packsTightly(v, step) {
		compare = compareTight(step)
	}
	var refusals [refusalCount]int
	var best *runnerState
	var bestRating rating
	chosen := 0
	for _, s := range c.runnersOf(v.name) {
		reason := c.answer(now, s, w, t)
		refusals[reason]++
		r := c.rate(now, s, t, nil)
		e.Runners = append(e.Runners, c.explainRunner(now, s, reason, r))
		if reason == accepted && (best == nil || compare(s, best, r, bestRating) < 0) {
			best = s
			bestRating = r
			chosen = len(e.Runners) - 1
		}
	}
	e.RoomInMillis, e.RoomOn = c.roomFor(now, w, t)
	switch {
	case best == nil:
		e.Cause = refusedBy(&refusals).String()
	case step.Gang && (e.RoomInMillis == nil || *e.RoomInMillis > 0):
		e.Cause = causeNoRoomForGang.String()
	default:
		e.Runner = best.key.ID
		e.Runners[chosen].Chosen = true
	}
	return e
}

// runnersOf returns the runners of a service, sorted by key.
func (c *Cell) runnersOf(service string) []*runnerState {
	list := slices.DeleteFunc(slices.Collect(maps.Values(c.runners)), func(s *runnerState) bool { return s.info.Service != service })
	slices.SortFunc(list, func(a, b *runnerState) int { return compareKeys(a.key, b.key) })
	return list
}

// answer returns why a runner refuses a task now, or accepted.
func (c *Cell) answer(now time.Time, s *runnerState, w *candidate, t *task) refusal {
	reason := s.refusal(now)
	if reason == accepted {
		reason = c.misfit(s, w, t)
	}
	switch {
	case reason != accepted:
		return reason
	case c.reservedFromTask(now, s, w, t):
		return refusedForWaiting
	case c.tooCold(now, s, t.spec()):
		return refusedCold
	default:
		return accepted
	}
}

func (c *Cell) explainRunner(now time.Time, s *runnerState, reason refusal, r rating) RunnerExplanation {
	free := s.free()
	e := RunnerExplanation{
		Runner:          s.key.ID,
		StartedAtMillis: s.key.StartedAtMillis,
		Answer:          refusalNames[reason],
		FreeMillis:      free.ProcessorMillis,
		FreeBytes:       free.MemoryBytes,
		CapacityMillis:  s.info.ProcessorMillis,
		IdleMillis:      s.idleMillis(),
		Penalty:         r.penalty,
		ReportAgeMillis: now.Sub(s.listedAt).Milliseconds(),
		Tasks:           len(s.tasks),
	}
	if s.quarantined(now) {
		e.QuarantineMillis = max(0, s.quarantinedUntil.Sub(now).Milliseconds())
	}
	if c.reservations == nil {
		return e
	}
	if held := c.reservations.reserver.On(s.key); held != nil {
		e.ReservedForJob = held.Need.Job
		e.ReservedForStep = held.Need.Step
		e.ReservedInMillis = held.StartsAt.Sub(now).Milliseconds()
	}
	return e
}

// roomFor returns when and where there is room for a task or its gang first. Reservations
// for other tasks are left out of account.
func (c *Cell) roomFor(now time.Time, w *candidate, t *task) (inMillis *int64, runners []string) {
	if c.reservations == nil {
		return nil, nil
	}
	n := c.need(now, w, t)
	n.OneRackOnly = false
	list, runs := c.reservations.runners, c.reservations.runs
	defer func() { c.reservations.runners, c.reservations.runs = list, runs }()
	c.reservations.runners, c.reservations.runs = nil, nil
	for _, s := range c.runnersOf(n.Service) {
		if s.schedulable(now) {
			c.reservations.runners = append(c.reservations.runners, c.reservable(now, s))
		}
	}
	c.setBarredFor(now, &n, t)
	at, parts := reserver.Earliest(now, n, c.reservations.runners)
	if len(parts) == 0 {
		return nil, nil
	}
	for _, p := range parts {
		runners = append(runners, p.Runner.ID)
	}
	millis := max(0, at.Sub(now).Milliseconds())
	return &millis, runners
}
