package experimenter

import (
	"time"
)

// injectFault injects a random fault.
func (sim *stepsSimulation) injectFault() {
	a := sim.agents[sim.rnd.IntN(len(sim.agents))]
	d := time.Duration(200+sim.rnd.IntN(9000)) * time.Millisecond
	switch sim.rnd.IntN(7) {
	case 0:
		sim.restartAgent(a)
	case 1:
		sim.logf("simulation: runner of %s restarts without runs", a.name)
		a.runnerUnreachable = true
		sim.replaceRunner(a)
		sim.After(d/4, func() { a.runnerUnreachable = false })
	case 2:
		sim.logf("simulation: %s is disconnected for %s", a.name, d)
		a.partitioned = true
		sim.disconnect(a)
		sim.After(d, func() { a.partitioned = false })
	case 3:
		sim.logf("simulation: runner of %s is unreachable for %s", a.name, d)
		a.runnerUnreachable = true
		sim.After(d, func() { a.runnerUnreachable = false })
	case 4:
		sim.logf("simulation: calls of %s are executed late for %s", a.name, d)
		a.lossRate = 0.4
		sim.After(d, func() { a.lossRate = 0 })
	case 5:
		if sim.owner != nil {
			sim.logf("simulation: the owner fails")
			sim.replaceOwner(time.Duration(sim.rnd.IntN(4000)) * time.Millisecond)
		}
	case 6:
		sim.logf("simulation: the store is unavailable for %s", d)
		sim.storeDown = true
		sim.After(d, func() { sim.storeDown = false })
	}
}
