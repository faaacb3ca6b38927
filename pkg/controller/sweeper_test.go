package controller

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// cacheWithFinishedJob returns a cache with one job that finished at start.
func cacheWithFinishedJob() *jobCache {
	c := newJobCache(hclog.NewNullLogger())
	c.addJob(start, scheduler.Spec{
		ID: "a",
	})
	c.setProgress("a", scheduler.Progress{
		State:         scheduler.StateCompleted,
		EndedAtMillis: start.UnixMilli(),
	}, 5)
	return c
}

func TestFinishedJobExpiresAfterRetention(t *testing.T) {
	c := cacheWithFinishedJob()
	assert.Equal(t, len(c.expired(start.Add(retention), 10)), 0)
	assert.DeepEqual(t, c.expired(start.Add(retention+time.Second), 10), []string{"a"})
}

func TestRunningJobNeverExpires(t *testing.T) {
	c := cacheWithFinishedJob()
	c.setProgress("a", scheduler.Progress{
		State: scheduler.StateRunning,
		Begun: true,
	}, 6)
	assert.Equal(t, len(c.expired(start.Add(24*time.Hour), 10)), 0)
}

func TestProgressIsOrphanedOnlyAfterJobRowIsDeleted(t *testing.T) {
	c := cacheWithFinishedJob()
	afterRetention := start.Add(retention + time.Second)
	assert.Equal(t, len(c.orphans(afterRetention, 10)), 0)
	c.applyJob(start, storer.PartitionedRow{
		Key:     jobKey("a"),
		Deleted: true,
	})
	assert.DeepEqual(t, c.orphans(afterRetention, 10), []string{"a"})
	c.applyCell(storer.PartitionedRow{
		Key:     progressKey("a"),
		Version: 9,
		Deleted: true,
	})
	assert.Equal(t, len(c.jobs), 0)
}

func TestJobCacheKeepsTheNewestProgress(t *testing.T) {
	c := cacheWithFinishedJob()
	older := storer.PartitionedRow{
		Key:     progressKey("a"),
		Version: 4,
		Value:   storer.EncodeCBOR(scheduler.Progress{State: scheduler.StateRunning}),
	}
	c.applyCell(older)
	assert.Equal(t, c.jobs["a"].state(), scheduler.StateCompleted)
}

func TestJobStates(t *testing.T) {
	c := newJobCache(hclog.NewNullLogger())
	c.addJob(start, scheduler.Spec{
		ID:    "a",
		Queue: "q",
	})
	assert.Equal(t, c.jobs["a"].state(), scheduler.StateQueued)
	assert.Equal(t, c.pending("q"), 1)
	c.setProgress("a", scheduler.Progress{
		State: scheduler.StateRunning,
		Begun: true,
	}, 3)
	assert.Equal(t, c.jobs["a"].state(), scheduler.StateRunning)
	assert.Equal(t, c.pending("q"), 0)
	c.applyJob(start, storer.PartitionedRow{
		Key:     cancelKey("a"),
		Version: 4,
	})
	assert.Equal(t, c.jobs["a"].state(), scheduler.StateCancelled)
}
