package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a task that is never tried, although a worker has room, because
// as many unlike tasks as one pass tries do not fit anywhere.
func TestTaskBehindManyUnlikeTasksIsPlaced(t *testing.T) {
	c := testCell(t, 4)
	for i := range 4 {
		c.Accept(start, spec(fmt.Sprint("full-", i), 20_000), start)
	}
	c.Tick(start)
	for i := range 3 * maxFailedPlacements {
		// Each needs less than the one before, which so does not stand for it.
		unlike := spec(fmt.Sprintf("unlike-%04d", i), int64(29_000-i))
		unlike.Urgency = 5
		c.Accept(start, unlike, start)
	}
	c.Accept(start, spec("small", 1000), start)
	for i := range 10 {
		c.Tick(start.Add(time.Duration(i) * 20 * time.Millisecond))
	}
	assert.Equal(t, stateOf(t, c, "small"), StatePlaced)
}
