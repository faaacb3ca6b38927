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
	c.act(Action{
		Scan: &ScanRows{
			Prefix: prefix,
			After:  after,
			Limit:  limit,
		},
	})
}

func (c *Core) scanInbox(now time.Time) {
	if c.scanning || now.Before(c.nextScan) {
		return
	}
	if !now.Before(c.nextSweep) {
		c.nextSweep = now.Add(sweepInterval)
		c.scan(endedPrefix(c.cfg.Cell), c.sweepAfter, sweepLimit)
		return
	}
	c.nextScan = now.Add(c.inboxPause(now))
	c.scan(inboxPrefix(c.cfg.Cell), "", scanLimit)
}

// inboxPause is the time until the next read of the inbox, which is longer
// while nothing comes in.
func (c *Core) inboxPause(now time.Time) time.Duration {
	if now.Sub(c.lastInbox) < busyInboxSpan {
		return inboxInterval
	}
	return quietInboxInterval
}

// Scanned takes rows of the tasks or of the inbox.
func (c *Core) Scanned(now time.Time, request ScanRows, rows []storer.Row, err error) []Action {
	c.scanning = false
	switch {
	case !c.lease.Held():
	case request.Prefix == inboxPrefix(c.cfg.Cell):
		if err == nil && c.cell != nil && !c.scanStale {
			c.open(now, rows)
		}
	case request.Prefix == endedPrefix(c.cfg.Cell):
		if err == nil {
			c.sweep(now, rows)
		}
	case c.loading == nil:
	case err != nil:
		c.scan(request.Prefix, request.After, request.Limit)
	default:
		c.load(now, request, rows)
	}
	return c.take()
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
	if c.cfg.Shape != nil {
		c.cfg.Shape(c.cell)
	}
	c.nextScan = now
}

// open takes what entries left in the inbox: new tasks first, then
// cancellations.
func (c *Core) open(now time.Time, rows []storer.Row) {
	if len(rows) > 0 {
		c.lastInbox = now
	}
	for _, row := range rows {
		if isCancel(row.Key) {
			continue
		}
		var accepted Accepted
		err := json.Unmarshal(row.Value, &accepted)
		c.cfg.Assert.Check(err == nil, "inbox-row-readable", "key", row.Key)
		if err == nil {
			c.cell.Accept(now, accepted.Spec, accepted.At)
		}
	}
	for _, row := range rows {
		if isCancel(row.Key) {
			c.cell.Cancel(now, strings.TrimSuffix(strings.TrimPrefix(row.Key, "inbox/"), cancelSuffix))
		}
	}
}

// sweep marks ended tasks beyond their retention; it goes round all of them.
func (c *Core) sweep(now time.Time, rows []storer.Row) {
	c.sweepAfter = ""
	if len(rows) == sweepLimit {
		c.sweepAfter = rows[len(rows)-1].Key
	}
	c.old = nil
	for _, row := range rows {
		task, err := DecodeTask(row)
		if err == nil && now.Sub(task.EndedAt) > c.cfg.Retention {
			c.old = append(c.old, storer.Write{
				Key:    row.Key,
				Expect: row.Version,
				Delete: true,
			})
		}
	}
}
