package connector

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gobwas/ws"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxReusedBufferBytes is the size of the largest payload buffer that a
	// link keeps for reuse.
	maxReusedBufferBytes = 64 << 10
	// maxHelloBytes is the size of the largest first frame on an accepted link. It comes
	// from a peer of which nothing is known.
	maxHelloBytes = 16 << 10
	// maxArrivingBytes is the size of all frames together that are arriving on accepted
	// links and larger than maxReusedBufferBytes.
	maxArrivingBytes = 8 * framer.MaxFrameBytes
	// writeTimeout is the maximum time for which one write may block.
	writeTimeout = EchoTimeout
)

// ProtocolError reports a peer that violated the link protocol. Rule is the rule
// that it violated.
type ProtocolError struct {
	Rule string
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("link protocol violated: %s", e.Rule)
}

// frameConn reads and writes frames on a connection that has been upgraded to a
// WebSocket. It masks the frames that it writes if masks is set.
type frameConn struct {
	conn   net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	framer *framer.Framer
	masks  bool
	buf    []byte
	// greeted is set once a frame has been read.
	greeted bool
}

// arrivingBytes counts the bytes of maxArrivingBytes that are in use.
var arrivingBytes atomic.Int64

func newFrameConn(conn net.Conn, r *bufio.Reader, fr *framer.Framer, masks bool) *frameConn {
	if r == nil {
		r = bufio.NewReaderSize(conn, readBufferBytes)
	}
	return &frameConn{
		conn:   conn,
		r:      r,
		w:      bufio.NewWriterSize(conn, writeBufferBytes),
		framer: fr,
		masks:  masks,
	}
}

// write adds one frame to the write buffer; flush sends the buffered frames.
func (c *frameConn) write(f framer.Frame) error {
	payload, err := c.framer.Encode(f)
	if err != nil {
		return err
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "setting a write deadline")
	}
	frame := ws.NewBinaryFrame(payload)
	if c.masks {
		frame = ws.MaskFrameInPlace(frame)
	}
	return errors.Wrap(ws.WriteFrame(c.w, frame), "writing a frame")
}

func (c *frameConn) flush() error {
	return errors.Wrap(c.w.Flush(), "flushing frames")
}

// read returns the next frame, or io.EOF for a close frame.
func (c *frameConn) read() (framer.Frame, error) {
	header, err := ws.ReadHeader(c.r)
	if err != nil {
		return framer.Frame{}, errors.Wrap(err, "reading a frame header")
	}
	if header.OpCode == ws.OpClose {
		return framer.Frame{}, io.EOF
	}
	if err := c.checkHeader(header); err != nil {
		return framer.Frame{}, err
	}
	payload, err := c.readPayload(int(header.Length))
	if err != nil {
		return framer.Frame{}, err
	}
	if header.Masked {
		ws.Cipher(payload, header.Mask, 0)
	}
	c.greeted = true
	return c.framer.Decode(payload)
}

// readPayload reads n bytes. Those of a large frame get memory as they arrive, and only
// so much on all accepted links together.
func (c *frameConn) readPayload(n int) ([]byte, error) {
	if n <= maxReusedBufferBytes {
		payload := c.buffer(n)
		_, err := io.ReadFull(c.r, payload)
		return payload, errors.Wrap(err, "reading a frame")
	}
	if !c.masks {
		defer arrivingBytes.Add(-int64(n))
		if arrivingBytes.Add(int64(n)) > maxArrivingBytes {
			return nil, &ProtocolError{
				Rule: "too many large frames are arriving",
			}
		}
	}
	var payload []byte
	for have := 0; have < n; have = len(payload) {
		more := min(n-have, max(maxReusedBufferBytes, have))
		payload = slices.Grow(payload, more)[:have+more]
		if _, err := io.ReadFull(c.r, payload[have:]); err != nil {
			return nil, errors.Wrap(err, "reading a frame")
		}
	}
	return payload, nil
}

func (c *frameConn) checkHeader(h ws.Header) error {
	switch {
	case h.OpCode != ws.OpBinary || !h.Fin:
		return &ProtocolError{
			Rule: "only unfragmented binary frames are supported",
		}
	case h.Length > framer.MaxFrameBytes:
		return &ProtocolError{
			Rule: fmt.Sprintf("a frame may have at most %d bytes", framer.MaxFrameBytes),
		}
	case !c.greeted && !c.masks && h.Length > maxHelloBytes:
		return &ProtocolError{
			Rule: fmt.Sprintf("the first frame may have at most %d bytes", maxHelloBytes),
		}
	case h.Masked == c.masks:
		return &ProtocolError{
			Rule: "the dialling end must mask its frames and the accepting end must not",
		}
	default:
		return nil
	}
}

// buffer returns a buffer of n bytes, which may be reused by the next read.
func (c *frameConn) buffer(n int) []byte {
	if n > cap(c.buf) {
		c.buf = make([]byte, n)
	}
	return c.buf[:n]
}
