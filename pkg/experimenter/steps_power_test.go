package experimenter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// losePower ends the owner, all agents and all runners at the same moment. They are back
// one after the other within a few seconds; only the store has kept what it had.
func (sim *stepsSimulation) losePower() {
	sim.logf("simulation: all instances lose power")
	for _, a := range sim.agents {
		sim.restartAgent(a)
		a.runnerUnreachable = true
		sim.replaceRunner(a)
		sim.After(time.Duration(500+sim.rnd.IntN(3000))*time.Millisecond, func() { a.runnerUnreachable = false })
	}
	sim.replaceOwner(time.Duration(500+sim.rnd.IntN(3000)) * time.Millisecond)
}

// TestJobsSurviveLossOfPowerEverywhere guards against jobs that are lost, run twice or are
// given up because all instances lose power at the same moment, twice in a row.
func TestJobsSurviveLossOfPowerEverywhere(t *testing.T) {
	for _, seed := range seeds(8) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			sim := newStepsSimulation(t, seed, stepsLease, 5)
			until := sim.Now().Add(40 * time.Second)
			n := 0
			sim.Every(500*time.Millisecond, func() bool {
				n++
				sim.submit(n)
				return sim.Now().Before(until)
			})
			sim.After(15*time.Second, sim.losePower)
			sim.After(time.Duration(16+sim.rnd.IntN(6))*time.Second, sim.losePower)
			sim.RunUntil(until.Add(time.Minute))
			for id := range sim.specs {
				if state := sim.progress[id].State; !state.Final() {
					sim.fatalf(id+".", "%s is %s at the end", id, state)
				}
			}
			assert.Assert(t, len(sim.specs) > 50)
		})
	}
}
