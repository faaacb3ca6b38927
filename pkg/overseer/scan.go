package overseer

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

func (c *Core) scan(prefix, after string, limit int) {
	c.scanning = true
	c.scanStale = false
	c.emit(Action{
		Scan: &ScanRows{
			Prefix: prefix,
			After:  after,
			Limit:  limit,
		},
	})
}

// rescan repeats a scan of the tasks that failed.
func (c *Core) rescan(now time.Time) {
	if c.failedScan == nil || now.Before(c.rescanAt) {
		return
	}
	request := *c.failedScan
	c.failedScan = nil
	c.scan(request.Prefix, request.After, request.Limit)
}

func (c *Core) scanInbox(now time.Time) {
	if c.scanning || now.Before(c.nextScan) {
		return
	}
	if !now.Before(c.nextSweep) {
		c.nextSweep = now.Add(sweepInterval)
		c.scan(endedPrefix(c.cfg.Cell), c.sweepCursor, sweepLimit)
		return
	}
	c.nextScan = now.Add(c.nextInboxInterval(now))
	c.scan(inboxPrefix(c.cfg.Cell), "", scanLimit)
}

// nextInboxInterval returns the time until the next read of the inbox, which is
// longer while the inbox remains empty.
func (c *Core) nextInboxInterval(now time.Time) time.Duration {
	if now.Sub(c.lastInbox) < busyInboxWindow {
		return inboxInterval
	}
	return idleInboxInterval
}

// Scanned handles the rows of a scan of the tasks, the ended tasks or the inbox.
func (c *Core) Scanned(now time.Time, request ScanRows, rows []storer.Row, err error) []Action {
	c.scanning = false
	switch {
	case !c.lease.Held():
	case request.Prefix == inboxPrefix(c.cfg.Cell):
		if err == nil && c.cell != nil && !c.scanStale {
			c.processInbox(now, rows)
		}
	case request.Prefix == endedPrefix(c.cfg.Cell):
		if err == nil {
			c.sweep(now, rows)
		}
	case c.loading == nil:
	case err != nil:
		c.failedScan = &request
		c.rescanAt = now.Add(resendInterval)
	default:
		c.load(now, request, rows)
	}
	return c.drainActions()
}

func (c *Core) load(now time.Time, request ScanRows, rows []storer.Row) {
	for _, row := range rows {
		var task placer.Task
		err := json.Unmarshal(row.Value, &task)
		c.cfg.Assert.Check(err == nil, "task-row-readable", "key", row.Key)
		if err == nil {
			c.loading.Load(task, row.Version)
		}
	}
	if len(rows) == request.Limit {
		c.scan(request.Prefix, rows[len(rows)-1].Key, request.Limit)
		return
	}
	c.cell = c.loading
	c.loading = nil
	for team, quota := range c.quotas {
		c.cell.SetQuota(team, quota)
	}
	for service, need := range c.replicas {
		c.cell.SetReplicas(service, need)
	}
	if c.cfg.ConfigureCell != nil {
		c.cfg.ConfigureCell(c.cell)
	}
	c.nextScan = now
}

// processInbox applies what entries committed to the inbox: new tasks first, then
// cancellations.
func (c *Core) processInbox(now time.Time, rows []storer.Row) {
	if len(rows) > 0 {
		c.lastInbox = now
	}
	for _, row := range rows {
		if isCancel(row.Key) {
			continue
		}
		var accepted AcceptedTask
		err := json.Unmarshal(row.Value, &accepted)
		c.cfg.Assert.Check(err == nil, "inbox-row-readable", "key", row.Key)
		if err == nil {
			c.cell.Accept(now, accepted.Spec, accepted.At)
		}
	}
	if len(rows) == scanLimit {
		// Rows may follow that this scan did not return.
		c.cell.CommitWaiting()
	}
	for _, row := range rows {
		if isCancel(row.Key) {
			c.cell.Cancel(now, strings.TrimSuffix(strings.TrimPrefix(row.Key, "inbox/"), cancelSuffix))
		}
	}
}

// sweep marks ended tasks past their retention for deletion. Successive calls go
// through all ended tasks and then start again.
func (c *Core) sweep(now time.Time, rows []storer.Row) {
	c.sweepCursor = ""
	if len(rows) == sweepLimit {
		c.sweepCursor = rows[len(rows)-1].Key
	}
	c.expiredDeletes = nil
	for _, row := range rows {
		task, err := DecodeTask(row)
		if err == nil && now.Sub(task.EndedAt) > c.cfg.Retention {
			c.expiredDeletes = append(c.expiredDeletes, storer.Write{
				Key:    row.Key,
				Expect: row.Version,
				Delete: true,
			})
		}
	}
}
