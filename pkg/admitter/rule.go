// Package admitter queues the requests of one service at an entry. It decides
// which requests are admitted, in which order they are dispatched, and which
// are refused because they cannot complete before their deadline. It does no
// I/O.
package admitter

import "time"

// Rule configures the queue of one kind of request.
type Rule struct {
	Kind string
	// Urgency orders the kinds whose floors are met; the highest is dispatched
	// first.
	Urgency int
	// Floor is the share, from 0 to 1, of the requests in flight that is
	// guaranteed to the kind.
	Floor float64
	// MaxQueued is the maximum number of waiting requests of the kind.
	MaxQueued int
	// RunTime is the expected run time of a request of the kind.
	RunTime time.Duration
}

// Item is one waiting request.
type Item struct {
	ID         string
	Kind       string
	AcceptedAt time.Time
	Deadline   time.Time
}
