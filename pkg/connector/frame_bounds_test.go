package connector

import (
	"bytes"
	"net"
	"runtime"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/gobwas/ws"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// readSent returns the result of reading what a peer sends to the accepting end.
func readSent(t *testing.T, greeted bool, sent []byte) error {
	t.Helper()
	fr, err := framer.New()
	assert.NilError(t, err)
	left, right := net.Pipe()
	c := newFrameConn(left, nil, fr, false)
	c.greeted = greeted
	var group errgroup.Group
	group.Go(func() error {
		// The reader may have enough before the end.
		_, _ = right.Write(sent)
		return right.Close()
	})
	_, err = c.read()
	assert.NilError(t, left.Close())
	assert.NilError(t, group.Wait())
	return err
}

// frameHeader returns the header of a masked frame of n bytes.
func frameHeader(t *testing.T, n int64) []byte {
	t.Helper()
	var b bytes.Buffer
	assert.NilError(t, ws.WriteHeader(&b, ws.Header{
		Fin:    true,
		OpCode: ws.OpBinary,
		Masked: true,
		Length: n,
	}))
	return b.Bytes()
}

// Guards against memory for what an unknown peer only promises to send.
func TestUnknownPeersSendSmallFrames(t *testing.T) {
	var broken *ProtocolError
	assert.Assert(t, errors.As(readSent(t, false, frameHeader(t, maxHelloBytes+1)), &broken))
	assert.Assert(t, !errors.As(readSent(t, false, frameHeader(t, maxHelloBytes)), &broken))
	header := frameHeader(t, framer.MaxFrameBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	assert.Assert(t, readSent(t, true, header) != nil)
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < framer.MaxFrameBytes/2, "%d bytes", allocated)
}

// Guards against large frames without a bound over all links.
func TestArrivingFramesAreBounded(t *testing.T) {
	var broken *ProtocolError
	header := frameHeader(t, framer.MaxFrameBytes)
	arrivingBytes.Store(maxArrivingBytes)
	defer arrivingBytes.Store(0)
	assert.Assert(t, errors.As(readSent(t, true, header), &broken))
	assert.Equal(t, arrivingBytes.Load(), int64(maxArrivingBytes))
}

// Guards against a peer whose frames make the process fail.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{0x82, 0x80, 0, 0, 0, 0})
	f.Add([]byte{0x82, 0xff, 0, 0, 0, 0, 0, 0x1f, 0xff, 0xff, 0, 0, 0, 0, 1})
	f.Add([]byte{0x88, 0x80, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, sent []byte) {
		_ = readSent(t, true, sent)
		assert.Equal(t, arrivingBytes.Load(), int64(0))
	})
}
