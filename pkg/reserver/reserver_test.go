package reserver

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

var start = time.Unix(10_000, 0)

func after(seconds int) time.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

func key(id string) framer.RunnerKey {
	return framer.RunnerKey{
		ID: id,
	}
}

func processors(n int64) publisher.Resources {
	return publisher.Resources{
		ProcessorMillis: 1000 * n,
	}
}

// full returns a runner with one run of 4 processors for each time at which one ends, in
// seconds; zero means that it has no end.
func full(id string, ends ...int) Runner {
	r := Runner{
		Key:  key(id),
		Rack: id[:1],
	}
	for _, end := range ends {
		run := Run{
			Needs: processors(4),
		}
		if end > 0 {
			run.EndsBy = after(end)
		}
		r.Runs = append(r.Runs, run)
	}
	return r
}

func need(job string, urgency int, needs int64, count int) Need {
	return Need{
		Key: Key{
			Job: job,
		},
		Urgency: urgency,
		Since:   start,
		Needs:   processors(needs),
		Count:   count,
	}
}

func newReserver(limit int) *Reserver {
	return New(Config{
		Limit: limit,
	})
}

func assertReserved(t *testing.T, r Reservation, startsAt time.Time, runners ...string) {
	t.Helper()
	var got []string
	for _, p := range r.Parts {
		got = append(got, p.Runner.ID)
	}
	assert.DeepEqual(t, got, runners)
	assert.DeepEqual(t, r.StartsAt, startsAt)
}

// A task that waits for the wrong runner waits longer than the runs in progress require.
func TestReservationIsWhereTheRoomIsFreeFirst(t *testing.T) {
	runners := []Runner{full("a1", 2, 9), full("b1", 5, 6), full("c1", 1, 0)}
	t.Run("one task", func(t *testing.T) {
		assertReserved(t, newReserver(1).Plan(start, []Need{need("j", 0, 8, 1)}, runners)[0], after(6), "b1")
	})
	t.Run("gang", func(t *testing.T) {
		assertReserved(t, newReserver(1).Plan(start, []Need{need("j", 0, 4, 3)}, runners)[0], after(5), "a1", "b1", "c1")
	})
	t.Run("rack-local gang", func(t *testing.T) {
		gang := need("j", 0, 4, 2)
		gang.RackLocal = true
		assertReserved(t, newReserver(1).Plan(start, []Need{gang}, runners)[0], after(6), "b1")
	})
	t.Run("rack-local gang that no rack can hold", func(t *testing.T) {
		gang := need("j", 0, 4, 3)
		gang.RackLocal = true
		assertReserved(t, newReserver(1).Plan(start, []Need{gang}, runners)[0], after(5), "a1", "b1", "c1")
	})
	t.Run("never", func(t *testing.T) {
		assert.Equal(t, len(newReserver(1).Plan(start, []Need{need("j", 0, 12, 1)}, runners)), 0)
	})
}

// The most urgent need must not wait for the reservation of another one.
func TestMoreUrgentNeedTakesTheRunnerOfAReservation(t *testing.T) {
	runners := []Runner{full("a", 2, 3), full("b", 5, 6)}
	r := newReserver(2)
	r.Plan(start, []Need{need("batch", 2, 8, 1)}, runners)
	list := r.Plan(start, []Need{need("batch", 2, 8, 1), need("urgent", 0, 8, 1)}, runners)
	assertReserved(t, list[0], after(3), "a")
	assertReserved(t, list[1], after(6), "b")
	urgent, batch := need("small", 0, 4, 1), need("small", 2, 4, 1)
	assert.Assert(t, r.Allows(start, key("b"), urgent, time.Time{}), "a more urgent task")
	assert.Assert(t, !r.Allows(start, key("b"), batch, time.Time{}), "an equally urgent task")
	t.Run("the number of reservations is bounded", func(t *testing.T) {
		assert.Equal(t, len(newReserver(1).Plan(start, []Need{need("j", 0, 8, 1), need("k", 0, 8, 1)}, runners)), 1)
	})
}

// A reservation that follows each change of an estimate keeps two runners empty in turn.
func TestReservationMovesOnlyForMuchEarlierRoom(t *testing.T) {
	r := newReserver(1)
	waiting := func() []Need { return []Need{need("j", 0, 8, 1)} }
	r.Plan(start, waiting(), []Runner{full("a", 2, 8), full("b", 9, 9)})
	assertReserved(t, r.Plan(start, waiting(), []Runner{full("a", 2, 8), full("b", 7, 7)})[0], after(8), "a")
	assertReserved(t, r.Plan(start, waiting(), []Runner{full("a", 2, 8), full("b", 5, 5)})[0], after(5), "b")
	t.Run("or if its runner is lost", func(t *testing.T) {
		assertReserved(t, r.Plan(start, waiting(), []Runner{full("a", 2, 8)})[0], after(8), "a")
	})
	t.Run("it ends with its task", func(t *testing.T) {
		assert.Equal(t, len(r.Plan(start, nil, []Runner{full("a", 2, 8)})), 0)
		assert.Equal(t, r.Counts(), Counts{Made: 1, Moved: 2, Dropped: 1})
	})
}

// What outlasts the start of a reservation may use only what is left beside it, once.
func TestSpareRoomBesideReservationIsUsedOnce(t *testing.T) {
	r := newReserver(1)
	r.Plan(start, []Need{need("j", 0, 8, 1)}, []Runner{full("a", 2, 3, 3)})
	other := need("other", 0, 4, 1)
	assert.Assert(t, r.Allows(start, key("a"), other, time.Time{}))
	r.Started(key("a"), other, time.Time{})
	assert.Assert(t, !r.Allows(start, key("a"), other, time.Time{}))
	assert.Assert(t, r.Allows(start, key("a"), other, after(3)), "it ends before the reservation starts")
	assert.Assert(t, !r.Allows(start, key("a"), other, after(4)))
}

// Estimates that are off by a factor must neither delay large tasks nor let small ones
// start that end too late.
func TestEstimatesAreCorrectedByTheErrorOfFinishedRuns(t *testing.T) {
	for _, ratio := range []float64{0.5, 1, 2} {
		var e Estimates
		class := Class{Queue: "q"}
		assert.DeepEqual(t, e.EndsBy(start, start, class, 10*time.Second), after(19))
		for i := range 100 {
			actual := time.Second
			if i%20 > 0 {
				actual = time.Duration(ratio * float64(time.Second))
			}
			e.Observe(class, time.Second, actual)
		}
		assert.DeepEqual(t, e.EndsBy(start, start, class, 10*time.Second), after(int(10*ratio)))
		overdue := e.EndsBy(after(100), start, class, 10*time.Second)
		assert.DeepEqual(t, overdue, after(125))
		assert.Assert(t, e.EndsBy(start, start, class, 0).IsZero(), "no estimate")
	}
}

// Needs that no runner can ever hold must not keep others from a reservation.
func TestNeedThatNoRunnerCanHoldBlocksNoOther(t *testing.T) {
	runners := []Runner{full("a", 2, 3)}
	gang := need("gang", 0, 4, 3)
	list := newReserver(1).Plan(start, []Need{need("huge", 0, 40, 1), gang, need("j", 1, 8, 1)}, runners)
	assert.Equal(t, len(list), 1)
	assertReserved(t, list[0], after(3), "a")
}

// Of runners with room at the same time, the one with the least left is reserved, whatever
// their order: the others keep their whole gaps.
func TestTightestOfEqualRunnersIsReserved(t *testing.T) {
	for _, runners := range [][]Runner{
		{full("a", 3, 3, 3), full("b", 3, 3)},
		{full("b", 3, 3), full("a", 3, 3, 3)},
	} {
		assertReserved(t, newReserver(1).Plan(start, []Need{need("j", 0, 8, 1)}, runners)[0], after(3), "b")
	}
}

// A runner must not idle for an hour because runs of an hour overran their estimates.
func TestReservationExpiresWithinBounds(t *testing.T) {
	for promised, grace := range map[int]int{0: 1, 2: 2, 3600: 30} {
		r := Reservation{
			MadeAt:     start,
			PromisedAt: after(promised),
		}
		assert.DeepEqual(t, r.ExpiresAt(), after(promised+grace))
	}
}
