package framer

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Limits of a frame. A frame that exceeds one of them closes its link.
const (
	MaxFrameBytes    = 2 << 20
	maxNestingLevels = 8
	maxElements      = 1 << 16
	maxIDBytes       = 128
	maxAttempt       = 1 << 16
	maxDuration      = 30 * 24 * time.Hour
)

// MalformedError reports a frame that exceeds a limit, cannot be decoded or has
// an invalid field.
type MalformedError struct {
	// Field is the path of the invalid field, or "frame" for the frame itself.
	Field string
	Cause string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed frame: %s: %s", e.Field, e.Cause)
}

// Framer encodes and decodes frames. It is safe for concurrent use.
type Framer struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// New returns a Framer that enforces the limits of this package.
func New() (*Framer, error) {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "building the frame encoder")
	}
	dec, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   maxNestingLevels,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		IndefLength:       cbor.IndefLengthForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		return nil, errors.Wrap(err, "building the frame decoder")
	}
	return &Framer{
		enc: enc,
		dec: dec,
	}, nil
}

// Encode returns the CBOR encoding of a frame. It returns a *MalformedError if
// the encoding exceeds MaxFrameBytes.
func (f *Framer) Encode(frame Frame) ([]byte, error) {
	data, err := f.enc.Marshal(frame)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a frame")
	}
	if len(data) > MaxFrameBytes {
		return nil, &MalformedError{
			Field: "frame",
			Cause: fmt.Sprintf("%d bytes; at most %d are allowed", len(data), MaxFrameBytes),
		}
	}
	return data, nil
}

// Decode decodes and validates the frame in data. The frame keeps no reference
// to data. Any error is a *MalformedError.
func (f *Framer) Decode(data []byte) (Frame, error) {
	if len(data) > MaxFrameBytes {
		return Frame{}, &MalformedError{
			Field: "frame",
			Cause: fmt.Sprintf("%d bytes; at most %d are allowed", len(data), MaxFrameBytes),
		}
	}
	var frame Frame
	if err := f.dec.Unmarshal(data, &frame); err != nil {
		return Frame{}, &MalformedError{
			Field: "frame",
			Cause: err.Error(),
		}
	}
	if err := checkFrame(frame); err != nil {
		return Frame{}, err
	}
	return frame, nil
}

func checkFrame(frame Frame) error {
	if n := countMessages(frame); n != 1 {
		return &MalformedError{
			Field: "frame",
			Cause: fmt.Sprintf("%d messages; exactly one is allowed", n),
		}
	}
	switch {
	case frame.Start != nil:
		return checkStart(frame.Start)
	case frame.Refused != nil:
		return checkAttempt("refused", frame.Refused.ID, frame.Refused.Attempt)
	case frame.Answer != nil:
		return checkAnswer(frame.Answer)
	case frame.Failed != nil:
		return checkAttempt("failed", frame.Failed.ID, frame.Failed.Attempt)
	case frame.Fence != nil:
		if err := checkAttempt("fence", frame.Fence.ID, frame.Fence.Attempt); err != nil {
			return err
		}
		return checkDuration("fence.remember", frame.Fence.RetainFor)
	case frame.Fenced != nil:
		return checkAttempt("fenced", frame.Fenced.ID, frame.Fenced.Attempt)
	default:
		return nil
	}
}

func countMessages(frame Frame) int {
	n := 0
	for _, set := range []bool{
		frame.Hello != nil,
		frame.Heartbeat != nil,
		frame.Start != nil,
		frame.Refused != nil,
		frame.Answer != nil,
		frame.Failed != nil,
		frame.Fence != nil,
		frame.Fenced != nil,
		frame.Load != nil,
		frame.Members != nil,
		frame.Documents != nil,
		frame.Leave != nil,
		frame.Sync != nil,
		frame.Report != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

func checkStart(s *Start) error {
	if err := checkAttempt("start", s.ID, s.Attempt); err != nil {
		return err
	}
	if err := checkDuration("start.remaining", s.Remaining); err != nil {
		return err
	}
	return checkDuration("start.age", s.Age)
}

func checkAnswer(a *Answer) error {
	if a.Part < 0 {
		return &MalformedError{
			Field: "answer.part",
			Cause: "negative",
		}
	}
	return checkAttempt("answer", a.ID, a.Attempt)
}

func checkAttempt(message, id string, attempt int) error {
	if id == "" || len(id) > maxIDBytes {
		return &MalformedError{
			Field: message + ".id",
			Cause: fmt.Sprintf("%d bytes; 1 to %d are allowed", len(id), maxIDBytes),
		}
	}
	if attempt < 1 || attempt > maxAttempt {
		return &MalformedError{
			Field: message + ".attempt",
			Cause: fmt.Sprintf("%d; 1 to %d are allowed", attempt, maxAttempt),
		}
	}
	return nil
}

func checkDuration(field string, d time.Duration) error {
	if d < 0 || d > maxDuration {
		return &MalformedError{
			Field: field,
			Cause: fmt.Sprintf("%s; 0s to %s are allowed", d, maxDuration),
		}
	}
	return nil
}
