package controller

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// retention is how long the rows of an ended job are kept; callers may ask
	// for its state and send it again for far less.
	retention = 15 * time.Minute
	// sweepInterval is the time between two looks for old rows, and sweepLimit
	// how many jobs each removes.
	sweepInterval = 10 * time.Second
	sweepLimit    = 40
)

// sweep removes what is past its retention. A job's own rows go first: what is
// left of its progress then starts nothing.
func (e *Entry) sweep(now time.Time) {
	if now.Before(e.nextSweep) {
		return
	}
	e.nextSweep = now.Add(sweepInterval)
	byPart := map[string][]storer.Key{}
	for _, id := range e.cache.expired(now, sweepLimit) {
		byPart[jobPartition(id)] = append(byPart[jobPartition(id)], jobKey(id), cancelKey(id))
	}
	for _, keys := range byPart {
		e.group.Go(func() error {
			_, err := e.store.Commit(e.ctx, storer.Change{
				Removes: keys,
			})
			if err != nil {
				e.log.Info("old jobs not removed", "rows", len(keys), "error", err)
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

// expired lists jobs that ended before their retention, at most limit.
func (m *jobCache) expired(now time.Time, limit int) []string {
	before := now.Add(-retention).UnixMilli()
	var ids []string
	for id, v := range m.jobs {
		ended := v.progressVersion > 0 && v.progress.State.Final() && len(v.progress.Tasks) == 0 && v.progress.EndedAtMillis < before
		void := v.spec.Tombstone && v.spec.AcceptedAtMillis < before
		if !v.hasSpec || !ended && !void {
			continue
		}
		ids = append(ids, id)
		if len(ids) == limit {
			break
		}
	}
	return ids
}

// removeJob notes that a job's own row is gone.
func (m *jobCache) removeJob(id string) {
	v := m.jobs[id]
	if v == nil {
		return
	}
	v.hasSpec = false
	v.cancelled = false
	if v.progressVersion == 0 {
		delete(m.jobs, id)
	}
}

// orphans lists progress whose job is gone for good, at most limit.
func (m *jobCache) orphans(now time.Time, limit int) []string {
	before := now.Add(-retention).UnixMilli()
	var ids []string
	for id, v := range m.jobs {
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
