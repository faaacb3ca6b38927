package scheduler

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Add adds a job that has been committed and has no progress yet. seenAt is when
// this process first read it. Tombstones and jobs that are already present are
// ignored.
func (c *Cell) Add(seenAt time.Time, spec Spec) {
	if spec.Tombstone || c.jobs[spec.ID] != nil {
		return
	}
	j := newJob(seenAt, spec)
	c.jobs[spec.ID] = j
	c.arrived(seenAt, j)
	c.loadArrived(seenAt, j)
	c.addUnplaced(j)
}

// addUnplaced records that a job has tasks to place.
func (c *Cell) addUnplaced(j *job) {
	c.placementDue = true
	if !j.unplaced {
		j.unplaced = true
		c.unplaced = append(c.unplaced, j)
	}
}

// Load is like Add, for a job with progress as read from the store after the
// cell was acquired. A job in a final state without runs is ignored.
func (c *Cell) Load(seenAt time.Time, spec Spec, p Progress) {
	if p.State.Final() && len(p.Tasks) == 0 {
		return
	}
	j := newJob(seenAt, spec)
	j.state = p.State
	j.begun = p.Begun
	if p.EndedAtMillis > 0 {
		j.endedAt = time.UnixMilli(p.EndedAtMillis)
	}
	c.jobs[spec.ID] = j
	c.arrived(seenAt, j)
	c.addUnplaced(j)
	j.addListed(p.Tasks)
	tasks := j.tasks()
	if !c.cfg.Assert.Holds(len(tasks) == len(p.Tasks), "progress-fits-job", "job", spec.ID) {
		return
	}
	for i, t := range tasks {
		row := p.Tasks[i]
		t.run = row.Run
		t.lastRun = row.Run
		t.committedRun = row.Run
		t.failures = row.Failures
		t.setCheckpoint(row.Checkpoint)
		t.record = p.crashRecord(i)
		if row.Done {
			t.done = true
			j.unfinished--
			t.occurrence.unfinished[t.step]--
		}
		if row.RunnerID == "" {
			continue
		}
		c.loadRun(seenAt, t, framer.RunnerKey{
			ID:              row.RunnerID,
			StartedAtMillis: row.RunnerStartedAtMillis,
		}, row.Address)
	}
	for _, row := range p.Copies {
		c.loadCopy(seenAt, j, tasks, row)
	}
	p.loadReleased(tasks)
	c.loadLapses(seenAt, tasks, p.Lapsed)
	p.loadCountedRuns(tasks)
	loadGangCheckpoints(tasks)
}

// loadRun restores a run that may be on a runner.
func (c *Cell) loadRun(seenAt time.Time, t *task, key framer.RunnerKey, address string) {
	t.startSent = true
	t.stopping = t.job.state.Final() || t.done
	t.placedAt = seenAt
	s := c.runner(key)
	if address != "" {
		c.setAddress(s, address)
	}
	s.bind(t)
	c.countPlaced(t, 1)
	c.watchForCopies(t)
}
