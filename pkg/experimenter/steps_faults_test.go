package experimenter

import (
	"time"
)

// The kinds of faults.
const (
	faultAgentRestarts = iota
	faultRunnerRestarts
	faultAgentDisconnected
	faultRunnerUnreachable
	faultCallsExecutedLate
	faultOwnerFails
	faultStoreDown
	faultAgentStops
	faultRunnerStops
	faultInstanceStops
	faultAnswersLost
	faultCallsSlow
)

// injectFault injects a random fault.
func (sim *stepsSimulation) injectFault() {
	sim.injectOneOf(faultAgentRestarts, faultRunnerRestarts, faultAgentDisconnected, faultRunnerUnreachable,
		faultCallsExecutedLate, faultOwnerFails, faultStoreDown)
}

// injectOneOf injects a random fault of the given kinds.
func (sim *stepsSimulation) injectOneOf(kinds ...int) {
	a := sim.agents[sim.rnd.IntN(len(sim.agents))]
	d := time.Duration(200+sim.rnd.IntN(9000)) * time.Millisecond
	kind := kinds[sim.rnd.IntN(len(kinds))]
	switch kind {
	case faultAgentRestarts:
		sim.restartAgent(a)
	case faultRunnerRestarts:
		sim.logf("simulation: runner of %s restarts without runs", a.name)
		a.runnerUnreachable = true
		sim.replaceRunner(a)
		sim.After(d/4, func() { a.runnerUnreachable = false })
	case faultAgentDisconnected:
		sim.logf("simulation: %s is disconnected for %s", a.name, d)
		a.partitioned = true
		sim.disconnect(a)
		sim.After(d, func() { a.partitioned = false })
	case faultRunnerUnreachable:
		sim.logf("simulation: runner of %s is unreachable for %s", a.name, d)
		a.runnerUnreachable = true
		sim.After(d, func() { a.runnerUnreachable = false })
	case faultCallsExecutedLate:
		sim.logf("simulation: calls of %s are executed late for %s", a.name, d)
		a.lossRate = 0.4
		sim.After(d, func() { a.lossRate = 0 })
	case faultOwnerFails:
		if sim.owner != nil {
			sim.logf("simulation: the owner fails")
			sim.replaceOwner(time.Duration(sim.rnd.IntN(4000)) * time.Millisecond)
		}
	case faultStoreDown:
		sim.logf("simulation: the store is unavailable for %s", d)
		sim.storeDown = true
		sim.After(d, func() { sim.storeDown = false })
	default:
		sim.injectStop(a, kind, d)
	}
}

// injectStop injects a fault of a kind that only stoppedProcesses has.
func (sim *stepsSimulation) injectStop(a *stepsAgent, kind int, d time.Duration) {
	switch kind {
	case faultAgentStops:
		sim.stopAgent(a, d)
	case faultRunnerStops:
		sim.stopRunner(a, d)
	case faultInstanceStops:
		sim.stopAgent(a, d)
		sim.stopRunner(a, d)
	case faultAnswersLost:
		sim.logf("simulation: responses to %s are lost for %s", a.name, d)
		a.answersLost = true
		sim.After(d, func() { a.answersLost = false })
	case faultCallsSlow:
		sim.logf("simulation: calls of %s are slow for %s", a.name, d)
		a.slow = true
		sim.After(d, func() { a.slow = false })
	}
}
