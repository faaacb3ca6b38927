package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// settleTimeout is how long an entry tries to learn whether a job is on
	// record before it leaves that open.
	settleTimeout = 600 * time.Millisecond
	// slowSettleTimeout is settleLimit while the store is slow.
	slowSettleTimeout = 1400 * time.Millisecond
	// refusalTimeout is how long an entry tries to put a job on record that
	// the store turned away.
	refusalTimeout = 120 * time.Millisecond
	// commitRetryDelay is the wait between two tries.
	commitRetryDelay = 30 * time.Millisecond
	// retryAfter is when a caller may come back.
	retryAfter = time.Second
)

// NotAcceptedError says that a job is not on record and never will be by this
// request.
type NotAcceptedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("not accepted: %s", e.Reason)
}

// UnknownError says that a change may be on record.
type UnknownError struct {
	Reason string
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome not known: %s", e.Reason)
}

// NoJobError says that no job has an id.
type NoJobError struct {
	ID string
}

// Error implements error.
func (e *NoJobError) Error() string {
	return fmt.Sprintf("no job has the id %q", e.ID)
}

// Submit puts a job on record, once for each id. Nil means that it is.
func (e *Entry) Submit(ctx context.Context, spec scheduler.Spec) error {
	if v := e.cachedJob(ctx, spec.ID); v.hasSpec {
		return nil
	}
	began := e.clock.Now()
	defer func() { e.submits.Record(e.clock.Now().Sub(began)) }()
	spec.AcceptedAtMillis = began.UnixMilli()
	err := e.commitJobChange(ctx, storer.Change{
		Expects: []storer.Expect{{
			Key: jobKey(spec.ID),
		}},
		Puts: []storer.Put{{
			Key:   jobKey(spec.ID),
			Value: storer.EncodeCBOR(spec),
		}},
	})
	var stale *storer.VersionMismatchError
	if errors.As(err, &stale) {
		// The same job was sent before; the row that is there counts.
		e.applyJobRows(stale.Rows)
		e.log.Info("job already on record", "job", spec.ID)
		return nil
	}
	if err != nil {
		e.log.Info("job not on record", "job", spec.ID, "error", err)
		return err
	}
	e.log.Info("job accepted", "job", spec.ID, "queue", spec.Queue, "steps", len(spec.Steps))
	e.loop.Post(func(now time.Time) {
		e.cache.addJob(spec)
		e.activate(now, spec.ID)
	})
	return nil
}

// commitJobChange commits a change. A change without an answer is sent again, which is
// safe since it names what it expects or says the same again.
func (e *Entry) commitJobChange(ctx context.Context, change storer.Change) error {
	if e.relay.Down() {
		e.refused.Add(1)
		return &NotAcceptedError{
			Reason:     "the store is out of reach",
			RetryAfter: retryAfter,
		}
	}
	ctx, cancel := e.settleContext(ctx)
	defer cancel()
	began := e.clock.Now()
	maybe := false
	for {
		_, err := e.store.Commit(ctx, change)
		var unavailable *storer.UnavailableError
		if !errors.As(err, &unavailable) {
			return err
		}
		maybe = maybe || unavailable.MayHaveTakenEffect
		passed := e.clock.Now().Sub(began)
		switch {
		case maybe && ctx.Err() != nil:
			e.unknown.Add(1)
			return &UnknownError{
				Reason: unavailable.Cause,
			}
		case !maybe && passed > refusalTimeout:
			e.refused.Add(1)
			return &NotAcceptedError{
				Reason:     unavailable.Cause,
				RetryAfter: retryAfter,
			}
		}
		sleep(ctx, commitRetryDelay)
	}
}

// settleContext bounds a call to the store on behalf of a caller, longer while the
// store answers, if slowly.
func (e *Entry) settleContext(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := settleTimeout
	if e.relay.Slow() {
		limit = slowSettleTimeout
	}
	return context.WithTimeout(ctx, limit)
}

// applyJobRows takes rows of jobs that an answer of the store showed.
func (e *Entry) applyJobRows(rows []storer.PartitionedRow) {
	e.loop.Post(func(now time.Time) {
		for _, row := range rows {
			if id := e.cache.applyJob(row); id != "" {
				e.activate(now, id)
			}
		}
	})
}

// cachedJob returns what the entry knows of a job.
func (e *Entry) cachedJob(ctx context.Context, id string) jobView {
	var v jobView
	err := e.loop.Ask(ctx, func(time.Time) {
		if known := e.cache.jobs[id]; known != nil {
			v = *known
		}
	})
	if err != nil {
		e.log.Debug("job not looked up", "job", id, "error", err)
	}
	return v
}

// State returns what became of a job.
func (e *Entry) State(ctx context.Context, id string) (scheduler.State, error) {
	v, err := e.findJob(ctx, id)
	if err != nil {
		return "", err
	}
	return v.state(), nil
}

// findJob looks a job up, in the store if the entry doesn't know it.
func (e *Entry) findJob(ctx context.Context, id string) (jobView, error) {
	v := e.cachedJob(ctx, id)
	if v.hasSpec {
		return v, nil
	}
	ctx, cancel := e.settleContext(ctx)
	defer cancel()
	row, err := e.store.Get(ctx, jobKey(id))
	if err != nil {
		return v, &UnknownError{
			Reason: err.Error(),
		}
	}
	if row.Version == 0 {
		return v, &NoJobError{
			ID: id,
		}
	}
	e.applyJobRows([]storer.PartitionedRow{row})
	v.spec, err = decodeSpec(row)
	v.hasSpec = err == nil
	return v, err
}

// Cancel puts a cancellation on record. An id that is on record nowhere is
// made void, so that a submission on its way can't undo the cancellation.
func (e *Entry) Cancel(ctx context.Context, id string) error {
	v, err := e.findJob(ctx, id)
	var none *NoJobError
	switch {
	case errors.As(err, &none):
		err = e.writeTombstone(ctx, id)
		var stale *storer.VersionMismatchError
		if !errors.As(err, &stale) {
			return err
		}
		e.applyJobRows(stale.Rows)
	case err != nil:
		return err
	case v.state().Final():
		return nil
	}
	began := e.clock.Now()
	defer func() { e.cancels.Record(e.clock.Now().Sub(began)) }()
	err = e.commitJobChange(ctx, storer.Change{
		Puts: []storer.Put{{
			Key:   cancelKey(id),
			Value: []byte("cancelled"),
		}},
	})
	if err != nil {
		e.log.Info("cancellation not on record", "job", id, "error", err)
		return err
	}
	e.log.Info("job cancelled", "job", id)
	e.loop.Post(func(now time.Time) {
		e.cache.view(id).cancelled = true
		e.activate(now, id)
	})
	return nil
}

// writeTombstone makes an id unusable; it returns a *NoJobError when that is on record.
func (e *Entry) writeTombstone(ctx context.Context, id string) error {
	err := e.commitJobChange(ctx, storer.Change{
		Expects: []storer.Expect{{
			Key: jobKey(id),
		}},
		Puts: []storer.Put{{
			Key: jobKey(id),
			Value: storer.EncodeCBOR(scheduler.Spec{
				ID:               id,
				Tombstone:        true,
				AcceptedAtMillis: e.clock.Now().UnixMilli(),
			}),
		}},
	})
	if err != nil {
		return err
	}
	e.log.Info("id made void", "job", id)
	return &NoJobError{
		ID: id,
	}
}

// Pending counts a queue's jobs for which no task has started.
func (e *Entry) Pending(ctx context.Context, queue string) (int, error) {
	n := 0
	err := e.loop.Ask(ctx, func(time.Time) { n = e.cache.pending(queue) })
	return n, err
}
