package controller

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// ownFor is how long an owner may start runs and grant leases after a write
	// that the store confirmed.
	ownFor = 1700 * time.Millisecond
	// takeAfter is how long the cell's row must stand unchanged before another
	// process takes it, and slowTakeAfter the same while the store is slow,
	// which delays the owner's writes. The row's version decides between the
	// two, and agents refuse the former owner.
	takeAfter     = 1100 * time.Millisecond
	slowTakeAfter = 2500 * time.Millisecond
	// renewInterval is the time between two renewals of a quiet owner.
	renewInterval = 350 * time.Millisecond
	// resendPause is the wait before a write that failed is sent again.
	resendPause = 100 * time.Millisecond
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
	write  *write
	// loading is set while the rows of the cell are read after a takeover.
	loading   bool
	takenAt   time.Time
	lastWrite time.Time
	// nextLearnt is when what the cell learnt is written next.
	nextLearnt time.Time
	// leaving is set once the process is to end.
	leaving bool
}

// write is the transaction that is on its way.
type write struct {
	change storer.Change
	serial uint64
	commit scheduler.Commit
	// orphans are jobs that are gone, whose progress goes with the write.
	orphans []string
	sentAt  time.Time
	// resendAt is when it is sent again; nought while it is on its way.
	resendAt time.Time
	take     bool
	release  bool
}

// observe takes the cell's row as the mirror has it.
func (e *Entry) observe(now time.Time) {
	row, err := decodeLease(e.mirror.lease)
	if err != nil {
		e.log.Error("lease row passed over", "error", err)
		return
	}
	if !e.owner.lease.Held() && e.owner.write == nil {
		e.owner.lease.Observe(now, e.mirror.lease.Version, row.Lease)
	}
}

// govern does what the owner of the cell has to do now, or tries to become it.
func (e *Entry) govern(now time.Time) {
	o := &e.owner
	if o.write != nil {
		e.resend(now)
	}
	if !o.lease.Held() {
		e.seek(now)
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

// seek takes the cell's lease when nobody holds it.
func (e *Entry) seek(now time.Time) {
	o := &e.owner
	if o.write != nil || o.leaving || !e.leaseRead || !mayTake(now, o.lease, e.relay.Slow()) {
		return
	}
	e.send(now, &write{
		take: true,
	})
}

// mayTake tells whether the cell may be taken now. A slow store delays the
// owner's writes, which is no reason to replace it.
func mayTake(now time.Time, lease *leaser.Lease, slow bool) bool {
	if !lease.MayAcquire(now) {
		return false
	}
	byAnother := lease.Owner() != "" && !lease.OwnedBySelf()
	return !slow || !byAnother || lease.UnchangedFor(now) >= slowTakeAfter
}

// formerLeasesEnd is when the last lease is over that an owner before the
// takeover can have granted, also one that has not noticed it.
func formerLeasesEnd(takenAt time.Time, lease time.Duration) time.Time {
	return takenAt.Add(ownFor + lease + lease*leaseDriftPercent/100 + leaseMargin)
}

// commit writes what changed, or renews the lease; one write at once.
func (e *Entry) commit(now time.Time) {
	o := &e.owner
	if o.write != nil {
		return
	}
	if o.leaving {
		e.send(now, &write{
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
		w := &write{
			commit: commit,
		}
		if !changed {
			w.orphans = e.mirror.orphans(now, sweepLimit)
		}
		e.send(now, w)
	}
}

// send builds a transaction: the cell's row guards all others, so that a
// former owner can't write any of them.
func (e *Entry) send(now time.Time, w *write) {
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
	w.change.Puts = append(w.change.Puts, e.learnt(now)...)
	for _, id := range w.orphans {
		w.change.Removes = append(w.change.Removes, progressKey(id))
	}
	o.write = w
	o.lastWrite = now
	e.transmit(now, w)
}

func (e *Entry) transmit(now time.Time, w *write) {
	w.sentAt = now
	w.resendAt = time.Time{}
	e.group.Go(func() error {
		version, err := e.store.Commit(e.ctx, w.change)
		e.loop.Post(func(now time.Time) { e.written(now, w, version, err) })
		return nil
	})
}

func (e *Entry) resend(now time.Time) {
	w := e.owner.write
	if !w.resendAt.IsZero() && !now.Before(w.resendAt) {
		e.transmit(now, w)
	}
}

// written takes the store's word on the transaction that is on its way.
func (e *Entry) written(now time.Time, w *write, version uint64, err error) {
	o := &e.owner
	if o.write != w {
		return
	}
	var stale *storer.VersionMismatchError
	switch {
	case err == nil:
		e.confirmed(now, w, version)
	case errors.As(err, &stale):
		e.outdated(now, w, stale)
	default:
		w.resendAt = now.Add(resendPause)
		e.log.Info("commit not confirmed", "serial", w.serial, "error", err)
	}
}

// outdated decides what a stale version means: the write was carried out
// before, its version was not known well, or another process owns the cell.
func (e *Entry) outdated(now time.Time, w *write, stale *storer.VersionMismatchError) {
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
	mine := row.Address == e.cfg.Link && row.Lease.Epoch == e.nextEpoch()
	if mine && row.Serial == w.serial {
		e.confirmed(now, w, current.Version)
		return
	}
	e.log.Warn("cell owned by another process", "owner", row.Lease.Owner, "epoch", row.Lease.Epoch)
	o.write = nil
	e.drop(now)
	e.mirror.applyCell(current)
	e.observe(now)
}

// nextEpoch is the epoch that the write on its way names.
func (e *Entry) nextEpoch() uint64 {
	_, row := e.owner.lease.Next()
	return row.Epoch
}

func (e *Entry) confirmed(now time.Time, w *write, version uint64) {
	o := &e.owner
	o.write = nil
	e.commits.Record(now.Sub(w.sentAt))
	if w.release {
		e.log.Info("cell released", "epoch", o.lease.Epoch())
		e.drop(now)
		return
	}
	o.lease.ConfirmedAtVersion(w.sentAt, version)
	for _, r := range w.commit.Rows {
		e.mirror.setProgress(r.ID, r.Progress, version)
	}
	for _, id := range w.orphans {
		delete(e.mirror.jobs, id)
	}
	if w.take {
		e.log.Info("cell taken", "epoch", o.lease.Epoch())
		o.takenAt = now
		e.load()
		return
	}
	if o.cell != nil {
		o.cell.Committed(w.commit)
	}
}

// drop forgets all that was held under a lost lease.
func (e *Entry) drop(time.Time) {
	o := &e.owner
	o.lease.Lost()
	o.cell = nil
	e.unlinkAgents()
}
