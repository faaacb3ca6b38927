package server

import (
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// flakyListener fails as often as failures says, and then accepts one connection.
type flakyListener struct {
	net.Listener
	failures int
	conn     net.Conn
}

// Accept implements net.Listener.
func (l *flakyListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{
			Op:  "accept",
			Err: syscall.EMFILE,
		}
	}
	return l.conn, nil
}

// Guards against a process that ends because its descriptors are used up.
func TestAcceptSurvivesLackOfDescriptors(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	ln := &listener{
		Listener: &flakyListener{
			failures: 2,
			conn:     near,
		},
		limiter:      newLimiter(Limits{}),
		maxBodyBytes: 1,
	}
	accepted, err := ln.Accept()
	assert.NilError(t, err)
	assert.Equal(t, ln.limiter.snapshot().Open, 1)
	assert.NilError(t, accepted.Close())
	assert.Equal(t, ln.limiter.snapshot().Open, 0)
}
