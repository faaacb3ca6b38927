// Package linker maintains links between the system's processes: WebSocket
// connections that carry CBOR frames, with an exchange of hellos, heartbeats in
// both directions and detection of silent peers.
package linker

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Intervals and timeouts of a link's heartbeats. The dialling end sends them and
// the accepting end echoes each, so that a loss in either direction is detected.
const (
	// BusyInterval is the time between heartbeats while work is outstanding.
	BusyInterval = 250 * time.Millisecond
	// IdleInterval is the time between heartbeats while no work is outstanding.
	IdleInterval = time.Second
	// EchoLimit is how long the dialling end waits for an echo before it
	// closes the link.
	EchoLimit = 500 * time.Millisecond
	// SilenceLimit is how long the accepting end may receive nothing before it
	// closes the link.
	SilenceLimit = 3 * time.Second
	// minWake is the minimum wait between two checks; it prevents a busy loop.
	minWake = 5 * time.Millisecond
)

// Watch decides when a heartbeat is due and when a link is silent. It does no
// I/O.
type Watch struct {
	dialled  bool
	sequence uint64
	// pending is the first sequence number that awaits its echo, or zero.
	pending        uint64
	pendingAt      time.Time
	lastSentAt     time.Time
	lastReceivedAt time.Time
}

// NewWatch returns the liveness monitor for one end of a link that was opened at
// now.
func NewWatch(now time.Time, dialled bool) *Watch {
	return &Watch{
		dialled:        dialled,
		lastSentAt:     now,
		lastReceivedAt: now,
	}
}

// Ping returns the next heartbeat and true if one is due.
func (m *Watch) Ping(now time.Time, busy bool) (framer.Heartbeat, bool) {
	if !m.dialled || now.Sub(m.lastSentAt) < interval(busy) {
		return framer.Heartbeat{}, false
	}
	m.lastSentAt = now
	m.sequence++
	if m.pending == 0 {
		m.pending = m.sequence
		m.pendingAt = now
	}
	return framer.Heartbeat{
		Sequence: m.sequence,
	}, true
}

// Heard records a frame from the other end. It returns the echo to send and true
// if the frame requires one.
func (m *Watch) Heard(now time.Time, f framer.Frame) (framer.Heartbeat, bool) {
	m.lastReceivedAt = now
	if f.Heartbeat == nil {
		return framer.Heartbeat{}, false
	}
	if m.dialled {
		if m.pending != 0 && f.Heartbeat.Echo >= m.pending {
			m.pending = 0
		}
		return framer.Heartbeat{}, false
	}
	return framer.Heartbeat{
		Echo: f.Heartbeat.Sequence,
	}, true
}

// Wake returns the time until the next check of the link.
func (m *Watch) Wake(now time.Time, busy bool) time.Duration {
	if !m.dialled {
		return max(minWake, m.lastReceivedAt.Add(SilenceLimit).Sub(now))
	}
	wake := m.lastSentAt.Add(interval(busy)).Sub(now)
	if m.pending != 0 {
		wake = min(wake, m.pendingAt.Add(EchoLimit).Sub(now))
	}
	return max(minWake, wake)
}

func interval(busy bool) time.Duration {
	if busy {
		return BusyInterval
	}
	return IdleInterval
}

// Silent reports whether the link must be closed because the peer is silent.
func (m *Watch) Silent(now time.Time) bool {
	if m.dialled {
		return m.pending != 0 && now.Sub(m.pendingAt) > EchoLimit
	}
	return now.Sub(m.lastReceivedAt) > SilenceLimit
}
