// Package experimenter runs the production decision code of entries, gates and
// cell owners in virtual time, against simulated links, endpoints, workers and
// tables. Randomised tests and the experiment commands use it. A run is
// determined by its seed.
package experimenter

import (
	"container/heap"
	"time"
)

// event is a function that is scheduled for a time. Events of the same time run
// in order of seq.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

// eventHeap is a heap of events, the earliest first.
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

// Clock is a virtual clock that advances from event to event.
type Clock struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

// NewClock returns a clock that is set to 1 January 2026, 00:00 UTC.
func NewClock() *Clock {
	return &Clock{
		now: time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC),
	}
}

// Now returns the current virtual time.
func (c *Clock) Now() time.Time {
	return c.now
}

// At schedules f for a time, or for now if that is in the past.
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

// After schedules f to run after a delay.
func (c *Clock) After(d time.Duration, f func()) {
	c.At(c.now.Add(d), f)
}

// Every runs f at an interval, for the first time after one interval, until f
// returns false.
func (c *Clock) Every(interval time.Duration, f func() bool) {
	c.After(interval, func() {
		if f() {
			c.Every(interval, f)
		}
	})
}

// RunUntil runs all events up to and including a time and sets the clock to it.
func (c *Clock) RunUntil(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}
