// Package linker keeps links between the system's own processes: WebSocket
// connections that carry CBOR frames, with a hello, heartbeats in both
// directions and detection of silence.
package linker

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Limits of a link's heartbeats. The end that dialled sends them; the other
// end echoes each, so that a loss in either direction is seen.
const (
	// BusyInterval is the time between heartbeats while work is outstanding.
	BusyInterval = 250 * time.Millisecond
	// IdleInterval is the time between heartbeats on a quiet link.
	IdleInterval = time.Second
	// EchoLimit is how long an echo may take before the link is dropped.
	EchoLimit = 500 * time.Millisecond
	// SilenceLimit is how long the accepting end may hear nothing.
	SilenceLimit = 3 * time.Second
	// minWake keeps a watch from spinning.
	minWake = 5 * time.Millisecond
)

// Watch decides when a link is silent. It does no I/O.
type Watch struct {
	dialled   bool
	sequence  uint64
	pending   uint64
	pendingAt time.Time
	lastSentAt  time.Time
	lastReceivedAt time.Time
}

// NewWatch returns the watch of one end of a link that came up now.
func NewWatch(now time.Time, dialled bool) *Watch {
	return &Watch{
		dialled:   dialled,
		lastSentAt:  now,
		lastReceivedAt: now,
	}
}

// Ping returns the next heartbeat if one is due.
func (w *Watch) Ping(now time.Time, busy bool) (framer.Heartbeat, bool) {
	if !w.dialled || now.Sub(w.lastSentAt) < interval(busy) {
		return framer.Heartbeat{}, false
	}
	w.lastSentAt = now
	w.sequence++
	if w.pending == 0 {
		w.pending = w.sequence
		w.pendingAt = now
	}
	return framer.Heartbeat{
		Sequence: w.sequence,
	}, true
}

// Heard notes a frame from the other end and returns the echo it asks for.
func (w *Watch) Heard(now time.Time, f framer.Frame) (framer.Heartbeat, bool) {
	w.lastReceivedAt = now
	if f.Heartbeat == nil {
		return framer.Heartbeat{}, false
	}
	if w.dialled {
		if w.pending != 0 && f.Heartbeat.Echo >= w.pending {
			w.pending = 0
		}
		return framer.Heartbeat{}, false
	}
	return framer.Heartbeat{
		Echo: f.Heartbeat.Sequence,
	}, true
}

// Wake is how long the watch may be left alone.
func (w *Watch) Wake(now time.Time, busy bool) time.Duration {
	if !w.dialled {
		return max(minWake, w.lastReceivedAt.Add(SilenceLimit).Sub(now))
	}
	wake := w.lastSentAt.Add(interval(busy)).Sub(now)
	if w.pending != 0 {
		wake = min(wake, w.pendingAt.Add(EchoLimit).Sub(now))
	}
	return max(minWake, wake)
}

func interval(busy bool) time.Duration {
	if busy {
		return BusyInterval
	}
	return IdleInterval
}

// Silent tells whether the link must be dropped.
func (w *Watch) Silent(now time.Time) bool {
	if w.dialled {
		return w.pending != 0 && now.Sub(w.pendingAt) > EchoLimit
	}
	return now.Sub(w.lastReceivedAt) > SilenceLimit
}
