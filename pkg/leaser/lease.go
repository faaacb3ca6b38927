// Package leaser decides who owns a cell. Ownership is a row of the platform's
// table that its owner rewrites; whoever saw it unchanged for long enough may
// take it over under a higher epoch. No clocks are compared between processes.
package leaser

import "time"

const (
	// LeaseDuration is how long an owner may act after sending a renewal that the
	// table then confirmed.
	LeaseDuration = 3 * time.Second
	// AcquireAfter is how long a row must stand unchanged before it is taken over.
	AcquireAfter = 4 * time.Second
	// RenewInterval is the time between two renewals.
	RenewInterval = 700 * time.Millisecond
	// OrphanHorizon is how long an owner that can't reach the table goes on
	// renewing the leases of running tasks.
	OrphanHorizon = 10 * time.Minute
)

// Row is the value of a cell's row. An empty owner gave it up.
type Row struct {
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
}

// Lease is one process's view of a cell's ownership. It does no I/O.
type Lease struct {
	self      string
	version   uint64
	row       Row
	known     bool
	seenAt    time.Time
	held      bool
	validTo   time.Time
	contactAt time.Time
	terms     Terms
}

// Terms are the times of a lease.
type Terms struct {
	// Duration is how long an owner may act after sending a renewal that was
	// confirmed. Where it is longer than AcquireAfter, a new owner reckons with
	// what the former one may grant meanwhile.
	Duration time.Duration
	// AcquireAfter is how long a row must stand unchanged to be taken over.
	AcquireAfter time.Duration
}

// New returns the lease of a process that has not read the row yet.
func New(self string) *Lease {
	return NewWith(self, Terms{
		Duration:     LeaseDuration,
		AcquireAfter: AcquireAfter,
	})
}

// NewWith is New with other times.
func NewWith(self string, terms Terms) *Lease {
	return &Lease{
		self:  self,
		terms: terms,
	}
}

// Observe notes the row as read from the table; version nought means that
// there is none.
func (l *Lease) Observe(now time.Time, version uint64, row Row) {
	if !l.known || version != l.version {
		l.seenAt = now
	}
	l.known = true
	l.version = version
	l.row = row
}

// MayAcquire tells whether the row may be taken over now: when nobody owns it,
// when it stood unchanged for long enough, or when its owner was an earlier
// process under this one's name, which is gone.
func (l *Lease) MayAcquire(now time.Time) bool {
	if !l.known || l.held {
		return false
	}
	return l.version == 0 || l.row.Owner == "" || l.OwnedBySelf() || l.UnchangedFor(now) >= l.terms.AcquireAfter
}

// UnchangedFor is for how long the row has been seen unchanged.
func (l *Lease) UnchangedFor(now time.Time) time.Duration {
	return now.Sub(l.seenAt)
}

// Next returns the row to write to take or renew ownership, and the version
// that it must replace.
func (l *Lease) Next() (uint64, Row) {
	row := Row{
		Owner: l.self,
		Epoch: l.row.Epoch,
	}
	if !l.held {
		row.Epoch++
	}
	return l.version, row
}

// Confirmed notes that the table took the row that Next gave at sentAt. The
// row's version rose by one.
func (l *Lease) Confirmed(sentAt time.Time) {
	l.ConfirmedAtVersion(sentAt, l.version+1)
}

// ConfirmedAtVersion is Confirmed for a table that numbers versions its own way.
func (l *Lease) ConfirmedAtVersion(sentAt time.Time, version uint64) {
	_, row := l.Next()
	l.version = version
	l.row = row
	l.held = true
	l.validTo = sentAt.Add(l.terms.Duration)
	l.contactAt = sentAt
}

// Lost notes that another process owns the row.
func (l *Lease) Lost() {
	l.held = false
	l.known = false
}

// Held tells whether this process took the row and has not learnt of a loss.
func (l *Lease) Held() bool {
	return l.held
}

// Valid tells whether this process may start work and commit rows.
func (l *Lease) Valid(now time.Time) bool {
	return l.held && now.Before(l.validTo)
}

// MayRenewTasks tells whether this process may renew leases of tasks that run.
func (l *Lease) MayRenewTasks(now time.Time) bool {
	return l.held && now.Before(l.contactAt.Add(OrphanHorizon))
}

// Epoch returns the epoch of the row as last known.
func (l *Lease) Epoch() uint64 {
	return l.row.Epoch
}

// Owner returns the owner as last known.
func (l *Lease) Owner() string {
	return l.row.Owner
}

// OwnedBySelf tells whether the row names this process or an earlier one under its
// name.
func (l *Lease) OwnedBySelf() bool {
	return l.row.Owner == l.self
}

// Version returns the row's version as last known.
func (l *Lease) Version() uint64 {
	return l.version
}
