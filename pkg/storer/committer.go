package storer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// resendFirst and resendLongest bound the wait before a transaction
	// whose answer was lost is sent again.
	resendFirst   = 20 * time.Millisecond
	resendLongest = 500 * time.Millisecond
)

// Committer commits transactions and settles those whose answer was lost.
type Committer struct {
	table Table
	// wait pauses for d or until ctx is done; tests replace it.
	wait func(ctx context.Context, d time.Duration) error
}

// NewCommitter returns a committer for the table.
func NewCommitter(table Table) *Committer {
	return &Committer{
		table: table,
		wait:  wait,
	}
}

// Commit carries out tx once. A transaction whose answer was lost is sent
// again under its id until the table's word is known or ctx is done. An
// *UnavailableError tells whether the effect is then still open.
func (c *Committer) Commit(ctx context.Context, tx Transaction) error {
	mayHaveTakenEffect := false
	for pause := resendFirst; ; pause = min(resendLongest, 2*pause) {
		err := c.table.Commit(ctx, tx)
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) {
			return err
		}
		mayHaveTakenEffect = mayHaveTakenEffect || unavailable.MayHaveTakenEffect
		if c.wait(ctx, pause) != nil {
			return &UnavailableError{
				MayHaveTakenEffect: mayHaveTakenEffect,
				Cause:              unavailable.Cause,
			}
		}
	}
}

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
