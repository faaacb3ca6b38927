package experimenter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// shrinkGrace is how long after a runner has shrunk a start may still count on its
// former capacity: the time after which instances are in touch, and a heartbeat.
const shrinkGrace = 4 * time.Second

// capacityChange is a former capacity of a runner, and until when it was in force.
type capacityChange struct {
	until    time.Time
	capacity publisher.Resources
}

// setProcessors changes the processors of an agent's runner while it runs.
func (sim *stepsSimulation) setProcessors(a *stepsAgent, millis int64) {
	sim.logf("simulation: runner of %s has %d processor-millis, before %d", a.name, millis, a.info.ProcessorMillis)
	a.formerCapacities = append(a.formerCapacities, capacityChange{
		until:    sim.Now(),
		capacity: capacity(a),
	})
	a.info.ProcessorMillis = millis
}

// startCapacity returns the capacity that a start on an agent's runner may count on.
func (sim *stepsSimulation) startCapacity(a *stepsAgent) publisher.Resources {
	largest := capacity(a)
	for _, former := range a.formerCapacities {
		if sim.Now().Sub(former.until) <= shrinkGrace {
			largest = publisher.Max(largest, former.capacity)
		}
	}
	return largest
}

// TestChangingCapacityIsKept guards against starts beyond the capacity of a runner that
// has shrunk while it runs, and against capacity that stays unused once it is back.
func TestChangingCapacityIsKept(t *testing.T) {
	for _, seed := range seeds(8) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { testChangingCapacity(t, seed) })
	}
}

func testChangingCapacity(t *testing.T, seed uint64) {
	sim := newStepsSimulation(t, seed, stepsLease, 5)
	sim.runTime = func(*stepsAgent, framer.RunRef) (time.Duration, framer.FinishReason) {
		return time.Duration(200+sim.rnd.IntN(4000)) * time.Millisecond, framer.FinishDone
	}
	faultsUntil := sim.Now().Add(90 * time.Second)
	n := 0
	sim.Every(500*time.Millisecond, func() bool {
		n++
		sim.submit(n)
		return sim.Now().Before(faultsUntil)
	})
	sim.Every(700*time.Millisecond, func() bool {
		a := sim.agents[sim.rnd.IntN(len(sim.agents))]
		sim.setProcessors(a, stepsProcessorMillis*int64(1+sim.rnd.IntN(4))/4)
		return sim.Now().Before(faultsUntil)
	})
	sim.Every(1500*time.Millisecond, func() bool {
		sim.injectOneOf(faultAgentRestarts, faultRunnerRestarts, faultAgentDisconnected, faultRunnerUnreachable, faultOwnerFails, faultStoreDown)
		return sim.Now().Before(faultsUntil)
	})
	sim.RunUntil(faultsUntil)
	for _, a := range sim.agents {
		sim.setProcessors(a, stepsProcessorMillis)
	}
	sim.RunUntil(faultsUntil.Add(2 * time.Minute))
	for id := range sim.specs {
		if state := sim.progress[id].State; !state.Final() {
			sim.fatalf(id+".", "%s is %s at the end", id, state)
		}
	}
	assert.Assert(t, len(sim.specs) > 150)
}
