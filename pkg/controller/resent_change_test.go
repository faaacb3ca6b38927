package controller

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/relayer"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// The attempt without an answer may have taken effect, so the change must not be
// reported as refused because a later attempt was.
func TestRejectedRetryLeavesOutcomeUnknown(t *testing.T) {
	h := newOwnerHarness(t)
	// No call of this relay has failed.
	h.entry.relay = relayer.New(storer.RowStore{}, nil, h.entry.clock.Now)
	answers := []error{
		&storer.UnavailableError{
			MayHaveTakenEffect: true,
		},
		&storer.RejectedError{
			Status: 404,
		},
	}
	assert.NilError(t, h.entry.group.Wait())
	h.entry.store.Commit = func(context.Context, storer.Change) (uint64, error) {
		err := answers[0]
		answers = answers[1:]
		return 0, err
	}
	err := h.entry.commitJobChange(t.Context(), storer.Change{})
	var unknown *OutcomeUnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
}
