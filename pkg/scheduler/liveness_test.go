package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// The bounds within which a long-running task must run again: it may be missing
// for maxNotRunning, which begins restartGrace after its last run and after
// calmBefore without a fault, and there is calm faultAftermath after a fault.
const (
	maxNotRunning  = 3 * time.Second
	restartGrace   = 6 * time.Second
	calmBefore     = 4 * time.Second
	faultAftermath = 3 * time.Second
)

// runnerFault is what is wrong with a runner of a faulty fleet.
type runnerFault int

const (
	faultNone runnerFault = iota
	// faultFails: each run fails soon.
	faultFails
	// faultHangs: the runs make no progress and do not end.
	faultHangs
	// faultRefuses: no run is accepted.
	faultRefuses
	// faultSilent: nothing is heard of the runner.
	faultSilent
	// faultDrains: the runner reports that it will leave, but does not.
	faultDrains
	// faultUnexpected: the runner lists a run that it should not have.
	faultUnexpected
	faultCount
)

// fleetRun is a run on a runner of a faulty fleet.
type fleetRun struct {
	ref     framer.RunRef
	step    *Step
	startAt time.Time
	// endAt is when the run ends by itself.
	endAt time.Time
	// worked is the time for which the run made progress.
	worked time.Duration
}

type faultyRunner struct {
	report *framer.Report
	fault  runnerFault
	runs   []*fleetRun
}

// faultyFleet drives a cell with runners that have faults, and checks how long
// long-running tasks are missing.
type faultyFleet struct {
	t       *testing.T
	rnd     *rand.Rand
	now     time.Time
	cell    *Cell
	runners map[string]*faultyRunner
	jobs    int
	faultAt time.Time
	// ranAt is when each long-running task last ran, and missingSince since
	// when it has been missing while there was room for it.
	ranAt        map[string]time.Time
	missingSince map[string]time.Time
	longest      time.Duration
}

func newFaultyFleet(t *testing.T, seed uint64, runners int) *faultyFleet {
	f := &faultyFleet{
		t:            t,
		rnd:          rand.New(rand.NewPCG(seed, 7)),
		now:          time.Unix(10_000, 0),
		runners:      map[string]*faultyRunner{},
		ranAt:        map[string]time.Time{},
		missingSince: map[string]time.Time{},
	}
	f.cell = NewCell(Config{
		Epoch:           1,
		Assert:          strictAsserter(t),
		Lease:           testLease,
		FormerLeasesEnd: f.now,
	})
	f.cell.SetQueues(testQueues())
	for i := range runners {
		agent := fmt.Sprintf("a%02d", i)
		f.runners[agent] = &faultyRunner{
			report: &framer.Report{
				Epoch: 1,
				Runner: framer.RunnerInfo{
					Address: agent,
					Key: framer.RunnerKey{
						ID:              "i-" + agent,
						StartedAtMillis: 1000,
					},
					Service:         "polls",
					ProcessorMillis: 16_000,
					MemoryBytes:     64 * gigabyte,
					Labels:          []string{fmt.Sprintf("kind-%d", i%2)},
				},
				ClockMillis: 1000,
				Listed:      true,
			},
		}
	}
	return f
}

func (f *faultyFleet) addJob(step Step) {
	f.jobs++
	f.cell.Add(f.now, Spec{
		ID:               fmt.Sprintf("j%03d", f.jobs),
		Queue:            []string{"checks", "reviews"}[f.rnd.IntN(2)],
		Service:          "polls",
		Steps:            []Step{step},
		AcceptedAtMillis: f.now.UnixMilli(),
	})
}

// addLongRunning adds a job whose tasks run until it is cancelled.
func (f *faultyFleet) addLongRunning() {
	step := longRunningStep(1+f.rnd.IntN(4), 250*(1+f.rnd.IntN(16)))
	switch f.rnd.IntN(4) {
	case 0:
		step.AntiAffinity = 1
	case 1:
		step.Requires = "kind-1"
	case 2:
		step.TargetMillis = 20
		step.Image = "feed"
	default:
	}
	f.addJob(step)
}

// addFinite adds a job whose tasks end after a time of up to 30 s.
func (f *faultyFleet) addFinite() {
	step := newStep(1+f.rnd.IntN(4), 500*(1+f.rnd.IntN(8)))
	step.EstimateMillis = []int64{500, 2000, 30_000}[f.rnd.IntN(3)]
	step.BestEffort = f.rnd.IntN(4) == 0
	f.addJob(step)
}

// step advances the time by 100 ms.
func (f *faultyFleet) step() {
	f.now = f.now.Add(100 * time.Millisecond)
	for _, agent := range slices.Sorted(maps.Keys(f.runners)) {
		r := f.runners[agent]
		r.report.ClockMillis += 100
		f.advanceRuns(r)
		if r.fault == faultSilent {
			continue
		}
		f.report(agent, r)
		f.obey(agent, r)
	}
	f.cell.Tick(f.now, true)
	for {
		commit, ok := f.cell.Commit()
		if !ok {
			break
		}
		f.cell.Committed(commit)
	}
	f.check()
}

func (f *faultyFleet) advanceRuns(r *faultyRunner) {
	for _, run := range slices.Clone(r.runs) {
		if r.fault != faultHangs {
			run.worked += 100 * time.Millisecond
		}
		estimate := time.Duration(run.step.EstimateMillis) * time.Millisecond
		switch {
		case r.fault == faultFails && f.rnd.IntN(5) == 0, !f.now.Before(run.endAt):
			f.finish(r, run, framer.FinishFailed)
		case !run.step.LongRunning && run.worked >= estimate:
			f.finish(r, run, framer.FinishDone)
		default:
		}
	}
}

func (f *faultyFleet) finish(r *faultyRunner, run *fleetRun, reason framer.FinishReason) {
	r.runs = slices.DeleteFunc(r.runs, func(other *fleetRun) bool { return other == run })
	sequence := int64(1)
	for _, e := range r.report.Finished {
		sequence = max(sequence, e.Sequence+1)
	}
	r.report.Finished = append(r.report.Finished, framer.FinishedRun{
		RunRef:   run.ref,
		Sequence: sequence,
		Reason:   reason,
	})
}

func (f *faultyFleet) report(agent string, r *faultyRunner) {
	r.report.Runner.Draining = r.fault == faultDrains
	r.report.Running = r.report.Running[:0:0]
	for _, run := range r.runs {
		percent := 0
		if !run.step.LongRunning {
			percent = int(100 * run.worked.Milliseconds() / run.step.EstimateMillis)
		}
		r.report.Running = append(r.report.Running, framer.RunStatus{
			RunRef:      run.ref,
			Percent:     min(99, percent),
			Measurement: float64(run.step.Needs.ProcessorMillis),
		})
	}
	if r.fault == faultUnexpected {
		r.report.Running = append(r.report.Running, framer.RunStatus{
			RunRef: runRef("j001.0.0.0", 1_000_000),
		})
	}
	f.cell.HandleReport(f.now, agent, *r.report)
}

// obey carries out what the owner requests.
func (f *faultyFleet) obey(agent string, r *faultyRunner) {
	sync := f.cell.Sync(f.now, agent, true)
	for _, start := range sync.Starts {
		switch {
		case slices.ContainsFunc(r.runs, func(run *fleetRun) bool { return run.ref == start.RunRef }):
		case r.fault == faultRefuses || r.fault == faultDrains:
			f.neverStarted(r, start.RunRef)
		default:
			t := f.cell.taskByName(start.Task)
			run := &fleetRun{
				ref:     start.RunRef,
				step:    t.spec(),
				startAt: f.now,
				endAt:   f.now.Add(time.Hour),
			}
			if run.step.LongRunning && f.rnd.IntN(4) == 0 {
				run.endAt = f.now.Add(time.Duration(f.rnd.IntN(20_000)) * time.Millisecond)
			}
			r.runs = append(r.runs, run)
		}
	}
	for _, ref := range sync.Stops {
		i := slices.IndexFunc(r.runs, func(run *fleetRun) bool { return run.ref == ref })
		if i >= 0 {
			f.finish(r, r.runs[i], framer.FinishStopped)
		} else {
			f.neverStarted(r, ref)
		}
	}
}

func (f *faultyFleet) neverStarted(r *faultyRunner, ref framer.RunRef) {
	r.report.Finished = append(r.report.Finished, framer.FinishedRun{
		RunRef: ref,
		Reason: framer.FinishNeverStarted,
	})
}

// check records how long the long-running tasks are missing.
func (f *faultyFleet) check() {
	running := map[string]bool{}
	for _, r := range f.runners {
		for _, run := range r.runs {
			running[run.ref.Task] = true
		}
	}
	f.checkIdleJobs(running)
	calm := f.now.Sub(f.faultAt) >= faultAftermath+calmBefore
	for _, j := range f.cell.jobs {
		for _, t := range j.tasks() {
			name := t.name()
			if !t.spec().LongRunning {
				continue
			}
			if running[name] {
				f.ranAt[name] = f.now
			}
			if running[name] || !calm || f.now.Sub(f.ranAt[name]) < restartGrace || !f.hasRoomTwice(t) {
				delete(f.missingSince, name)
				continue
			}
			f.missing(name)
		}
	}
}

// missing records that a task or job is missing while there is room for it.
func (f *faultyFleet) missing(name string) {
	if _, ok := f.missingSince[name]; !ok {
		f.missingSince[name] = f.now
	}
	missing := f.now.Sub(f.missingSince[name])
	f.longest = max(f.longest, missing)
	assert.Assert(f.t, missing < maxNotRunning, "%s is missing at %s", name, f.now)
}

// checkIdleJobs records for how long jobs have nothing running while all runners
// are sound and under half of the processors is in use.
func (f *faultyFleet) checkIdleJobs(running map[string]bool) {
	calm := f.now.Sub(f.faultAt) >= faultAftermath && f.underHalfInUse()
	for id, j := range f.cell.jobs {
		idle := calm && !j.state.Final()
		for _, t := range j.tasks() {
			idle = idle && !running[t.name()] && (t.done || f.hasRoomTwice(t))
		}
		if !idle {
			delete(f.missingSince, id)
			continue
		}
		f.missing(id)
	}
}

// underHalfInUse reports whether all runners are sound and runs use less than
// half of their processors.
func (f *faultyFleet) underHalfInUse() bool {
	used, capacity := int64(0), int64(0)
	for _, r := range f.runners {
		if r.fault != faultNone {
			return false
		}
		capacity += r.report.Runner.ProcessorMillis
		for _, run := range r.runs {
			used += run.step.Needs.ProcessorMillis
		}
	}
	return 2*used < capacity
}

// hasRoomTwice reports whether a sound runner has room for a task twice, by
// what runs there.
func (f *faultyFleet) hasRoomTwice(t *task) bool {
	step := t.spec()
	for _, r := range f.runners {
		info := r.report.Runner
		if r.fault != faultNone || step.Requires != "" && !slices.Contains(info.Labels, step.Requires) {
			continue
		}
		free := publisher.Resources{
			ProcessorMillis: info.ProcessorMillis,
			MemoryBytes:     info.MemoryBytes,
		}
		siblings := 0
		for _, run := range r.runs {
			free = publisher.Subtract(free, run.step.allocation())
			if run.step == step {
				siblings++
			}
		}
		needs := publisher.Add(step.allocation(), step.allocation())
		if publisher.Within(needs, free) && (step.AntiAffinity == 0 || siblings < step.AntiAffinity) {
			return true
		}
	}
	return false
}

// A long-running task must not be missing for long while a sound runner has room
// for it, whatever runners did before: failed, hung, refused, were silent or
// draining. A quarantine of all runners for up to a minute and a task that was
// placed on a refusing runner again and again did that. Nor may a job have
// nothing running for long while under half of the processors is in use.
func TestLongRunningTasksRunAgainAfterFaults(t *testing.T) {
	const (
		seeds     = 90
		faultTime = 30 * time.Second
		calmTime  = 20 * time.Second
	)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := newFaultyFleet(t, seed, 2+int(seed%5))
			for range 4 + seed%8 {
				f.addLongRunning()
			}
			for end := f.now.Add(faultTime); f.now.Before(end); {
				f.faultAt = f.now
				if f.rnd.IntN(10) == 0 {
					f.addFinite()
				}
				f.changeFaults(runnerFault(1 + seed%uint64(faultCount)))
				f.step()
			}
			for _, r := range f.runners {
				r.fault = faultNone
			}
			if seed%3 == 0 {
				// One runner is never sound again, though it is the most idle.
				f.runners["a00"].fault = faultRefuses
			}
			f.faultAt = f.now
			for end := f.now.Add(calmTime); f.now.Before(end); {
				if f.rnd.IntN(10) == 0 {
					f.addFinite()
				}
				f.step()
			}
			t.Logf("longest %s, %d starts", f.longest, f.cell.Counts.Starts)
			assert.Assert(t, len(f.ranAt) > 0, "long-running tasks must run")
		})
	}
}

// changeFaults gives one runner a fault or none; common is the fault that most
// have, or faultCount for any.
func (f *faultyFleet) changeFaults(common runnerFault) {
	if f.rnd.IntN(5) > 0 {
		return
	}
	agents := slices.Sorted(maps.Keys(f.runners))
	r := f.runners[agents[f.rnd.IntN(len(agents))]]
	switch {
	case f.rnd.IntN(4) == 0:
		r.fault = faultNone
	case common == faultCount || f.rnd.IntN(3) == 0:
		r.fault = runnerFault(f.rnd.IntN(int(faultCount)))
	default:
		r.fault = common
	}
}
