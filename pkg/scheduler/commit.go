package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// maxCommitRows leaves room in a transaction for the cell's own row.
const maxCommitRows = 90

// Row is the progress of a job that has to be written.
type Row struct {
	ID       string
	Progress Progress
	runs     []committedRun
}

type committedRun struct {
	task *task
	run  int
}

// Commit is what has to be written in one transaction.
type Commit struct {
	Rows []Row
	// upTo is the change up to which all is written with it.
	upTo uint64
}

// Commit returns the rows that changed since the last commit. It must not be
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

// Committed notes that the rows of a commit are on record.
func (c *Cell) Committed(commit Commit) {
	c.committed = max(c.committed, commit.upTo)
	for _, row := range commit.Rows {
		for _, r := range row.runs {
			if r.task.runner != nil && r.task.run == r.run {
				r.task.committedRun = r.run
				r.task.runner.dirty = true
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
