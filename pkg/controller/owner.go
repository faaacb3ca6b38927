package controller

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/estimator"
	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// leaseDuration is how long an owner may start runs and grant leases after
	// a write that the store confirmed.
	leaseDuration = 1700 * time.Millisecond
	// acquireAfter is how long the cell's lease row must remain unchanged
	// before another process acquires the cell. slowAcquireAfter is the same
	// while the store is slow, which delays the owner's writes. acquireAfter may
	// be shorter than leaseDuration, since of two processes that both write, the
	// row's version decides which one owns the cell, and agents reject the former
	// owner.
	acquireAfter     = 1100 * time.Millisecond
	slowAcquireAfter = 2500 * time.Millisecond
	// yieldDelay is how much longer an entry waits that has less than half of
	// the processors of another one, so that the larger one acquires the cell.
	yieldDelay = 400 * time.Millisecond
	// renewInterval is the time between two lease renewals of an owner that
	// has nothing else to write.
	renewInterval = 350 * time.Millisecond
	// resendDelay is the delay before a failed write is retried.
	resendDelay = 100 * time.Millisecond
)

// owner is the state of an entry that owns the cell or tries to acquire it. It
// belongs to the control goroutine.
type owner struct {
	lease  *leaser.Lease
	cell   *scheduler.Cell
	serial uint64
	write  *pendingWrite
	// loading is set while the rows of the cell are read after it was
	// acquired.
	loading bool
	former  formerOwner
	// formerLeasesEnd is when the last lease of a runner expires that a former owner
	// can have granted.
	formerLeasesEnd time.Time
	// delayedLeases is when the last lease expires that a delayed call can have
	// granted a runner before the cell was acquired, by the runner's id.
	delayedLeases map[string]time.Time
	lastWrite     time.Time
	// nextModelWrite is when learned models are written next, and nextModel the
	// number of the first one.
	nextModelWrite time.Time
	nextModel      int
	// leaving is set once the process is shutting down.
	leaving bool
}

// pendingWrite is the transaction that is not confirmed yet.
type pendingWrite struct {
	change storer.Change
	serial uint64
	commit scheduler.Commit
	// orphans are ids of deleted jobs whose progress rows this write removes.
	orphans []string
	// firstSentAt is when the write was sent first, sentAt when it was sent last.
	firstSentAt time.Time
	sentAt      time.Time
	// resendAt is when the write is retried; zero while it is in flight.
	resendAt time.Time
	// rejected is set if the store rejects the transaction as it is.
	rejected bool
	acquire  bool
	release  bool
}

// observeLease passes the cached lease row to the lease, if the entry does not
// own the cell and no write is pending.
func (e *Entry) observeLease(now time.Time) {
	row, err := decodeLease(e.cache.lease)
	if err != nil {
		e.log.Error("lease row cannot be decoded", "error", err)
		return
	}
	e.admission.observe(now, e.cache.lease.Version, row.Load)
	if !e.owner.lease.Held() && e.owner.write == nil {
		e.owner.lease.Observe(now, e.cache.lease.Version, row.Lease)
		e.owner.former.observe(e.cache.lease.Version, row)
	}
}

// manageCell does the periodic work of the owner of the cell, or tries to
// acquire the cell.
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
		// A placement takes effect with the next write, so while one is pending
		// it is better made later, when more is known.
		o.cell.Tick(now, valid && !o.leaving && o.write == nil)
		e.sweep(now)
		e.syncAgents(now, valid)
	}
	e.commit(now)
}

// tryAcquire starts to acquire the cell's lease if mayAcquire allows it, unless
// the entry is leaving or a write is pending.
func (e *Entry) tryAcquire(now time.Time) {
	o := &e.owner
	if o.write != nil || o.leaving || !e.leaseRead || !mayAcquire(now, o.lease, e.relay.Slow(), e.yieldTime()) {
		return
	}
	o.formerLeasesEnd = o.former.leasesEnd(o.lease.SeenAt(), time.Duration(e.cfg.LongestLease))
	o.delayedLeases = o.former.delayedLeasesEnd(o.lease.SeenAt())
	e.startWrite(now, &pendingWrite{
		acquire: true,
	})
}

// mayAcquire reports whether the cell may be acquired now. A slow store delays
// the owner's writes, which is no reason to replace the owner. yield is how much
// longer the entry waits in favour of others; it does not wait for an earlier
// incarnation of itself.
func mayAcquire(now time.Time, lease *leaser.Lease, slow bool, yield time.Duration) bool {
	unchanged := lease.UnchangedFor(now) - yield
	switch {
	case !lease.MayAcquire(now):
		return false
	case lease.OwnedBySelf():
		return true
	case lease.Owner() == "":
		return unchanged >= 0
	case slow:
		return unchanged >= slowAcquireAfter
	default:
		return unchanged >= acquireAfter
	}
}

// yieldTime returns how long this entry waits in favour of a larger one.
func (e *Entry) yieldTime() time.Duration {
	for _, processors := range e.peers {
		if 2*e.cfg.Processors < processors {
			return yieldDelay
		}
	}
	return 0
}

// commit writes changes, or renews the lease if that is due. Only one write is
// pending at a time.
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
	changed, raise := false, false
	if o.cell != nil {
		commit, changed = o.cell.Commit()
		raise = o.cell.EpochRaiseDue()
	}
	if raise {
		o.lease.RaiseEpoch()
	}
	if changed || raise || now.Sub(o.lastWrite) >= renewInterval {
		w := &pendingWrite{
			commit: commit,
		}
		if o.cell != nil && len(commit.Rows) <= orphanRows {
			w.orphans = e.cache.orphans(now, sweepLimit)
		}
		e.startWrite(now, w)
	}
}

// startWrite builds a transaction and sends it. The transaction expects the
// version of the lease row, so that a former owner cannot write any row.
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
				Lease:             row,
				Address:           e.cfg.Link,
				Serial:            w.serial,
				RunnerLeaseMillis: e.longestInForce(now).Milliseconds(),

				DelayedLeaseMillis: e.delayedLeaseMillis(now),

				Load: e.loadReport(now, w),
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
	w.firstSentAt = now
	o.write = w
	o.lastWrite = now
	e.transmitWrite(now, w)
}

// loadReport returns the estimates for a write. An owner that has not loaded the cell
// yet or releases it has none.
func (e *Entry) loadReport(now time.Time, w *pendingWrite) estimator.Report {
	if e.owner.cell == nil || w.acquire || w.release {
		return estimator.Report{}
	}
	return e.owner.cell.LoadReport(now)
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
	switch {
	case w.resendAt.IsZero() || now.Before(w.resendAt):
	case w.rejected:
		e.discardWrite(now, w)
	default:
		e.transmitWrite(now, w)
	}
}

// discardWrite drops a rejected write. The next one has no learned models, and
// fewer jobs if this one had any.
func (e *Entry) discardWrite(now time.Time, w *pendingWrite) {
	o := &e.owner
	o.write = nil
	o.nextModelWrite = now.Add(modelWriteInterval)
	if o.cell != nil {
		o.cell.Rejected(now, w.commit)
	}
}

// writeAnswered handles the store's reply to the pending write.
func (e *Entry) writeAnswered(now time.Time, w *pendingWrite, version uint64, err error) {
	o := &e.owner
	if o.write != w {
		return
	}
	var mismatch *storer.VersionMismatchError
	var rejected *storer.RejectedError
	switch {
	case err == nil:
		e.writeConfirmed(now, w, version)
	case errors.As(err, &mismatch):
		e.writeMismatched(now, w, mismatch)
	case errors.As(err, &rejected):
		w.rejected = true
		w.resendAt = now.Add(resendDelay)
		e.log.Error("commit rejected", "serial", w.serial, "rows", len(w.commit.Rows), "error", err)
	default:
		w.resendAt = now.Add(resendDelay)
		e.log.Info("commit not confirmed", "serial", w.serial, "error", err)
	}
}

// writeMismatched handles a version mismatch: the write had already been
// committed, the expected version was out of date, or another process owns the
// cell. The lease is dropped unless the write had been committed.
func (e *Entry) writeMismatched(now time.Time, w *pendingWrite, mismatch *storer.VersionMismatchError) {
	o := &e.owner
	current := storer.PartitionedRow{
		Key: leaseKey(),
	}
	if len(mismatch.Rows) > 0 {
		current = mismatch.Rows[0]
	}
	row, err := decodeLease(current)
	if err != nil {
		e.log.Error("lease row cannot be decoded", "error", err)
	}
	sameOwner := row.Address == e.cfg.Link && row.Lease.Epoch == e.pendingEpoch()
	if sameOwner && row.Serial == w.serial {
		// Any of the attempts may have changed the row, and a new owner counts the
		// leases of this one from the change.
		w.sentAt = w.firstSentAt
		e.writeConfirmed(now, w, current.Version)
		return
	}
	e.log.Warn("cell owned by another process", "owner", row.Lease.Owner, "epoch", row.Lease.Epoch)
	o.write = nil
	e.dropLease(now)
	e.cache.applyCell(current)
	e.observeLease(now)
}

// pendingEpoch returns the epoch of the pending write.
func (e *Entry) pendingEpoch() uint64 {
	_, row := e.owner.lease.Next()
	return row.Epoch
}

// writeConfirmed applies the effects of a committed write.
func (e *Entry) writeConfirmed(now time.Time, w *pendingWrite, version uint64) {
	o := &e.owner
	o.write = nil
	e.commits.Record(now.Sub(w.sentAt))
	if w.release {
		e.log.Info("cell released", "epoch", o.lease.Epoch())
		e.dropLease(now)
		return
	}
	o.lease.ConfirmedAtVersion(w.sentAt, version)
	for _, r := range w.commit.Rows {
		e.cache.setProgress(r.ID, r.Progress, version)
	}
	e.cache.removeOrphans(w.orphans)
	if w.acquire {
		e.log.Info("cell acquired", "epoch", o.lease.Epoch())
		e.loadCell()
		return
	}
	if o.cell != nil {
		o.cell.SetEpoch(o.lease.Epoch())
		o.cell.Committed(w.commit)
	}
}

// dropLease drops the lease, the cell and the links to agents.
func (e *Entry) dropLease(time.Time) {
	o := &e.owner
	o.lease.Lost()
	o.cell = nil
	e.unlinkAgents()
}
