package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A line is repeated only after waitLogInterval, unless the cause changes, and
// steps that do not wait any more are forgotten.
func TestWaitLinesAreBounded(t *testing.T) {
	h := newCellHarness(t, "a")
	lines := h.waitLines()
	h.add("f", "checks", longRunning(newStep(1, 32_000)))
	h.startAll()
	h.add("w", "checks", newStep(3, 1000))
	h.advance(waitLogInterval)
	assert.Equal(t, len(*lines), 1)
	assert.Equal(t, (*lines)[0]["waiting"], 3)
	h.advance(waitLogInterval)
	assert.Equal(t, len(*lines), 2)
	assert.Equal(t, (*lines)[1]["cause"], "no-room")
	h.runners["a"].Runner.Draining = true
	h.advance(2 * reexamineInterval)
	causes := map[any]int{}
	for _, line := range (*lines)[2:] {
		causes[line["cause"]]++
	}
	assert.Equal(t, causes["no-schedulable-runner"], 1, "%v", causes)
	h.cell.Cancel(h.now, "w")
	h.cell.Cancel(h.now, "f")
	h.advance(2 * waitSweepInterval)
	assert.Equal(t, len(h.cell.waits.steps), 0)
}

// Waiting steps in great numbers are logged a few a second, in turn, and all of
// them are counted.
func TestManyWaitingSteps(t *testing.T) {
	const jobs = 50
	h := newCellHarness(t, "a")
	lines := h.waitLines()
	h.add("f", "checks", longRunning(newStep(1, 32_000)))
	h.startAll()
	for i := range jobs {
		h.add(fmt.Sprintf("w-%02d", i), "checks", newStep(2, 1000))
	}
	h.advance(longWait + 2*waitSweepInterval)
	assert.Assert(t, len(*lines) <= 2*waitLinesPerSecond, "%d lines", len(*lines))
	waits := h.cell.Waits()
	assert.Equal(t, waits.Tasks, int64(2*jobs))
	assert.Equal(t, waits.ByCause[causeNoRoom], int64(2*jobs))
	assert.Assert(t, waits.LinesSuppressed > 0)
	h.advance(jobs / waitLinesPerSecond * time.Second)
	logged := map[any]bool{}
	for _, line := range *lines {
		logged[line["job"]] = true
	}
	assert.Equal(t, len(logged), jobs)
	assert.Assert(t, (*lines)[len(*lines)-1]["suppressed"].(int64) > 0)
}

// keepListing makes the last listings of all runners count as new for an hour.
func (f *fleet) keepListing() {
	for _, s := range f.cell.runners {
		s.listedAt = f.now.Add(time.Hour)
		for t := range s.tasks {
			t.listedIn = s.listings
		}
	}
}

// The examination of a thousand runners for many waiting steps is spread over
// several sweeps.
func TestFewRunnersAreExaminedPerSweep(t *testing.T) {
	const runners, jobs = 1000, 20
	f := newFleet(runners)
	f.fill(jobs)
	f.keepListing()
	examined := map[*stepWait]time.Time{}
	perSweep := map[uint64]int{}
	examiningSweeps := uint64(jobs * runners / runnersPerSweep)
	firstSweep := uint64(longWait/waitSweepInterval) + 1
	for f.cell.waits.sweep <= firstSweep+examiningSweeps {
		f.now = f.now.Add(expiryInterval)
		f.cell.watchWaits(f.now)
		for _, w := range f.cell.waits.steps {
			if !w.examinedAt.Equal(examined[w]) {
				examined[w] = w.examinedAt
				perSweep[f.cell.waits.sweep]++
			}
		}
	}
	for sweep, n := range perSweep {
		assert.Assert(t, n <= runnersPerSweep/runners, "%d in sweep %d", n, sweep)
	}
	assert.Equal(t, len(examined), jobs)
}

// A tick that logs nothing allocates nothing, whether tasks wait or not.
func TestWaitsWithoutAllocations(t *testing.T) {
	for _, waitingJobs := range []int{0, 40} {
		t.Run(fmt.Sprintf("%d waiting jobs", waitingJobs), func(t *testing.T) {
			f := newFleet(30)
			f.fill(waitingJobs)
			f.keepListing()
			pass := func(d time.Duration) {
				for end := f.now.Add(d); f.now.Before(end); {
					f.now = f.now.Add(expiryInterval)
					f.cell.watchWaits(f.now)
				}
			}
			lines := 0
			f.cell.cfg.LogEvent = func(string, ...any) { lines++ }
			pass(waitLogInterval)
			before := lines
			// The next lines are due waitLogInterval after the first ones.
			allocations := testing.AllocsPerRun(1, func() { pass(longWait / 2) })
			assert.Equal(t, lines, before)
			assert.Equal(t, allocations, 0.0)
		})
	}
}

// One call looks at few of the tasks.
func TestSweepIsDividedIntoParts(t *testing.T) {
	const runners = 1000
	f := newFleet(runners)
	f.fill(0)
	f.cell.watchWaits(f.now)
	m := f.cell.waits
	assert.Assert(t, m.next > 0 && m.next <= tasksPerPart, "%d of %d jobs", m.next, len(m.jobs))
	assert.Equal(t, len(m.jobs), runners*fleetSlots)
}

// BenchmarkWaitSweep looks at all tasks once, those of the jobs that wait for
// long too.
func BenchmarkWaitSweep(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, runners int) {
		f := newFleet(runners)
		f.fill(runners / 2)
		f.keepListing()
		for b.Loop() {
			f.now = f.now.Add(waitSweepInterval)
			sweep := f.cell.waits.sweep
			for f.cell.waits.sweep == sweep || f.cell.waits.next > 0 {
				f.cell.watchWaits(f.now)
			}
		}
	})
}
