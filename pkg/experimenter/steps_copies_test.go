package experimenter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

// stragglerFactor is how much longer a straggler takes than other tasks.
const stragglerFactor = 7

// checkCopies checks that a speculative task has at most two runs at a time.
func (sim *stepsSimulation) checkCopies(task string) {
	var on []string
	for _, a := range sim.agents {
		if a.runner.Running(task) && !sim.stoppedAndExpired(a.runner) {
			on = append(on, fmt.Sprint(a.runner.Key))
		}
	}
	if len(on) > 2 {
		sim.fatalf(task, "%s runs on %v", task, on)
	}
	if len(on) == 2 {
		sim.pairs++
	}
}

// stragglers makes three runs of a task in twenty take longer, of which one fails at its
// end, and three others fail after the usual time.
func (sim *stepsSimulation) stragglers(*stepsAgent, framer.RunRef) (time.Duration, framer.FinishReason) {
	d := time.Duration(600+sim.rnd.IntN(600)) * time.Millisecond
	switch n := sim.rnd.IntN(20); {
	case n < 1:
		return stragglerFactor * d, framer.FinishFailed
	case n < 3:
		return stragglerFactor * d, framer.FinishDone
	case n < 6:
		return d, framer.FinishFailed
	default:
		return d, framer.FinishDone
	}
}

// hangRunners makes a random runner hang for some seconds again and again.
func (sim *stepsSimulation) hangRunners() {
	sim.Every(6*time.Second, func() bool {
		a := sim.agents[sim.rnd.IntN(len(sim.agents))]
		r := a.runner
		sim.logf("simulation: runner of %s hangs", a.name)
		r.Hang(sim.Now())
		// Each hang ends before the next one begins.
		sim.After(time.Duration(1000+sim.rnd.IntN(4000))*time.Millisecond, func() { r.Resume(sim.Now()) })
		return !sim.faultsOver
	})
}

// TestSpeculativeStepsUnderFaults guards against a third run of a speculative task, a start
// after the end of the task was acknowledged, starts beyond the permitted failures or the
// capacity of a runner, and jobs that never end.
func TestSpeculativeStepsUnderFaults(t *testing.T) {
	mixes := append(stopMixes(), stopMix{
		name: "no-stops",
		processes: stoppedProcesses{
			kinds: []int{
				faultAgentRestarts, faultRunnerRestarts, faultAgentDisconnected, faultRunnerUnreachable,
				faultCallsExecutedLate, faultOwnerFails, faultStoreDown,
			},
		},
	})
	for _, mix := range mixes {
		for _, seed := range seeds(1) {
			for _, longestLease := range []time.Duration{stepsLease, stepsLongestLease} {
				t.Run(fmt.Sprintf("%s-seed-%d-lease-%s", mix.name, seed, longestLease), func(t *testing.T) {
					sim := newStoppedSimulation(t, seed, longestLease, 5, mix.processes)
					sim.speculative = true
					sim.reportProgress = (longestLease == stepsLease) == (seed%2 == 0)
					sim.runTime = sim.stragglers
					sim.hangRunners()
					runUnderFaults(t, sim)
					assert.Assert(t, sim.pairs > 0)
					t.Logf("%d starts beside another run", sim.pairs)
				})
			}
		}
	}
}

// TestSlowTasksOfJobsGetCopies guards against copies that gain nothing: one task in ten takes
// 7 times as long, and jobs of five tasks are to be done in 3 times the usual duration.
func TestSlowTasksOfJobsGetCopies(t *testing.T) {
	ended := map[bool]int{}
	for _, speculative := range []bool{false, true} {
		sim := newStepsSimulation(t, 1, stepsLease, 20)
		sim.reportProgress = true
		sim.runTime = func(_ *stepsAgent, ref framer.RunRef) (time.Duration, framer.FinishReason) {
			if ref.Task[len(ref.Task)-1] == '3' && ref.Run == 1 {
				return stragglerFactor * time.Second, framer.FinishDone
			}
			return time.Second, framer.FinishDone
		}
		step := scheduler.Step{
			Count:          5,
			EstimateMillis: 1000,
			Speculative:    speculative,
		}
		step.Needs.ProcessorMillis = 1000
		sim.After(3*time.Second, func() {
			for n := range 4 {
				spec := scheduler.Spec{
					ID:      fmt.Sprintf("job%d", n),
					Queue:   "q",
					Service: "s",
					Steps:   []scheduler.Step{step},
				}
				sim.specs[spec.ID] = spec
				sim.owner.cell.Add(sim.Now(), spec)
			}
		})
		sim.RunUntil(sim.Now().Add(6500 * time.Millisecond))
		for _, p := range sim.progress {
			if p.State == scheduler.StateCompleted {
				ended[speculative]++
			}
		}
	}
	assert.DeepEqual(t, ended, map[bool]int{true: 4})
}
