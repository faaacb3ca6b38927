package server

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testHead = "POST /jobs HTTP/1.1\r\nHost: polls.example\r\n"

// scanCase is what a connection sends, and why it is refused or how many requests end.
type scanCase struct {
	name     string
	sent     string
	want     cause
	requests int
}

func scanCases() []scanCase {
	chunked := testHead + "Transfer-Encoding: chunked\r\n\r\n"
	return []scanCase{
		{name: "no-body", sent: "GET / HTTP/1.1\r\n\r\n", requests: 1},
		{name: "bare-line-feeds", sent: "GET / HTTP/1.1\nHost: a\n\n", requests: 1},
		{name: "empty-line-before", sent: "\r\nGET / HTTP/1.1\r\n\r\n", requests: 1},
		{name: "body", sent: testHead + "Content-Length: 3\r\n\r\nabc", requests: 1},
		{name: "largest-body", sent: testHead + "Content-Length: 64\r\n\r\n" + strings.Repeat("a", 64), requests: 1},
		{name: "pipelined", sent: strings.Repeat(testHead+"content-length:1\r\n\r\na", 3), requests: 3},
		{name: "chunks", sent: chunked + "2\r\nab\r\n1 \r\nc\r\n0\r\nX-End: 1\r\n\r\n", requests: 1},
		{name: "bytes-in-chunks", sent: chunked + strings.Repeat("1\r\na\r\n", 64) + "0\r\n\r\n", requests: 1},
		{name: "chunks-over-length", sent: testHead + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", requests: 1},
		{name: "identity", sent: testHead + "Transfer-Encoding: identity\r\nContent-Length: 1\r\n\r\na", requests: 1},
		{name: "unfinished-body", sent: testHead + "Content-Length: 3\r\n\r\nab"},
		{name: "unfinished-trailers", sent: chunked + "1\r\na\r\n0\r\nX-End: 1\r\n"},
		{name: "large-head", sent: testHead + "X: " + strings.Repeat("a", 300), want: causeHeadTooLarge},
		{name: "endless-line", sent: strings.Repeat("a", 300), want: causeHeadTooLarge},
		{name: "many-empty-lines", sent: strings.Repeat("\r\n", 9), want: causeEmptyLines},
		{name: "large-body", sent: testHead + "Content-Length: 65\r\n\r\n", want: causeBodyTooLarge},
		{name: "large-chunk", sent: chunked + "41\r\n", want: causeBodyTooLarge},
		{name: "large-chunks", sent: chunked + "40\r\n" + strings.Repeat("a", 64) + "\r\n1\r\n", want: causeBodyTooLarge},
		{name: "huge-chunk", sent: chunked + "ffffffffffffffff\r\n", want: causeChunkLine},
		{name: "chunk-extension", sent: chunked + "1;a=b\r\n", want: causeChunkLine},
		{name: "endless-chunk-line", sent: chunked + "1" + strings.Repeat(" ", 64), want: causeChunkLine},
		{name: "large-trailers", sent: chunked + "0\r\n" + strings.Repeat("X-End: 1\r\n", 30), want: causeTrailerTooLarge},
		{name: "chunk-in-trailers", sent: chunked + "0\r\n0\r\n", want: causeMalformed},
		{name: "folded-line", sent: testHead + "Content-Length: 1\r\n 0\r\n\r\n", want: causeMalformed},
		{name: "two-lengths", sent: testHead + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", want: causeMalformed},
		{name: "signed-length", sent: testHead + "Content-Length: +1\r\n\r\n", want: causeMalformed},
		{name: "padded-length", sent: testHead + "Content-Length: 1" + strings.Repeat(" ", 64) + "\r\n\r\n", want: causeMalformed},
		{name: "no-colon", sent: testHead + "X\r\n\r\n", want: causeMalformed},
	}
}

func scanBounds() *Bounds {
	return &Bounds{
		HeadBytes: 256,
		BodyBytes: 64,
	}
}

// scanAll scans what is sent in pieces of n bytes.
func scanAll(sent string, n int) (requests int, refused cause) {
	s := &scanner{}
	for len(sent) > 0 && refused == causeNone {
		piece := sent[:min(n, len(sent))]
		sent = sent[len(piece):]
		refused = s.scan([]byte(piece), scanBounds())
		if s.finished > 0 && s.phase == phaseIdle {
			requests++
		}
	}
	return requests, refused
}

// Guards against a part of a request without a bound, and against a request within the
// limits that is refused, however it is split on the way.
func TestScannerBoundsEachPart(t *testing.T) {
	for _, c := range scanCases() {
		t.Run(c.name, func(t *testing.T) {
			for n := 1; n <= len(c.sent); n++ {
				requests, refused := scanAll(c.sent, n)
				assert.Equal(t, refused, c.want, "in pieces of %d bytes", n)
				assert.Equal(t, requests > 0, c.requests > 0, "in pieces of %d bytes", n)
			}
			requests, _ := scanAll(c.sent, 1)
			assert.Equal(t, requests, c.requests)
		})
	}
}

// Guards against a scanner that depends on how its input is split, or that fails.
func FuzzScanner(f *testing.F) {
	for _, c := range scanCases() {
		f.Add(c.sent, 7)
	}
	f.Fuzz(func(t *testing.T, sent string, n int) {
		_, whole := scanAll(sent, len(sent))
		_, split := scanAll(sent, 1+int(uint(n)%64))
		assert.Equal(t, whole, split)
	})
}

// Guards against a deadline that cuts off a slow but steady client, or that one which
// stops making progress can put off.
func TestDeadlinesDependOnProgress(t *testing.T) {
	b := Bounds{
		HeadTimeout: 3 * time.Second,
		IdleTimeout: 15 * time.Second,
	}
	since := time.Unix(0, 0)
	wait := func(p phase, raw int) time.Duration {
		return b.deadline(&scanner{
			phase: p,
			raw:   raw,
		}, since).Sub(since)
	}
	assert.Equal(t, wait(phaseIdle, 0), 15*time.Second)
	assert.Equal(t, wait(phaseHead, 0), 3*time.Second)
	assert.Equal(t, wait(phaseHead, 10<<10), 13*time.Second)
	assert.Equal(t, wait(phaseBody, 0), 15*time.Second)
	assert.Equal(t, wait(phaseChunk, 200<<10), 215*time.Second)
}
