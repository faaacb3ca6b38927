package controller

import (
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// jobView is the state of a job according to the store's rows read so far.
type jobView struct {
	spec scheduler.Spec
	// hasSpec is set once the job's own row was read, until it is deleted.
	hasSpec bool
	// seenAt is when the job's own row was first read.
	seenAt    time.Time
	cancelled bool
	progress  scheduler.Progress
	// progressVersion is the version of the progress row; 0 if there is none.
	progressVersion uint64
	// counted is what is counted of the memory that the job takes.
	counted int64
}

// state is the state of the job as reported to callers.
func (v *jobView) state() scheduler.State {
	switch {
	case v.spec.Tombstone:
		return scheduler.StateCancelled
	case v.progressVersion > 0 && v.progress.State.Final():
		return v.progress.State
	case v.cancelled:
		return scheduler.StateCancelled
	case v.progressVersion > 0 && v.progress.Begun:
		return scheduler.StateRunning
	default:
		return scheduler.StateQueued
	}
}

// pending reports whether the job is accepted and none of its tasks has
// started.
func (v *jobView) pending() bool {
	return v.hasSpec && !v.spec.Tombstone && v.state() == scheduler.StateQueued
}

// jobCache caches the rows of jobs and their progress. It belongs to the
// control goroutine.
type jobCache struct {
	log  hclog.Logger
	jobs map[string]*jobView
	// memory counts what the jobs take.
	memory *jobMemory
	// orphaned has the ids of the views without a job row.
	orphaned map[string]struct{}
	// lease is the newest lease row of the cell.
	lease storer.PartitionedRow
}

func newJobCache(log hclog.Logger, memoryBytes int64) *jobCache {
	return &jobCache{
		log:      log,
		jobs:     map[string]*jobView{},
		memory:   newJobMemory(memoryBytes),
		orphaned: map[string]struct{}{},
	}
}

// view returns the view of a job and creates it if there is none.
func (c *jobCache) view(id string) *jobView {
	v := c.jobs[id]
	if v == nil {
		v = &jobView{}
		c.jobs[id] = v
	}
	return v
}

// applyJob applies a row of the job table. It returns the id of the job if the
// row adds the job or its cancellation to the cache, "" otherwise.
func (c *jobCache) applyJob(now time.Time, row storer.PartitionedRow) string {
	if row.Deleted {
		c.removeJob(row.Key.Name)
		return ""
	}
	if id, ok := cancelledID(row.Key.Name); ok {
		v := c.view(id)
		if v.cancelled {
			return ""
		}
		v.cancelled = true
		return id
	}
	if v := c.jobs[row.Key.Name]; v != nil && v.hasSpec {
		return ""
	}
	spec, err := decodeSpec(row)
	if err != nil {
		c.log.Error("job row skipped: cannot be decoded", "error", err)
		return ""
	}
	c.addJob(now, spec)
	return spec.ID
}

func (c *jobCache) addJob(now time.Time, spec scheduler.Spec) {
	v := c.view(spec.ID)
	delete(c.orphaned, spec.ID)
	if !v.hasSpec {
		v.seenAt = now
	}
	v.spec = spec
	v.hasSpec = true
	c.memory.update(v)
}

// applyCell applies a lease row or a progress row of the cell table; one that is
// not newer than the cached row is ignored. The deletion of a progress row drops
// the view of the job unless the job's own row is there.
func (c *jobCache) applyCell(row storer.PartitionedRow) {
	if row.Key.Name == leaseName {
		if row.Version > c.lease.Version {
			c.lease = row
		}
		return
	}
	id, ok := strings.CutPrefix(row.Key.Name, progressPrefix)
	if !ok {
		return
	}
	v := c.view(id)
	if row.Deleted {
		if !v.hasSpec {
			c.drop(id)
		}
		return
	}
	if row.Version <= v.progressVersion {
		return
	}
	p, err := decodeProgress(row)
	if err != nil {
		c.log.Error("progress row skipped: cannot be decoded", "error", err)
		return
	}
	c.setProgress(id, p, row.Version)
}

func (c *jobCache) setProgress(id string, p scheduler.Progress, version uint64) {
	v := c.view(id)
	v.progress = p
	v.progressVersion = version
	c.memory.update(v)
	if !v.hasSpec {
		c.orphaned[id] = struct{}{}
	}
}

// drop removes the view of a job without rows.
func (c *jobCache) drop(id string) {
	if v := c.jobs[id]; v != nil {
		c.memory.remove(v)
	}
	delete(c.jobs, id)
	delete(c.orphaned, id)
}

// pending returns the number of jobs of a queue of which no task has started.
func (c *jobCache) pending(queue string) int {
	n := 0
	for _, v := range c.jobs {
		if v.spec.Queue == queue && v.pending() {
			n++
		}
	}
	return n
}
