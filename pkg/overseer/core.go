// Package overseer owns a cell on behalf of a process: it takes and renews
// the cell's lease, loads its tasks, commits what the placer decides, and
// speaks to the workers. Core decides; Overseer carries out.
package overseer

import (
	"encoding/json"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// DefaultCommitInterval suits a few cells; many share the table's budget.
	DefaultCommitInterval = 100 * time.Millisecond
	// urgentShare is the part of the commit interval that urgent starts wait.
	urgentShare = 2
	// syncInterval is the time between two calls to a worker that has nothing
	// to be told.
	syncInterval = 500 * time.Millisecond
	// inboxInterval is the time between two reads of the inbox while something
	// came in during the last busyInboxSpan, quietInboxInterval otherwise.
	inboxInterval      = 250 * time.Millisecond
	quietInboxInterval = time.Second
	busyInboxSpan      = 5 * time.Second
	// resendInterval is the wait before a write whose answer was lost is sent
	// again.
	resendInterval = 200 * time.Millisecond
	// scanLimit is how many rows one read returns.
	scanLimit = 500
	// sweepInterval is the time between two looks at ended tasks, and
	// sweepLimit how many are looked at.
	sweepInterval = time.Minute
	sweepLimit    = 100
	// DefaultRetention keeps the rows of ended tasks for a week.
	DefaultRetention = 7 * 24 * time.Hour
)

// Config shapes a core.
type Config struct {
	// Self is the process's address with its incarnation.
	Self    string
	Cell    string
	Workers []string
	Assert  *asserter.Asserter
	// CommitInterval is the least time between two commits.
	CommitInterval time.Duration
	// Retention is how long the row of an ended task is kept.
	Retention time.Duration
	// Shape may change a cell's policy when it is taken; it may be nil.
	Shape func(c *placer.Cell)
}

// ReadRow asks for the cell's row; answer with RowRead.
type ReadRow struct{}

// WriteRows asks for a transaction; answer with Written.
type WriteRows struct {
	Transaction storer.Transaction
}

// ScanRows asks for rows; answer with Scanned.
type ScanRows struct {
	Prefix string
	After  string
	Limit  int
}

// CallWorker asks for a call to a worker; answer with Called.
type CallWorker struct {
	Sync placer.Sync
}

// Action is one outward act; exactly one field is set.
type Action struct {
	Read  *ReadRow
	Write *WriteRows
	Scan  *ScanRows
	Call  *CallWorker
}

// Core decides for one process that may own one cell. It belongs to one
// goroutine and does no I/O.
type Core struct {
	cfg    Config
	lease  *leaser.Lease
	cell   *placer.Cell
	serial uint64

	reading  bool
	scanning bool
	// scanStale is set when the inbox changed since it was last asked for.
	scanStale bool
	loading   *placer.Cell
	nextRead  time.Time
	nextScan  time.Time
	lastInbox time.Time
	nextSweep time.Time
	// sweepAfter is the key of the ended task that was looked at last.
	sweepAfter string
	// old are ended tasks whose rows are to be deleted.
	old       []storer.Write
	write     *pendingWrite
	lastWrite time.Time
	calling   map[string]bool
	nextSync  map[string]time.Time
	surplus   map[string][]placer.Command
	quotas    map[string]publisher.Resources
	replicas  map[string]placer.ReplicaNeed
	actions   []Action
}

// NewCore returns the core of a process that owns nothing yet.
func NewCore(cfg Config) *Core {
	return &Core{
		cfg:      cfg,
		lease:    leaser.New(cfg.Self),
		calling:  map[string]bool{},
		nextSync: map[string]time.Time{},
		surplus:  map[string][]placer.Command{},
		quotas:   map[string]publisher.Resources{},
		replicas: map[string]placer.ReplicaNeed{},
	}
}

// Cell returns the owned cell, or nil.
func (c *Core) Cell() *placer.Cell {
	return c.cell
}

// Owner returns the owner of the cell as last known, and the epoch.
func (c *Core) Owner() (string, uint64) {
	return c.lease.Owner(), c.lease.Epoch()
}

// SetQuota bounds what a team's batch tasks may hold in the cell.
func (c *Core) SetQuota(team string, quota publisher.Resources) {
	c.quotas[team] = quota
	if c.cell != nil {
		c.cell.SetQuota(team, quota)
	}
}

// SetReplicas tells how many replicas of a service the cell must keep.
func (c *Core) SetReplicas(service string, need placer.ReplicaNeed) {
	c.replicas[service] = need
	if c.cell != nil {
		c.cell.SetReplicas(service, need)
	}
}

// Tick returns what is to be done now.
func (c *Core) Tick(now time.Time) []Action {
	c.resend(now)
	if !c.lease.Held() {
		c.seek(now)
		return c.take()
	}
	if c.cell != nil {
		if c.lease.Valid(now) {
			c.cell.Tick(now)
		}
		c.scanInbox(now)
		c.callWorkers(now)
	}
	c.commit(now)
	return c.take()
}

// seek reads the cell's row until it may be taken.
func (c *Core) seek(now time.Time) {
	if c.reading || c.write != nil || now.Before(c.nextRead) {
		return
	}
	c.reading = true
	c.nextRead = now.Add(leaser.RenewInterval)
	c.act(Action{
		Read: &ReadRow{},
	})
}

// RowRead takes the cell's row.
func (c *Core) RowRead(now time.Time, row storer.Row, err error) []Action {
	c.reading = false
	if err != nil || c.lease.Held() || c.write != nil {
		return nil
	}
	var value leaser.Row
	if row.Version > 0 && json.Unmarshal(row.Value, &value) != nil {
		return nil
	}
	c.lease.Observe(now, row.Version, value)
	if c.lease.MayAcquire(now) {
		c.send(now, placer.Commit{
			Audit: []publisher.AuditRow{{
				At:      now,
				Who:     c.cfg.Self,
				What:    "cell taken",
				Subject: c.cfg.Cell,
				From:    value.Owner,
				To:      c.cfg.Self,
			}},
		}, true)
	}
	return c.take()
}

// drop forgets all that was held under a lost lease.
func (c *Core) drop(now time.Time) {
	c.lease.Lost()
	c.cell = nil
	c.loading = nil
	c.old = nil
	c.scanning = false
	c.surplus = map[string][]placer.Command{}
	c.nextSync = map[string]time.Time{}
	c.nextRead = now
}

// callWorkers calls each worker whose time has come.
func (c *Core) callWorkers(now time.Time) {
	if !c.lease.MayRenewTasks(now) {
		return
	}
	for _, address := range c.cell.Workers() {
		if c.calling[address] || now.Before(c.nextSync[address]) {
			continue
		}
		s := c.cell.Sync(now, address, c.lease.Valid(now))
		s.Commands = append(s.Commands, c.surplus[address]...)
		delete(c.surplus, address)
		c.calling[address] = true
		c.nextSync[address] = now.Add(syncInterval)
		c.act(Action{
			Call: &CallWorker{
				Sync: s,
			},
		})
	}
}

// Called takes a worker's answer to a call made under an epoch.
func (c *Core) Called(now time.Time, s placer.Sync, report placer.Report, err error) []Action {
	c.calling[s.Worker] = false
	if c.cell == nil || c.cell.Epoch() != s.Epoch {
		return nil
	}
	if err != nil {
		c.cell.Unreachable(now, s.Worker)
		return nil
	}
	first := s.LeaseUntilMillis == 0
	c.cell.Reported(now, s.Worker, report)
	c.surplus[s.Worker] = c.cell.Surplus(s.Worker, report)
	if first || len(c.surplus[s.Worker]) > 0 {
		c.nextSync[s.Worker] = now
	}
	return nil
}

func (c *Core) act(a Action) {
	c.actions = append(c.actions, a)
}

func (c *Core) take() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}
