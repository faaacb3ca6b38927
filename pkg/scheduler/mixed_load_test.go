package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// waitingTimes are how long the tasks of one kind waited, sorted.
type waitingTimes []time.Duration

func (w waitingTimes) percentile(p int) time.Duration {
	return w[(len(w)-1)*p/100]
}

func (w waitingTimes) String() string {
	return fmt.Sprintf("%d tasks, median %v, 90 %% %v, 99 %% %v", len(w), w.percentile(50), w.percentile(90), w.percentile(99))
}

// mixedLoad runs a stream of small tasks and a few large ones at a load of about nine
// tenths on uneven runners, and returns the waiting times of both kinds. Estimates are off
// by up to 90 %.
func mixedLoad(t *testing.T, seed uint64, reservations int) (small, large waitingTimes) {
	const runners, largePercent = 6, 4
	rnd := rand.New(rand.NewPCG(seed, 5))
	l := newLoad(t, runners)
	l.cell = l.newOwner(reservations)
	for i, agent := range l.agents() {
		if i%3 == 0 {
			l.runners[agent].Runner.ProcessorMillis *= 3
			l.runners[agent].Runner.ProcessorMillis /= 2
		}
	}
	l.reportAll()
	actual := map[string]time.Duration{}
	addedAt := map[string]time.Time{}
	l.actual = func(ref framer.RunRef) time.Duration { return actual[ref.Task] }
	for n := range 2400 {
		id := fmt.Sprintf("s%05d", n)
		step := newStep(1, 2000+1000*rnd.IntN(5))
		if rnd.IntN(100) < largePercent {
			id = fmt.Sprintf("large%05d", n)
			step = newStep(1, 28_000)
		}
		task := id + ".0.0.0"
		actual[task] = time.Duration(500+rnd.IntN(2900)) * time.Millisecond
		step.EstimateMillis = int64(float64(actual[task].Milliseconds()) / (0.55 + 1.35*rnd.Float64()))
		addedAt[task] = l.now
		l.add(id, "checks", step)
		if n%2 == 1 {
			l.step()
		}
	}
	l.run(3 * time.Minute)
	for task, at := range addedAt {
		waited := l.firstStart(t, task).Sub(at)
		if task[0] == 's' {
			small = append(small, waited)
		} else {
			large = append(large, waited)
		}
	}
	slices.Sort(small)
	slices.Sort(large)
	return small, large
}

func (l *load) firstStart(t *testing.T, task string) time.Time {
	t.Helper()
	at, ok := l.startedAt[runRef(task, 1)]
	assert.Assert(t, ok, "%s has not started", task)
	return at
}

// Reservations that cost the small tasks more than the large ones gain are worse than none.
func TestLargeTasksWaitLessInMixedLoad(t *testing.T) {
	for seed := range uint64(3) {
		small, large := mixedLoad(t, seed, 0)
		smallReserved, largeReserved := mixedLoad(t, seed, testReservations)
		t.Logf("seed %d: small ones without reservations: %v", seed, small)
		t.Logf("seed %d: small ones with reservations:    %v", seed, smallReserved)
		t.Logf("seed %d: large ones without reservations: %v", seed, large)
		t.Logf("seed %d: large ones with reservations:    %v", seed, largeReserved)
		assert.Assert(t, 4*largeReserved.percentile(90) <= large.percentile(90))
		assert.Assert(t, smallReserved.percentile(90) <= small.percentile(90)+time.Second)
	}
}
