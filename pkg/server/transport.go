package server

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cockroachdb/errors"
)

// acceptRetryDelay is the pause after a failed accept, in which descriptors become free.
const acceptRetryDelay = 10 * time.Millisecond

// transport is the library's standard transport on a listener with bounded connections.
type transport struct {
	options      *config.Options
	limiter      *limiter
	bounds       func() Bounds
	maxBodyBytes int

	mu    sync.Mutex
	inner network.Transporter
	down  bool
}

// ListenAndServe implements network.Transporter.
func (t *transport) ListenAndServe(onData network.OnData) error {
	inner, err := t.listen()
	if err != nil || inner == nil {
		return err
	}
	return inner.ListenAndServe(onData)
}

// listen returns the library's transport, or nil after a shutdown.
func (t *transport) listen() (network.Transporter, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, nil
	}
	inner, err := net.Listen(t.options.Network, t.options.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "listening")
	}
	options := *t.options
	options.Listener = &listener{
		Listener:     inner,
		limiter:      t.limiter,
		bounds:       t.bounds,
		maxBodyBytes: t.maxBodyBytes,
	}
	t.inner = standard.NewTransporter(&options)
	return t.inner, nil
}

// Close implements network.Transporter.
func (t *transport) Close() error {
	if inner := t.stop(); inner != nil {
		return inner.Close()
	}
	return nil
}

// Shutdown implements network.Transporter.
func (t *transport) Shutdown(ctx context.Context) error {
	if inner := t.stop(); inner != nil {
		return inner.Shutdown(ctx)
	}
	return nil
}

func (t *transport) stop() network.Transporter {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = true
	return t.inner
}

// listener accepts connections within the limits of the process.
type listener struct {
	net.Listener
	limiter      *limiter
	bounds       func() Bounds
	maxBodyBytes int
}

// Accept implements net.Listener. It does not end because descriptors are lacking.
func (ln *listener) Accept() (net.Conn, error) {
	for {
		inner, err := ln.Listener.Accept()
		if isTemporary(err) {
			ln.limiter.relieve()
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			return nil, err
		}
		c := &conn{
			Conn:         inner,
			limiter:      ln.limiter,
			bounds:       ln.bounds,
			maxBodyBytes: ln.maxBodyBytes,
		}
		if ln.limiter.admit(c, time.Now()) {
			return c, nil
		}
		ln.reject(inner)
	}
}

// reject answers a connection for which there is no room. It does not wait for the peer.
func (ln *listener) reject(inner net.Conn) {
	ln.limiter.record(causeConnections, inner.RemoteAddr().String())
	if inner.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		// A peer that does not get the response sees a closed connection.
		_, _ = inner.Write(causeConnections.response())
	}
	// The connection is not used any more, whether it was closed cleanly or not.
	_ = inner.Close()
}

// isTemporary reports whether a later accept may succeed.
func isTemporary(err error) bool {
	for _, temporary := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED,
	} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}
