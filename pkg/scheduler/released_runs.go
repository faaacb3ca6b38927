package scheduler

import (
	"slices"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// maxReleasedRuns is the number of released runs of a task that are told apart. Earlier
	// ones all count as released.
	maxReleasedRuns = 7
	// maxReleasedTasks bounds the tasks in a row that have released runs; with 6 bytes each
	// they fit into rowHeaderBytes.
	maxReleasedTasks = 100
)

// releasedRuns are the runs of a task that were released because the lease of their runner
// had expired. How they ended is not known: a failure was not counted, whereas that of any
// other run was. The zero value has none.
type releasedRuns struct {
	// upTo is the last of the earlier runs, which all count as released.
	upTo int
	// runs are the later ones, in order.
	runs []int
}

func (r *releasedRuns) add(run int) {
	// The copy of a run may be released before that run.
	r.runs = append(r.runs, run)
	slices.Sort(r.runs)
	if len(r.runs) > maxReleasedRuns {
		r.upTo = max(r.upTo, r.runs[0])
		r.runs = r.runs[1:]
	}
}

func (r *releasedRuns) contains(run int) bool {
	return run <= r.upTo || slices.Contains(r.runs, run)
}

// mask encodes the runs in relation to the task's last one: bit k stands for the run k before
// it, the highest bit for that one and all earlier ones.
func (r *releasedRuns) mask(last int) uint8 {
	mask := uint8(0)
	if r.upTo > 0 {
		mask = 1 << maxReleasedRuns
	}
	for _, run := range r.runs {
		mask |= 1 << min(maxReleasedRuns, last-run)
	}
	return mask
}

// releasedRunsOf decodes a mask.
func releasedRunsOf(mask uint8, last int) releasedRuns {
	r := releasedRuns{}
	if mask&(1<<maxReleasedRuns) != 0 {
		r.upTo = last - maxReleasedRuns
	}
	for k := maxReleasedRuns - 1; k >= 0; k-- {
		if mask&(1<<k) != 0 {
			r.runs = append(r.runs, last-k)
		}
	}
	return r
}

// ReleasedRuns are the released runs of one task in its job's row.
type ReleasedRuns struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Mask  uint8
}

// recordReleased stores the released runs of the task at an index.
func (p *Progress) recordReleased(index int, t *task) {
	mask := t.released.mask(t.lastRun)
	switch {
	case mask == 0 || t.done:
	case len(p.Released) == maxReleasedTasks:
		p.MoreReleased = true
	default:
		p.Released = append(p.Released, ReleasedRuns{
			Index: index,
			Mask:  mask,
		})
	}
}

// loadReleased restores the released runs of a job's tasks. Those of tasks for which the row
// had no room are not known, so all of their runs count as released.
func (p *Progress) loadReleased(tasks []*task) {
	listed := 0
	for _, r := range p.Released {
		if r.Index >= listed && r.Index < len(tasks) {
			listed = r.Index + 1
			t := tasks[r.Index]
			t.released = releasedRunsOf(r.Mask, t.lastRun)
		}
	}
	if !p.MoreReleased {
		return
	}
	for _, t := range tasks[listed:] {
		t.released.upTo = t.lastRun
	}
}

// recordReleased records that the task's present run is released because of an expired lease.
// A long-running task may fail any number of times.
func (t *task) recordReleased() {
	if !t.spec().LongRunning {
		t.released.add(t.run)
	}
}

// failedUncounted reports whether a finished run of the task, which is not its current one,
// is a failure that was not counted although the task may start again.
func (t *task) failedUncounted(e framer.FinishedRun) bool {
	return e.Reason == framer.FinishFailed && !t.done && !t.job.state.Final() && t.released.contains(e.Run)
}
