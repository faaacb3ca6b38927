package controller

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// leaseDuration is how long an owner may start runs and grant leases after a write
	// that the store confirmed.
	leaseDuration = 1700 * time.Millisecond
	// acquireAfter is how long the cell's row must stand unchanged before another
	// process takes it, and slowTakeAfter the same while the store is slow,
	// which delays the owner's writes. The row's version decides between the
	// two, and agents refuse the former owner.
	acquireAfter     = 1100 * time.Millisecond
	slowAcquireAfter = 2500 * time.Millisecond
	// renewInterval is the time between two renewals of a quiet owner.
	renewInterval = 350 * time.Millisecond
	// resendDelay is the wait before a write that failed is sent again.
	resendDelay = 100 * time.Millisecond
	// leaseDriftPercent and leaseMargin allow for runners' slow clocks.
	leaseDriftPercent = 3
	leaseMargin       = 500 * time.Millisecond
)

// owner is what an entry holds as the owner of the cell, or on its way to
// that. It belongs to the control goroutine.
type owner struct {
	lease  *leaser.Lease
	cell   *scheduler.Cell
	serial uint64
	write  *pendingWrite
	// loading is set while the rows of the cell are read after a takeover.
	loading    bool
	acquiredAt time.Time
	lastWrite  time.Time
	// nextModelWrite is when what the cell learnt is written next.
	nextModelWrite time.Time
	// leaving is set once the process is to end.
	leaving bool
}

// pendingWrite is the transaction that is on its way.
type pendingWrite struct {
	change storer.Change
	serial uint64
	commit scheduler.Commit
	// orphans are jobs that are gone, whose progress goes with the write.
	orphans []string
	sentAt  time.Time
	// resendAt is when it is sent again; nought while it is on its way.
	resendAt time.Time
	acquire  bool
	release  bool
}

// observeLease takes the cell's row as the mirror has it.
func (e *Entry) observeLease(now time.Time) {
	row, err := decodeLease(e.cache.lease)
	if err != nil {
		e.log.Error("lease row passed over", "error", err)
		return
	}
	if !e.owner.lease.Held() && e.owner.write == nil {
		e.owner.lease.Observe(now, e.cache.lease.Version, row.Lease)
	}
}

// manageCell does what the owner of the cell has to do now, or tries to become it.
func (e *Entry) manageCell(now time.Time) {
	o := &e.owner
	if o.write != nil {
		e.resendIfDue(now)
	}
	if !o.lease.Held() {
		e.tryAcquire(now)
		return
	}
	if o.cell != nil {
		valid := o.lease.Valid(now)
		o.cell.Tick(now, valid && !o.leaving)
		e.sweep(now)
		e.syncAgents(now, valid)
	}
	e.commit(now)
}

// tryAcquire takes the cell's lease when nobody holds it.
func (e *Entry) tryAcquire(now time.Time) {
	o := &e.owner
	if o.write != nil || o.leaving || !e.leaseRead || !mayAcquire(now, o.lease, e.relay.Slow()) {
		return
	}
	e.startWrite(now, &pendingWrite{
		acquire: true,
	})
}

// mayAcquire tells whether the cell may be taken now. A slow store delays the
// owner's writes, which is no reason to replace it.
func mayAcquire(now time.Time, lease *leaser.Lease, slow bool) bool {
	if !lease.MayAcquire(now) {
		return false
	}
	byAnother := lease.Owner() != "" && !lease.OwnedBySelf()
	return !slow || !byAnother || lease.UnchangedFor(now) >= slowAcquireAfter
}

// formerLeasesEnd is when the last lease is over that an owner before the
// takeover can have granted, also one that has not noticed it.
func formerLeasesEnd(takenAt time.Time, lease time.Duration) time.Time {
	return takenAt.Add(leaseDuration + lease + lease*leaseDriftPercent/100 + leaseMargin)
}

// commit writes what changed, or renews the lease; one write at once.
func (e *Entry) commit(now time.Time) {
	o := &e.owner
	if o.write != nil {
		return
	}
	if o.leaving {
		e.startWrite(now, &pendingWrite{
			release: true,
		})
		return
	}
	var commit scheduler.Commit
	changed := false
	if o.cell != nil {
		commit, changed = o.cell.Commit()
	}
	if changed || now.Sub(o.lastWrite) >= renewInterval {
		w := &pendingWrite{
			commit: commit,
		}
		if !changed {
			w.orphans = e.cache.orphans(now, sweepLimit)
		}
		e.startWrite(now, w)
	}
}

// startWrite builds a transaction: the cell's row guards all others, so that a
// former owner can't write any of them.
func (e *Entry) startWrite(now time.Time, w *pendingWrite) {
	o := &e.owner
	version, row := o.lease.Next()
	if w.release {
		row.Owner = ""
	}
	o.serial++
	w.serial = o.serial
	w.change = storer.Change{
		Expects: []storer.Expect{{
			Key:     leaseKey(),
			Version: version,
		}},
		Puts: []storer.Put{{
			Key: leaseKey(),
			Value: storer.EncodeCBOR(leaseRow{
				Lease:   row,
				Address: e.cfg.Link,
				Serial:  w.serial,
			}),
		}},
	}
	for _, r := range w.commit.Rows {
		w.change.Puts = append(w.change.Puts, storer.Put{
			Key:   progressKey(r.ID),
			Value: storer.EncodeCBOR(r.Progress),
		})
	}
	w.change.Puts = append(w.change.Puts, e.modelPuts(now)...)
	for _, id := range w.orphans {
		w.change.Removes = append(w.change.Removes, progressKey(id))
	}
	o.write = w
	o.lastWrite = now
	e.transmitWrite(now, w)
}

func (e *Entry) transmitWrite(now time.Time, w *pendingWrite) {
	w.sentAt = now
	w.resendAt = time.Time{}
	e.group.Go(func() error {
		version, err := e.store.Commit(e.ctx, w.change)
		e.loop.Post(func(now time.Time) { e.writeAnswered(now, w, version, err) })
		return nil
	})
}

func (e *Entry) resendIfDue(now time.Time) {
	w := e.owner.write
	if !w.resendAt.IsZero() && !now.Before(w.resendAt) {
		e.transmitWrite(now, w)
	}
}

// writeAnswered takes the store's word on the transaction that is on its way.
func (e *Entry) writeAnswered(now time.Time, w *pendingWrite, version uint64, err error) {
	o := &e.owner
	if o.write != w {
		return
	}
	var stale *storer.VersionMismatchError
	switch {
	case err == nil:
		e.writeConfirmed(now, w, version)
	case errors.As(err, &stale):
		e.writeMismatched(now, w, stale)
	default:
		w.resendAt = now.Add(resendDelay)
		e.log.Info("commit not confirmed", "serial", w.serial, "error", err)
	}
}

// writeMismatched decides what a stale version means: the write was carried out
// before, its version was not known well, or another process owns the cell.
func (e *Entry) writeMismatched(now time.Time, w *pendingWrite, stale *storer.VersionMismatchError) {
	o := &e.owner
	current := storer.PartitionedRow{
		Key: leaseKey(),
	}
	if len(stale.Rows) > 0 {
		current = stale.Rows[0]
	}
	row, err := decodeLease(current)
	if err != nil {
		e.log.Error("lease row passed over", "error", err)
	}
	mine := row.Address == e.cfg.Link && row.Lease.Epoch == e.pendingEpoch()
	if mine && row.Serial == w.serial {
		e.writeConfirmed(now, w, current.Version)
		return
	}
	e.log.Warn("cell owned by another process", "owner", row.Lease.Owner, "epoch", row.Lease.Epoch)
	o.write = nil
	e.leaseLost(now)
	e.cache.applyCell(current)
	e.observeLease(now)
}

// pendingEpoch is the epoch that the write on its way names.
func (e *Entry) pendingEpoch() uint64 {
	_, row := e.owner.lease.Next()
	return row.Epoch
}

func (e *Entry) writeConfirmed(now time.Time, w *pendingWrite, version uint64) {
	o := &e.owner
	o.write = nil
	e.commits.Record(now.Sub(w.sentAt))
	if w.release {
		e.log.Info("cell released", "epoch", o.lease.Epoch())
		e.leaseLost(now)
		return
	}
	o.lease.ConfirmedAtVersion(w.sentAt, version)
	for _, r := range w.commit.Rows {
		e.cache.setProgress(r.ID, r.Progress, version)
	}
	for _, id := range w.orphans {
		delete(e.cache.jobs, id)
	}
	if w.acquire {
		e.log.Info("cell taken", "epoch", o.lease.Epoch())
		o.acquiredAt = now
		e.loadCell()
		return
	}
	if o.cell != nil {
		o.cell.Committed(w.commit)
	}
}

// leaseLost forgets all that was held under a lost lease.
func (e *Entry) leaseLost(time.Time) {
	o := &e.owner
	o.lease.Lost()
	o.cell = nil
	e.unlinkAgents()
}
