// Package admitter holds the requests of one service that wait at an entry.
// It decides which may enter, whose turn it is, and which must be refused
// because they can't be served before their deadline. It does no I/O.
package admitter

import "time"

// Rule is what the queue needs to know of one kind of request.
type Rule struct {
	Kind string
	// Urgency orders the kinds once every floor is met; higher goes first.
	Urgency int
	// Floor is the share of the work in flight that the kind is entitled to.
	Floor float64
	// MaxQueued bounds the requests of the kind that wait.
	MaxQueued int
	// RunTime is how long a request of the kind is expected to run.
	RunTime time.Duration
}

// Item is one waiting request.
type Item struct {
	ID         string
	Kind       string
	AcceptedAt time.Time
	Deadline   time.Time
}
