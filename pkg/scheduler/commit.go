package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// maxCommitRows bounds the job rows in one commit, so that the cell's own row
// still fits into the transaction.
const maxCommitRows = 90

// Row is a job's progress that has to be written.
type Row struct {
	ID       string
	Progress Progress
	runs     []committedRun
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

// Commit returns the rows that changed since the last commit, at most
// maxCommitRows of them, and reports whether there are any. It must not be
// called again before Committed.
func (c *Cell) Commit() (Commit, bool) {
	jobs := slices.SortedFunc(maps.Keys(c.changed), func(a, b *job) int {
		return cmp.Compare(a.spec.ID, b.spec.ID)
	})
	commit := Commit{
		upTo: c.change,
	}
	if len(jobs) > maxCommitRows {
		jobs = jobs[:maxCommitRows]
		commit.upTo = c.committed
	}
	for _, j := range jobs {
		delete(c.changed, j)
		row := Row{
			ID:       j.spec.ID,
			Progress: j.progress(),
		}
		for _, t := range j.tasks() {
			if t.runner != nil {
				row.runs = append(row.runs, committedRun{
					task: t,
					run:  t.run,
				})
			}
		}
		commit.Rows = append(commit.Rows, row)
	}
	return commit, len(commit.Rows) > 0
}

// Committed records that the rows of a commit are persisted. It allows the
// start of the runs in these rows and the acknowledgement of the finished runs
// that they cover, and drops finished jobs.
func (c *Cell) Committed(commit Commit) {
	c.committed = max(c.committed, commit.upTo)
	for _, row := range commit.Rows {
		for _, r := range row.runs {
			if r.task.runner != nil && r.task.run == r.run {
				r.task.committedRun = r.run
				r.task.runner.needsSync()
			}
		}
		j := c.jobs[row.ID]
		_, changed := c.changed[j]
		if j != nil && !changed && j.state.Final() && j.placed == 0 {
			delete(c.jobs, row.ID)
		}
	}
	for _, s := range c.runners {
		s.ackCommitted(c.committed)
	}
}
