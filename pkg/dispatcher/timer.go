package dispatcher

import (
	"container/heap"
	"slices"
	"time"
)

// timerKind tells what a timer is for.
type timerKind int

const (
	timerDeadline timerKind = iota + 1
	timerFence
	timerBackoff
)

// timer fires for a request; it is stale if the request's attempt moved on.
type timer struct {
	at      time.Time
	id      string
	kind    timerKind
	attempt int
}

// timerHeap orders timers by time.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}

func (h *timerHeap) add(t timer) {
	heap.Push(h, t)
}

// fewTimers is how many timers are held without a look at whether their
// requests still are.
const fewTimers = 1024

// prune drops the timers of ended requests once they are the most, so that
// long deadlines don't hold memory for work that is over.
func (h *timerHeap) prune(live map[string]*request) {
	if len(*h) < fewTimers || len(*h) < 4*len(live) {
		return
	}
	*h = slices.DeleteFunc(*h, func(t timer) bool { return live[t.id] == nil })
	heap.Init(h)
}

// due removes and returns the first timer that is due, if any.
func (h *timerHeap) due(now time.Time) (timer, bool) {
	if len(*h) == 0 || (*h)[0].at.After(now) {
		return timer{}, false
	}
	return heap.Pop(h).(timer), true
}
