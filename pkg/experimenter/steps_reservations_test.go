package experimenter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

// submitLarge stores a job whose task needs almost a whole runner.
func (sim *stepsSimulation) submitLarge(n int) {
	spec := scheduler.Spec{
		ID:      fmt.Sprintf("large%d", n),
		Queue:   "q",
		Service: "s",
		Steps: []scheduler.Step{{
			Count:          1,
			EstimateMillis: 1000,
			Needs: publisher.Resources{
				ProcessorMillis: stepsProcessorMillis * 9 / 10,
			},
		}},
		AcceptedAtMillis: sim.Now().UnixMilli(),
	}
	sim.specs[spec.ID] = spec
	if sim.owner != nil {
		sim.owner.cell.Add(sim.Now(), spec)
	}
}

// TestLargeTasksUnderFaults guards against reservations that outlive their runner, owner
// or task, and so keep a job from its end, and against starts beyond a runner's capacity.
func TestLargeTasksUnderFaults(t *testing.T) {
	for _, seed := range seeds(8) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { testLargeTasksUnderFaults(t, seed) })
	}
}

func testLargeTasksUnderFaults(t *testing.T, seed uint64) {
	sim := newStepsSimulation(t, seed, stepsLongestLease, 5)
	sim.maxReservations = 2
	faultsUntil := sim.Now().Add(90 * time.Second)
	n := 0
	sim.Every(250*time.Millisecond, func() bool {
		n++
		sim.submit(n)
		if n%10 == 0 {
			sim.submitLarge(n)
		}
		return sim.Now().Before(faultsUntil)
	})
	sim.Every(1500*time.Millisecond, func() bool {
		sim.injectFault()
		return sim.Now().Before(faultsUntil)
	})
	sim.RunUntil(faultsUntil.Add(3 * time.Minute))
	for id := range sim.specs {
		if state := sim.progress[id].State; !state.Final() {
			sim.fatalf(id+".", "%s is %s at the end", id, state)
		}
	}
	for _, change := range []string{"made", "kept", "moved"} {
		assert.Assert(t, strings.Contains(strings.Join(sim.log, "\n"), "reservation "+change), "no reservation is %s", change)
	}
}
