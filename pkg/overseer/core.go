// Package overseer owns a cell on behalf of a process: it takes and renews
// the cell's lease, loads its tasks, commits what the placer decides, and
// speaks to the workers. Core decides; Overseer carries out.
package overseer

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

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
	// inboxInterval is the time between two reads of the inbox.
	inboxInterval = 250 * time.Millisecond
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

// pendingWrite is the transaction that is on its way, with what it means.
type pendingWrite struct {
	transaction storer.Transaction
	firstSent   time.Time
	resendAt    time.Time
	waiting     bool
	commit      placer.Commit
	take        bool
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
	if c.lease.MayTake(now) {
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

// commit writes what changed, or renews the lease, at most one write at once.
func (c *Core) commit(now time.Time) {
	if c.write != nil {
		return
	}
	since := now.Sub(c.lastWrite)
	interval := c.cfg.CommitInterval
	if c.cell != nil && c.cell.Urgent() {
		interval /= urgentShare
	}
	if since < interval {
		return
	}
	var commit placer.Commit
	changed := false
	if c.cell != nil {
		commit, changed = c.cell.Commit()
	}
	if changed || since >= leaser.RenewInterval {
		c.send(now, commit, false)
	}
}

// send builds a transaction: the cell's row guards all others, so that a
// former owner can't write any of them.
func (c *Core) send(now time.Time, commit placer.Commit, take bool) {
	c.serial++
	version, row := c.lease.Next()
	tx := storer.Transaction{
		ID: c.cfg.Self + "/" + c.cfg.Cell + "/" + strconv.FormatUint(c.serial, 10),
		Writes: []storer.Write{{
			Key:    CellKey(c.cfg.Cell),
			Expect: version,
			Value:  encode(row),
		}},
	}
	for _, r := range commit.Rows {
		tx.Writes = append(tx.Writes, taskWrites(r)...)
		if r.FromInbox {
			tx.Writes = append(tx.Writes, storer.Write{
				Key:    inboxKey(r.Task.Spec.ID),
				Expect: 1,
				Delete: true,
			})
		}
	}
	for _, id := range commit.Cancels {
		tx.Writes = append(tx.Writes, storer.Write{
			Key:    cancelKey(id),
			Expect: 1,
			Delete: true,
		})
	}
	for i, line := range commit.Audit {
		tx.Writes = append(tx.Writes, storer.Write{
			Key:   publisher.AuditKey(line.At, tx.ID+"/"+strconv.Itoa(i)),
			Value: encode(line),
		})
	}
	tx.Writes = append(tx.Writes, c.old...)
	c.old = nil
	c.lastWrite = now
	c.write = &pendingWrite{
		transaction: tx,
		firstSent:   now,
		waiting:     true,
		commit:      commit,
		take:        take,
	}
	c.act(Action{
		Write: &WriteRows{
			Transaction: tx,
		},
	})
}

// taskWrites keeps a task's row, or moves it to where ended tasks stand.
func taskWrites(r placer.Row) []storer.Write {
	id := r.Task.Spec.ID
	if !r.Task.State.Final() {
		return []storer.Write{{
			Key:    TaskKey(id),
			Expect: r.Expect,
			Value:  encode(r.Task),
		}}
	}
	ended := storer.Write{
		Key:   EndedKey(id),
		Value: encode(r.Task),
	}
	if r.Expect == 0 {
		return []storer.Write{ended}
	}
	return []storer.Write{ended, {
		Key:    TaskKey(id),
		Expect: r.Expect,
		Delete: true,
	}}
}

// resend sends a transaction again whose answer was lost.
func (c *Core) resend(now time.Time) {
	w := c.write
	if w == nil || w.waiting || now.Before(w.resendAt) {
		return
	}
	w.waiting = true
	c.act(Action{
		Write: &WriteRows{
			Transaction: w.transaction,
		},
	})
}

// Written takes the table's word on the transaction that is on its way. A
// conflict means that another process owns the cell.
func (c *Core) Written(now time.Time, id string, err error) []Action {
	w := c.write
	if w == nil || w.transaction.ID != id {
		return nil
	}
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		c.write = nil
		c.lease.Confirmed(w.firstSent)
		c.written(now, w)
	case errors.As(err, &conflict):
		c.write = nil
		c.drop(now)
	default:
		w.waiting = false
		w.resendAt = now.Add(resendInterval)
	}
	return c.take()
}

func (c *Core) written(now time.Time, w *pendingWrite) {
	if w.take {
		c.loading = placer.NewCell(now, c.cfg.Cell, c.lease.Epoch(), c.cfg.Workers, c.cfg.Assert)
		c.scan(taskPrefix(c.cfg.Cell), "", scanLimit)
		return
	}
	if c.cell == nil {
		return
	}
	c.cell.Committed(now, w.commit)
	c.scanStale = c.scanStale || len(w.commit.Cancels) > 0
	for _, row := range w.commit.Rows {
		c.scanStale = c.scanStale || row.FromInbox
		if row.Task.Worker != "" {
			c.nextSync[row.Task.Worker] = now
		}
	}
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
	c.nextScan = now.Add(inboxInterval)
	c.scan(inboxPrefix(c.cfg.Cell), "", scanLimit)
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
