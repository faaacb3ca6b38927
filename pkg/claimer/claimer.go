// Package claimer ensures that a caller's id of non-idempotent work is accepted
// only once in the whole system. A claim is a row of the platform's table; its
// version only increases, so that a late release can't undo a newer claim.
package claimer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/bilberrywalk/bilberrywalk/pkg/dispatcher"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// claimTimeout bounds how long a request waits for its claim.
	claimTimeout = 800 * time.Millisecond
	// releaseTimeout bounds how long a release is retried in the background.
	releaseTimeout = 10 * time.Minute
	// claimRetention is how long a claim is kept after its request's
	// deadline. The same id sent again later counts as a new request.
	claimRetention = time.Hour
	// sweepBatchSize is the maximum number of claims that one sweep reads.
	sweepBatchSize = 100
	// maxConflicts bounds the attempts when other claims of the same id
	// change the row at the same time.
	maxConflicts = 4
)

// claim is the value of a claim row.
type claim struct {
	RequestID string `json:"request-id"`
	Entry     string `json:"entry"`
	Released  bool   `json:"released"`
	// KeepUntil is the time from which the row may be deleted.
	KeepUntil time.Time `json:"keep-until"`
}

// Claimer claims ids for one entry. It is safe for concurrent use.
type Claimer struct {
	entry     string
	committer *storer.Committer
	table     storer.Table
}

// New returns a claimer for the entry at the given address.
func New(entry string, table storer.Table) *Claimer {
	return &Claimer{
		entry:     entry,
		committer: storer.NewCommitter(table),
		table:     table,
	}
}

// Claim tries to acquire a caller's id for a request. An error of the table
// gives ClaimUnavailable, after which the claim may still have taken effect.
func (c *Claimer) Claim(ctx context.Context, a dispatcher.Claim) dispatcher.ClaimResult {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	version, err := c.acquire(ctx, a.ID, key(a.Service, a.CallerID), a.Deadline)
	switch {
	case err != nil:
		return dispatcher.ClaimUnavailable
	case version == 0:
		return dispatcher.ClaimTaken
	default:
		return dispatcher.ClaimGranted
	}
}

// Release releases a claim under which nothing ran. It first resolves a claim
// of unknown outcome, so that the caller's id can be used again.
func (c *Claimer) Release(ctx context.Context, a dispatcher.Release) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	rowKey := key(a.Service, a.CallerID)
	version, err := c.acquire(ctx, a.ID, rowKey, a.Deadline)
	if err != nil || version == 0 {
		return err
	}
	err = c.committer.Commit(ctx, storer.Transaction{
		ID: uuid.NewString(),
		Writes: []storer.Write{{
			Key:    rowKey,
			Expect: version,
			Value: storer.EncodeJSON(claim{
				RequestID: a.ID,
				Entry:     c.entry,
				Released:  true,
				KeepUntil: a.Deadline.Add(claimRetention),
			}),
		}},
	})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		// The claim was already released; the row may now belong to another
		// request.
		return nil
	}
	return err
}

// acquire claims a row for a request and returns the version of the row, or
// zero if another request owns it.
func (c *Claimer) acquire(ctx context.Context, requestID, rowKey string, deadline time.Time) (uint64, error) {
	expect := uint64(0)
	for range maxConflicts {
		err := c.committer.Commit(ctx, storer.Transaction{
			ID: transactionID(requestID, expect),
			Writes: []storer.Write{{
				Key:    rowKey,
				Expect: expect,
				Value: storer.EncodeJSON(claim{
					RequestID: requestID,
					Entry:     c.entry,
					KeepUntil: deadline.Add(claimRetention),
				}),
			}},
		})
		if err == nil {
			return expect + 1, nil
		}
		var conflict *storer.ConflictError
		if !errors.As(err, &conflict) {
			return 0, err
		}
		var current claim
		if err := json.Unmarshal(conflict.Row.Value, &current); err != nil {
			return 0, errors.Wrap(err, "decoding a claim")
		}
		if current.RequestID == requestID && !current.Released {
			return conflict.Row.Version, nil
		}
		if !current.Released {
			return 0, nil
		}
		expect = conflict.Row.Version
	}
	return 0, &storer.UnavailableError{
		Cause: "too many claims of one id at once",
	}
}

// Sweep reads one batch of claims after a key, deletes those past their
// retention, and returns the key to continue from, or an empty key after the
// last batch. Several entries may sweep concurrently: a claim that changed
// since it was read is not deleted.
func (c *Claimer) Sweep(ctx context.Context, now time.Time, after string) (string, error) {
	rows, err := c.table.Scan(ctx, "claim/", after, sweepBatchSize)
	if err != nil {
		return after, err
	}
	for _, row := range rows {
		var value claim
		if json.Unmarshal(row.Value, &value) != nil || now.Before(value.KeepUntil) {
			continue
		}
		err := c.table.Commit(ctx, storer.Transaction{
			ID: uuid.NewString(),
			Writes: []storer.Write{{
				Key:    row.Key,
				Expect: row.Version,
				Delete: true,
			}},
		})
		var conflict *storer.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return after, err
		}
	}
	if len(rows) < sweepBatchSize {
		return "", nil
	}
	return rows[len(rows)-1].Key, nil
}

// transactionID returns an id that is the same for each attempt of one claim, so
// that a transaction sent again takes effect once.
func transactionID(requestID string, expect uint64) string {
	return uuid.NewSHA1(uuid.NameSpaceOID, fmt.Appendf(nil, "%s/%d", requestID, expect)).String()
}

// key returns the key of a claim row.
func key(service, callerID string) string {
	return "claim/" + service + "/" + callerID
}
