package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxCommitRows bounds the job rows in one commit, so that the cell's own row
// still fits into the transaction.
const maxCommitRows = 90

// rejectedRowDelay is the time after which the row of a job is written again that
// the store rejected on its own.
const rejectedRowDelay = 5 * time.Second

// rejectedCommitDivisor is the factor by which the next commit after a rejected
// one is smaller.
const rejectedCommitDivisor = 4

// Row is a job's progress that has to be written.
type Row struct {
	ID       string
	Progress Progress
	runs     []committedRun
	// since is the number of the first change that the row persists.
	since uint64
}

type committedRun struct {
	task *task
	run  int
}

// Commit is a set of rows to be written in one transaction.
type Commit struct {
	Rows []Row
	// upTo is the number of the last change that is persisted once this commit
	// and all earlier ones are written.
	upTo uint64
}

// Commit returns the rows that changed since the last commit and reports whether
// there are any. It must not be called again before Committed or Rejected.
func (c *Cell) Commit() (Commit, bool) {
	jobs, limit := c.jobsToCommit()
	if len(jobs) == 0 {
		c.advanceCommitted(c.change)
		return Commit{}, false
	}
	commit := Commit{
		upTo: c.change,
	}
	size := 0
	for i, j := range jobs {
		row := newRow(j, c.changed[j])
		size += row.Progress.size()
		if i == limit || i > 0 && size > maxCommitBytes {
			commit.upTo = c.changed[j] - 1
			break
		}
		delete(c.changed, j)
		commit.Rows = append(commit.Rows, row)
	}
	return commit, true
}

// jobsToCommit returns the jobs with changed rows, those that changed first at the
// front, and how many of them may be in one commit. A job whose row was rejected is
// left out for rejectedRowDelay, and then written on its own.
func (c *Cell) jobsToCommit() (jobs []*job, limit int) {
	jobs = slices.SortedFunc(maps.Keys(c.changed), func(a, b *job) int {
		return cmp.Compare(c.changed[a], c.changed[b])
	})
	jobs = slices.DeleteFunc(jobs, func(j *job) bool { return !j.rejectedUntil.IsZero() })
	i := slices.IndexFunc(jobs, func(j *job) bool { return j.rejected })
	if i < 0 {
		return jobs, c.commitLimit
	}
	return slices.Concat(jobs[i:i+1], jobs[:i], jobs[i+1:]), 1
}

// newRow returns the row of a job whose first change since its last row is since.
func newRow(j *job, since uint64) Row {
	row := Row{
		ID:       j.spec.ID,
		Progress: j.progress(),
		since:    since,
	}
	for _, t := range j.tasks() {
		for _, r := range t.runs() {
			if r == nil || r.runner == nil {
				continue
			}
			row.runs = append(row.runs, committedRun{
				task: r,
				run:  r.run,
			})
		}
	}
	return row
}

// advanceCommitted records that all changes up to one are persisted, except those
// of rejected rows.
func (c *Cell) advanceCommitted(upTo uint64) {
	if upTo <= c.committed {
		return
	}
	c.committed = upTo
	for _, s := range c.runners {
		s.ackCommitted(c.committed)
	}
}

// Committed records that the rows of a commit are persisted. It allows the
// start of the runs in these rows and the acknowledgement of the finished runs
// that they cover, and drops finished jobs.
func (c *Cell) Committed(commit Commit) {
	c.committed = max(c.committed, commit.upTo)
	c.commitLimit = min(maxCommitRows, 2*c.commitLimit)
	for _, row := range commit.Rows {
		for _, r := range row.runs {
			if r.task.runner != nil && r.task.run == r.run {
				r.task.committedRun = r.run
				r.task.runner.needsSync()
			}
		}
		j := c.jobs[row.ID]
		_, changed := c.changed[j]
		if j != nil {
			j.rejected = false
		}
		if j != nil && !changed && j.ended() {
			delete(c.jobs, row.ID)
		}
	}
	for _, s := range c.runners {
		s.ackCommitted(c.committed)
	}
}

// Rejected records that the store rejected a commit as it is. Its rows are written
// again, fewer at a time. A row that was rejected on its own must not keep others
// from being written: it waits, and the ends that it covers are not acknowledged.
func (c *Cell) Rejected(now time.Time, commit Commit) {
	c.commitLimit = max(1, len(commit.Rows)/rejectedCommitDivisor)
	for _, row := range commit.Rows {
		j := c.jobs[row.ID]
		if j == nil {
			continue
		}
		c.changed[j] = row.since
		if len(commit.Rows) == 1 {
			j.rejected = true
			j.rejectedUntil = now.Add(rejectedRowDelay)
			c.rejected = append(c.rejected, j)
			c.cfg.LogEvent("row rejected", "job", row.ID, "tasks", len(row.Progress.Tasks))
		}
	}
}

// retryRejected lets the rows that were rejected be written again after
// rejectedRowDelay.
func (c *Cell) retryRejected(now time.Time) {
	c.rejected = slices.DeleteFunc(c.rejected, func(j *job) bool {
		if now.Before(j.rejectedUntil) {
			return false
		}
		j.rejectedUntil = time.Time{}
		return true
	})
}
