package server

import (
	"bytes"
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// writeTimeout is how long a peer may leave a response unread.
	writeTimeout = time.Minute
	// refusalTimeout limits the write of a refusal and the reads after it.
	refusalTimeout = 200 * time.Millisecond
	// maxLingerBytes is read and dropped after a refusal, because a socket that is closed
	// with unread bytes discards the response.
	maxLingerBytes = 256 << 10
	// graceTime is how long a read waits after its deadline. What arrived while the
	// process was not running is read in it.
	graceTime = 100 * time.Millisecond
)

var switchingProtocols = []byte("HTTP/1.1 101")

// conn is an accepted connection whose requests are bounded. The HTTP library reads
// whole heads from it, or as much as fits into its buffer.
type conn struct {
	net.Conn
	limiter      *limiter
	bounds       func() Bounds
	maxBodyBytes int

	scanner scanner
	current Bounds
	// since is when the connection became idle or its request began.
	since time.Time
	// retained is what the HTTP library keeps of earlier requests, and answering what
	// it holds of the requests that it has read completely.
	retained  int
	answering int
	// responding is set from the first write of a response to the next read.
	responding bool
	// upgraded is set once the connection is no longer used for HTTP.
	upgraded bool
	refused  *refusedError

	// The limiter's lock protects the following fields.
	held      int
	active    time.Time
	reading   bool
	closedFor cause
}

// closable reports whether the connection waits for its peer.
func (c *conn) closable() bool {
	return c.reading && c.closedFor == causeNone
}

// Read returns at the end of a head or request, or if p is full. The HTTP library parses
// and copies an incomplete head again with each read.
func (c *conn) Read(p []byte) (int, error) {
	if c.upgraded {
		return c.Conn.Read(p)
	}
	if c.refused != nil {
		return 0, c.refused
	}
	c.prepare()
	n, late := 0, onTime
	for {
		m, err := c.readOnce(p[n:], &late)
		if err != nil {
			return 0, c.orCut(err)
		}
		n += m
		if n == len(p) || c.scanner.headEnded || c.scanner.finished > 0 {
			return n, nil
		}
	}
}

// prepare begins to wait for a request or for the rest of one.
func (c *conn) prepare() {
	if c.scanner.phase == phaseIdle || c.current.HeadBytes == 0 {
		c.takeBounds()
	}
	if c.responding || c.since.IsZero() {
		c.responding = false
		c.since = time.Time{}
	}
	if c.answering > minRetainedBytes {
		c.retained = max(c.retained, min(c.answering, maxRetainedBytes))
	}
	c.answering = 0
}

// takeBounds takes the bounds that are in force now.
func (c *conn) takeBounds() {
	var b Bounds
	if c.bounds != nil {
		b = c.bounds()
	}
	c.current = b.orDefaults(c.maxBodyBytes)
}

// mayIdle reports whether an idle connection has more time by the bounds that are in force
// now, which may have changed while it waited.
func (c *conn) mayIdle(now time.Time) bool {
	if c.scanner.phase != phaseIdle {
		return false
	}
	c.takeBounds()
	return now.Before(c.current.deadline(&c.scanner, c.since))
}

// lateness is how a call of Read stands to the deadline: after it, one more read gets what
// has arrived while the process was not running.
type lateness int

const (
	onTime lateness = iota
	lastRead
	tooLate
)

// readOnce reads and scans what the peer has sent. It returns zero bytes once if the
// deadline passes, and then a refusal.
func (c *conn) readOnce(p []byte, late *lateness) (int, error) {
	now := time.Now()
	if c.since.IsZero() {
		c.since = now
	}
	idle := c.scanner.phase == phaseIdle
	deadline := c.current.deadline(&c.scanner, c.since)
	if *late == lastRead {
		deadline = now.Add(graceTime)
		*late = tooLate
	}
	if why := c.limiter.beginRead(c, now, deadline, c.retained+c.scanner.held()); why != causeNone {
		return 0, c.refuse(why, nil)
	}
	n, err := c.Conn.Read(p)
	if idle && n > 0 {
		// The bounds may have changed since the connection began to wait.
		c.takeBounds()
	}
	why := c.scanner.scan(p[:n], &c.current)
	if idle && c.scanner.phase != phaseIdle {
		// The time for a head begins with its first byte.
		c.since = time.Time{}
	}
	c.answering += c.scanner.finished
	chosen := c.limiter.endRead(c, c.retained+c.answering+c.scanner.held())
	switch {
	case why != causeNone:
		return n, c.refuse(why, p)
	case chosen != causeNone:
		return n, c.refuse(chosen, nil)
	case n > 0:
		return n, nil
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return 0, err
	case c.mayIdle(time.Now()):
		return 0, nil
	case *late == onTime:
		*late = lastRead
		return 0, nil
	default:
		return 0, c.expire()
	}
}

// expire ends a connection whose peer took too long.
func (c *conn) expire() error {
	switch c.scanner.phase {
	case phaseIdle:
		return io.EOF
	case phaseHead:
		return c.refuse(causeHeadTimeout, nil)
	default:
		return c.refuse(causeBodyTimeout, nil)
	}
}

// orCut returns what a read reports for err: a request that is cut off must not look like
// one that ended.
func (c *conn) orCut(err error) error {
	switch {
	case c.refused != nil:
		return c.refused
	case c.scanner.phase == phaseIdle:
		return err
	default:
		return &refusedError{
			Cause: causeCut,
		}
	}
}

// refuse answers the request that was read last, if there is one, and ends the use of the
// connection: the request has not run. If scratch is not nil, it is used to read on for a
// moment.
func (c *conn) refuse(why cause, scratch []byte) error {
	c.refused = &refusedError{
		Cause: why,
	}
	c.limiter.record(why, c.RemoteAddr().String())
	if c.scanner.phase == phaseIdle && c.scanner.finished == 0 && why != causeEmptyLines {
		return c.refused
	}
	end := time.Now().Add(refusalTimeout)
	if c.Conn.SetDeadline(end) != nil {
		return c.refused
	}
	if _, err := c.Conn.Write(why.response()); err != nil || len(scratch) == 0 {
		return c.refused
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		for n := 0; n < maxLingerBytes; {
			m, err := c.Conn.Read(scratch)
			if err != nil {
				break
			}
			n += m
		}
	}
	return c.refused
}

// Write writes a part of a response, which the peer has to read in time.
func (c *conn) Write(p []byte) (int, error) {
	if c.upgraded {
		return c.Conn.Write(p)
	}
	if c.refused != nil {
		return 0, c.refused
	}
	first := !c.responding
	c.responding = true
	if first && bytes.HasPrefix(p, switchingProtocols) {
		return c.upgrade(p)
	}
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// upgrade writes the last response before the connection is used for another protocol.
func (c *conn) upgrade(p []byte) (int, error) {
	c.upgraded = true
	c.limiter.upgrade(c)
	if err := c.Conn.SetDeadline(time.Time{}); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}

// SetDeadline has an effect only once the connection is not used for HTTP: until then,
// the deadlines follow the phases of the requests.
func (c *conn) SetDeadline(t time.Time) error {
	if !c.upgraded {
		return nil
	}
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline has an effect only once the connection is not used for HTTP.
func (c *conn) SetReadDeadline(t time.Time) error {
	if !c.upgraded {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline has an effect only once the connection is not used for HTTP.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if !c.upgraded {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}
