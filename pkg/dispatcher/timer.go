package dispatcher

import (
	"container/heap"
	"slices"
	"time"
)

// timerKind is the purpose of a timer.
type timerKind int

const (
	timerDeadline timerKind = iota + 1
	timerFence
	timerBackoff
)

// timer is a timer of a request. A fence or backoff timer is stale once the
// request has started another attempt.
type timer struct {
	at      time.Time
	id      string
	kind    timerKind
	attempt int
}

// timerHeap is a min-heap of timers by time.
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

// pruneThreshold is the number of timers below which timers of finished requests
// are not pruned.
const pruneThreshold = 1024

// prune removes the timers of finished requests once there are at least four
// timers per live request, so that long deadlines don't keep memory for finished
// requests.
func (h *timerHeap) prune(live map[string]*request) {
	if len(*h) < pruneThreshold || len(*h) < 4*len(live) {
		return
	}
	*h = slices.DeleteFunc(*h, func(t timer) bool { return live[t.id] == nil })
	heap.Init(h)
}

// popDue removes and returns the earliest timer if it is due.
func (h *timerHeap) popDue(now time.Time) (timer, bool) {
	if len(*h) == 0 || (*h)[0].at.After(now) {
		return timer{}, false
	}
	return heap.Pop(h).(timer), true
}
