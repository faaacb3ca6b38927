package scheduler

import "time"

const (
	// maxCrashes is the number of crashes of runners under a task, without a run that
	// proves it sound, at which it is given up, whatever the evidence.
	maxCrashes = 5
	// maxSuspicion is the suspicion at which a task is given up. A crash right after
	// its start adds sharedSuspicion, soleSuspicion if no other start can have caused
	// it and the task was a suspect already, and doubtfulSuspicion if it may never have
	// started, if the same runner has crashed under it before, or if the runner may
	// have crashed much later. So that is after two crashes at the earliest.
	maxSuspicion      = 5
	doubtfulSuspicion = 1
	sharedSuspicion   = 2
	soleSuspicion     = 3
	// suspectCrashes is the number of crashes at which a task is a suspect although
	// its runs survived their starts, or may have.
	suspectCrashes = 2
	// soundWork is how long a run of a long-running task must be listed to clear the record:
	// such a task never ends, and may lose runners now and then for as long as it runs.
	soundWork = time.Minute
)

// countedRunBytes bounds what an entry of Progress.CountedRuns takes.
const countedRunBytes = 5

// crashRecord is what speaks for that a task crashes its runners.
type crashRecord struct {
	// crashes counts the runners that crashed under the task.
	crashes int
	// suspicion is the evidence that its start crashes them; a run that survives its
	// start refutes it.
	suspicion int
}

// suspect reports whether the task may crash its runners.
func (r crashRecord) suspect() bool {
	return r.suspicion >= sharedSuspicion || r.crashes >= suspectCrashes
}

// conclusive reports whether enough speaks for that the task crashes its runners.
func (r crashRecord) conclusive() bool {
	return r.suspicion >= maxSuspicion || r.crashes >= maxCrashes
}

// clearRecord drops what the present run of a task refutes: that its start crashes
// runners once it has survived that, and everything once a long-running task has
// been at work for long.
func (c *Cell) clearRecord(now time.Time, t *task) {
	before := t.presumedRecord()
	if before == (crashRecord{}) {
		return
	}
	if t.survivedStart() {
		t.record.suspicion = 0
		for _, run := range t.lapses {
			run.added.suspicion = 0
		}
	}
	if t.provesTask(now) {
		t.record = crashRecord{}
		t.lapses = nil
	}
	if t.presumedRecord() != before {
		c.markChanged(t.job)
	}
}

// provesTask reports whether a long-running task was at work for so long that its record no
// longer counts.
func (t *task) provesTask(now time.Time) bool {
	return t.spec().LongRunning && t.listed && now.Sub(t.listedSince) >= soundWork
}

// recordCrashes stores the crash record of the task at an index.
func (p *Progress) recordCrashes(index, tasks int, r crashRecord) {
	if p.Crashes == nil {
		p.Crashes = make([]byte, tasks)
		p.Suspicions = make([]byte, tasks)
	}
	p.Crashes[index] = byte(min(r.crashes, maxCrashes))
	p.Suspicions[index] = byte(min(r.suspicion, maxSuspicion))
}

// crashRecord returns the crash record of the task at an index.
func (p *Progress) crashRecord(index int) (r crashRecord) {
	if index < len(p.Crashes) && index < len(p.Suspicions) {
		r.crashes = int(p.Crashes[index])
		r.suspicion = int(p.Suspicions[index])
	}
	return r
}

// recordCountedRuns stores which placed runs have been counted as far as the row has room. Such
// a run is to be stopped in the runner's next incarnation, which may crash as well.
func (p *Progress) recordCountedRuns(tasks []*task) {
	room := p.room() / countedRunBytes
	for i, t := range tasks {
		if room > 0 && t.runner != nil && t.run > 0 && t.crashedRun == t.run {
			p.CountedRuns = append(p.CountedRuns, i)
			room--
		}
	}
}

// loadCountedRuns restores which runs have been counted.
func (p *Progress) loadCountedRuns(tasks []*task) {
	for _, i := range p.CountedRuns {
		if i >= 0 && i < len(tasks) {
			tasks[i].crashedRun = tasks[i].run
		}
	}
}
