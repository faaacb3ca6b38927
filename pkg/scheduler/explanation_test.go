package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// An explanation that differs from what placement does misleads the operator.
func TestExplanationAgreesWithPlacement(t *testing.T) {
	l := newLoad(t, 2)
	l.actual = func(framer.RunRef) time.Duration { return time.Minute }
	l.add("first", "checks", estimated(newStep(3, 8000), 10*time.Second))
	l.step()
	explain := func(steps ...Step) Explanation {
		return l.cell.Explain(l.now, Spec{
			ID:      "explained",
			Queue:   "checks",
			Service: "polls",
			Steps:   steps,
		})
	}
	t.Run("a runner has room", func(t *testing.T) {
		e := explain(newStep(1, 20_000))
		placed := len(l.cell.jobs)
		assert.Equal(t, placed, 1, "an explained job must not be added")
		l.add("same", "checks", estimated(newStep(1, 20_000), time.Minute))
		l.step()
		assert.Equal(t, "i-"+l.startedOn["same.0.0.0"], e.Steps[0].Runner)
	})
	t.Run("none has, and the room is reserved for another task", func(t *testing.T) {
		l.add("large", "checks", newStep(1, 32_000))
		l.run(500 * time.Millisecond)
		held := l.cell.reservationFor(l.cell.jobs["large"].occurrences[0].steps[0][0])
		e := explain(estimated(newStep(1, 32_000), time.Second), longRunning(newStep(1, 8000))).Steps
		assert.Equal(t, e[0].Cause, "no-room")
		assert.DeepEqual(t, e[0].RoomOn, []string{held.Parts[0].Runner.ID})
		assert.Equal(t, *e[0].RoomInMillis, held.StartsAt.Sub(l.now).Milliseconds())
		answers := map[string]string{}
		for _, r := range e[1].Runners {
			answers[r.Answer] = r.ReservedForJob
		}
		assert.Equal(t, answers["reserved-for-waiting"], "large")
	})
	t.Run("no runner ever has", func(t *testing.T) {
		e := explain(newStep(1, 99_000))
		assert.Equal(t, e.Steps[0].Cause, "no-room")
		assert.Assert(t, e.Steps[0].RoomInMillis == nil)
	})
}
