package scheduler

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/speculator"
)

// occurrence is one occurrence of a job's steps.
type occurrence struct {
	index int
	dueAt time.Time
	steps [][]*task
	// unfinished counts the tasks of each step that are not done.
	unfinished []int
	// full records for each step that no runner could hold its tasks.
	full []fullRunners
	// durations has the durations of the finished runs of speculative steps, by step.
	durations map[int]*speculator.History
}

// addDue adds the occurrences that are due. All others take no memory.
func (j *job) addDue(now time.Time) {
	for len(j.occurrences) < j.spec.occurrences() && !now.Before(j.spec.firstDueFrom(len(j.occurrences))) {
		j.addOccurrence()
	}
}

// addOccurrence adds the next occurrence of the job's steps.
func (j *job) addOccurrence() {
	r := &occurrence{
		index: len(j.occurrences),
		dueAt: j.spec.dueAt(len(j.occurrences)),
		full:  make([]fullRunners, len(j.spec.Steps)),
	}
	for number := range j.spec.Steps {
		count := j.spec.Steps[number].Count
		tasks := make([]*task, count)
		for i := range tasks {
			tasks[i] = newTask(taskState{
				job:        j,
				occurrence: r,
				step:       number,
				index:      i,
			})
		}
		r.steps = append(r.steps, tasks)
		r.unfinished = append(r.unfinished, count)
	}
	j.occurrences = append(j.occurrences, r)
}

// addListed adds the occurrences of the tasks that a row lists.
func (j *job) addListed(rows []TaskProgress) {
	for len(j.occurrences) < j.spec.occurrences() && len(j.occurrences)*j.spec.TasksPerOccurrence() < len(rows) {
		j.addOccurrence()
	}
}

// longestChain returns the sum of the estimates along the longest path of
// steps. An edge to a later step is invalid and ignored. unfinished counts the
// tasks of each step that are not done; steps without any take no time. It may
// be nil. finishTimes is scratch space with room for a time for each step.
func longestChain(steps []Step, unfinished []int, finishTimes []time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := range steps {
		step := &steps[i]
		finishTimes[i] = 0
		for _, dependency := range step.After {
			if dependency >= 0 && dependency < i {
				finishTimes[i] = max(finishTimes[i], finishTimes[dependency])
			}
		}
		if unfinished == nil || unfinished[i] > 0 {
			finishTimes[i] += time.Duration(step.EstimateMillis) * time.Millisecond
		}
		longest = max(longest, finishTimes[i])
	}
	return longest
}

// remainingChain returns the duration of the longest chain of unfinished steps
// of an occurrence.
func (c *Cell) remainingChain(r *occurrence, steps []Step) time.Duration {
	if len(c.finishTimes) < len(steps) {
		c.finishTimes = make([]time.Duration, len(steps))
	}
	return longestChain(steps, r.unfinished, c.finishTimes)
}

// ready reports whether a step's tasks may start.
func (r *occurrence) ready(now time.Time, steps []Step, number int) bool {
	if now.Before(r.dueAt) {
		return false
	}
	for _, dependency := range steps[number].After {
		if dependency < 0 || dependency >= len(r.unfinished) || r.unfinished[dependency] > 0 {
			return false
		}
	}
	return true
}
