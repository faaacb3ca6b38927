package framer

import (
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func newFramer(t testing.TB) *Framer {
	t.Helper()
	f, err := New()
	assert.NilError(t, err)
	return f
}

func startFrame() Frame {
	return Frame{
		Start: &Start{
			ID:        "r1",
			Attempt:   1,
			Kind:      "list-check",
			Remaining: 2 * time.Second,
			Body:      []byte("list"),
		},
	}
}

func TestRoundTrip(t *testing.T) {
	f := newFramer(t)
	frames := map[string]Frame{
		"start": startFrame(),
		"heartbeat": {
			Heartbeat: &Heartbeat{
				Sequence: 7,
			},
		},
		"answer": {
			Answer: &Answer{
				ID:      "r1",
				Attempt: 2,
				Last:    true,
				Status:  200,
				Body:    []byte("clean"),
			},
		},
		"load": {
			Load: &Load{
				Slots: 8,
				FreeSlots: []KindFreeSlots{{
					Kind:      "dial",
					FreeSlots: 3,
				}},
			},
		},
	}
	for name, frame := range frames {
		t.Run(name, func(t *testing.T) {
			data, err := f.Encode(frame)
			assert.NilError(t, err)
			decoded, err := f.Decode(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, decoded, frame)
		})
	}
}

func TestMalformedFramesAreRejected(t *testing.T) {
	f := newFramer(t)
	cases := map[string]Frame{
		"no message":         {},
		"two messages":       {Heartbeat: &Heartbeat{}, Leave: &Leave{}},
		"no id":              {Start: &Start{Attempt: 1}},
		"long id":            {Fence: &Fence{ID: string(bytes.Repeat([]byte("x"), 129)), Attempt: 1}},
		"no attempt":         {Refused: &Refused{ID: "r1"}},
		"negative remaining": {Start: &Start{ID: "r1", Attempt: 1, Remaining: -1}},
		"negative part":      {Answer: &Answer{ID: "r1", Attempt: 1, Part: -1}},
	}
	for name, frame := range cases {
		t.Run(name, func(t *testing.T) {
			data, err := f.Encode(frame)
			assert.NilError(t, err)
			_, err = f.Decode(data)
			var malformed *MalformedError
			assert.Assert(t, errors.As(err, &malformed), "got %v", err)
		})
	}
	t.Run("too large", func(t *testing.T) {
		frame := startFrame()
		frame.Start.Body = make([]byte, MaxFrameBytes)
		_, err := f.Encode(frame)
		var malformed *MalformedError
		assert.Assert(t, errors.As(err, &malformed), "got %v", err)
	})
}

// FuzzDecode passes arbitrary bytes to the decoder, which must either return a
// MalformedError or a frame that can be encoded again.
func FuzzDecode(f *testing.F) {
	fr := newFramer(f)
	seed, err := fr.Encode(startFrame())
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{0xa0})
	f.Add([]byte{0xa1, 0x65, 's', 't', 'a', 'r', 't', 0xf6})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := fr.Decode(data)
		if err != nil {
			var malformed *MalformedError
			assert.Assert(t, errors.As(err, &malformed), "got %v", err)
			return
		}
		_, err = fr.Encode(frame)
		assert.NilError(t, err)
	})
}

func BenchmarkStartFrame(b *testing.B) {
	f := newFramer(b)
	frame := startFrame()
	b.ReportAllocs()
	for b.Loop() {
		data, err := f.Encode(frame)
		assert.NilError(b, err)
		_, err = f.Decode(data)
		assert.NilError(b, err)
	}
}
