package overseer

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// commit writes the changes of the cell or renews the lease, with at most one write
// in flight.
func (c *Core) commit(now time.Time) {
	if c.write != nil {
		return
	}
	since := now.Sub(c.lastWrite)
	interval := c.cfg.CommitInterval
	if c.cell != nil && c.cell.Urgent() {
		interval /= urgentDivisor
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

// send builds and sends a transaction. Each transaction replaces the cell's row at
// the version that this owner last saw, so that a former owner can't write
// anything. If acquire is set, the transaction acquires the cell.
func (c *Core) send(now time.Time, commit placer.Commit, acquire bool) {
	c.serial++
	version, row := c.lease.Next()
	tx := storer.Transaction{
		ID: c.cfg.Self + "/" + c.cfg.Cell + "/" + strconv.FormatUint(c.serial, 10),
		Writes: []storer.Write{{
			Key:    CellKey(c.cfg.Cell),
			Expect: version,
			Value:  storer.EncodeJSON(row),
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
	for i, auditRow := range commit.Audit {
		tx.Writes = append(tx.Writes, storer.Write{
			Key:   publisher.AuditKey(auditRow.At, tx.ID+"/"+strconv.Itoa(i)),
			Value: storer.EncodeJSON(auditRow),
		})
	}
	tx.Writes = append(tx.Writes, c.expiredDeletes...)
	c.expiredDeletes = nil
	c.lastWrite = now
	c.write = &pendingWrite{
		transaction: tx,
		firstSent:   now,
		waiting:     true,
		commit:      commit,
		acquire:     acquire,
	}
	c.emit(Action{
		Write: &WriteRows{
			Transaction: tx,
		},
	})
}

// taskWrites returns the writes that update a task's row, or that move it to the
// ended tasks once its state is final.
func taskWrites(r placer.Row) []storer.Write {
	id := r.Task.Spec.ID
	if !r.Task.State.Final() {
		return []storer.Write{{
			Key:    TaskKey(id),
			Expect: r.Expect,
			Value:  storer.EncodeJSON(r.Task),
		}}
	}
	ended := storer.Write{
		Key:   EndedKey(id),
		Value: storer.EncodeJSON(r.Task),
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

// resend sends a transaction again whose response was lost.
func (c *Core) resend(now time.Time) {
	w := c.write
	if w == nil || w.waiting || now.Before(w.resendAt) {
		return
	}
	w.waiting = true
	c.emit(Action{
		Write: &WriteRows{
			Transaction: w.transaction,
		},
	})
}

// Written handles the store's response to the transaction in flight. A conflict
// means that another process owns the cell.
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
	return c.drainActions()
}

func (c *Core) written(now time.Time, w *pendingWrite) {
	if w.acquire {
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

// pendingWrite is the transaction in flight, with the commit that it contains.
type pendingWrite struct {
	transaction storer.Transaction
	firstSent   time.Time
	resendAt    time.Time
	waiting     bool
	commit      placer.Commit
	acquire     bool
}
