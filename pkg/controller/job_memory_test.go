package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

func jobOfTasks(id string, tasks int) scheduler.Spec {
	return scheduler.Spec{
		ID:    id,
		Queue: "other",
		Steps: []scheduler.Step{{
			Count: tasks,
		}},
	}
}

// Jobs that the owner could not hold must be refused, with a time after which there may be room,
// or it is killed for its memory, again and again.
func TestJobsBeyondTheMemoryAreRefused(t *testing.T) {
	o := newOverloadedEntry(t)
	accepted := 0
	var refused *NotAcceptedError
	for i := range 1000 {
		err := o.Submit(t.Context(), jobOfTasks(fmt.Sprintf("j%d", i), 4000))
		if errors.As(err, &refused) {
			break
		}
		assert.NilError(t, err)
		accepted++
	}
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Reason, refusedForMemory)
	assert.Assert(t, refused.RetryAfter >= sweepInterval)
	assert.Assert(t, accepted*4000*taskBytes <= defaultMemoryBytes/jobMemoryShare)
	assert.Assert(t, accepted > 10)

	known := jobOfTasks("known", 4000)
	o.row = storer.PartitionedRow{
		Key:     jobKey(known.ID),
		Version: 7,
		Value:   storer.EncodeCBOR(known),
	}
	assert.NilError(t, o.Submit(t.Context(), known), "it was committed before")
	o.row = storer.PartitionedRow{}
	assert.NilError(t, o.loop.PostAndWait(t.Context(), func(time.Time) {
		for i := range 2 {
			o.cache.setProgress(fmt.Sprintf("j%d", i), scheduler.Progress{
				State: scheduler.StateCompleted,
			}, 9)
		}
	}))
	assert.NilError(t, o.Submit(t.Context(), jobOfTasks("k", 4000)), "two jobs have ended")
}

// A job that can never be held must be refused for good, not with a time after which to retry.
func TestJobThatCanNeverBeHeldIsInvalid(t *testing.T) {
	o := newOverloadedEntry(t)
	o.cache.memory.budget = 1_000_000
	var invalid *publisher.FieldError
	assert.Assert(t, errors.As(o.Submit(t.Context(), jobOfTasks("large", 4000)), &invalid))
	assert.Assert(t, errors.As(o.Submit(t.Context(), jobOfTasks("larger", 10_000)), &invalid))
	assert.NilError(t, o.Submit(t.Context(), jobOfTasks("small", 40)))
}

// The memory of jobs must be counted once, and not at all once their rows are gone, or jobs are
// refused for ever.
func TestMemoryOfRemovedJobsIsFree(t *testing.T) {
	c := cacheWithFinishedJob()
	for range 3 {
		c.addJob(start, jobOfTasks("b", 100))
		c.setProgress("b", scheduler.Progress{
			State: scheduler.StateRunning,
			Tasks: make([]scheduler.TaskProgress, 100),
		}, 7)
	}
	assert.Assert(t, c.memory.held.Load() > 100*taskBytes && c.memory.held.Load() < 200*taskBytes)
	c.setProgress("b", scheduler.Progress{
		State:         scheduler.StateCompleted,
		EndedAtMillis: start.UnixMilli(),
	}, 8)
	assert.Assert(t, c.memory.held.Load() < 100*taskBytes)
	c.removeJobs([]string{"a", "b"})
	c.removeOrphans([]string{"a"})
	c.applyCell(storer.PartitionedRow{
		Key:     progressKey("b"),
		Version: 9,
		Deleted: true,
	})
	assert.Equal(t, c.memory.held.Load(), int64(0))
}
