package controller

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// settleTimeout is how long an entry tries to read or commit a job's rows
	// for a caller before it reports the outcome as unknown.
	settleTimeout = 600 * time.Millisecond
	// slowSettleTimeout replaces settleTimeout while the store is slow.
	slowSettleTimeout = 1400 * time.Millisecond
	// refusalTimeout is how long an entry retries a commit that the store
	// rejected without effect.
	refusalTimeout = 120 * time.Millisecond
	// commitRetryDelay is the delay between two attempts of a commit.
	commitRetryDelay = 30 * time.Millisecond
	// retryAfter is the delay after which a rejected caller may retry.
	retryAfter = time.Second
)

// NotAcceptedError reports that a change is not committed and that this
// request will not commit it later.
type NotAcceptedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("not accepted: %s", e.Reason)
}

// OutcomeUnknownError reports that the outcome of a request is unknown; a change may
// have been committed.
type OutcomeUnknownError struct {
	Reason string
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %s", e.Reason)
}

// JobNotFoundError reports that there is no job with the id.
type JobNotFoundError struct {
	ID string
}

// Error implements error.
func (e *JobNotFoundError) Error() string {
	return fmt.Sprintf("no job has the id %q", e.ID)
}

// Submit commits a job, at most once for each id. It returns nil if the job is committed, also by
// an earlier request, or if the id has a tombstone; the job is then cancelled. The error is a
// *publisher.FieldError if the job can never be held.
func (e *Entry) Submit(ctx context.Context, spec scheduler.Spec) error {
	if err := cmp.Or(spec.CheckSize(), e.cache.memory.check(&spec)); err != nil {
		e.refused.Add(1)
		return err
	}
	if v := e.cachedJob(ctx, spec.ID); v.hasSpec {
		return nil
	}
	if known, err := e.admit(ctx, &spec); known || err != nil {
		return err
	}
	began := e.clock.Now()
	defer func() { e.submits.Record(e.clock.Now().Sub(began)) }()
	spec.AcceptedAtMillis = began.UnixMilli()
	defer e.cache.memory.reserve(&spec)()
	e.admission.begin(spec.ID)
	err := e.commitJobChange(ctx, storer.Change{
		Expects: []storer.Expect{{
			Key: jobKey(spec.ID),
		}},
		Puts: []storer.Put{{
			Key:   jobKey(spec.ID),
			Value: storer.EncodeCBOR(spec),
		}},
	})
	var unknown *OutcomeUnknownError
	e.admission.end(e.clock.Now(), spec.ID, errors.As(err, &unknown))
	var mismatch *storer.VersionMismatchError
	if errors.As(err, &mismatch) {
		// The job was submitted before; the committed row applies.
		e.applyJobRows(mismatch.Rows)
		e.log.Info("job already committed", "job", spec.ID)
		return nil
	}
	if err != nil {
		e.log.Info("job submission not confirmed", "job", spec.ID, "error", err)
		return err
	}
	e.log.Info("job accepted", "job", spec.ID, "queue", spec.Queue, "steps", len(spec.Steps))
	e.loop.Post(func(now time.Time) {
		e.cache.addJob(now, spec)
		e.activate(now, spec.ID)
	})
	return nil
}

// commitJobChange commits a change to a job's rows. A commit without a reply
// is retried, which is safe: the change either expects a version or is
// idempotent.
func (e *Entry) commitJobChange(ctx context.Context, change storer.Change) error {
	if e.relay.AllRoutesDown() {
		e.refused.Add(1)
		return &NotAcceptedError{
			Reason:     "the store is unavailable",
			RetryAfter: retryAfter,
		}
	}
	ctx, cancel := e.settleContext(ctx)
	defer cancel()
	began := e.clock.Now()
	mayHaveTakenEffect := false
	for {
		_, err := e.store.Commit(ctx, change)
		var rejected *storer.RejectedError
		if errors.As(err, &rejected) {
			if mayHaveTakenEffect {
				e.unknown.Add(1)
				return &OutcomeUnknownError{
					Reason: rejected.Error(),
				}
			}
			e.refused.Add(1)
			return &NotAcceptedError{
				Reason:     rejected.Error(),
				RetryAfter: retryAfter,
			}
		}
		var unavailable *storer.UnavailableError
		if !errors.As(err, &unavailable) {
			return err
		}
		mayHaveTakenEffect = mayHaveTakenEffect || unavailable.MayHaveTakenEffect
		elapsed := e.clock.Now().Sub(began)
		switch {
		case mayHaveTakenEffect && ctx.Err() != nil:
			e.unknown.Add(1)
			return &OutcomeUnknownError{
				Reason: unavailable.Cause,
			}
		case !mayHaveTakenEffect && elapsed > refusalTimeout:
			e.refused.Add(1)
			return &NotAcceptedError{
				Reason:     unavailable.Cause,
				RetryAfter: retryAfter,
			}
		}
		sleep(ctx, commitRetryDelay)
	}
}

// settleContext returns a context with the timeout of a store call on behalf
// of a caller. The timeout is longer while the store is slow but replies.
func (e *Entry) settleContext(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := settleTimeout
	if e.relay.Slow() {
		timeout = slowSettleTimeout
	}
	return context.WithTimeout(ctx, timeout)
}

// applyJobRows applies job rows that a reply of the store contained.
func (e *Entry) applyJobRows(rows []storer.PartitionedRow) {
	e.loop.Post(func(now time.Time) {
		for _, row := range rows {
			if id := e.cache.applyJob(now, row); id != "" {
				e.activate(now, id)
			}
		}
	})
}

// cachedJob returns the entry's cached view of a job; the zero view if there
// is none.
func (e *Entry) cachedJob(ctx context.Context, id string) jobView {
	var v jobView
	err := e.loop.PostAndWait(ctx, func(time.Time) {
		if cached := e.cache.jobs[id]; cached != nil {
			v = *cached
		}
	})
	if err != nil {
		e.log.Debug("job cache lookup failed", "job", id, "error", err)
	}
	return v
}

// State returns the state of a job.
func (e *Entry) State(ctx context.Context, id string) (scheduler.State, error) {
	v, err := e.findJob(ctx, id)
	if err != nil {
		return "", err
	}
	return v.state(), nil
}

// findJob returns a job from the cache, or from the store if the cache does
// not have it. The error is a *JobNotFoundError if the store has no such job, an
// *OutcomeUnknownError if the store did not reply.
func (e *Entry) findJob(ctx context.Context, id string) (jobView, error) {
	v := e.cachedJob(ctx, id)
	if v.hasSpec {
		return v, nil
	}
	ctx, cancel := e.settleContext(ctx)
	defer cancel()
	row, err := e.store.Get(ctx, jobKey(id))
	if err != nil {
		return v, &OutcomeUnknownError{
			Reason: err.Error(),
		}
	}
	if row.Version == 0 {
		return v, &JobNotFoundError{
			ID: id,
		}
	}
	e.applyJobRows([]storer.PartitionedRow{row})
	v.spec, err = decodeSpec(row)
	v.hasSpec = err == nil
	return v, err
}

// Cancel commits the cancellation of a job. If no job has the id, a tombstone
// is committed, so that a submission in flight cannot undo the cancellation.
func (e *Entry) Cancel(ctx context.Context, id string) error {
	v, err := e.findJob(ctx, id)
	var notFound *JobNotFoundError
	switch {
	case errors.As(err, &notFound):
		err = e.writeTombstone(ctx, id)
		var mismatch *storer.VersionMismatchError
		if !errors.As(err, &mismatch) {
			return err
		}
		e.applyJobRows(mismatch.Rows)
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
		e.log.Info("cancellation not confirmed", "job", id, "error", err)
		return err
	}
	e.log.Info("job cancelled", "job", id)
	e.loop.Post(func(now time.Time) {
		e.cache.view(id).cancelled = true
		e.activate(now, id)
	})
	return nil
}

// writeTombstone commits a tombstone for an id, which makes it unusable. It
// returns a *JobNotFoundError once the tombstone is committed.
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
	e.log.Info("tombstone committed", "job", id)
	return &JobNotFoundError{
		ID: id,
	}
}

// Pending returns the number of jobs of a queue of which no task has started.
func (e *Entry) Pending(ctx context.Context, queue string) (int, error) {
	n := 0
	err := e.loop.PostAndWait(ctx, func(time.Time) { n = e.cache.pending(queue) })
	return n, err
}
