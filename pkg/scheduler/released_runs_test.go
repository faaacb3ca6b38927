package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against the failure of a released run that the next owner takes for a counted one:
// the row has room for some runs and tasks only.
func TestReleasedRunsAreStored(t *testing.T) {
	const last = 12
	newTasks := func() []*task {
		tasks := newJob(time.Unix(10_000, 0), Spec{
			ID:    "j",
			Steps: []Step{newStep(2*maxReleasedTasks, 500)},
		}).tasks()
		for _, task := range tasks {
			task.run = last
			task.lastRun = last
		}
		return tasks
	}
	for name, released := range map[string][]int{
		"none":         nil,
		"the last one": {last},
		"some":         {last - 4, last - 1},
		"many":         {2, 3, 4, 5, 6, 7, 8, 9, 10, 11},
	} {
		t.Run(name, func(t *testing.T) {
			written, read := newTasks(), newTasks()
			p := Progress{}
			for i, task := range written {
				for _, run := range released {
					task.released.add(run)
				}
				p.recordReleased(i, task)
			}
			p.loadReleased(read)
			for i := range read {
				for _, run := range released {
					assert.Assert(t, read[i].released.contains(run), "run %d of task %d", run, i)
				}
			}
			assert.Equal(t, read[0].released.contains(last), written[0].released.contains(last))
			assert.Equal(t, read[0].released.contains(last-2), written[0].released.contains(last-2))
		})
	}
}

// Guards against a row that cannot be written: a lost copy has a higher number than the run
// that its task still has.
func TestReleasedCopyIsStored(t *testing.T) {
	newTask := func() *task {
		task := newJob(time.Unix(10_000, 0), Spec{
			ID:    "j",
			Steps: []Step{newStep(1, 500)},
		}).tasks()[0]
		task.run = 1
		task.lastRun = 2
		return task
	}
	written, read := newTask(), newTask()
	written.released.add(2)
	p := Progress{}
	p.recordReleased(0, written)
	p.loadReleased([]*task{read})
	assert.Assert(t, read.released.contains(2))
	assert.Assert(t, !read.released.contains(1))
}
