package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// job is a job with what its owner knows of it.
type job struct {
	spec        Spec
	state       State
	begun       bool
	cancelled   bool
	occurrences []*occurrence
	// unfinished counts the tasks that are not done.
	unfinished int
	// placed counts the tasks that are on a site.
	placed int
	// idleSince is since when the job waits with nothing placed; nought while
	// something is.
	idleSince time.Time
	// waitedLong is set once the job ran out of patience.
	waitedLong bool
	// failedOn lists the runners on which a run of the job failed.
	failedOn []string
	endedAt  time.Time
	// chain is the longest chain of steps, by the caller's estimates.
	chain time.Duration
}

// occurrence is one occurrence of a job's steps.
type occurrence struct {
	index int
	dueAt time.Time
	steps [][]*task
	// unfinished counts the tasks of each step that are not done.
	unfinished []int
}

// task is one task of a round.
type task struct {
	job        *job
	occurrence *occurrence
	step       int
	index      int

	done       bool
	run        int
	failures   int
	checkpoint string
	// runner is where the current run is, or may be; nil while it waits.
	runner *runnerState
	// committedRun is the run that the row names.
	committedRun int
	// startSent is set once the agent may have been told of the run.
	startSent bool
	// confirmed is set once the runner took the run; an answer doesn't tell
	// which life of the runner gave it.
	confirmed bool
	// listed is set once this life of the runner listed the run.
	listed bool
	// percent is how much of its work the run has done, and stillFor for how long
	// that has not changed.
	percent    int
	stalledFor time.Duration
	// progressRun is the run whose progress was last looked at.
	progressRun int
	// stopping is set while the run is to be stopped.
	stopping bool
	// notBefore keeps a task that fails at once from starting too often.
	notBefore time.Time
	// avoid lists runners on which the task failed.
	avoid []string
}

func (t *task) spec() *Step {
	return &t.job.spec.Steps[t.step]
}

func (t *task) name() string {
	return taskName(t.job.spec.ID, t.occurrence.index, t.step, t.index)
}

func (t *task) ref() framer.RunRef {
	return framer.RunRef{
		Task: t.name(),
		Run:  t.run,
	}
}

func compareTasks(a, b *task) int {
	return cmp.Or(
		cmp.Compare(a.job.spec.ID, b.job.spec.ID),
		cmp.Compare(a.occurrence.index, b.occurrence.index),
		cmp.Compare(a.step, b.step),
		cmp.Compare(a.index, b.index),
	)
}

func newJob(spec Spec) *job {
	j := &job{
		spec:  spec,
		state: StateQueued,
		chain: longestChain(spec.Steps),
	}
	for k := range spec.occurrences() {
		due := time.UnixMilli(spec.StartAtMillis + int64(k)*spec.IntervalMillis)
		if spec.RunCount == 0 {
			due = time.Time{}
		}
		r := &occurrence{
			index: k,
			dueAt: due,
		}
		for number, step := range spec.Steps {
			tasks := make([]*task, step.Count)
			for i := range tasks {
				tasks[i] = &task{
					job:        j,
					occurrence: r,
					step:       number,
					index:      i,
				}
			}
			j.unfinished += step.Count
			r.steps = append(r.steps, tasks)
			r.unfinished = append(r.unfinished, step.Count)
		}
		j.occurrences = append(j.occurrences, r)
	}
	return j
}

// longestChain adds up the estimates along the longest path of steps. A step
// that waits for a later one is no valid job; such an edge is passed over.
func longestChain(steps []Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i, step := range steps {
		for _, before := range step.After {
			if before >= 0 && before < i {
				ends[i] = max(ends[i], ends[before])
			}
		}
		ends[i] += time.Duration(step.EstimateMillis) * time.Millisecond
		longest = max(longest, ends[i])
	}
	return longest
}

// remainingChain is the longest chain of what is not done of a round.
func (r *occurrence) remainingChain(steps []Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i, step := range steps {
		for _, before := range step.After {
			if before >= 0 && before < i {
				ends[i] = max(ends[i], ends[before])
			}
		}
		if r.unfinished[i] > 0 {
			ends[i] += time.Duration(step.EstimateMillis) * time.Millisecond
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// ready tells whether a step's tasks may start.
func (r *occurrence) ready(now time.Time, steps []Step, number int) bool {
	if now.Before(r.dueAt) {
		return false
	}
	for _, before := range steps[number].After {
		if before < 0 || before >= len(r.unfinished) || r.unfinished[before] > 0 {
			return false
		}
	}
	return true
}

// tasks returns all tasks in the order of their rows.
func (j *job) tasks() []*task {
	var list []*task
	for _, r := range j.occurrences {
		for _, tasks := range r.steps {
			list = append(list, tasks...)
		}
	}
	return list
}

// progress is what the job's row must say now.
func (j *job) progress() Progress {
	p := Progress{
		State: j.state,
		Begun: j.begun,
	}
	if !j.endedAt.IsZero() {
		p.EndedAtMillis = j.endedAt.UnixMilli()
	}
	if j.state.Final() && j.placed == 0 {
		return p
	}
	for _, t := range j.tasks() {
		row := TaskProgress{
			Done:       t.done,
			Run:        t.run,
			Failures:   t.failures,
			Checkpoint: t.checkpoint,
		}
		if t.runner != nil {
			row.RunnerID = t.runner.key.ID
			row.RunnerStartedAtMillis = t.runner.key.StartedAtMillis
			row.Address = t.runner.info.Address
		}
		p.Tasks = append(p.Tasks, row)
	}
	return p
}

// avoids tells whether the task failed on a runner.
func (t *task) avoids(id string) bool {
	return slices.Contains(t.avoid, id)
}
