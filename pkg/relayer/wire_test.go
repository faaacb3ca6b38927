package relayer

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// A peer passes on that the store rejected a change; the caller would retry it for
// ever otherwise.
func TestRejectionIsPassedOn(t *testing.T) {
	own := storer.RowStore{
		Commit: func(context.Context, storer.Change) (uint64, error) {
			return 0, &storer.RejectedError{
				Status: 413,
			}
		},
	}
	sent := execute(context.Background(), own, request{
		Commit: &storer.Change{},
	})
	var received response
	assert.NilError(t, cbor.Unmarshal(storer.EncodeCBOR(sent), &received))
	var rejected *storer.RejectedError
	assert.Assert(t, errors.As(received.err(), &rejected))
	assert.Equal(t, rejected.Status, 413)
}
