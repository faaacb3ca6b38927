package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/ranker"
)

// job is the scheduling state of a job.
type job struct {
	spec Spec
	// seenAt is when this process first read the job, by its own clock. Times of
	// day of other processes may differ by seconds.
	seenAt    time.Time
	state     State
	begun     bool
	cancelled bool
	// occurrences are the first ones of the job: all that are due, and at least one.
	occurrences []*occurrence
	// unfinished counts the tasks of all occurrences that are not done.
	unfinished int
	// placed counts the tasks that are placed on a runner and not done. extraRuns counts
	// the other runs that are placed: copies, and runs that are left of tasks that are
	// done.
	placed    int
	extraRuns int
	// listedCopies counts the tasks with an entry in Progress.Copies.
	listedCopies int
	// gangCheckpointSize is the size of the longest checkpoint that a member of a gang of the
	// job had.
	gangCheckpointSize int
	// unplaced is set while the job is in the cell's list of that name.
	unplaced bool
	// idleSince is since when the job has been waiting with nothing placed; it
	// is zero while a task is placed.
	idleSince time.Time
	// waitedLong is set once the job has waited longer than maxIdleWait.
	waitedLong bool
	// failedOn lists the runners on which a run of the job failed.
	failedOn []string
	// rejected is set while the job's last row was rejected, and rejectedUntil
	// is the time before which it is not written again.
	rejected      bool
	rejectedUntil time.Time
	endedAt       time.Time
	// chain is the duration of the longest chain of steps, by the caller's
	// estimates.
	chain time.Duration
	// work is the processor time of the whole job by the caller's estimates, standing
	// what the floors of the order know of the job, and rank its last rank.
	work     int64
	standing ranker.Standing
	rank     ranker.Rank
}

// taskState is what all runs of a task of an occurrence share.
type taskState struct {
	job        *job
	occurrence *occurrence
	step       int
	index      int
	// current is the task's run, or where its next one will be. copy is a second run of
	// a speculative task, which becomes the current one if that ends first; it is nil
	// if there is none.
	current *task
	copy    *task
	// lastRun is the highest run number so far.
	lastRun int
	// copyable is set while the task is in copies.tasks, the running tasks that may get a
	// copy, and listedCopy while it has an entry in Progress.Copies.
	copyable   bool
	listedCopy bool
	// refusedRun is the last run that got no copy because of the budget.
	refusedRun int

	done       bool
	failures   int
	checkpoint string
	// record is what proven crashes of its runners say of the task, and lapses are its runs
	// under which a runner may have crashed.
	record crashRecord
	lapses []*lapse
	// released are the runs that were released because of an expired lease.
	released releasedRuns
	// crashedAt lists the addresses of the runners that crashed under the task, as far
	// as this owner knows.
	crashedAt []string
	// trialRunner is the runner that is, or was last, kept free for the task's trial.
	trialRunner *runnerState
	// notBefore is the earliest time of the next start. It delays long-running
	// tasks, so that one that exits at once is not restarted too often, and those
	// that are suspected of crashing runners.
	notBefore time.Time
	// avoid lists the runners on which the task failed or stalled.
	avoid []string
	// waitingSince is since when the task should run and does not, to within
	// waitSweepInterval; it is zero while the task runs.
	waitingSince time.Time
}

// task is a task of an occurrence and its present run, or its copy.
type task struct {
	*taskState

	run int
	// crashedRun is the last run that was counted in the crash record.
	crashedRun int
	// runner is where the current run is, or may be; it is nil while the task
	// waits.
	runner *runnerState
	// committedRun is the run number in the last committed row.
	committedRun int
	// startSent is set once the start may have been sent to the agent, which this
	// owner did last at startSentAt.
	startSent   bool
	startSentAt time.Time
	// confirmed is set once the runner accepted or listed the run. The response
	// to a start does not identify the incarnation that sent it, so confirmed
	// alone does not prove that this incarnation has the run; listed does.
	confirmed bool
	// listed is set once this incarnation of the runner has listed the run.
	listed bool
	// listedIn is the number of the runner's last listing with the run, and
	// missing counts the listings without it since then.
	listedIn int
	missing  missing
	// listedAt is when the runner made the last listing with the run.
	listedAt time.Time
	// listedSince is when the run was first listed.
	listedSince time.Time
	// percent is the progress of the run, and stalledFor is how long it has not
	// changed.
	percent    int
	stalledFor time.Duration
	// progressRun is the run whose progress was last checked.
	progressRun int
	// up is set once the run, if it is long-running, listed that it is at work. moving
	// is set from the stop that moves the task until it is at work again.
	up     bool
	moving bool
	// roomOn is the runner that holds room for the task while it is moved.
	roomOn *runnerState
	// stopping is set while a stop is requested for the run.
	stopping bool
	// placedAt is when the run was placed, or when this owner read that it was. placedHere
	// is set if this owner placed it.
	placedAt   time.Time
	placedHere bool
	// copyOf is the run of which this one was started as a copy; 0 if it was not.
	copyOf int
	// copyService is the service whose budget for copies the run uses; empty if none.
	copyService string
	// superseded is set once the run may be in a later incarnation of its runner than the
	// one that listed it.
	superseded bool
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

// newTask returns a task without a run. The two parts are allocated at once, since a new
// owner reads tens of thousands of tasks.
func newTask(state taskState) *task {
	parts := &struct {
		state taskState
		task  task
	}{
		state: state,
	}
	parts.task.taskState = &parts.state
	parts.state.current = &parts.task
	return &parts.task
}

func newJob(seenAt time.Time, spec Spec) *job {
	j := &job{
		spec:       spec,
		seenAt:     seenAt,
		state:      StateQueued,
		unfinished: spec.TasksPerOccurrence() * spec.occurrences(),
		chain:      longestChain(spec.Steps, nil, make([]time.Duration, len(spec.Steps))),
	}
	j.addOccurrence()
	return j
}

// tasks returns the tasks of the job's occurrences so far, in the order of Progress.Tasks.
func (j *job) tasks() []*task {
	var list []*task
	for _, r := range j.occurrences {
		for _, tasks := range r.steps {
			list = append(list, tasks...)
		}
	}
	return list
}

// progress returns the current progress to write to the job's row. Tasks are
// omitted once the job is in a final state and has no runs left.
func (j *job) progress() Progress {
	p := Progress{
		State: j.state,
		Begun: j.begun,
	}
	if !j.endedAt.IsZero() {
		p.EndedAtMillis = j.endedAt.UnixMilli()
	}
	if j.ended() {
		return p
	}
	tasks := j.tasks()
	for i, t := range tasks {
		if t.record != (crashRecord{}) {
			p.recordCrashes(i, len(tasks), t.record)
		}
		p.recordReleased(i, t)
		row := TaskProgress{
			Done:     t.done,
			Run:      t.run,
			Failures: t.failures,
		}
		if t.runner != nil {
			row.RunnerID = t.runner.key.ID
			row.RunnerStartedAtMillis = t.runner.key.StartedAtMillis
			row.Address = t.runner.info.Address
		}
		p.Tasks = append(p.Tasks, row)
		if t.listedCopy {
			p.Copies = append(p.Copies, t.copyProgress(i))
		}
	}
	p.recordLapses(tasks)
	p.recordCountedRuns(tasks)
	p.recordCheckpoints(tasks)
	return p
}

// avoids reports whether the task failed or stalled on a runner.
func (t *task) avoids(runnerID string) bool {
	return slices.Contains(t.avoid, runnerID)
}
