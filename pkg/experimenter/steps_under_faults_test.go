package experimenter

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// regressionSeeds returns seeds that failed in the past, with the fault that each
// of them found.
func regressionSeeds() []uint64 {
	if os.Getenv("BILBERRYWALK_SEED") != "" {
		return nil
	}
	return []uint64{
		// A command to an earlier incarnation of a runner was executed by a later
		// one, after the task had moved to another runner.
		18, 19,
		// A run that had been listed before appeared again in a later incarnation.
		11,
		// A start command was sent to a runner that had been silent and was back.
		83,
	}
}

// TestStepsUnderFaults runs jobs of several steps with random faults and checks
// that no task runs twice at once or after its completion was acknowledged, no
// runner exceeds its capacity, and every job finishes.
func TestStepsUnderFaults(t *testing.T) {
	for _, seed := range append(seeds(8), regressionSeeds()...) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { testStepsUnderFaults(t, seed, stepsLease) })
		t.Run(fmt.Sprintf("seed-%d-long-leases", seed), func(t *testing.T) { testStepsUnderFaults(t, seed, stepsLongestLease) })
	}
}

func testStepsUnderFaults(t *testing.T, seed uint64, longestLease time.Duration) {
	sim := newStepsSimulation(t, seed, longestLease, 5)
	faultsUntil := sim.Now().Add(90 * time.Second)
	n := 0
	sim.Every(300*time.Millisecond, func() bool {
		n++
		sim.submit(n)
		return sim.Now().Before(faultsUntil)
	})
	sim.Every(1500*time.Millisecond, func() bool {
		sim.injectFault()
		return sim.Now().Before(faultsUntil)
	})
	sim.RunUntil(faultsUntil.Add(90 * time.Second))
	for id := range sim.specs {
		state := sim.progress[id].State
		if !state.Final() {
			sim.fatalf(id+".", "%s is %s at the end", id, state)
		}
	}
	assert.Assert(t, len(sim.specs) > 200)
}
