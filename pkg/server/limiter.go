package server

import (
	"cmp"
	"expvar"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

const (
	defaultMemoryBytes = 184_000_000
	// defaultDescriptors is what the smallest instance has; 200 are kept for files.
	defaultDescriptors  = 4100
	reservedDescriptors = 200
	// budgetShare is the part of a process's memory for unfinished requests. Connections
	// that are being closed may hold as much again.
	budgetShare = 5
	// maxLeaving is the number of connections that may be closing for lack of room when
	// another one is accepted.
	maxLeaving = 32
	// maxRetainedBytes is the largest buffer that the HTTP library keeps for the next
	// request of a connection, and minRetainedBytes the size of its first one.
	maxRetainedBytes = 512 << 10
	minRetainedBytes = 4 << 10
	linesPerSecond   = 1
	lineBurst        = 5
)

// Limits limits what all listeners of a process hold together. A zero field means the
// default.
type Limits struct {
	// MemoryBytes is the memory of the process; unfinished requests may take a fifth.
	MemoryBytes int64
	// Descriptors is the number of descriptors of the process; three quarters of them,
	// without 200 for files, may be accepted connections.
	Descriptors int
}

// process holds the connections of all listeners of the process.
var process = newProcessLimiter()

// refusals counts the refused requests and closed connections by cause.
var refusals = expvar.NewMap("refusals")

func init() {
	expvar.Publish("accepted-connections", expvar.Func(func() any { return process.snapshot() }))
}

// SetLimits sets the limits of the process.
func SetLimits(limits Limits) { process.setLimits(limits) }

// SetLogger sets the logger that refusals are written to.
func SetLogger(log hclog.Logger) { process.setLogger(log) }

// limiter bounds the connections of a process and the bytes of their unfinished requests.
type limiter struct {
	lines      *rate.Limiter
	suppressed atomic.Int64
	// collector is nil in a limiter that is not the process's.
	collector *collector

	mu       sync.Mutex
	log      hclog.Logger
	memory   int64
	budget   int
	maxConns int
	conns    map[*conn]struct{}
	// held is what all connections hold, and leaving what those of them hold that are
	// being closed for lack of room.
	held         int
	leaving      int
	leavingConns int
}

func newProcessLimiter() *limiter {
	l := newLimiter(Limits{})
	l.collector = newCollector()
	return l
}

func newLimiter(limits Limits) *limiter {
	l := &limiter{
		lines: rate.NewLimiter(linesPerSecond, lineBurst),
		log:   hclog.NewNullLogger(),
		conns: map[*conn]struct{}{},
	}
	l.setLimits(limits)
	return l
}

func (l *limiter) setLimits(limits Limits) {
	if limits.MemoryBytes <= 0 {
		limits.MemoryBytes = defaultMemoryBytes
	}
	if limits.Descriptors <= 0 {
		limits.Descriptors = defaultDescriptors
	}
	var own syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own) == nil && own.Cur < uint64(limits.Descriptors) {
		limits.Descriptors = int(own.Cur)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memory = limits.MemoryBytes
	l.budget = int(limits.MemoryBytes / budgetShare)
	l.maxConns = max(1, (limits.Descriptors-reservedDescriptors)*3/4)
}

func (l *limiter) setLogger(log hclog.Logger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log = log
}

// connectionCounts is what the metrics show of a limiter.
type connectionCounts struct {
	Open        int `json:"open"`
	Limit       int `json:"limit"`
	HeldBytes   int `json:"held-bytes"`
	BudgetBytes int `json:"budget-bytes"`
}

func (l *limiter) snapshot() connectionCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return connectionCounts{
		Open:        len(l.conns),
		Limit:       l.maxConns,
		HeldBytes:   l.held,
		BudgetBytes: l.budget,
	}
}

// admit adds a connection and reports whether there is room for it. If there is none, the
// connection that has been idle longest is closed.
func (l *limiter) admit(c *conn, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns)-l.leavingConns >= l.maxConns {
		if l.leavingConns >= maxLeaving || !l.closeIdlest(causeConnections, c) {
			return false
		}
	}
	c.active = now
	l.conns[c] = struct{}{}
	return true
}

// relieve closes the connection that has been idle longest, for lack of descriptors.
func (l *limiter) relieve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdlest(causeDescriptors, nil)
}

// closeIdlest closes the connection other than c that has been idle longest, and reports
// whether there is one.
func (l *limiter) closeIdlest(why cause, c *conn) bool {
	var idlest *conn
	for other := range l.conns {
		if other != c && other.closable() && (idlest == nil || other.active.Before(idlest.active)) {
			idlest = other
		}
	}
	if idlest != nil {
		l.close(idlest, why)
	}
	return idlest != nil
}

// close makes the goroutine that reads from c close it.
func (l *limiter) close(c *conn, why cause) {
	c.closedFor = why
	l.leaving += c.held
	l.leavingConns++
	// It fails only for a connection that is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// remove forgets a connection that is closed.
func (l *limiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	l.held -= c.held
	if c.closedFor != causeNone {
		l.leaving -= c.held
		l.leavingConns--
	}
}

// beginRead marks a connection as waiting for its peer, with what it holds, and sets its
// deadline. Only such a connection may be closed for lack of room: the HTTP library reads
// only while no request is being answered.
func (l *limiter) beginRead(c *conn, now, deadline time.Time, held int) cause {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.reading = true
	l.setHeld(c, held)
	if c.closedFor == causeNone {
		// It fails only for a closed connection, and then the read does, too.
		_ = c.Conn.SetReadDeadline(deadline)
		c.active = now
	}
	return c.closedFor
}

// endRead marks a connection as not waiting, with what it holds now. It returns why the
// connection has to be closed: it was chosen, or what others hold cannot be freed.
func (l *limiter) endRead(c *conn, held int) cause {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.reading = false
	l.setHeld(c, held)
	if l.collector != nil {
		l.collector.observe(l.held, l.budget, l.memory)
	}
	if c.closedFor == causeNone && l.held-l.leaving > l.budget && !l.free(c) || l.held > 2*l.budget {
		return causeMemory
	}
	return c.closedFor
}

// upgrade notes that a connection is not used for HTTP any more: it holds no request and
// is not closed for lack of room.
func (l *limiter) upgrade(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setHeld(c, 0)
}

func (l *limiter) setHeld(c *conn, held int) {
	l.held += held - c.held
	if c.closedFor != causeNone {
		l.leaving += held - c.held
	}
	c.held = held
}

// free closes the connections that have been idle longest until an eighth of the budget
// is free, and reports whether the rest is within the budget. It does not close c.
func (l *limiter) free(c *conn) bool {
	var candidates []*conn
	for other := range l.conns {
		if other != c && other.closable() && other.held > 0 {
			candidates = append(candidates, other)
		}
	}
	slices.SortFunc(candidates, func(a, b *conn) int {
		return cmp.Or(a.active.Compare(b.active), cmp.Compare(b.held, a.held))
	})
	for _, other := range candidates {
		if l.held-l.leaving <= l.budget-l.budget/8 {
			break
		}
		l.close(other, causeMemory)
	}
	return l.held-l.leaving <= l.budget
}

// record counts a refusal and logs it, unless many were logged just now.
func (l *limiter) record(why cause, peer string) {
	refusals.Add(string(why), 1)
	if !l.lines.Allow() {
		l.suppressed.Add(1)
		return
	}
	l.mu.Lock()
	log := l.log
	l.mu.Unlock()
	// The write of a line may take long, so it is made without the lock.
	log.Warn("connection refused", "cause", string(why), "status", why.status(), "peer", peer, "suppressed", l.suppressed.Swap(0))
}
