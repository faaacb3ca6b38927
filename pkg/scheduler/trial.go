package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// suspectDelay is how long the restart of a suspect waits, so that the other
	// tasks that were lost with it are at work again and not suspected next time.
	suspectDelay = 500 * time.Millisecond
	// maxTrial is how long a runner that starts a suspect gets no other task, unless
	// the suspect survives its start before that.
	maxTrial = time.Second
	// quietCrashes is the number of crashes from which on a task is tried with no start
	// beside it until its run has ended, or maxQuietTrial is over: if it is sound, that run
	// is not lost to the start of another task.
	quietCrashes  = 3
	maxQuietTrial = 2 * time.Second
	// settledUptime is how long a runner must be up for its crash to say more of the task
	// than of the runner, which may crash again for the reason for which it did before.
	settledUptime = 15 * time.Second
)

// reserveRunner keeps other tasks off the runner whose crash would cost least, so
// that the runs there have survived their starts once a suspect starts.
func (c *Cell) reserveRunner(now time.Time, t *task) {
	if t.job.state.Final() {
		return
	}
	w := candidate{
		job:        t.job,
		occurrence: t.occurrence,
		step:       t.step,
		urgency:    c.terms(t.job).Urgency,
	}
	var best *runnerState
	var least exposure
	for _, s := range c.runners {
		if s.info.Service != c.service(t.job) || !s.schedulable(now) || !c.fits(s, &w, t) {
			continue
		}
		e := s.exposureTo(now, t)
		e.unproven = 0
		if best == nil || cmp.Or(e.compare(least), compareKeys(s.key, best.key)) < 0 {
			best, least = s, e
		}
	}
	if best != nil {
		best.beginTrial(now.Add(suspectDelay), t)
	}
}

// beginTrial keeps other tasks off a runner until a suspect has survived its start
// there, which may still wait. It ends the suspect's trial on another runner.
func (s *runnerState) beginTrial(now time.Time, t *task) {
	if other := t.trialRunner; other != nil && other != s && other.trial == t {
		other.trial = nil
		other.index.improved(other)
	}
	t.trialRunner = s
	s.trial = t
	s.trialUntil = now.Add(maxTrial)
	if t.needsQuiet() {
		s.trialUntil = now.Add(maxQuietTrial)
	}
}

// needsQuiet reports whether no other task may start beside the task.
func (t *taskState) needsQuiet() bool {
	return t.presumedRecord().crashes >= quietCrashes
}

// onTrial reports whether the runner is kept free for the trial of a suspect.
func (s *runnerState) onTrial(now time.Time) bool {
	t := s.trial
	if t == nil || !now.Before(s.trialUntil) || t.done || t.job.state.Final() {
		return false
	}
	if t.runner == nil {
		return true
	}
	return t.runner == s && (t.needsQuiet() || !t.survivedStart())
}

// exposure is what a crash of a runner would cost beside the task that causes it;
// the zero value is the least.
type exposure struct {
	// restarted is 1 if the task would wait for long if the runner was lost.
	restarted int
	// crashedBefore is 1 if the runner has crashed under the task before, which would
	// say little about the task.
	crashedBefore int
	// unsettled is 1 if a task with many crashes would be tried on a runner that may have
	// just restarted after one of its own.
	unsettled int
	// unproven counts the runs that would be suspected too.
	unproven    int
	longRunning int
	tasks       int
}

func (e exposure) compare(other exposure) int {
	return cmp.Or(
		cmp.Compare(e.restarted, other.restarted),
		cmp.Compare(e.crashedBefore, other.crashedBefore),
		cmp.Compare(e.unsettled, other.unsettled),
		cmp.Compare(e.unproven, other.unproven),
		cmp.Compare(e.longRunning, other.longRunning),
		cmp.Compare(e.tasks, other.tasks),
	)
}

// exposureTo returns what a crash of the runner by a task would cost.
func (s *runnerState) exposureTo(now time.Time, t *task) exposure {
	e := exposure{
		unproven:    s.suspects().unproven,
		longRunning: len(s.tasks) - s.finiteTasks(),
		tasks:       len(s.tasks),
	}
	if s.delaysRestart(now, t.spec()) {
		e.restarted = 1
	}
	if slices.Contains(t.crashedAt, s.info.Address) {
		e.crashedBefore = 1
	}
	if t.needsQuiet() && s.uptime(now) < settledUptime {
		e.unsettled = 1
	}
	return e
}

// uptime returns for how long the runner has been up by its own clock, which starts with it.
func (s *runnerState) uptime(now time.Time) time.Duration {
	return time.Duration(s.clockMillis)*time.Millisecond + now.Sub(s.clockAt)
}
