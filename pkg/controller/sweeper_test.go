package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// cacheWithFinishedJob returns a cache with one job that finished at start.
func cacheWithFinishedJob() *jobCache {
	c := newJobCache(hclog.NewNullLogger(), 0)
	c.addFinished(start, "a")
	return c
}

// addFinished adds a job that finished at the given time.
func (c *jobCache) addFinished(at time.Time, id string) {
	c.addJob(at, scheduler.Spec{
		ID: id,
	})
	c.setProgress(id, scheduler.Progress{
		State:         scheduler.StateCompleted,
		EndedAtMillis: at.UnixMilli(),
	}, 5)
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
	c := newJobCache(hclog.NewNullLogger(), 0)
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

// sweepHours is how long the traffic of TestFinishedJobsAreRemovedAsFastAsTheyCome lasts.
const sweepHours = 4

// playSweeps plays jobs that come at a rate and end at once, and returns the largest number of
// views in the cache once the first jobs are past their retention, and their number at the end.
// A write of the owner each second removes orphaned rows beside those of changed jobs.
func playSweeps(t *testing.T, jobsPerSecond float64, hours int) (most, last int) {
	t.Helper()
	c := newJobCache(hclog.NewNullLogger(), 0)
	s := sweeper{}
	came := 0
	for second := range hours * 3600 {
		now := start.Add(time.Duration(second) * time.Second)
		for ; came < int(jobsPerSecond*float64(second)); came++ {
			c.addFinished(now, fmt.Sprintf("%016x", came))
		}
		for half := range 2 {
			at := now.Add(time.Duration(half) * 500 * time.Millisecond)
			for _, ids := range s.begin(at, c) {
				assert.Assert(t, len(ids) <= sweepBatch)
				c.removeJobs(ids)
				s.answered(at, nil)
			}
		}
		c.removeOrphans(c.orphans(now, sweepLimit))
		if now.Sub(start) > retention+time.Minute {
			most = max(most, len(c.jobs))
		}
	}
	return most, len(c.jobs)
}

// Rows of finished jobs must be removed as fast as they come, or each entry grows past the memory
// of its instance in hours without any fault, and each restart reads them all.
func TestFinishedJobsAreRemovedAsFastAsTheyCome(t *testing.T) {
	for name, rate := range map[string]float64{
		"the traffic of a deployment": 8.57,
		"more than that":              30,
	} {
		t.Run(name, func(t *testing.T) {
			kept := int(rate * retention.Seconds())
			most, last := playSweeps(t, rate, sweepHours)
			assert.Assert(t, most <= kept*11/10, "%d views, %d within the retention", most, kept)
			assert.Assert(t, last <= kept*11/10)
		})
	}
}

// A backlog must be removed at once, and not faster than the store takes it.
func TestBacklogOfFinishedJobs(t *testing.T) {
	c := newJobCache(hclog.NewNullLogger(), 0)
	for i := range 10_000 {
		c.addFinished(start, fmt.Sprintf("%016x", i))
	}
	now := start.Add(time.Hour)
	s := sweeper{}
	writes := s.begin(now, c)
	assert.Equal(t, len(writes), sweepWrites)
	assert.Equal(t, len(s.begin(now.Add(time.Hour), c)), 0, "its writes are not answered")
	for _, ids := range writes {
		s.answered(now, nil)
		c.removeJobs(ids)
	}
	assert.Equal(t, len(s.begin(now.Add(backlogInterval/2), c)), 0)
	writes = s.begin(now.Add(backlogInterval), c)
	assert.Equal(t, len(writes), sweepWrites)
	for range writes {
		s.answered(now, errors.New("too many writes"))
	}
	assert.Equal(t, len(s.begin(now.Add(2*backlogInterval), c)), 0, "the store refuses writes")
	assert.Equal(t, len(s.begin(now.Add(backlogInterval+sweepInterval), c)), sweepWrites)
}

// The progress of a job that was accepted under the id of a removed one must stay in the cache,
// and the state of the former one must not be shown for it.
func TestOrphanOfReusedID(t *testing.T) {
	c := cacheWithFinishedJob()
	afterRetention := start.Add(retention + time.Second)
	c.removeJob("a")
	ids := c.orphans(afterRetention, 10)
	assert.DeepEqual(t, ids, []string{"a"})
	c.addJob(afterRetention, scheduler.Spec{
		ID: "a",
	})
	assert.Equal(t, len(c.orphans(afterRetention, 10)), 0, "it is no orphan any more")
	c.removeOrphans(ids)
	assert.Equal(t, c.jobs["a"].state(), scheduler.StateQueued)
}
