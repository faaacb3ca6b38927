package experimenter

import (
	"fmt"
	"testing"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

// stopMix is a named mix of faults.
type stopMix struct {
	name      string
	processes stoppedProcesses
}

// stopMixes returns the mixes of TestStepsWhileProcessesStop.
func stopMixes() []stopMix {
	all := []int{
		faultAgentRestarts, faultRunnerRestarts, faultAgentDisconnected, faultRunnerUnreachable, faultCallsExecutedLate,
		faultOwnerFails, faultStoreDown, faultAgentStops, faultRunnerStops, faultInstanceStops, faultAnswersLost, faultCallsSlow,
	}
	return []stopMix{
		{
			name: "agents-stop",
			processes: stoppedProcesses{
				kinds:       []int{faultAgentStops, faultAgentStops, faultAgentStops, faultCallsExecutedLate, faultAgentDisconnected},
				endsToFault: 40,
				atEnds:      []int{faultAgentStops},
			},
		},
		{
			name: "runners-stop",
			processes: stoppedProcesses{
				kinds:       []int{faultRunnerStops, faultRunnerStops, faultInstanceStops, faultCallsExecutedLate, faultAgentDisconnected},
				endsToFault: 40,
				atEnds:      []int{faultRunnerStops, faultInstanceStops},
				slowClocks:  true,
				timerDelay:  100,
			},
		},
		{
			name: "connections-fail",
			processes: stoppedProcesses{
				kinds:       []int{faultAnswersLost, faultCallsSlow, faultCallsExecutedLate, faultRunnerUnreachable, faultRunnerRestarts},
				endsToFault: 40,
				atEnds:      []int{faultAnswersLost, faultCallsSlow},
				slowClocks:  true,
			},
		},
		{
			name: "restarts-after-ends",
			processes: stoppedProcesses{
				kinds:       []int{faultAgentStops, faultRunnerUnreachable, faultStoreDown, faultCallsExecutedLate},
				endsToFault: 20,
				atEnds:      []int{faultAgentRestarts, faultOwnerFails, faultAgentStops},
			},
		},
		{
			name: "all",
			processes: stoppedProcesses{
				kinds:       all,
				endsToFault: 60,
				atEnds:      []int{faultAgentStops, faultRunnerStops, faultAgentRestarts, faultOwnerFails, faultAnswersLost},
				slowClocks:  true,
				timerDelay:  100,
			},
		},
		{
			name: "many-ends",
			processes: stoppedProcesses{
				kinds:       all,
				endsToFault: 400,
				atEnds:      []int{faultAgentStops, faultAnswersLost, faultAgentRestarts, faultOwnerFails},
				manyEnds:    true,
			},
		},
	}
}

// TestStepsWhileProcessesStop guards against tasks that run twice, or more often than
// they may fail, because processes stop for seconds and continue with what waited in
// their sockets.
func TestStepsWhileProcessesStop(t *testing.T) {
	testStopMixes(t, emulator.LapseByClock)
}

// TestStepsWhileUnusedLeasesLapseOnCalls guards against the same on runners that notice
// only with the next call that a lease expired under which nothing runs.
func TestStepsWhileUnusedLeasesLapseOnCalls(t *testing.T) {
	testStopMixes(t, emulator.LapseOnCall)
}

// TestStepsWhileLeasesLapseAfterWaitingCalls guards against the same on runners that
// execute, after a stop, the calls that waited before they notice that their lease
// expired.
func TestStepsWhileLeasesLapseAfterWaitingCalls(t *testing.T) {
	testStopMixes(t, emulator.LapseAfterCalls, func(p *stoppedProcesses) { p.timerDelay = 0 })
}

// TestStepsWhileOnlyUsedLeasesLapse guards against the same on runners whose lease does
// not count as expired if nothing ran.
func TestStepsWhileOnlyUsedLeasesLapse(t *testing.T) {
	testStopMixes(t, emulator.LapseOfRuns)
}

func testStopMixes(t *testing.T, lapse emulator.LapseReading, changes ...func(p *stoppedProcesses)) {
	t.Helper()
	for _, mix := range stopMixes() {
		mix.processes.lapse = lapse
		for _, change := range changes {
			change(&mix.processes)
		}
		for _, seed := range seeds(2) {
			for _, longestLease := range []time.Duration{stepsLease, stepsLongestLease} {
				t.Run(fmt.Sprintf("%s-seed-%d-lease-%s", mix.name, seed, longestLease), func(t *testing.T) {
					testStepsWhileProcessesStop(t, seed, longestLease, mix.processes)
				})
			}
		}
	}
}

func testStepsWhileProcessesStop(t *testing.T, seed uint64, longestLease time.Duration, processes stoppedProcesses) {
	runUnderFaults(t, newStoppedSimulation(t, seed, longestLease, 5, processes))
}

// runUnderFaults injects the faults of a simulation for 90 s, and checks that all jobs end.
func runUnderFaults(t *testing.T, sim *stepsSimulation) {
	t.Helper()
	processes := sim.processes
	faultsUntil := sim.Now().Add(90 * time.Second)
	n := 0
	sim.Every(300*time.Millisecond, func() bool {
		n++
		sim.submit(n)
		return sim.Now().Before(faultsUntil)
	})
	if processes.manyEnds {
		sim.submitManyTasks(faultsUntil)
	}
	sim.Every(1500*time.Millisecond, func() bool {
		sim.injectOneOf(processes.kinds...)
		return sim.Now().Before(faultsUntil)
	})
	sim.RunUntil(faultsUntil)
	sim.faultsOver = true
	sim.RunUntil(faultsUntil.Add(90 * time.Second))
	for id := range sim.specs {
		state := sim.progress[id].State
		if !state.Final() {
			sim.fatalf(id+".", "%s is %s at the end", id, state)
		}
	}
}

// submitManyTasks submits jobs of hundreds of short tasks every few seconds.
func (sim *stepsSimulation) submitManyTasks(until time.Time) {
	const tasks = 600
	runTime := sim.runTime
	sim.runTime = func(a *stepsAgent, ref framer.RunRef) (time.Duration, framer.FinishReason) {
		if sim.step(ref.Task).Count < tasks {
			return runTime(a, ref)
		}
		return time.Duration(100+sim.stopRnd.IntN(400)) * time.Millisecond, framer.FinishDone
	}
	n := 0
	sim.Every(4*time.Second, func() bool {
		n++
		spec := scheduler.Spec{
			ID:      fmt.Sprintf("many%d", n),
			Queue:   "q",
			Service: "s",
			Steps: []scheduler.Step{{
				Count: tasks,
				Needs: publisher.Resources{
					ProcessorMillis: 5,
				},
				EstimateMillis: 300,
			}},
			AcceptedAtMillis: sim.Now().UnixMilli(),
		}
		sim.specs[spec.ID] = spec
		if sim.owner != nil {
			sim.owner.cell.Add(sim.Now(), spec)
		}
		return sim.Now().Before(until)
	})
}
