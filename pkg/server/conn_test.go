package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// testServer is a server on loopback that counts the requests that it has run.
type testServer struct {
	address string
	limiter *limiter
	bounds  atomic.Pointer[Bounds]
	ran     atomic.Int64
	// release ends the requests to /wait.
	release chan struct{}
}

func startServer(t testing.TB, limits Limits, bounds Bounds) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &testServer{
		address: ln.Addr().String(),
		limiter: newLimiter(limits),
		release: make(chan struct{}),
	}
	assert.NilError(t, ln.Close())
	s.bounds.Store(&bounds)
	h := newServer(s.address, 1<<20, func() Bounds { return *s.bounds.Load() }, s.limiter)
	h.Any("/*path", func(_ context.Context, c *app.RequestContext) {
		s.ran.Add(1)
		if string(c.Path()) == "/wait" {
			<-s.release
		}
		c.String(http.StatusOK, fmt.Sprint(len(c.Request.Body())))
	})
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return Run(ctx, h) })
	t.Cleanup(func() {
		stop()
		assert.NilError(t, group.Wait())
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			return poll.Continue("%v", err)
		}
		conn.Close()
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	return s
}

// client is one connection to a server.
type client struct {
	t    testing.TB
	conn net.Conn
	r    *bufio.Reader
}

func (s *testServer) dial(t testing.TB) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	// Ends a test that waits for nothing.
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
	return &client{
		t:    t,
		conn: conn,
		r:    bufio.NewReader(conn),
	}
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	assert.NilError(c.t, err)
}

// status returns the status and the headers of the next response.
func (c *client) status() (int, http.Header) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(c.t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(c.t, err)
	return resp.StatusCode, resp.Header
}

// assertClosed checks that the connection ends without a further response.
func (c *client) assertClosed() {
	c.t.Helper()
	rest, _ := io.ReadAll(c.r)
	assert.Equal(c.t, len(rest), 0)
}

// Guards against a refused or cut request that has run, and against a status that says
// something else.
func TestRefusedRequestsHaveNotRun(t *testing.T) {
	s := startServer(t, Limits{}, Bounds{
		HeadBytes:   1024,
		BodyBytes:   4096,
		HeadTimeout: time.Hour,
	})
	chunked := testHead + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name string
		sent string
		want int
	}{
		{"head", testHead + "X: " + strings.Repeat("a", 1024), http.StatusRequestHeaderFieldsTooLarge},
		{"line", strings.Repeat("a", 1100), http.StatusRequestHeaderFieldsTooLarge},
		{"trailers", chunked + "1\r\na\r\n0\r\n" + strings.Repeat("X: a\r\n", 200), http.StatusRequestHeaderFieldsTooLarge},
		{"body", testHead + "Content-Length: 4097\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"chunks", chunked + "1001\r\n", http.StatusRequestEntityTooLarge},
		{"extension", chunked + "1" + strings.Repeat(" ", 100), http.StatusBadRequest},
		{"empty-lines", strings.Repeat("\r\n", 100), http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			peer := s.dial(t)
			peer.send(c.sent)
			status, _ := peer.status()
			assert.Equal(t, status, c.want)
			peer.assertClosed()
		})
	}
	cuts := []string{chunked + "1\r\na\r\n0\r\nX: a\r\n", chunked + "1\r\na\r\n0\r\n", testHead + "Content-Length: 2\r\n\r\na"}
	// The last chunk ends where the library's first buffer does, or next to it.
	const bufferBytes = 4096
	for beyond := range 3 {
		fixed := len(chunked) + len("e00\r\n\r\n0\r\n") + len("100\r\n\r\n")
		filling := bufferBytes - 1 + beyond - fixed - 0xe00
		cuts = append(cuts, chunked+"e00\r\n"+strings.Repeat("a", 0xe00)+"\r\n"+fmt.Sprintf("%03x\r\n", filling)+strings.Repeat("a", filling)+"\r\n0\r\n")
	}
	for _, cut := range cuts {
		peer := s.dial(t)
		peer.send(cut)
		assert.NilError(t, peer.conn.(*net.TCPConn).CloseWrite())
		_, _ = io.ReadAll(peer.r)
	}
	assert.Equal(t, s.ran.Load(), int64(0))
	for _, counted := range []cause{causeHeadTooLarge, causeTrailerTooLarge, causeBodyTooLarge, causeChunkLine, causeEmptyLines} {
		assert.Assert(t, refusals.Get(string(counted)) != nil, "%s is not counted", counted)
	}
}

// Guards against a request within the limits that is refused, in few or many pieces.
func TestRequestsWithinTheLimitsAreServed(t *testing.T) {
	s := startServer(t, Limits{}, Bounds{
		HeadBytes: 1024,
		BodyBytes: 4096,
	})
	body := strings.Repeat("a", 4096)
	sent := testHead + "Content-Length: 4096\r\n\r\n" + body + testHead + "Transfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat("1\r\na\r\n", 4096) + "0\r\nX-End: 1\r\n\r\n" +
		testHead + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\na" +
		testHead + "X: " + strings.Repeat("a", 1024-len(testHead)-5) + "\r\n\r\n"
	for _, n := range []int{1, 7, 1000, len(sent)} {
		peer := s.dial(t)
		for rest := sent; rest != ""; {
			m := min(n, len(rest))
			peer.send(rest[:m])
			rest = rest[m:]
		}
		for _, want := range []int{200, 200, 100, 200, 200} {
			status, _ := peer.status()
			assert.Equal(t, status, want)
		}
	}
}

// Guards against a change of the bounds that running connections do not notice, and
// against a head that may take as long as it likes.
func TestChangedBoundsTakeEffect(t *testing.T) {
	s := startServer(t, Limits{}, Bounds{})
	peer := s.dial(t)
	request := testHead + "Content-Length: 3\r\n\r\nabc"
	peer.send(request)
	status, _ := peer.status()
	assert.Equal(t, status, http.StatusOK)
	s.bounds.Store(&Bounds{
		BodyBytes:   2,
		HeadTimeout: time.Millisecond,
	})
	peer.send(request)
	status, _ = peer.status()
	assert.Equal(t, status, http.StatusRequestEntityTooLarge)
	slow := s.dial(t)
	slow.send(testHead)
	status, _ = slow.status()
	assert.Equal(t, status, http.StatusRequestTimeout)
}

// Guards against unfinished requests that take more than their budget, against another
// connection than the one idle longest being closed, and against the end of a connection
// whose request is being answered.
func TestIdlestConnectionIsClosedForMemory(t *testing.T) {
	s := startServer(t, Limits{
		MemoryBytes: budgetShare * (100 << 10),
	}, Bounds{})
	answering := s.dial(t)
	answering.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	awaitRan(t, s, 1)
	unfinished := func() *client {
		peer := s.dial(t)
		peer.send(testHead + "Content-Length: 16384\r\n\r\na")
		return peer
	}
	first := unfinished()
	awaitClosable(t, s, 1)
	unfinished()
	awaitClosable(t, s, 2)
	unfinished()
	awaitClosable(t, s, 3)
	fourth := unfinished()
	status, header := first.status()
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, header.Get("Retry-After"), "1")
	close(s.release)
	status, _ = answering.status()
	assert.Equal(t, status, http.StatusOK)
	fourth.send(strings.Repeat("a", 16383))
	status, _ = fourth.status()
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, s.ran.Load(), int64(2))
}

func awaitRan(t testing.TB, s *testServer, n int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if have := s.ran.Load(); have < n {
			return poll.Continue("%d ran", have)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// awaitClosable waits until n connections hold an unfinished request and wait for more of it: one
// that has just been read from is not closed for another one.
func awaitClosable(t testing.TB, s *testServer, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.limiter.mu.Lock()
		defer s.limiter.mu.Unlock()
		have := 0
		for c := range s.limiter.conns {
			if c.held > 0 && c.closable() {
				have++
			}
		}
		if have != n {
			return poll.Continue("%d connections wait for more", have)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// Guards against connections without a bound, and against the end of one whose request
// is being answered.
func TestIdlestConnectionIsClosedForAnotherOne(t *testing.T) {
	s := startServer(t, Limits{
		Descriptors: reservedDescriptors + 4,
	}, Bounds{})
	answering := s.dial(t)
	answering.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	awaitRan(t, s, 1)
	for range 20 {
		// A connection is refused while none of the others is idle yet.
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			peer := s.dial(t)
			_, _ = io.WriteString(peer.conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			line, err := peer.r.ReadString('\n')
			if err != nil || !strings.Contains(line, " 200 ") {
				return poll.Continue("%q, %v", line, err)
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if open := s.limiter.snapshot().Open; open > 3 {
			return poll.Continue("%d connections are open", open)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	close(s.release)
	for range 2 {
		status, _ := answering.status()
		assert.Equal(t, status, http.StatusOK)
		answering.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	}
}

// BenchmarkRequest measures one request on an open connection.
func BenchmarkRequest(b *testing.B) {
	s := startServer(b, Limits{}, Bounds{})
	peer := s.dial(b)
	request := []byte(testHead + "Content-Length: 100\r\n\r\n" + strings.Repeat("a", 100))
	response := make([]byte, 1024)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := peer.conn.Write(request); err != nil {
			b.Fatal(err)
		}
		if _, err := peer.conn.Read(response); err != nil {
			b.Fatal(err)
		}
	}
}

// repeatingConn is a connection on which the same request arrives again and again.
type repeatingConn struct {
	net.Conn
	request []byte
}

// Read implements net.Conn.
func (c *repeatingConn) Read(p []byte) (int, error) { return copy(p, c.request), nil }

// Write implements net.Conn.
func (c *repeatingConn) Write(p []byte) (int, error) { return len(p), nil }

// SetReadDeadline implements net.Conn.
func (c *repeatingConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *repeatingConn) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkConn measures what the bounds add to one request, without the network.
func BenchmarkConn(b *testing.B) {
	c := &conn{
		Conn: &repeatingConn{
			request: []byte(testHead + "Content-Length: 100\r\n\r\n" + strings.Repeat("a", 100)),
		},
		limiter:      newLimiter(Limits{}),
		maxBodyBytes: 1 << 20,
	}
	assert.Assert(b, c.limiter.admit(c, time.Now()))
	buffer := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Read(buffer); err != nil {
			b.Fatal(err)
		}
		if _, err := c.Write(buffer[:100]); err != nil {
			b.Fatal(err)
		}
	}
}
