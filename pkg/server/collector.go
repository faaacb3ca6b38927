package server

import (
	"runtime/debug"
	"runtime/metrics"
)

// liveHeap is the size of what the last garbage collection found in use.
const liveHeap = "/gc/heap/live:bytes"

// collector makes garbage collection keep up while unfinished requests take much of their
// budget: connections are closed and their buffers replaced faster than the collector's
// usual pace frees them. At other times it has no effect.
type collector struct {
	// setLimit sets the soft limit of the Go runtime and returns the one before, and
	// live returns the size of the live heap.
	setLimit func(bytes int64) int64
	live     func() int64

	strained bool
	usual    int64
}

func newCollector() *collector {
	return &collector{
		setLimit: debug.SetMemoryLimit,
		live: func() int64 {
			sample := []metrics.Sample{{Name: liveHeap}}
			metrics.Read(sample)
			if sample[0].Value.Kind() != metrics.KindUint64 {
				return 0
			}
			return int64(sample[0].Value.Uint64())
		},
	}
}

// observe sets the limit to three quarters of memoryBytes once half of the budget is held,
// and resets it once less than an eighth is. The rest is for the program and its stacks. A
// process that needs more than that for itself gets a limit above its live heap.
func (c *collector) observe(held, budget int, memoryBytes int64) {
	switch {
	case !c.strained && held > budget/2:
		live := c.live()
		limit := max(memoryBytes/4*3, live+live/4)
		c.strained = true
		c.usual = c.setLimit(limit)
		if c.usual < limit {
			c.setLimit(c.usual)
		}
	case c.strained && held < budget/8:
		c.strained = false
		c.setLimit(c.usual)
	}
}
