package experimenter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// maxCuts is how many runners are cut off under one task.
const maxCuts = 3

// cutOffRunner cuts a runner off from its agent, which then refuses all calls and runs on.
func (sim *stepsSimulation) cutOffRunner(a *stepsAgent, d time.Duration) {
	if a.runnerUnreachable || a.lost {
		return
	}
	sim.logf("simulation: runner %v is cut off for %v", a.runner.Key, d)
	a.runnerUnreachable = true
	a.refusesCalls = true
	sim.After(d, func() {
		a.runnerUnreachable = false
		a.refusesCalls = false
	})
}

// TestSoundTasksSurviveCutsOfTheirRunners guards against jobs that fail because one runner
// crashed under a task and others were cut off right after its start until their leases had
// expired, which is no crash.
func TestSoundTasksSurviveCutsOfTheirRunners(t *testing.T) {
	for _, seed := range seeds(8) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			sim := newCrashSimulation(t, seed)
			crashed := map[string]bool{}
			cuts := map[string]int{}
			sim.crashes.started = func(a *stepsAgent, ref framer.RunRef) {
				if jobNumber(ref.Task)%16 != 3 || !lastTaskOfFirstStep(sim, ref.Task) {
					return
				}
				after := crashDelay + time.Duration(sim.rnd.IntN(40))*time.Millisecond
				switch {
				case !crashed[ref.Task]:
					crashed[ref.Task] = true
					sim.After(after, func() { sim.crashRunner(a) })
				case cuts[ref.Task] < maxCuts:
					cuts[ref.Task]++
					sim.After(after, func() { sim.cutOffRunner(a, time.Duration(9000+sim.rnd.IntN(3000))*time.Millisecond) })
				default:
				}
			}
			sim.playCrashes(func() {})
			assert.Assert(t, len(cuts) > 3)
		})
	}
}

// TestTasksThatCrashRunnersForVeryLongAreGivenUp guards against starts without a bound while no
// runner that crashed under a task is back, and against waits that nothing ends.
func TestTasksThatCrashRunnersForVeryLongAreGivenUp(t *testing.T) {
	for _, seed := range seeds(8) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			sim := newCrashSimulation(t, seed)
			sim.crashes.downtime = 30 * time.Second
			sim.crashes.crashing = func(task string) bool { return jobNumber(task)%60 == 3 && lastTaskOfFirstStep(sim, task) }
			sim.playCrashes(func() {})
			assert.Assert(t, sim.crashes.total > 4)
		})
	}
}
