package ranker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a floor whose capacity goes to a step that no runner can hold, while
// others wait for ever.
func TestStepThatFitsNowhereDoesNotUseUpTheFloor(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewShares()
	standing := s.Queue("q").Arrived(now, 1000)
	s.Started(now, &standing, OnTime, 1_000_000)
	promoted := map[time.Duration]bool{}
	for range 4 {
		list := []Entry{
			{
				Waited: time.Hour,
			},
			{
				Waited: time.Minute,
			},
		}
		for i := range list {
			list[i].Standing = &standing
			list[i].Objective = time.Second
			list[i].Key = KeyOf(&Job{
				Waited:    list[i].Waited,
				Objective: time.Second,
				Remaining: int64(list[i].Waited),
			})
			s.Consider(&list[i])
		}
		s.Promote(now)
		for i := range list {
			promoted[list[i].Waited] = promoted[list[i].Waited] || list[i].Key.First
		}
	}
	assert.Assert(t, promoted[time.Hour], "the oldest")
	assert.Assert(t, promoted[time.Minute], "the one with the least work")
}
