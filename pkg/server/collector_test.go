package server

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against garbage of closed connections that outgrows the memory, against a limit
// that a process with a large heap of its own cannot keep, and against a lasting one.
func TestCollectorIsLimitedOnlyUnderStrain(t *testing.T) {
	const memory, budget = 160, 32
	limit, live := int64(math.MaxInt64), int64(20)
	c := &collector{
		setLimit: func(bytes int64) int64 {
			before := limit
			limit = bytes
			return before
		},
		live: func() int64 { return live },
	}
	assertLimit := func(held int, want int64) {
		t.Helper()
		c.observe(held, budget, memory)
		assert.Equal(t, limit, want)
	}
	assertLimit(16, math.MaxInt64)
	assertLimit(17, 120)
	assertLimit(4, 120)
	assertLimit(3, math.MaxInt64)
	live = 400
	assertLimit(32, 500)
	assertLimit(0, math.MaxInt64)
	limit = 18
	assertLimit(32, 18)
	assertLimit(0, 18)
}
