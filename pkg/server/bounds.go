package server

import "time"

// Bounds limits what one connection may send and how long it may take. A zero field
// means the default.
type Bounds struct {
	// HeadBytes limits a request's head, without the empty line at its end, and the
	// trailers of a chunked body.
	HeadBytes int
	// BodyBytes limits a request's body after its chunks are joined.
	BodyBytes int
	// HeadTimeout is the time for a head, longer for one that makes progress.
	HeadTimeout time.Duration
	// IdleTimeout is the time without a request, and the time for a body, longer for
	// one that makes progress.
	IdleTimeout time.Duration
}

const (
	defaultHeadBytes = 16 << 10
	// maxHeadBytes is the largest head that the HTTP library takes.
	maxHeadBytes       = 1 << 20
	defaultHeadTimeout = 10 * time.Second
	// minBytesPerSecond is the rate at which a head or body may arrive however long it
	// takes.
	minBytesPerSecond = 1 << 10
	// maxBlankBytes limits the empty lines before a request.
	maxBlankBytes = 16
	// maxChunkLineBytes limits the line with the size of a chunk.
	maxChunkLineBytes = 64
	// maxChunkOverhead limits what a chunked body takes on the connection: a byte in a
	// chunk of its own takes 6 bytes.
	maxChunkOverhead = 8
)

// orDefaults fills in the defaults and limits the body to maxBodyBytes.
func (b Bounds) orDefaults(maxBodyBytes int) Bounds {
	if b.HeadBytes <= 0 {
		b.HeadBytes = defaultHeadBytes
	}
	b.HeadBytes = min(b.HeadBytes, maxHeadBytes)
	if b.BodyBytes <= 0 || b.BodyBytes > maxBodyBytes {
		b.BodyBytes = maxBodyBytes
	}
	if b.HeadTimeout <= 0 {
		b.HeadTimeout = defaultHeadTimeout
	}
	if b.IdleTimeout <= 0 {
		b.IdleTimeout = idleTimeout
	}
	return b
}

// deadline returns when the part of a request that began at since has to be complete.
func (b *Bounds) deadline(s *scanner, since time.Time) time.Time {
	switch s.phase {
	case phaseIdle:
		return since.Add(b.IdleTimeout)
	case phaseHead:
		return since.Add(b.HeadTimeout + timeAtMinRate(s.raw))
	default:
		return since.Add(b.IdleTimeout + timeAtMinRate(s.raw))
	}
}

func timeAtMinRate(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / minBytesPerSecond
}
