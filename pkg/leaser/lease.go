// Package leaser decides which process owns a cell. Ownership is a row in the
// platform's table that the owner rewrites periodically; a process that has
// observed the row unchanged for AcquireAfter may take the cell over under a
// higher epoch. Clocks of different processes are never compared.
package leaser

import "time"

const (
	// LeaseDuration is how long an owner may act after sending a renewal that the
	// table confirmed.
	LeaseDuration = 3 * time.Second
	// AcquireAfter is how long a row must remain unchanged before another process
	// may acquire the cell.
	AcquireAfter = 4 * time.Second
	// RenewInterval is the time between two renewals of the ownership row.
	RenewInterval = 700 * time.Millisecond
	// OrphanHorizon is how long an owner that cannot reach the table continues to
	// renew the leases of running tasks.
	OrphanHorizon = 10 * time.Minute
)

// Row is the value of a cell's ownership row. The owner is empty after the
// previous owner released the cell.
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

// Terms are the durations of a lease.
type Terms struct {
	// Duration is how long an owner may act after sending a renewal that was
	// confirmed. If it is longer than AcquireAfter, a new owner must allow for the
	// leases that the former owner may still grant.
	Duration time.Duration
	// AcquireAfter is how long a row must remain unchanged before another process
	// may acquire the cell.
	AcquireAfter time.Duration
}

// New returns the lease of a process that has not read the row yet, with the
// default terms.
func New(self string) *Lease {
	return NewWith(self, Terms{
		Duration:     LeaseDuration,
		AcquireAfter: AcquireAfter,
	})
}

// NewWith returns the lease of a process that has not read the row yet, with the
// given terms.
func NewWith(self string, terms Terms) *Lease {
	return &Lease{
		self:  self,
		terms: terms,
	}
}

// Observe records the row as read from the table. Version zero means that the
// row does not exist.
func (l *Lease) Observe(now time.Time, version uint64, row Row) {
	if !l.known || version != l.version {
		l.seenAt = now
	}
	l.known = true
	l.version = version
	l.row = row
}

// MayAcquire reports whether this process may acquire the cell now: no process
// owns it, the row has remained unchanged for AcquireAfter, or its owner was an
// earlier process with the same name, which has exited.
func (l *Lease) MayAcquire(now time.Time) bool {
	if !l.known || l.held {
		return false
	}
	return l.version == 0 || l.row.Owner == "" || l.OwnedBySelf() || l.UnchangedFor(now) >= l.terms.AcquireAfter
}

// UnchangedFor returns how long the row has been observed unchanged.
func (l *Lease) UnchangedFor(now time.Time) time.Duration {
	return now.Sub(l.seenAt)
}

// Next returns the version that the next write must replace and the row that
// acquires or renews ownership. Acquiring increments the epoch.
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

// Confirmed records that the table accepted the row that Next returned and that
// was sent at sentAt. The row's version increases by one.
func (l *Lease) Confirmed(sentAt time.Time) {
	l.ConfirmedAtVersion(sentAt, l.version+1)
}

// ConfirmedAtVersion is like Confirmed, for a table that assigns row versions by
// a scheme of its own.
func (l *Lease) ConfirmedAtVersion(sentAt time.Time, version uint64) {
	_, row := l.Next()
	l.version = version
	l.row = row
	l.held = true
	l.validTo = sentAt.Add(l.terms.Duration)
	l.contactAt = sentAt
}

// Lost records that another process owns the cell.
func (l *Lease) Lost() {
	l.held = false
	l.known = false
}

// Held reports whether this process acquired the cell and has not recorded its
// loss since.
func (l *Lease) Held() bool {
	return l.held
}

// Valid reports whether this process may start work and commit rows at now.
func (l *Lease) Valid(now time.Time) bool {
	return l.held && now.Before(l.validTo)
}

// MayRenewTasks reports whether this process may renew the leases of running
// tasks. It stays true for OrphanHorizon after the last confirmed renewal, longer
// than Valid.
func (l *Lease) MayRenewTasks(now time.Time) bool {
	return l.held && now.Before(l.contactAt.Add(OrphanHorizon))
}

// Epoch returns the epoch of the last row observed or confirmed.
func (l *Lease) Epoch() uint64 {
	return l.row.Epoch
}

// Owner returns the owner of the last row observed or confirmed.
func (l *Lease) Owner() string {
	return l.row.Owner
}

// OwnedBySelf reports whether the row names this process, or an earlier process
// with the same name, as the owner.
func (l *Lease) OwnedBySelf() bool {
	return l.row.Owner == l.self
}

// Version returns the version of the last row observed or confirmed.
func (l *Lease) Version() uint64 {
	return l.version
}
