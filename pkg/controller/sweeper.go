package controller

import (
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// retention is how long the rows of a finished job are kept. Callers query
	// its state and resubmit it only for a much shorter time.
	retention = 15 * time.Minute
	// sweepInterval is the time between two sweeps, and backlogInterval the one after a
	// sweep that left jobs to remove.
	sweepInterval   = 10 * time.Second
	backlogInterval = 500 * time.Millisecond
	// sweepBatch is the largest number of jobs that one write of a sweep removes, two rows
	// each, and sweepWrites the largest number of its writes.
	sweepBatch  = 40
	sweepWrites = 16
	// sweepLimit is the largest number of orphaned progress rows that one write of the cell
	// removes, and orphanRows the largest number of job rows that it may have beside them.
	sweepLimit = 40
	orphanRows = 40
)

// sweeper decides when the rows of jobs past their retention are removed, as fast as jobs come:
// up to sweepBatch*sweepWrites in each backlogInterval. The zero value sweeps at once.
type sweeper struct {
	next time.Time
	// pending counts the writes of the last sweep that are not answered. backlog is set if
	// it left jobs to remove, and failed if one of its writes failed.
	pending int
	backlog bool
	failed  bool
}

// begin returns the writes of a sweep, if one is due: the ids of the jobs to remove by each of
// them, those of one partition at a time.
func (s *sweeper) begin(now time.Time, c *jobCache) [][]string {
	if s.pending > 0 || now.Before(s.next) {
		return nil
	}
	expired := c.expired(now, sweepBatch*sweepWrites)
	byPartition := map[string][]string{}
	for _, id := range expired {
		byPartition[jobPartition(id)] = append(byPartition[jobPartition(id)], id)
	}
	var writes [][]string
	for _, ids := range byPartition {
		for batch := range slices.Chunk(ids, sweepBatch) {
			writes = append(writes, batch)
		}
	}
	s.backlog = len(expired) == sweepBatch*sweepWrites || len(writes) > sweepWrites
	s.failed = false
	writes = writes[:min(len(writes), sweepWrites)]
	s.pending = len(writes)
	s.next = now.Add(sweepInterval)
	return writes
}

// answered records that a write of the sweep was answered. The store may be too busy for
// another one soon if it failed.
func (s *sweeper) answered(now time.Time, err error) {
	s.pending--
	s.failed = s.failed || err != nil
	if s.pending == 0 && s.backlog && !s.failed {
		s.next = now.Add(backlogInterval)
	}
}

// sweep removes the rows of jobs past their retention. A job's own rows are
// removed before its progress: progress without a job starts nothing.
func (e *Entry) sweep(now time.Time) {
	for _, ids := range e.sweeper.begin(now, e.cache) {
		keys := make([]storer.Key, 0, 2*len(ids))
		for _, id := range ids {
			keys = append(keys, jobKey(id), cancelKey(id))
		}
		e.group.Go(func() error {
			_, err := e.store.Commit(e.ctx, storer.Change{
				Removes: keys,
			})
			if err != nil {
				e.log.Info("expired jobs not removed", "rows", len(keys), "error", err)
			}
			e.loop.Post(func(now time.Time) {
				e.sweeper.answered(now, err)
				if err == nil {
					e.cache.removeJobs(ids)
				}
			})
			return nil
		})
	}
}

// expired returns the ids of jobs past their retention, at most limit.
func (c *jobCache) expired(now time.Time, limit int) []string {
	before := now.Add(-retention).UnixMilli()
	var ids []string
	for id, v := range c.jobs {
		finished := v.progressVersion > 0 && endedBefore(&v.progress, before)
		tombstone := v.spec.Tombstone && v.spec.AcceptedAtMillis < before
		if !v.hasSpec || !finished && !tombstone {
			continue
		}
		ids = append(ids, id)
		if len(ids) == limit {
			break
		}
	}
	return ids
}

// endedBefore reports whether a job has ended before a time and has no runs left.
func endedBefore(p *scheduler.Progress, millis int64) bool {
	return p.State.Final() && len(p.Tasks) == 0 && p.EndedAtMillis < millis
}

// removeJobs records that the rows of jobs were deleted.
func (c *jobCache) removeJobs(ids []string) {
	for _, id := range ids {
		c.removeJob(id)
	}
}

// removeJob records that a job's own row was deleted. The view stays while
// there is a progress row.
func (c *jobCache) removeJob(id string) {
	v := c.jobs[id]
	if v == nil {
		return
	}
	v.spec = scheduler.Spec{}
	v.hasSpec = false
	v.cancelled = false
	if v.progressVersion == 0 {
		c.drop(id)
		return
	}
	c.memory.update(v)
	c.orphaned[id] = struct{}{}
}

// orphans returns the ids of deleted jobs whose progress rows are past the
// retention, at most limit.
func (c *jobCache) orphans(now time.Time, limit int) []string {
	before := now.Add(-retention).UnixMilli()
	var ids []string
	for id := range c.orphaned {
		if len(ids) >= limit {
			break
		}
		if v := c.jobs[id]; v != nil && endedBefore(&v.progress, before) {
			ids = append(ids, id)
		}
	}
	return ids
}

// removeOrphans records that orphaned progress rows were deleted. A job that was accepted under
// the id of one of them meanwhile stays.
func (c *jobCache) removeOrphans(ids []string) {
	for _, id := range ids {
		v := c.jobs[id]
		if v == nil || !v.hasSpec {
			c.drop(id)
			continue
		}
		v.progress = scheduler.Progress{}
		v.progressVersion = 0
		c.memory.update(v)
	}
}
