package scheduler

import (
	"slices"
	"time"
)

const (
	// minSurvival is how long after its start was requested a run must still be
	// listed to have survived its start. A listing may fall into the moment between a
	// start and the crash that it causes.
	minSurvival = 250 * time.Millisecond
	// maxCrashDelay is how soon after a start its runner must be reported not to answer
	// for the start to have caused that. A runner that ends refuses calls at once; one
	// that is cut off lets several time out.
	maxCrashDelay = 800 * time.Millisecond
)

// survivedStart reports whether the task's run has survived its start.
func (t *task) survivedStart() bool {
	return t.listed && t.listedAt.Sub(t.startSentAt) >= minSurvival
}

// recordCrash records that a runner was replaced by a later incarnation, or by
// another runner at its address, although it had not announced its end.
func (c *Cell) recordCrash(now time.Time, s *runnerState) {
	s.lapses = nil
	if s.info.Draining || s.info.Left {
		return
	}
	// A run that is stopped in a later incarnation was counted with the first one.
	runs := slices.DeleteFunc(s.placed(), func(t *task) bool { return !t.startSent || t.done || t.crashedRun == t.run })
	if len(runs) == 0 {
		return
	}
	n := s.suspects()
	c.Counts.Crashes++
	c.cfg.LogEvent("runner crashed", "runner", s.key.ID, "born-millis", s.key.StartedAtMillis, "runs", len(runs),
		"unproven", n.unproven, "explaining", n.explaining, "known", s.reported)
	var next *task
	for _, t := range runs {
		c.attributeCrash(now, t, n)
		if t.record.suspect() && t.copy == nil && (next == nil || t.record.suspicion > next.record.suspicion) {
			next = t
		}
	}
	if next != nil {
		c.reserveRunner(now, next)
	}
}

// lapse is a run that ended with the lease of its runner, and what that added to the
// record of its task.
type lapse struct {
	task  *task
	added crashRecord
}

// recordLapse counts the end of a runner's lease as a crash, until the runner turns out
// to live: it may be back too late for the crash to be counted before the next start.
func (c *Cell) recordLapse(now time.Time, s *runnerState, lost []*task) {
	n := s.suspects()
	for _, t := range lost {
		if t.startSent && !t.done && t.crashedRun != t.run {
			before := t.record
			c.attributeCrash(now, t, n)
			s.lapses = append(s.lapses, lapse{
				task: t,
				added: crashRecord{
					crashes:   t.record.crashes - before.crashes,
					suspicion: t.record.suspicion - before.suspicion,
				},
			})
		}
	}
}

// refuteLapses withdraws what the end of the runner's lease added, since the runner has
// listed its runs after that.
func (c *Cell) refuteLapses(s *runnerState) {
	for _, l := range s.lapses {
		r := &l.task.record
		r.crashes = max(0, r.crashes-l.added.crashes)
		r.suspicion = max(0, r.suspicion-l.added.suspicion)
		c.markChanged(l.task.job)
	}
	s.lapses = nil
}

// mayCrashByStart reports whether the task's run may have started and has not survived
// its start.
func (t *task) mayCrashByStart() bool {
	return t.startSent && !t.survivedStart()
}

// explainsCrash reports whether the start of the task's run is likely to have crashed
// its runner: the run was accepted, and soon after that the runner was gone.
func (t *task) explainsCrash() bool {
	goneAt := t.runner.unansweredAt
	return t.mayCrashByStart() && t.confirmed && !goneAt.IsZero() && goneAt.Sub(t.startSentAt) <= maxCrashDelay
}

// suspects are the runs of a runner that may have crashed it.
type suspects struct {
	// unproven counts the runs that have not survived their start, and explaining
	// those of them that explain a crash.
	unproven   int
	explaining int
}

// suspects counts the runs that may have crashed the runner.
func (s *runnerState) suspects() (n suspects) {
	for t := range s.tasks {
		if t.mayCrashByStart() {
			n.unproven++
		}
		if t.explainsCrash() {
			n.explaining++
		}
	}
	return n
}

// attributeCrash counts the crash of its runner against a task, and gives the task up if
// its record is conclusive. A run that has survived its start is no cause of a crash that
// another start explains.
func (c *Cell) attributeCrash(now time.Time, t *task, n suspects) {
	s := t.runner
	t.crashedRun = t.run
	if s.reported && t.survivedStart() && n.explaining > 0 {
		return
	}
	again := s.info.Address != "" && slices.Contains(t.crashedAt, s.info.Address)
	if !again {
		t.crashedAt = append(t.crashedAt, s.info.Address)
	}
	switch {
	case !s.reported || !t.mayCrashByStart():
	case again || !t.explainsCrash():
		t.record.suspicion += doubtfulSuspicion
	case n.unproven == 1 && t.record.suspect():
		t.record.suspicion += soleSuspicion
	default:
		t.record.suspicion += sharedSuspicion
	}
	t.record.crashes++
	if t.record.suspect() && len(s.tasks) > 1 {
		t.notBefore = now.Add(suspectDelay)
	}
	c.markChanged(t.job)
	if !t.record.conclusive() || t.job.state.Final() {
		return
	}
	c.Counts.GivenUp++
	c.cfg.LogEvent("task given up", "task", t.name(), "run", t.run, "runner", s.key.ID,
		"crashes", t.record.crashes, "suspicion", t.record.suspicion)
	c.endJob(now, t.job, StateFailed)
}
