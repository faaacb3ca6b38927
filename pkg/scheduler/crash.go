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
		if t.suspect() && t.copy == nil && (next == nil || t.presumedRecord().suspicion > next.presumedRecord().suspicion) {
			next = t
		}
	}
	if next != nil {
		c.reserveRunner(now, next)
	}
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

// attributeCrash counts the proven crash of its runner against a task, and gives the task up
// if its record is conclusive.
func (c *Cell) attributeCrash(now time.Time, t *task, n suspects) {
	added := t.crashEvidence(n)
	t.record.crashes += added.crashes
	t.record.suspicion += added.suspicion
	c.logCrash(t, added)
	c.markChanged(t.job)
	c.delaySuspect(now, t)
	c.giveUpIfProven(now, t)
}

// logCrash logs the record of a task under which runners have crashed more than once.
func (c *Cell) logCrash(t *task, added crashRecord) {
	if t.record.crashes < suspectCrashes {
		return
	}
	c.cfg.LogEvent("crashes under a task", "task", t.name(), "run", t.run, "survived-start", t.survivedStart(),
		"crashes", t.record.crashes, "suspicion", t.record.suspicion, "added-suspicion", added.suspicion)
}

// crashEvidence returns what a crash of its runner adds to the record of a task, once for each
// run. The crash counts whatever else may have caused it: a task that ends its runners long
// after each start is told from a sound one by the number of its crashes only.
func (t *task) crashEvidence(n suspects) crashRecord {
	s := t.runner
	t.crashedRun = t.run
	again := s.info.Address != "" && slices.Contains(t.crashedAt, s.info.Address)
	t.crashedAt = append(t.crashedAt, s.info.Address)
	added := crashRecord{
		crashes: 1,
	}
	switch {
	case !s.reported || !t.mayCrashByStart():
	case again || !t.explainsCrash():
		added.suspicion = doubtfulSuspicion
	case n.unproven == 1 && t.suspect():
		added.suspicion = soleSuspicion
	default:
		added.suspicion = sharedSuspicion
	}
	return added
}

// forgetCrashAt removes one crash at an address, which turned out to be none.
func (t *taskState) forgetCrashAt(address string) {
	if i := slices.Index(t.crashedAt, address); i >= 0 {
		t.crashedAt = slices.Delete(t.crashedAt, i, i+1)
	}
}

// delaySuspect delays the next start of a suspect that was lost together with others.
func (c *Cell) delaySuspect(now time.Time, t *task) {
	if t.suspect() && len(t.runner.tasks) > 1 {
		t.notBefore = now.Add(suspectDelay)
	}
}

// giveUpIfProven ends the job of a task if the proven crashes are conclusive.
func (c *Cell) giveUpIfProven(now time.Time, t *task) {
	if !t.record.conclusive() || t.done || t.job.state.Final() {
		return
	}
	c.Counts.GivenUp++
	c.cfg.LogEvent("task given up", "task", t.name(), "run", t.run, "crashes", t.record.crashes, "suspicion", t.record.suspicion,
		"unproven", len(t.lapses))
	c.endJob(now, t.job, StateFailed)
}
