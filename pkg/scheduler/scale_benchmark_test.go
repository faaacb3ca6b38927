package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// fleetTaskMillis is what a task requests, and fleetSlots how many of them
	// fit on a runner of the benchmarks.
	fleetTaskMillis = 3200
	fleetSlots      = 10
	// waitingTasks is the width of a waiting job.
	waitingTasks = 40
)

// fleet is a cell with many runners.
type fleet struct {
	cell    *Cell
	now     time.Time
	reports []framer.Report
	// byAgent is the number of each agent's runner.
	byAgent map[string]int
	specs   []Spec
}

// newFleet returns a cell with empty runners.
func newFleet(runners int) *fleet {
	f := &fleet{
		now:     time.Unix(10_000, 0),
		byAgent: map[string]int{},
	}
	f.cell = f.newCell()
	for i := range runners {
		f.reports = append(f.reports, framer.Report{
			Epoch: 1,
			Runner: framer.RunnerInfo{
				Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
				Key: framer.RunnerKey{
					ID:              fmt.Sprintf("i-%04d", i),
					StartedAtMillis: 1000,
				},
				Service:         "polls",
				ProcessorMillis: fleetTaskMillis * fleetSlots,
				MemoryBytes:     128 * gigabyte,
				Labels:          []string{"a", fmt.Sprintf("rack-%d", i/8)},
			},
			ClockMillis: 1000,
			Listed:      true,
		})
		f.byAgent[f.reports[i].Runner.Address] = i
		f.report(i)
	}
	return f
}

func (f *fleet) newCell() *Cell {
	c := NewCell(Config{
		Epoch:           1,
		Assert:          asserter.New(func(name string, pairs ...any) { panic(name) }),
		Lease:           testLease,
		FormerLeasesEnd: f.now,
	})
	c.SetQueues(testQueues())
	return c
}

// finishOne finishes the oldest run of a runner and starts the next ones.
func (f *fleet) finishOne(i int) {
	r := &f.reports[i]
	if len(r.Running) == 0 {
		return
	}
	r.Finished = append(r.Finished[:0], framer.FinishedRun{
		RunRef:   r.Running[0].RunRef,
		Sequence: f.cell.agents[r.Runner.Address].recordedSequence + 1,
		Reason:   framer.FinishDone,
	})
	r.Running = r.Running[1:]
}

// report handles the next report of a runner, and sends the syncs that are due.
func (f *fleet) report(i int) {
	r := &f.reports[i]
	r.ClockMillis += 500
	f.cell.HandleReport(f.now, r.Runner.Address, *r)
	for _, agent := range f.cell.Dirty() {
		running := &f.reports[f.byAgent[agent]].Running
		for _, start := range f.cell.Sync(f.now, agent, true).Starts {
			if !containsRun(*running, start.RunRef) {
				*running = append(*running, framer.RunStatus{
					RunRef: start.RunRef,
				})
			}
		}
	}
}

func (f *fleet) add(tasks int) {
	step := newStep(tasks, fleetTaskMillis)
	step.Image = "image"
	spec := Spec{
		ID:               fmt.Sprintf("job-%06d", len(f.specs)),
		Queue:            "checks",
		Service:          "polls",
		Steps:            []Step{step},
		AcceptedAtMillis: f.now.UnixMilli(),
	}
	f.specs = append(f.specs, spec)
	f.cell.Add(f.now, spec)
}

func (f *fleet) commit() {
	for {
		commit, ok := f.cell.Commit()
		if !ok {
			return
		}
		f.cell.Committed(commit)
	}
}

// fill occupies nine tenths of the slots and then lets jobs wait for the rest.
func (f *fleet) fill(waitingJobs int) {
	for range len(f.reports) * fleetSlots {
		f.add(1)
	}
	f.cell.Tick(f.now, true)
	f.commit()
	for range 2 {
		for i := range f.reports {
			f.report(i)
		}
	}
	for range waitingJobs {
		f.add(waitingTasks)
	}
	f.cell.Tick(f.now, true)
	f.commit()
}

func benchmarkFleets(b *testing.B, f func(b *testing.B, runners int)) {
	for _, runners := range []int{10, 30, 100, 160, 300, 1000} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			b.ReportAllocs()
			f(b, runners)
		})
	}
}

// BenchmarkTickAllBusy ticks a cell without a free processor and with many
// waiting jobs.
func BenchmarkTickAllBusy(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, runners int) {
		f := newFleet(runners)
		f.fill(runners / 2)
		for b.Loop() {
			f.cell.Tick(f.now, true)
		}
	})
}

// BenchmarkOwnerSecond is a second of an owner whose runners are all busy. Each
// agent reports twice and at each report a run has finished. Changes are
// committed every 16 ms.
func BenchmarkOwnerSecond(b *testing.B) {
	const commitInterval = 16 * time.Millisecond
	benchmarkFleets(b, func(b *testing.B, runners int) {
		f := newFleet(runners)
		f.fill(runners / 2)
		committedAt := f.now
		for b.Loop() {
			for n := range 2 * runners {
				f.now = f.now.Add(time.Second / time.Duration(2*runners))
				f.finishOne(n % runners)
				f.report(n % runners)
				mayPlace := f.now.Sub(committedAt) >= commitInterval
				f.cell.Tick(f.now, mayPlace)
				if mayPlace {
					committedAt = f.now
					f.commit()
				}
				if n%waitingTasks == 0 {
					f.add(waitingTasks)
				}
			}
		}
	})
}

// BenchmarkPlaceReleased places a waiting task each time a run has finished.
func BenchmarkPlaceReleased(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, runners int) {
		f := newFleet(runners)
		f.fill(runners / 2)
		i := 0
		for b.Loop() {
			s := f.cell.agents[f.reports[i%runners].Runner.Address]
			for t := range s.tasks {
				f.cell.release(t)
				break
			}
			f.cell.Tick(f.now, true)
			i++
		}
	})
}

// BenchmarkPlaceBesideReservations places a waiting task each time a run has finished,
// and plans the reservations of large tasks each time. The number of waiting jobs does not
// depend on the number of runners.
func BenchmarkPlaceBesideReservations(b *testing.B) {
	const waitingJobs = 16
	benchmarkFleets(b, func(b *testing.B, runners int) {
		f := newFleet(runners)
		f.cell.reservations = newReservations(testReservations)
		f.fill(waitingJobs)
		large := newStep(2*testReservations, fleetTaskMillis*fleetSlots)
		f.cell.Add(f.now, Spec{
			ID:      "large",
			Queue:   "checks",
			Service: "polls",
			Steps:   []Step{large},
		})
		f.cell.Tick(f.now, true)
		f.now = f.now.Add(reserveAfter)
		for i := 0; b.Loop(); i++ {
			s := f.cell.agents[f.reports[i%runners].Runner.Address]
			if f.cell.reservations.reserver.On(s.key) != nil {
				continue
			}
			for t := range s.tasks {
				f.cell.release(t)
				break
			}
			f.cell.reservations.plannedAt = time.Time{}
			f.cell.Tick(f.now, true)
		}
		if f.cell.Counts.Reservations.Made == 0 {
			b.Fatal("nothing was reserved")
		}
	})
}

// BenchmarkReport handles a report of ten running tasks with the sync that
// follows.
func BenchmarkReport(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, runners int) {
		f := newFleet(runners)
		f.fill(0)
		i := 0
		for b.Loop() {
			f.now = f.now.Add(500 * time.Millisecond / time.Duration(runners))
			f.report(i % runners)
			i++
		}
	})
}

// BenchmarkCopies decides about copies of nine running tasks on each runner, of which one in
// ten is late, which is more than the budget allows.
func BenchmarkCopies(b *testing.B) {
	for _, runners := range []int{30, 300, 1000} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			b.ReportAllocs()
			f := newFleet(runners)
			// A tenth of the processors is free.
			for range 9 * runners {
				f.add(1)
			}
			f.cell.Tick(f.now, true)
			f.commit()
			for i := range f.specs {
				t := f.cell.jobs[f.specs[i].ID].occurrences[0].steps[0][0]
				t.spec().Speculative = true
				if i%10 == 0 {
					t.placedAt = f.now.Add(-4 * time.Second)
				}
				f.cell.watchForCopies(t)
			}
			for b.Loop() {
				f.cell.copies.decidedAt = time.Time{}
				f.cell.startCopies(f.now)
			}
		})
	}
}

// BenchmarkTakeover loads the progress of all jobs into a new cell and registers
// all runners.
func BenchmarkTakeover(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, runners int) {
		f := newFleet(runners)
		f.fill(runners / 2)
		rows := map[string]Progress{}
		for _, spec := range f.specs {
			rows[spec.ID] = f.cell.jobs[spec.ID].progress()
		}
		for b.Loop() {
			f.cell = f.newCell()
			for _, spec := range f.specs {
				f.cell.Load(f.now, spec, rows[spec.ID])
			}
			for i := range f.reports {
				f.report(i)
			}
		}
	})
}
