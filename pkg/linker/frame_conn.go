package linker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gobwas/ws"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxReusedBufferBytes is the largest payload buffer that a link keeps.
	maxReusedBufferBytes = 64 << 10
	// writeTimeout is how long one write may block.
	writeTimeout = EchoLimit
)

// ProtocolError reports a peer that broke the link's rules.
type ProtocolError struct {
	Rule string
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("link protocol broken: %s", e.Rule)
}

// frameConn reads and writes frames on an upgraded connection.
type frameConn struct {
	conn   net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	framer *framer.Framer
	masks  bool
	buf    []byte
}

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

// write buffers one frame; flush sends what is buffered.
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

// read returns the next frame. A close frame is io.EOF.
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
	payload := c.buffer(int(header.Length))
	if _, err := io.ReadFull(c.r, payload); err != nil {
		return framer.Frame{}, errors.Wrap(err, "reading a frame")
	}
	if header.Masked {
		ws.Cipher(payload, header.Mask, 0)
	}
	return c.framer.Decode(payload)
}

func (c *frameConn) checkHeader(h ws.Header) error {
	switch {
	case h.OpCode != ws.OpBinary || !h.Fin:
		return &ProtocolError{
			Rule: "only whole binary frames are spoken",
		}
	case h.Length > framer.MaxFrameBytes:
		return &ProtocolError{
			Rule: fmt.Sprintf("a frame has at most %d bytes", framer.MaxFrameBytes),
		}
	case h.Masked == c.masks:
		return &ProtocolError{
			Rule: "the dialling end masks and the other does not",
		}
	default:
		return nil
	}
}

func (c *frameConn) buffer(n int) []byte {
	if n > maxReusedBufferBytes {
		return make([]byte, n)
	}
	if n > cap(c.buf) {
		c.buf = make([]byte, n)
	}
	return c.buf[:n]
}
