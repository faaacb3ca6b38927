package server

import (
	"bytes"
	"strconv"
)

// phase is the part of a request that a connection sends next.
type phase int

const (
	phaseIdle phase = iota
	phaseHead
	phaseBody
	phaseChunkLine
	phaseChunk
	phaseTrailer
)

const (
	// linePrefixBytes is how much of a line the scanner keeps: the fields that frame a
	// body are shorter.
	linePrefixBytes = maxChunkLineBytes
	// bytesPerField is what the HTTP library needs for a header field in addition to
	// its bytes.
	bytesPerField = 128
	// maxLengthDigits keeps a length within an int.
	maxLengthDigits = 15
)

var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	identity         = []byte("identity")
)

// scanner follows the requests on a connection closely enough to bound each of their
// parts. It refuses what it and the HTTP library could read differently.
type scanner struct {
	phase phase
	// raw counts the bytes of the unfinished request on the connection.
	raw int
	// part counts the bytes of the head or of the trailers.
	part   int
	fields int
	blank  int
	// line is the beginning of the current line, and lineBytes the length of the line.
	line      [linePrefixBytes]byte
	lineBytes int
	inFirst   bool
	hasLength bool
	chunked   bool
	length    int
	// left is what is left of the body or chunk, and joined the size of all chunks.
	left   int
	joined int
	// finished is what the requests hold that ended in the last call of scan.
	finished int
	// headEnded is set if a head ended in the last call of scan.
	headEnded bool
}

// held estimates the memory that the HTTP library needs for the unfinished request. It
// allocates a body of known length and each chunk before they arrive, and copies what
// spans two of its buffers.
func (s *scanner) held() int {
	return s.raw + s.part + s.fields*bytesPerField + 2*s.length + 3*s.joined
}

// scan processes the next bytes of the connection and returns why they are refused.
func (s *scanner) scan(p []byte, b *Bounds) cause {
	s.finished, s.headEnded = 0, false
	for len(p) > 0 {
		n, refused := s.step(p, b)
		if refused != causeNone {
			return refused
		}
		p = p[n:]
	}
	return causeNone
}

// step processes bytes of one phase and returns their number.
func (s *scanner) step(p []byte, b *Bounds) (int, cause) {
	switch s.phase {
	case phaseIdle:
		return s.begin(p)
	case phaseBody, phaseChunk:
		n := min(len(p), s.left)
		s.raw += n
		s.left -= n
		if s.left == 0 {
			s.endOfData()
		}
		return n, s.checkOverhead(b)
	default:
		return s.stepLine(p, b)
	}
}

// begin skips empty lines before a request.
func (s *scanner) begin(p []byte) (int, cause) {
	n := 0
	for n < len(p) && (p[n] == '\r' || p[n] == '\n') {
		n++
	}
	s.blank += n
	if s.blank > maxBlankBytes {
		return n, causeEmptyLines
	}
	if n < len(p) {
		*s = scanner{
			phase:    phaseHead,
			inFirst:  true,
			finished: s.finished,
		}
	}
	return n, causeNone
}

func (s *scanner) endOfData() {
	if s.phase == phaseBody {
		s.finish()
		return
	}
	s.phase = phaseChunkLine
}

// checkOverhead bounds the bytes of a chunked body on the connection.
func (s *scanner) checkOverhead(b *Bounds) cause {
	if s.raw > 2*b.HeadBytes+maxChunkOverhead*b.BodyBytes {
		return causeBodyTooLarge
	}
	return causeNone
}

func (s *scanner) finish() {
	s.finished += s.held()
	*s = scanner{
		finished:  s.finished,
		headEnded: s.headEnded,
	}
}

// stepLine processes bytes up to the end of a line.
func (s *scanner) stepLine(p []byte, b *Bounds) (int, cause) {
	n := bytes.IndexByte(p, '\n') + 1
	ended := n > 0
	if !ended {
		n = len(p)
	}
	if s.lineBytes < linePrefixBytes {
		copy(s.line[s.lineBytes:], p[:n])
	}
	s.lineBytes += n
	s.raw += n
	if s.phase == phaseChunkLine {
		if s.lineBytes > maxChunkLineBytes {
			return n, causeChunkLine
		}
	} else if s.part += n; s.part > b.HeadBytes+len("\r\n") {
		return n, s.tooLarge()
	}
	if !ended {
		return n, causeNone
	}
	return n, s.endLine(b)
}

func (s *scanner) tooLarge() cause {
	if s.phase == phaseTrailer {
		return causeTrailerTooLarge
	}
	return causeHeadTooLarge
}

// endLine processes a complete line.
func (s *scanner) endLine(b *Bounds) cause {
	prefix := s.line[:min(s.lineBytes, linePrefixBytes)]
	whole := s.lineBytes <= linePrefixBytes
	s.lineBytes = 0
	if whole {
		prefix = bytes.TrimSuffix(prefix[:len(prefix)-1], []byte("\r"))
	}
	empty := len(prefix) == 0
	switch {
	case s.phase == phaseChunkLine:
		return s.beginChunk(prefix, b)
	case s.inFirst:
		s.inFirst = false
		return causeNone
	case empty && s.phase == phaseTrailer:
		s.finish()
		return causeNone
	case empty:
		return s.endHead(b)
	default:
		s.fields++
		return s.field(prefix, whole)
	}
}

// field processes a header field or trailer. It takes no folded lines, which the HTTP
// library joins, and no trailer that the library takes for a chunk.
func (s *scanner) field(prefix []byte, whole bool) cause {
	name, value, found := bytes.Cut(prefix, []byte(":"))
	if prefix[0] == ' ' || prefix[0] == '\t' || !found && whole {
		return causeMalformed
	}
	if s.phase == phaseTrailer {
		if prefix[0] == '0' {
			return causeMalformed
		}
		return causeNone
	}
	isLength, isEncoding := bytes.EqualFold(name, contentLength), bytes.EqualFold(name, transferEncoding)
	if (isLength || isEncoding) && !whole {
		return causeMalformed
	}
	value = bytes.TrimSpace(value)
	switch {
	case isLength:
		return s.setLength(value)
	case isEncoding && !bytes.Equal(value, identity):
		s.chunked = true
	}
	return causeNone
}

// setLength takes a Content-Length. Two different ones are malformed.
func (s *scanner) setLength(value []byte) cause {
	if len(value) == 0 || len(value) > maxLengthDigits || value[0] == '+' || value[0] == '-' {
		return causeMalformed
	}
	n, err := strconv.Atoi(string(value))
	if err != nil || s.hasLength && n != s.length {
		return causeMalformed
	}
	s.hasLength, s.length = true, n
	return causeNone
}

func (s *scanner) endHead(b *Bounds) cause {
	s.headEnded = true
	switch {
	case s.chunked:
		s.length = 0
		s.phase = phaseChunkLine
	case s.length > b.BodyBytes:
		return causeBodyTooLarge
	case s.length > 0:
		s.left = s.length
		s.phase = phaseBody
	default:
		s.finish()
	}
	return causeNone
}

// beginChunk processes the line with a chunk's size: hexadecimal digits, then spaces, as
// the HTTP library takes it.
func (s *scanner) beginChunk(line []byte, b *Bounds) cause {
	digits := bytes.TrimRight(line, " ")
	if len(digits) == 0 || len(digits) > maxLengthDigits || digits[0] == '+' || digits[0] == '-' {
		return causeChunkLine
	}
	n, err := strconv.ParseInt(string(digits), 16, 64)
	if err != nil {
		return causeChunkLine
	}
	if n == 0 {
		s.phase, s.part = phaseTrailer, 0
		return causeNone
	}
	if n > int64(b.BodyBytes-s.joined) {
		return causeBodyTooLarge
	}
	s.joined += int(n)
	s.left = int(n) + len("\r\n")
	s.phase = phaseChunk
	return causeNone
}
