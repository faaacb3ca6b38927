package storer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// initialResendDelay and maxResendDelay bound the wait before a
	// transaction whose answer was lost is sent again.
	initialResendDelay = 20 * time.Millisecond
	maxResendDelay     = 500 * time.Millisecond
)

// Committer commits transactions and resolves those whose answer was lost.
type Committer struct {
	table Table
	// wait sleeps for d or until ctx is done; tests replace it.
	wait func(ctx context.Context, d time.Duration) error
}

// NewCommitter returns a committer for a table.
func NewCommitter(table Table) *Committer {
	return &Committer{
		table: table,
		wait:  wait,
	}
}

// Commit commits tx, which takes effect at most once. A transaction whose answer
// was lost is sent again under its id until the table answers or ctx is done; if
// ctx is done first, the returned *UnavailableError reports whether the
// transaction may have taken effect.
func (c *Committer) Commit(ctx context.Context, tx Transaction) error {
	mayHaveTakenEffect := false
	for delay := initialResendDelay; ; delay = min(maxResendDelay, 2*delay) {
		err := c.table.Commit(ctx, tx)
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) {
			return err
		}
		mayHaveTakenEffect = mayHaveTakenEffect || unavailable.MayHaveTakenEffect
		if c.wait(ctx, delay) != nil {
			return &UnavailableError{
				MayHaveTakenEffect: mayHaveTakenEffect,
				Cause:              unavailable.Cause,
			}
		}
	}
}

// wait sleeps for d. It returns an error if ctx is done first.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
