// Package looper runs all access to a process's control state on one goroutine.
// Other goroutines access the state by posting functions.
package looper

import (
	"context"
	"time"
)

// maxQueuedEvents is the maximum number of posted functions that wait for the
// control goroutine.
const maxQueuedEvents = 4096

// Loop runs posted functions one after another on the control goroutine.
type Loop struct {
	events chan func(now time.Time)
	tick   func(now time.Time) time.Duration
	done   chan struct{}

	// Now returns the time that is passed to functions; time.Now by default.
	Now func() time.Time
	// TickWhenIdle makes the loop also call tick whenever its queue becomes empty.
	TickWhenIdle bool
}

// New returns a loop that also calls tick periodically; tick returns the delay
// until its next call.
func New(tick func(now time.Time) time.Duration) *Loop {
	return &Loop{
		events: make(chan func(now time.Time), maxQueuedEvents),
		tick:   tick,
		done:   make(chan struct{}),
		Now:    time.Now,
	}
}

// Post queues f for the control goroutine and reports whether it was queued. It
// blocks while the queue is full and the loop runs. A function that is still
// queued when the loop stops, or is queued later, never runs.
func (l *Loop) Post(f func(now time.Time)) bool {
	select {
	case l.events <- f:
		return true
	case <-l.done:
		return false
	}
}

// PostAndWait runs f on the control goroutine and waits until it has returned. It
// returns context.Canceled if the loop stops first, or the error of ctx; f may
// still run after an error.
func (l *Loop) PostAndWait(ctx context.Context, f func(now time.Time)) error {
	finished := make(chan struct{})
	posted := l.Post(func(now time.Time) {
		f(now)
		close(finished)
	})
	if !posted {
		return context.Canceled
	}
	select {
	case <-finished:
		return nil
	case <-l.done:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run calls posted functions and tick until ctx is done.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-l.events:
			f(l.Now())
			if l.TickWhenIdle && len(l.events) == 0 {
				timer.Reset(l.tick(l.Now()))
			}
		case <-timer.C:
			timer.Reset(l.tick(l.Now()))
		}
	}
}
