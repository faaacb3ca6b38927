package server

import (
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestOnlyFailedDialsAreNeverSent(t *testing.T) {
	failed := func(op string) error {
		return errors.Wrap(&net.OpError{
			Op:  op,
			Err: errors.New("connection reset"),
		}, "calling a runner")
	}
	assert.Assert(t, NeverSent(failed("dial")))
	assert.Assert(t, !NeverSent(failed("read")))
	assert.Assert(t, !NeverSent(failed("write")))
	assert.Assert(t, !NeverSent(errors.New("closed by the peer")))
}
