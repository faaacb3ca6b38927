package controller

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// retention is how long the rows of a finished job are kept. Callers query
	// its state and resubmit it only for a much shorter time.
	retention = 15 * time.Minute
	// sweepInterval is the time between two sweeps, sweepLimit the largest
	// number of jobs that one sweep removes and of orphaned progress rows that
	// one lease renewal removes.
	sweepInterval = 10 * time.Second
	sweepLimit    = 40
)

// sweep removes the rows of jobs past their retention. A job's own rows are
// removed before its progress: progress without a job starts nothing.
func (e *Entry) sweep(now time.Time) {
	if now.Before(e.nextSweep) {
		return
	}
	e.nextSweep = now.Add(sweepInterval)
	byPartition := map[string][]storer.Key{}
	for _, id := range e.cache.expired(now, sweepLimit) {
		byPartition[jobPartition(id)] = append(byPartition[jobPartition(id)], jobKey(id), cancelKey(id))
	}
	for _, keys := range byPartition {
		e.group.Go(func() error {
			_, err := e.store.Commit(e.ctx, storer.Change{
				Removes: keys,
			})
			if err != nil {
				e.log.Info("expired jobs not removed", "rows", len(keys), "error", err)
				return nil
			}
			e.loop.Post(func(time.Time) {
				for _, key := range keys {
					e.cache.removeJob(key.Name)
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
		finished := v.progressVersion > 0 && v.progress.State.Final() && len(v.progress.Tasks) == 0 && v.progress.EndedAtMillis < before
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

// removeJob records that a job's own row was deleted. The view stays while
// there is a progress row.
func (c *jobCache) removeJob(id string) {
	v := c.jobs[id]
	if v == nil {
		return
	}
	v.hasSpec = false
	v.cancelled = false
	if v.progressVersion == 0 {
		delete(c.jobs, id)
	}
}

// orphans returns the ids of deleted jobs whose progress rows are past the
// retention, at most limit.
func (c *jobCache) orphans(now time.Time, limit int) []string {
	before := now.Add(-retention).UnixMilli()
	var ids []string
	for id, v := range c.jobs {
		if v.hasSpec || v.progressVersion == 0 || !v.progress.State.Final() || v.progress.EndedAtMillis >= before {
			continue
		}
		ids = append(ids, id)
		if len(ids) == limit {
			break
		}
	}
	return ids
}
