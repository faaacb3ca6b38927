package linker

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
	// Path is where a process takes links.
	Path = "/link"
	// helloTimeout bounds dialling and the exchange of hellos.
	helloTimeout = 2 * time.Second
	// maxQueuedFrames bounds the frames that wait to be written on a link.
	maxQueuedFrames = 1024
	// lingerTime is how long a finished link stays open for its peer to read.
	lingerTime = 100 * time.Millisecond
)

// SilentError ends a link on which nothing was heard in time.
type SilentError struct {
	Peer string
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("link to %s is silent", e.Peer)
}

// Link is one connection between two processes.
type Link struct {
	// Peer is the other end's hello.
	Peer framer.Hello
	// Busy tells whether work is outstanding on the link; it may be nil.
	Busy func() bool

	conn    *frameConn
	dialled bool
	out     chan *framer.Frame
	done    chan struct{}
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

// Accept takes an upgraded connection and exchanges hellos.
func Accept(conn net.Conn, r *bufio.Reader, fr *framer.Framer, own framer.Hello) (*Link, error) {
	return open(newFrameConn(conn, r, fr, false), own, false)
}

func open(c *frameConn, own framer.Hello, dialled bool) (*Link, error) {
	peer, err := exchangeHellos(c, own)
	if err != nil {
		return nil, errors.CombineErrors(err, c.conn.Close())
	}
	return &Link{
		Peer:    peer,
		conn:    c,
		dialled: dialled,
		out:     make(chan *framer.Frame, maxQueuedFrames),
		done:    make(chan struct{}),
		finishing: make(chan struct{}),
	}, nil
}

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
			Rule: "the first frame is a hello",
		}
	}
	if f.Hello.Version != framer.ProtocolVersion {
		return framer.Hello{}, &ProtocolError{
			Rule: fmt.Sprintf("version %d is spoken here, the peer speaks %d", framer.ProtocolVersion, f.Hello.Version),
		}
	}
	return *f.Hello, errors.Wrap(c.conn.SetReadDeadline(time.Time{}), "clearing a read deadline")
}

// Send queues a frame. It never blocks; a full queue closes the link.
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

// Abort ends the link at once.
func (l *Link) Abort() {
	l.conn.conn.Close()
}

// Finish ends the link once what is queued has been written, and gives the
// other end a moment to read it. It must be called once.
func (l *Link) Finish() {
	close(l.finishing)
	<-l.done
}

// Run moves frames until the link ends or ctx is done, and returns why it
// ended. Each frame but heartbeats is handed to receive on one goroutine.
func (l *Link) Run(ctx context.Context, receive func(framer.Frame)) error {
	defer close(l.done)
	heard := make(chan framer.Frame)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return l.readLoop(groupCtx, heard, receive)
	})
	group.Go(func() error {
		defer l.conn.conn.Close()
		return l.writeLoop(groupCtx, heard)
	})
	err := group.Wait()
	if ctx.Err() != nil {
		// A peer that was told to stop too may close the connection first.
		return ctx.Err()
	}
	return err
}

func (l *Link) readLoop(ctx context.Context, heard chan<- framer.Frame, receive func(framer.Frame)) error {
	for {
		f, err := l.conn.read()
		if err != nil {
			return err
		}
		select {
		case heard <- f:
		case <-ctx.Done():
			return ctx.Err()
		}
		if f.Heartbeat == nil {
			receive(f)
		}
	}
}

// writeLoop owns the watch: it sends what is queued and the heartbeats, and
// ends the link when it is silent.
func (l *Link) writeLoop(ctx context.Context, heard <-chan framer.Frame) error {
	watch := NewWatch(time.Now(), l.dialled)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(watch.Wake(time.Now(), l.busy()))
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-heard:
			if echo, ok := watch.Heard(time.Now(), f); ok {
				err = l.conn.write(framer.Frame{Heartbeat: &echo})
			}
		case f := <-l.out:
			err = l.conn.write(*f)
		case <-l.finishing:
			if len(l.out) == 0 {
				return l.linger(ctx, heard)
			}
		case now := <-timer.C:
			if watch.Silent(now) {
				return &SilentError{
					Peer: l.Peer.Address,
				}
			}
			if ping, ok := watch.Ping(now, l.busy()); ok {
				err = l.conn.write(framer.Frame{Heartbeat: &ping})
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

// linger keeps reading for a while after the last write, since closing with
// unread bytes would make the system discard what the peer has yet to read.
func (l *Link) linger(ctx context.Context, heard <-chan framer.Frame) error {
	if err := l.conn.flush(); err != nil {
		return err
	}
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	for {
		select {
		case <-heard:
		case <-timer.C:
			return io.EOF
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Exchange sends frames on a short link of its own and returns the first
// frame that the other end sends back.
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
