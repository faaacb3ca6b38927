package admitter

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func testQueue() *Queue {
	return New([]Rule{
		{
			Kind:      "check",
			Urgency:   9,
			Floor:     0.5,
			MaxQueued: 3,
			RunTime:   20 * time.Millisecond,
		},
		{
			Kind:      "review",
			Urgency:   1,
			Floor:     0.25,
			MaxQueued: 1000,
			RunTime:   400 * time.Millisecond,
		},
	})
}

func item(kind string, i int) Item {
	return Item{
		ID:         fmt.Sprintf("%s-%d", kind, i),
		Kind:       kind,
		AcceptedAt: start.Add(time.Duration(i) * time.Millisecond),
		Deadline:   start.Add(20 * time.Second),
	}
}

func refusal(t *testing.T, err error) framer.Reason {
	t.Helper()
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused), "got %v", err)
	return refused.Reason
}

func nextKinds(q *Queue) []string {
	var kinds []string
	for _, i := range q.NextOfEachKind() {
		kinds = append(kinds, i.Kind)
	}
	return kinds
}

func TestQueuesAreBounded(t *testing.T) {
	q := testQueue()
	for i := range 3 {
		assert.NilError(t, q.Admit(start, item("check", i)))
	}
	assert.Equal(t, refusal(t, q.Admit(start, item("check", 3))), framer.ReasonQueueFull)
	assert.Equal(t, refusal(t, q.Admit(start, item("dance", 0))), framer.ReasonUnknownKind)
}

func TestKindsBelowTheirFloorAreDispatchedFirst(t *testing.T) {
	q := testQueue()
	assert.NilError(t, q.Admit(start, item("check", 0)))
	assert.NilError(t, q.Admit(start, item("review", 0)))
	assert.DeepEqual(t, nextKinds(q), []string{"check", "review"})
	for i := 1; i <= 3; i++ {
		assert.NilError(t, q.Admit(start, item("check", i%3+1)))
		q.Dispatch(start, "check")
	}
	assert.DeepEqual(t, nextKinds(q), []string{"review", "check"})
	q.Dispatch(start, "review")
	assert.NilError(t, q.Admit(start, item("review", 1)))
	assert.DeepEqual(t, nextKinds(q), []string{"check", "review"})
}

func TestReturnedItemKeepsItsPosition(t *testing.T) {
	q := testQueue()
	for i := range 3 {
		assert.NilError(t, q.Admit(start, item("review", i)))
	}
	first := q.Dispatch(start, "review")
	q.FinishAttempt("review")
	q.Requeue(start, first)
	for i := range 3 {
		assert.Equal(t, q.Dispatch(start, "review").ID, fmt.Sprintf("review-%d", i))
	}
}

func TestTailRunTimeIsEstimated(t *testing.T) {
	q := testQueue()
	for i := range 20_000 {
		took := 20 * time.Millisecond
		if i%50 == 0 {
			took = 500 * time.Millisecond
		}
		q.RecordRunTime("check", took)
	}
	tail := q.kind("check").tailRunTime
	assert.Assert(t, tail > 350*time.Millisecond && tail < 700*time.Millisecond, "the tail is %s; 2 %% take 500 ms", tail)
	late := item("check", 0)
	late.Deadline = start.Add(300 * time.Millisecond)
	assert.Equal(t, refusal(t, q.Admit(start, late)), framer.ReasonTooShort)
}

func TestInfeasibleItemsAreRemoved(t *testing.T) {
	q := testQueue()
	assert.NilError(t, q.Admit(start, item("check", 0)))
	assert.Equal(t, len(q.RemoveInfeasible(start.Add(19*time.Second))), 0)
	assert.Equal(t, len(q.RemoveInfeasible(start.Add(20*time.Second))), 1)
	assert.Equal(t, q.Waiting(), 0)
}

func TestRemovedKindIsDrained(t *testing.T) {
	q := testQueue()
	assert.NilError(t, q.Admit(start, item("review", 0)))
	q.Install([]Rule{{
		Kind:      "check",
		MaxQueued: 1,
	}})
	assert.DeepEqual(t, nextKinds(q), []string{"review"})
	q.Dispatch(start, "review")
	q.FinishAttempt("review")
	assert.Equal(t, q.InFlight(), 0)
}
