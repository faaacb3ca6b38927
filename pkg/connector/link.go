package connector

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gobwas/ws"
	"golang.org/x/sync/errgroup"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// Path is the HTTP path at which a process accepts links.
	Path = "/link"
	// helloTimeout is the timeout for dialling and for the exchange of hellos.
	helloTimeout = 2 * time.Second
	// maxQueuedFrames is the maximum number of frames queued for writing on a
	// link.
	maxQueuedFrames = 1024
	// lingerTime is how long a finished link stays open so that its peer can
	// read the last frames.
	lingerTime = 100 * time.Millisecond
)

// PeerTimeoutError reports that a link was closed because nothing was received from
// the peer in time.
type PeerTimeoutError struct {
	Peer string
}

// Error implements error.
func (e *PeerTimeoutError) Error() string {
	return fmt.Sprintf("link to %s timed out: no response from the peer", e.Peer)
}

// Link is one connection between two processes.
type Link struct {
	// Peer is the other end's hello.
	Peer framer.Hello
	// Busy reports whether work is outstanding on the link; nil means never.
	Busy func() bool

	conn *frameConn
	// dialled is set at the end that opened the link.
	dialled   bool
	out       chan *framer.Frame
	done      chan struct{}
	finishing chan struct{}
}

// Dial opens a link to address and exchanges hellos.
func Dial(ctx context.Context, fr *framer.Framer, address string, own framer.Hello) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn, r, _, err := ws.Dialer{}.Dial(ctx, "ws://"+address+Path)
	if err != nil {
		return nil, errors.Wrapf(err, "dialling %s", address)
	}
	return open(newFrameConn(conn, r, fr, true), own, true)
}

// Accept exchanges hellos on an upgraded connection and returns the link.
func Accept(conn net.Conn, r *bufio.Reader, fr *framer.Framer, own framer.Hello) (*Link, error) {
	return open(newFrameConn(conn, r, fr, false), own, false)
}

func open(c *frameConn, own framer.Hello, dialled bool) (*Link, error) {
	peer, err := exchangeHellos(c, own)
	if err != nil {
		return nil, errors.CombineErrors(err, c.conn.Close())
	}
	return &Link{
		Peer:      peer,
		conn:      c,
		dialled:   dialled,
		out:       make(chan *framer.Frame, maxQueuedFrames),
		done:      make(chan struct{}),
		finishing: make(chan struct{}),
	}, nil
}

// exchangeHellos sends own and returns the peer's hello. It returns a
// *ProtocolError if the first frame is no hello or the versions differ.
func exchangeHellos(c *frameConn, own framer.Hello) (framer.Hello, error) {
	own.Version = framer.ProtocolVersion
	if err := c.conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return framer.Hello{}, errors.Wrap(err, "setting a read deadline")
	}
	if err := c.write(framer.Frame{Hello: &own}); err != nil {
		return framer.Hello{}, err
	}
	if err := c.flush(); err != nil {
		return framer.Hello{}, err
	}
	f, err := c.read()
	if err != nil {
		return framer.Hello{}, err
	}
	if f.Hello == nil {
		return framer.Hello{}, &ProtocolError{
			Rule: "the first frame must be a hello",
		}
	}
	if f.Hello.Version != framer.ProtocolVersion {
		return framer.Hello{}, &ProtocolError{
			Rule: fmt.Sprintf("protocol version %d is required, the peer has version %d", framer.ProtocolVersion, f.Hello.Version),
		}
	}
	return *f.Hello, errors.Wrap(c.conn.SetReadDeadline(time.Time{}), "clearing a read deadline")
}

// Send queues a frame and reports whether it was queued. It never blocks; if the
// queue is full, it closes the link.
func (l *Link) Send(f framer.Frame) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.out <- &f:
		return true
	default:
		l.conn.conn.Close()
		return false
	}
}

// Abort closes the link immediately, without waiting for queued frames.
func (l *Link) Abort() {
	l.conn.conn.Close()
}

// Finish closes the link after the queued frames have been written and the peer
// has had time to read them. It must be called at most once.
func (l *Link) Finish() {
	close(l.finishing)
	<-l.done
}

// Run sends and receives frames until the link ends or ctx is done, and returns
// why it ended. It passes each frame except heartbeats to receive, always on the
// same goroutine.
func (l *Link) Run(ctx context.Context, receive func(framer.Frame)) error {
	defer close(l.done)
	received := make(chan framer.Frame)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return l.readLoop(groupCtx, received, receive)
	})
	group.Go(func() error {
		defer l.conn.conn.Close()
		return l.writeLoop(groupCtx, received)
	})
	err := group.Wait()
	if ctx.Err() != nil {
		// A peer that is stopping too may close the connection first.
		return ctx.Err()
	}
	return err
}

func (l *Link) readLoop(ctx context.Context, received chan<- framer.Frame, receive func(framer.Frame)) error {
	for {
		f, err := l.conn.read()
		if err != nil {
			return err
		}
		select {
		case received <- f:
		case <-ctx.Done():
			return ctx.Err()
		}
		if f.Heartbeat == nil {
			receive(f)
		}
	}
}

// writeLoop writes the queued frames and the heartbeats, and closes the link if
// the peer is silent. It alone uses the liveness monitor.
func (l *Link) writeLoop(ctx context.Context, received <-chan framer.Frame) error {
	monitor := NewLivenessMonitor(time.Now(), l.dialled)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(monitor.WakeDelay(time.Now(), l.busy()))
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-received:
			if echo, ok := monitor.RecordFrame(time.Now(), f); ok {
				err = l.conn.write(framer.Frame{Heartbeat: &echo})
			}
		case f := <-l.out:
			err = l.conn.write(*f)
		case <-l.finishing:
			if len(l.out) == 0 {
				return l.linger(ctx, received)
			}
		case now := <-timer.C:
			if monitor.TimedOut(now) {
				return &PeerTimeoutError{
					Peer: l.Peer.Address,
				}
			}
			if heartbeat, ok := monitor.NextHeartbeat(now, l.busy()); ok {
				err = l.conn.write(framer.Frame{Heartbeat: &heartbeat})
			}
		}
		if err != nil {
			return err
		}
		if len(l.out) > 0 {
			continue
		}
		if err := l.conn.flush(); err != nil {
			return err
		}
	}
}

func (l *Link) busy() bool {
	return l.Busy != nil && l.Busy()
}

// linger continues to read for lingerTime after the last write. If a socket is
// closed with unread bytes, the operating system discards the data that the peer
// has not read yet.
func (l *Link) linger(ctx context.Context, received <-chan framer.Frame) error {
	if err := l.conn.flush(); err != nil {
		return err
	}
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	for {
		select {
		case <-received:
		case <-timer.C:
			return io.EOF
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Exchange dials a link for a single exchange, sends frames on it and returns
// the first frame that the other end sends back.
func Exchange(ctx context.Context, fr *framer.Framer, address string, own framer.Hello, frames ...framer.Frame) (framer.Frame, error) {
	l, err := Dial(ctx, fr, address, own)
	if err != nil {
		return framer.Frame{}, err
	}
	defer l.conn.conn.Close()
	if err := l.conn.conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return framer.Frame{}, errors.Wrap(err, "setting a read deadline")
	}
	for _, f := range frames {
		if err := l.conn.write(f); err != nil {
			return framer.Frame{}, err
		}
	}
	if err := l.conn.flush(); err != nil {
		return framer.Frame{}, err
	}
	return l.conn.read()
}
