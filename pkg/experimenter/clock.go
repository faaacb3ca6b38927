// Package experimenter drives the real decision code of entries and gates in
// virtual time, with small fakes for links, endpoints and claims. Randomised
// tests and the experiment command use it; every run follows from its seed.
package experimenter

import (
	"container/heap"
	"time"
)

// event is a function that runs at a time; equal times run in order of seq.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

// eventHeap orders events.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// Clock is virtual time: it jumps from event to event.
type Clock struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

// NewClock returns a clock at a fixed start.
func NewClock() *Clock {
	return &Clock{
		now: time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC),
	}
}

// Now returns the virtual time.
func (c *Clock) Now() time.Time {
	return c.now
}

// At runs f at a time, or now if that is past.
func (c *Clock) At(at time.Time, f func()) {
	if at.Before(c.now) {
		at = c.now
	}
	c.seq++
	heap.Push(&c.events, event{
		at:  at,
		seq: c.seq,
		run: f,
	})
}

// After runs f after a delay.
func (c *Clock) After(d time.Duration, f func()) {
	c.At(c.now.Add(d), f)
}

// Every runs f at an interval for as long as it returns true.
func (c *Clock) Every(interval time.Duration, f func() bool) {
	c.After(interval, func() {
		if f() {
			c.Every(interval, f)
		}
	})
}

// RunUntil runs the events up to a time.
func (c *Clock) RunUntil(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}
