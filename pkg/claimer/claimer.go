// Package claimer makes sure that a caller's id of non-idempotent work is
// taken once in the whole system. A claim is a row of the platform's table;
// its version only rises, so that a late release can't undo a newer claim.
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
	// claimLimit bounds how long a request waits for its claim.
	claimLimit = 800 * time.Millisecond
	// settleLimit bounds how long a claim is followed up in the background.
	settleLimit = 10 * time.Minute
	// keepAfterDeadline is how long a claim outlasts its request's deadline:
	// a caller that sends its id again later is taken for a new one.
	keepAfterDeadline = time.Hour
	// sweepLimit is how many claims one look takes in.
	sweepLimit = 100
	// maxConflicts bounds the tries against other claims of the same id.
	maxConflicts = 4
)

// claim is the value of a claim's row.
type claim struct {
	RequestID string `json:"request-id"`
	Entry     string `json:"entry"`
	Released  bool   `json:"released"`
	// KeepUntil is when the row may be deleted.
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

// Claim tries to take a caller's id for a request.
func (c *Claimer) Claim(ctx context.Context, a dispatcher.Claim) dispatcher.ClaimResult {
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	held, err := c.take(ctx, a.ID, key(a.Service, a.CallerID), a.Deadline)
	switch {
	case err != nil:
		return dispatcher.ClaimUnavailable
	case held == 0:
		return dispatcher.ClaimTaken
	default:
		return dispatcher.ClaimGranted
	}
}

// Release gives a claim back because nothing ran under it. It follows a claim
// up whose fate is open, so that the caller's id can be used again.
func (c *Claimer) Release(ctx context.Context, a dispatcher.Release) error {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	rowKey := key(a.Service, a.CallerID)
	held, err := c.take(ctx, a.ID, rowKey, a.Deadline)
	if err != nil || held == 0 {
		return err
	}
	err = c.committer.Commit(ctx, storer.Transaction{
		ID: uuid.NewString(),
		Writes: []storer.Write{{
			Key:    rowKey,
			Expect: held,
			Value: storer.Encode(claim{
				RequestID: a.ID,
				Entry:     c.entry,
				Released:  true,
				KeepUntil: a.Deadline.Add(keepAfterDeadline),
			}),
		}},
	})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		// The claim was released already; the row may belong to another now.
		return nil
	}
	return err
}

// take claims a row for a request and returns the version that it holds, or
// nought if another request holds the row.
func (c *Claimer) take(ctx context.Context, requestID, rowKey string, deadline time.Time) (uint64, error) {
	expect := uint64(0)
	for range maxConflicts {
		err := c.committer.Commit(ctx, storer.Transaction{
			ID: transactionID(requestID, expect),
			Writes: []storer.Write{{
				Key:    rowKey,
				Expect: expect,
				Value: storer.Encode(claim{
					RequestID: requestID,
					Entry:     c.entry,
					KeepUntil: deadline.Add(keepAfterDeadline),
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

// Sweep deletes claims that need not be kept, looking at some after a key, and
// returns the key to go on from. Entries may sweep at once: a claim that
// changed meanwhile is left alone.
func (c *Claimer) Sweep(ctx context.Context, now time.Time, after string) (string, error) {
	rows, err := c.table.Scan(ctx, "claim/", after, sweepLimit)
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
	if len(rows) < sweepLimit {
		return "", nil
	}
	return rows[len(rows)-1].Key, nil
}

// transactionID is the same for each try of one claim.
func transactionID(requestID string, expect uint64) string {
	return uuid.NewSHA1(uuid.NameSpaceOID, fmt.Appendf(nil, "%s/%d", requestID, expect)).String()
}

func key(service, callerID string) string {
	return "claim/" + service + "/" + callerID
}
