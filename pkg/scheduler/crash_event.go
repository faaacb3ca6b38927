package scheduler

import (
	"slices"
	"time"
)

const (
	// explanationWait is how long the restart of a task waits that would be given up if
	// the starts that explain its last crashes were refuted.
	explanationWait = 2 * time.Second
	// outliveMargin is how much longer than at any crash before a run has to be listed to
	// show that the crashes which other starts had explained were not its task's. A
	// listing may be that old.
	outliveMargin = time.Second
	// crashAgeFactor is how much longer than at any crash before a run has to work to
	// prove that its task crashes no runners. maxProvingWork is enough in any case.
	crashAgeFactor = 2
	maxProvingWork = time.Minute
)

// crashEvent is a crash of a runner that the starts of some tasks explain, as they had not
// survived them yet. Once all of these tasks have survived a start, the crash counts against
// the tasks that had survived theirs.
type crashEvent struct {
	explaining map[*task]struct{}
	surviving  []*task
}

// newCrashEvent returns the crash of a runner, with the tasks whose starts explain it.
func (s *runnerState) newCrashEvent() *crashEvent {
	e := &crashEvent{
		explaining: map[*task]struct{}{},
	}
	for t := range s.tasks {
		if t.explainsCrash() {
			e.explaining[t] = struct{}{}
			t.explains = append(t.explains, e)
		}
	}
	return e
}

// survive records that a task had survived its start when its runner crashed.
func (e *crashEvent) survive(t *task) {
	e.surviving = append(e.surviving, t)
	t.unexplained++
	if address := t.runner.info.Address; !slices.Contains(t.crashedAt, address) {
		t.crashedAt = append(t.crashedAt, address)
	}
}

// dropEvent ends an event without a cause, or with one that is known.
func (c *Cell) dropEvent(e *crashEvent) {
	for _, t := range e.surviving {
		t.unexplained--
		if !t.job.state.Final() {
			c.markChanged(t.job)
		}
	}
	e.surviving = nil
}

// refuteExplanations records that a task has survived a start, so that it does not explain
// the crashes before.
func (c *Cell) refuteExplanations(now time.Time, t *task) {
	events := t.explains
	t.explains = nil
	for _, e := range events {
		delete(e.explaining, t)
		if len(e.explaining) > 0 {
			continue
		}
		for _, other := range e.surviving {
			other.record.explained++
			c.judge(now, other)
		}
		c.dropEvent(e)
	}
}

// storedRecord returns the crash record for the next owner, which does not know what may
// explain the crashes.
func (t *task) storedRecord() crashRecord {
	r := t.record
	r.explained += t.unexplained
	return r
}

// lastChance reports whether the task is given up after another crash of its runner.
func (t *task) lastChance() bool {
	r := t.storedRecord()
	return r.crashes+r.explained >= maxCrashes-1
}

// suspect reports whether the task is tried alone.
func (t *task) suspect() bool {
	return t.record.suspect() || t.lastChance()
}

// trialDuration returns how long the trial of the task lasts at most, and passesTrial
// reports whether it has passed it.
func (t *task) trialDuration() time.Duration {
	if t.lastChance() {
		return maxLastTrial
	}
	return maxTrial
}

func (t *task) passesTrial() bool {
	if t.lastChance() {
		return t.outlivesCrashes()
	}
	return t.survivedStart()
}

// crashesWithSame reports whether another run on the task's runner was at an earlier crash
// that the task's start explains, and may have caused that one and the present one.
func (t *task) crashesWithSame(present *crashEvent) bool {
	for _, e := range t.explains {
		if e != present && slices.ContainsFunc(e.surviving, func(other *task) bool { return other != t && other.runner == t.runner }) {
			return true
		}
	}
	return false
}

// dropExplained drops the crashes that the starts of a task explain, since it is known to
// crash its runners, or starts no more.
func (c *Cell) dropExplained(t *task) {
	for _, e := range t.explains {
		c.dropEvent(e)
	}
	t.explains = nil
}

// recordCrashAge records for how long the present run of a task was listed before its
// runner crashed.
func (t *task) recordCrashAge() {
	if t.listed {
		t.crashAge = max(t.crashAge, t.listedAt.Sub(t.listedSince))
	}
}

// outlivesCrashes reports whether the run has been listed for longer than any run before at
// the crash of its runner.
func (t *task) outlivesCrashes() bool {
	return t.listed && t.listedAt.Sub(t.listedSince) > t.crashAge+outliveMargin
}

// provesTask reports whether the run has worked for so long that its task is not taken for
// one that crashes its runners. One that does so late crashes them at about the same age
// again.
func (t *task) provesTask(now time.Time) bool {
	return t.listed && now.Sub(t.listedSince) >= max(provenWork, min(crashAgeFactor*t.crashAge, maxProvingWork))
}
