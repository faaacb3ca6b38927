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

// cacheWithEndedJob is a mirror with one job that cacheWithEndedJob at start.
func cacheWithEndedJob() *jobCache {
	m := newJobCache(hclog.NewNullLogger())
	m.addJob(scheduler.Spec{
		ID: "a",
	})
	m.setProgress("a", scheduler.Progress{
		State:         scheduler.StateCompleted,
		EndedAtMillis: start.UnixMilli(),
	}, 5)
	return m
}

func TestEndedJobsAreKeptForTheirRetention(t *testing.T) {
	m := cacheWithEndedJob()
	assert.Equal(t, len(m.expired(start.Add(retention), 10)), 0)
	assert.DeepEqual(t, m.expired(start.Add(retention+time.Second), 10), []string{"a"})
}

func TestRunningJobsAreNeverSwept(t *testing.T) {
	m := cacheWithEndedJob()
	m.setProgress("a", scheduler.Progress{
		State: scheduler.StateRunning,
		Begun: true,
	}, 6)
	assert.Equal(t, len(m.expired(start.Add(24*time.Hour), 10)), 0)
}

func TestProgressGoesAfterItsJob(t *testing.T) {
	m := cacheWithEndedJob()
	late := start.Add(retention + time.Second)
	assert.Equal(t, len(m.orphans(late, 10)), 0)
	m.applyJob(storer.PartitionedRow{
		Key:     jobKey("a"),
		Deleted: true,
	})
	assert.DeepEqual(t, m.orphans(late, 10), []string{"a"})
	m.applyCell(storer.PartitionedRow{
		Key:     progressKey("a"),
		Version: 9,
		Deleted: true,
	})
	assert.Equal(t, len(m.jobs), 0)
}

func TestMirrorKeepsTheNewestProgress(t *testing.T) {
	m := cacheWithEndedJob()
	older := storer.PartitionedRow{
		Key:     progressKey("a"),
		Version: 4,
		Value:   storer.EncodeCBOR(scheduler.Progress{State: scheduler.StateRunning}),
	}
	m.applyCell(older)
	assert.Equal(t, m.jobs["a"].state(), scheduler.StateCompleted)
}

func TestStatesOfAJob(t *testing.T) {
	m := newJobCache(hclog.NewNullLogger())
	m.addJob(scheduler.Spec{
		ID:    "a",
		Queue: "q",
	})
	assert.Equal(t, m.jobs["a"].state(), scheduler.StateQueued)
	assert.Equal(t, m.pending("q"), 1)
	m.setProgress("a", scheduler.Progress{
		State: scheduler.StateRunning,
		Begun: true,
	}, 3)
	assert.Equal(t, m.jobs["a"].state(), scheduler.StateRunning)
	assert.Equal(t, m.pending("q"), 0)
	m.applyJob(storer.PartitionedRow{
		Key:     cancelKey("a"),
		Version: 4,
	})
	assert.Equal(t, m.jobs["a"].state(), scheduler.StateCancelled)
}
