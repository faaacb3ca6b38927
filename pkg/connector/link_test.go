package connector

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gobwas/ws"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// faultyConn is one end of a pipe. It discards what is written to it while
// dropWrites is set.
type faultyConn struct {
	net.Conn
	dropWrites atomic.Bool
}

// Write implements net.Conn.
func (c *faultyConn) Write(p []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// pipeEnds are the two ends of a link over a pipe on which no hellos have been
// exchanged yet.
type pipeEnds struct {
	entryConn, agentConn *faultyConn
	entry, agent         *frameConn
}

func newPipeEnds(t *testing.T) *pipeEnds {
	t.Helper()
	fr, err := framer.New()
	assert.NilError(t, err)
	left, right := net.Pipe()
	e := &pipeEnds{
		entryConn: &faultyConn{Conn: left},
		agentConn: &faultyConn{Conn: right},
	}
	e.entry = newFrameConn(e.entryConn, nil, fr, true)
	e.agent = newFrameConn(e.agentConn, nil, fr, false)
	return e
}

// openBoth exchanges the hellos and returns the links of the entry and the agent.
func (e *pipeEnds) openBoth(t *testing.T) (*Link, *Link) {
	t.Helper()
	var entry, agent *Link
	var group errgroup.Group
	group.Go(func() error {
		var err error
		entry, err = openPipe(e.entry, true)
		return err
	})
	group.Go(func() error {
		var err error
		agent, err = openPipe(e.agent, false)
		return err
	})
	assert.NilError(t, group.Wait())
	return entry, agent
}

// openPipe exchanges hellos over a pipe. The pipe has no buffer, so the accepting
// end reads before it writes; otherwise both ends would block in their writes.
func openPipe(c *frameConn, dialled bool) (*Link, error) {
	if dialled {
		return open(c, framer.Hello{Role: framer.RoleEntry, Address: "entry"}, true)
	}
	f, err := c.read()
	if err != nil {
		return nil, err
	}
	if err := c.write(framer.Frame{Hello: &framer.Hello{Version: framer.ProtocolVersion, Role: framer.RoleAgent, Address: "agent"}}); err != nil {
		return nil, err
	}
	if err := c.flush(); err != nil {
		return nil, err
	}
	return &Link{
		Peer:      *f.Hello,
		conn:      c,
		out:       make(chan *framer.Frame, maxQueuedFrames),
		done:      make(chan struct{}),
		finishing: make(chan struct{}),
	}, nil
}

// A link that loses all frames in either direction must be closed by the dialling
// end within the heartbeat interval plus the echo timeout, with an allowance of
// two minimum waits between checks.
func TestSilentPeerIsDetected(t *testing.T) {
	cases := map[string]func(e *pipeEnds){
		"frames to the agent are lost": func(e *pipeEnds) { e.entryConn.dropWrites.Store(true) },
		"frames to the entry are lost": func(e *pipeEnds) { e.agentConn.dropWrites.Store(true) },
		"frames in both directions are lost": func(e *pipeEnds) {
			e.entryConn.dropWrites.Store(true)
			e.agentConn.dropWrites.Store(true)
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newPipeEnds(t)
				entry, agent := e.openBoth(t)
				entry.Busy = func() bool { return true }
				var group errgroup.Group
				// Ends the test if the silence is never detected.
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				group.Go(func() error {
					// The agent's link ends when the entry closes the connection.
					_ = agent.Run(ctx, func(framer.Frame) {})
					return nil
				})
				group.Go(func() error {
					time.Sleep(2 * time.Second)
					fault(e)
					return nil
				})
				started := time.Now()
				err := entry.Run(ctx, func(framer.Frame) {})
				took := time.Since(started) - 2*time.Second
				var timeout *PeerTimeoutError
				assert.Assert(t, errors.As(err, &timeout), "got %v", err)
				assert.Assert(t, took <= BusyInterval+EchoTimeout+2*minWakeDelay, "detected after %s", took)
				cancel()
				assert.NilError(t, group.Wait())
			})
		})
	}
}

// Heartbeats must keep a link without other traffic open.
func TestIdleLinkStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry, agent := newPipeEnds(t).openBoth(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var group errgroup.Group
		group.Go(func() error { return agent.Run(ctx, func(framer.Frame) {}) })
		group.Go(func() error { return entry.Run(ctx, func(framer.Frame) {}) })
		assert.ErrorIs(t, group.Wait(), context.DeadlineExceeded)
	})
}

func TestReadErrors(t *testing.T) {
	cases := map[string]struct {
		bytes         []byte
		protocolError bool
	}{
		"text frame":        {bytes: ws.MustCompileFrame(ws.NewTextFrame([]byte("x"))), protocolError: true},
		"fragment":          {bytes: ws.MustCompileFrame(ws.NewFrame(ws.OpBinary, false, []byte("x"))), protocolError: true},
		"masked by server":  {bytes: ws.MustCompileFrame(ws.MaskFrame(ws.NewBinaryFrame([]byte("x")))), protocolError: true},
		"length over limit": {bytes: []byte{0x82, 127, 0, 0, 0, 1, 0, 0, 0, 0}, protocolError: true},
		"cut mid-frame":     {bytes: []byte{0x82, 10, 1, 2, 3}},
		"close":             {bytes: ws.CompiledClose},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newPipeEnds(t)
			var group errgroup.Group
			group.Go(func() error {
				if _, err := e.agentConn.Conn.Write(c.bytes); err != nil && !errors.Is(err, io.ErrClosedPipe) {
					return err
				}
				return e.agentConn.Close()
			})
			_, err := e.entry.read()
			assert.Assert(t, err != nil)
			var protocol *ProtocolError
			assert.Equal(t, errors.As(err, &protocol), c.protocolError, "got %v", err)
			assert.NilError(t, e.entryConn.Close())
			assert.NilError(t, group.Wait())
		})
	}
}

func TestUnsupportedVersionIsRejected(t *testing.T) {
	e := newPipeEnds(t)
	var group errgroup.Group
	group.Go(func() error {
		if _, err := e.agent.read(); err != nil {
			return err
		}
		if err := e.agent.write(framer.Frame{Hello: &framer.Hello{Version: 99}}); err != nil {
			return err
		}
		return e.agent.flush()
	})
	_, err := open(e.entry, framer.Hello{}, true)
	var protocol *ProtocolError
	assert.Assert(t, errors.As(err, &protocol), "got %v", err)
	assert.NilError(t, group.Wait())
}

func TestFinishDeliversQueuedFrames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry, agent := newPipeEnds(t).openBoth(t)
		received := 0
		var group errgroup.Group
		group.Go(func() error {
			// The entry's link ends when the agent has closed its end.
			_ = entry.Run(t.Context(), func(f framer.Frame) {
				if f.Load != nil {
					received++
				}
			})
			return nil
		})
		group.Go(func() error {
			_ = agent.Run(t.Context(), func(framer.Frame) {})
			return nil
		})
		for range 100 {
			assert.Assert(t, agent.Send(framer.Frame{Load: &framer.Load{}}))
		}
		agent.Finish()
		assert.NilError(t, group.Wait())
		assert.Equal(t, received, 100)
	})
}
