// Package overseer owns a cell on behalf of a process: it acquires and renews the
// cell's lease, loads its tasks, commits the decisions of the placer, and calls
// the workers. Core makes the decisions; Overseer does the I/O.
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
	// DefaultCommitInterval suits a few cells. Many cells need a longer interval,
	// because they share the write budget of the table.
	DefaultCommitInterval = 100 * time.Millisecond
	// urgentDivisor divides the commit interval while an urgent start waits.
	urgentDivisor = 2
	// syncInterval is the time between two calls to a worker for which nothing is
	// due.
	syncInterval = 500 * time.Millisecond
	// inboxInterval is the time between two reads of the inbox if anything was in
	// it during the last busyInboxWindow, idleInboxInterval otherwise.
	inboxInterval     = 250 * time.Millisecond
	idleInboxInterval = time.Second
	busyInboxWindow   = 5 * time.Second
	// resendInterval is the wait before a write whose response was lost, or a scan
	// that failed, is sent again.
	resendInterval = 200 * time.Millisecond
	// scanLimit is the maximum number of rows that one scan returns.
	scanLimit = 500
	// sweepInterval is the time between two checks of ended tasks for their
	// retention, and sweepLimit the maximum number of tasks in one check.
	sweepInterval = time.Minute
	sweepLimit    = 100
	// DefaultRetention keeps the rows of ended tasks for a week.
	DefaultRetention = 7 * 24 * time.Hour
)

// Config is the configuration of a Core.
type Config struct {
	// Self is the process's address with its incarnation.
	Self    string
	Cell    string
	Workers []string
	Assert  *asserter.Asserter
	// CommitInterval is the minimum time between two commits.
	CommitInterval time.Duration
	// Retention is how long the row of an ended task is kept.
	Retention time.Duration
	// ConfigureCell may change the policy of a cell when it is acquired; it may be nil.
	ConfigureCell func(c *placer.Cell)
}

// ReadRow requests a read of the cell's row; RowRead takes the result.
type ReadRow struct{}

// WriteRows requests the commit of a transaction; Written takes the result.
type WriteRows struct {
	Transaction storer.Transaction
}

// ScanRows requests a scan of rows; Scanned takes the result.
type ScanRows struct {
	Prefix string
	After  string
	Limit  int
}

// CallWorker requests a call to a worker; Called takes the result.
type CallWorker struct {
	Sync placer.Sync
}

// Action is one I/O operation to perform; exactly one field is set.
type Action struct {
	Read  *ReadRow
	Write *WriteRows
	Scan  *ScanRows
	Call  *CallWorker
}

// Core makes the decisions of one process that may own one cell. It is not safe for
// concurrent use and does no I/O.
type Core struct {
	cfg    Config
	lease  *leaser.Lease
	cell   *placer.Cell
	serial uint64

	reading  bool
	scanning bool
	// scanStale is set when the inbox changed after its last scan was requested.
	scanStale bool
	loading   *placer.Cell
	// failedScan is the scan of the tasks to be repeated at rescanAt, or nil.
	failedScan *ScanRows
	rescanAt   time.Time
	nextRead   time.Time
	nextScan   time.Time
	lastInbox  time.Time
	nextSweep  time.Time
	// sweepCursor is the key of the ended task that was checked last.
	sweepCursor string
	// expiredDeletes are the deletions of ended tasks that are past their retention.
	expiredDeletes   []storer.Write
	write            *pendingWrite
	lastWrite        time.Time
	calling          map[string]bool
	nextSync         map[string]time.Time
	staleRunCommands map[string][]placer.Command
	quotas           map[string]publisher.Resources
	replicas         map[string]placer.ReplicaNeed
	actions          []Action
}

// NewCore returns a core that owns no cell yet.
func NewCore(cfg Config) *Core {
	return &Core{
		cfg:              cfg,
		lease:            leaser.New(cfg.Self),
		calling:          map[string]bool{},
		nextSync:         map[string]time.Time{},
		staleRunCommands: map[string][]placer.Command{},
		quotas:           map[string]publisher.Resources{},
		replicas:         map[string]placer.ReplicaNeed{},
	}
}

// Cell returns the owned cell, or nil.
func (c *Core) Cell() *placer.Cell {
	return c.cell
}

// Owner returns the last observed owner of the cell and its epoch.
func (c *Core) Owner() (string, uint64) {
	return c.lease.Owner(), c.lease.Epoch()
}

// SetQuota bounds the resources that a team's batch tasks may use in the cell.
func (c *Core) SetQuota(team string, quota publisher.Resources) {
	c.quotas[team] = quota
	if c.cell != nil {
		c.cell.SetQuota(team, quota)
	}
}

// SetReplicas sets the replicas of a service that the cell must keep running.
func (c *Core) SetReplicas(service string, need placer.ReplicaNeed) {
	c.replicas[service] = need
	if c.cell != nil {
		c.cell.SetReplicas(service, need)
	}
}

// Tick returns the actions that are due now.
func (c *Core) Tick(now time.Time) []Action {
	c.resend(now)
	if !c.lease.Held() {
		c.readCellRow(now)
		return c.drainActions()
	}
	if c.cell != nil {
		if c.lease.Valid(now) {
			c.cell.Tick(now)
		}
		c.scanInbox(now)
		c.callWorkers(now)
	}
	c.rescan(now)
	c.commit(now)
	return c.drainActions()
}

// readCellRow requests the cell's row at intervals until the cell can be acquired.
func (c *Core) readCellRow(now time.Time) {
	if c.reading || c.write != nil || now.Before(c.nextRead) {
		return
	}
	c.reading = true
	c.nextRead = now.Add(leaser.RenewInterval)
	c.emit(Action{
		Read: &ReadRow{},
	})
}

// RowRead handles the result of reading the cell's row and acquires the cell if its
// lease allows it.
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
	return c.drainActions()
}

// drop discards all state that belongs to a lost lease.
func (c *Core) drop(now time.Time) {
	c.lease.Lost()
	c.cell = nil
	c.loading = nil
	c.failedScan = nil
	c.expiredDeletes = nil
	c.scanning = false
	c.staleRunCommands = map[string][]placer.Command{}
	c.nextSync = map[string]time.Time{}
	c.nextRead = now
}

// callWorkers requests a call to each worker that is due.
func (c *Core) callWorkers(now time.Time) {
	if !c.lease.MayRenewTasks(now) {
		return
	}
	for _, address := range c.cell.Workers() {
		if c.calling[address] || now.Before(c.nextSync[address]) {
			continue
		}
		s := c.cell.Sync(now, address, c.lease.Valid(now))
		s.Commands = append(s.Commands, c.staleRunCommands[address]...)
		delete(c.staleRunCommands, address)
		c.calling[address] = true
		c.nextSync[address] = now.Add(syncInterval)
		c.emit(Action{
			Call: &CallWorker{
				Sync: s,
			},
		})
	}
}

// Called handles a worker's response. Responses to calls made under another epoch
// are ignored.
func (c *Core) Called(now time.Time, s placer.Sync, report placer.Report, err error) []Action {
	c.calling[s.Worker] = false
	if c.cell == nil || c.cell.Epoch() != s.Epoch {
		return nil
	}
	if err != nil {
		c.cell.MarkUnreachable(now, s.Worker)
		return nil
	}
	first := !c.cell.Registered(s.Worker)
	c.cell.HandleReport(now, s.Worker, report)
	c.staleRunCommands[s.Worker] = c.cell.StaleRunCommands(s.Worker, report)
	if first || len(c.staleRunCommands[s.Worker]) > 0 {
		c.nextSync[s.Worker] = now
	}
	return nil
}

func (c *Core) emit(a Action) {
	c.actions = append(c.actions, a)
}

func (c *Core) drainActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}
