// Package connector maintains links between the system's processes: WebSocket
// connections that carry CBOR frames, with an exchange of hellos, heartbeats in
// both directions and detection of silent peers.
package connector

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
	// EchoTimeout is how long the dialling end waits for an echo before it
	// closes the link.
	EchoTimeout = 500 * time.Millisecond
	// ReceiveTimeout is how long the accepting end may receive nothing before it
	// closes the link.
	ReceiveTimeout = 3 * time.Second
	// minWakeDelay is the minimum wait between two checks; it prevents a busy loop.
	minWakeDelay = 5 * time.Millisecond
)

// LivenessMonitor decides when a heartbeat is due and when a link is silent at one
// end of the link. It does no I/O.
type LivenessMonitor struct {
	dialled  bool
	sequence uint64
	// pending is the first sequence number that awaits its echo, or zero.
	pending        uint64
	pendingAt      time.Time
	lastSentAt     time.Time
	lastReceivedAt time.Time
}

// NewLivenessMonitor returns the liveness monitor for one end of a link that was
// opened at now.
func NewLivenessMonitor(now time.Time, dialled bool) *LivenessMonitor {
	return &LivenessMonitor{
		dialled:        dialled,
		lastSentAt:     now,
		lastReceivedAt: now,
	}
}

// NextHeartbeat returns the next heartbeat and true if one is due.
func (m *LivenessMonitor) NextHeartbeat(now time.Time, busy bool) (framer.Heartbeat, bool) {
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

// RecordFrame records a frame from the other end. It returns the echo to send and
// true if the frame requires one.
func (m *LivenessMonitor) RecordFrame(now time.Time, f framer.Frame) (framer.Heartbeat, bool) {
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

// WakeDelay returns the time until the next check of the link.
func (m *LivenessMonitor) WakeDelay(now time.Time, busy bool) time.Duration {
	if !m.dialled {
		return max(minWakeDelay, m.lastReceivedAt.Add(ReceiveTimeout).Sub(now))
	}
	wake := m.lastSentAt.Add(interval(busy)).Sub(now)
	if m.pending != 0 {
		wake = min(wake, m.pendingAt.Add(EchoTimeout).Sub(now))
	}
	return max(minWakeDelay, wake)
}

func interval(busy bool) time.Duration {
	if busy {
		return BusyInterval
	}
	return IdleInterval
}

// TimedOut reports whether the link must be closed because the peer is silent.
func (m *LivenessMonitor) TimedOut(now time.Time) bool {
	if m.dialled {
		return m.pending != 0 && now.Sub(m.pendingAt) > EchoTimeout
	}
	return now.Sub(m.lastReceivedAt) > ReceiveTimeout
}
