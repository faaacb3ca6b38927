package experimenter

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

// minRunners is how many runners of the service there are at least at the start
// of a phase of faults.
const minRunners = 5

// duration returns a random duration between two bounds in milliseconds.
func (sim *waitingSimulation) duration(from, to int) time.Duration {
	return time.Duration(from+sim.rnd.IntN(to-from)) * time.Millisecond
}

// addRunner adds a runner of random size with its agent.
func (sim *waitingSimulation) addRunner(service string) {
	info := framer.RunnerInfo{
		Service:         service,
		ProcessorMillis: []int64{4000, 8000, 16000, 32000}[sim.rnd.IntN(4)],
		MemoryBytes:     []int64{16 << 30, 64 << 30}[sim.rnd.IntN(2)],
	}
	if sim.rnd.IntN(2) == 0 {
		info.Labels = []string{"fast"}
	}
	a := sim.addAgent(info)
	sim.recordDone(a.runner)
	sim.logf("simulation: %s with %d millis and %v joins %s", a.name, info.ProcessorMillis, info.Labels, service)
}

// addMissingRunners adds runners up to minRunners.
func (sim *waitingSimulation) addMissingRunners() {
	n := 0
	for _, a := range sim.agents {
		if sim.sound(a) && a.info.Service == "s" {
			n++
		}
	}
	for ; n < minRunners; n++ {
		sim.addRunner("s")
	}
}

// pick returns a random agent without a fault, or nil.
func (sim *waitingSimulation) pick() *stepsAgent {
	var list []*stepsAgent
	for _, a := range sim.agents {
		if sim.sound(a) && !a.failing && !a.refusing && !a.hung && a.lossRate == 0 {
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[sim.rnd.IntN(len(list))]
}

// loseRunner makes a runner disappear for good. A new one may join later.
func (sim *waitingSimulation) loseRunner(a *stepsAgent) {
	if a.lost {
		return
	}
	sim.logf("simulation: runner of %s is lost", a.name)
	sim.disturb(0)
	sim.dropRuns(a)
	sim.forgetDone(a.runner)
	a.lost = true
	a.runnerUnreachable = true
	if sim.rnd.IntN(3) == 0 {
		d := sim.duration(0, 6000)
		sim.disturb(d)
		sim.After(d, func() { sim.addRunner(a.info.Service) })
	}
}

func (sim *waitingSimulation) loseAgent(a *stepsAgent) {
	sim.logf("simulation: %s is lost", a.name)
	a.gone = true
	a.partitioned = true
	sim.disconnect(a)
}

func (sim *waitingSimulation) restartRunner(a *stepsAgent, unreachable time.Duration) {
	sim.logf("simulation: runner of %s restarts without runs", a.name)
	sim.disturb(unreachable)
	sim.forgetDone(a.runner)
	a.runnerUnreachable = true
	sim.replaceRunner(a)
	sim.recordDone(a.runner)
	sim.After(unreachable, func() { a.runnerUnreachable = a.lost })
}

func (sim *waitingSimulation) loseOwner() {
	if sim.owner == nil {
		return
	}
	d := sim.duration(1100, 3000)
	sim.logf("simulation: the owner fails for %s", d)
	sim.disturb(d)
	sim.replaceOwner(d)
}

func (sim *waitingSimulation) drainRunner(a *stepsAgent) {
	sim.logf("simulation: runner of %s drains", a.name)
	a.info.Draining = true
	sim.heartbeat(a)
	d := sim.duration(2000, 9000)
	sim.disturb(d)
	sim.After(d, func() {
		a.core.RunnerLeft(sim.Now(), a.runner.Key.ID)
		sim.loseRunner(a)
	})
}

// impair makes a runner fail all runs, refuse all starts or hang.
func (sim *waitingSimulation) impair(a *stepsAgent, kind int, d time.Duration) {
	sim.logf("simulation: runner of %s is impaired in way %d for %s", a.name, kind, d)
	sim.disturb(d)
	switch kind {
	case 0:
		a.failing = true
	case 1:
		a.refusing = true
	case 2:
		a.hung = true
		a.runner.Hang(sim.Now())
	}
	sim.After(d, func() {
		a.failing, a.refusing = false, false
		if a.hung {
			a.hung = false
			a.runner.Resume(sim.Now())
		}
	})
}

// moveQueue sends a queue to another service and back.
func (sim *waitingSimulation) moveQueue(d time.Duration) {
	i := sim.rnd.IntN(len(sim.queues.List))
	sim.disturb(d)
	sim.setService(i, "t")
	sim.After(d, func() { sim.setService(i, "s") })
}

func (sim *waitingSimulation) setService(queue int, service string) {
	list := append([]scheduler.Queue(nil), sim.queues.List...)
	list[queue].Service = service
	sim.logf("simulation: queue %s is sent to service %s", list[queue].Name, service)
	sim.queues = &scheduler.Queues{
		Version: sim.queues.Version + 1,
		List:    list,
	}
	if sim.owner != nil {
		sim.owner.cell.SetQueues(sim.queues)
	}
}

// injectRandomFault injects a random fault.
func (sim *waitingSimulation) injectRandomFault() {
	a := sim.pick()
	if a == nil {
		return
	}
	d := sim.duration(200, 9000)
	switch sim.rnd.IntN(17) {
	case 0:
		sim.disturb(0)
		sim.restartAgent(a)
	case 1:
		sim.restartRunner(a, d/4)
	case 2:
		sim.logf("simulation: %s is disconnected for %s", a.name, d)
		sim.disturb(d)
		a.partitioned = true
		sim.disconnect(a)
		sim.After(d, func() { a.partitioned = a.gone })
	case 3:
		sim.logf("simulation: runner of %s is unreachable for %s", a.name, d)
		sim.disturb(d)
		a.runnerUnreachable = true
		sim.After(d, func() { a.runnerUnreachable = a.lost })
	case 4:
		sim.logf("simulation: calls of %s are executed late for %s", a.name, d)
		sim.disturb(d)
		a.lossRate = 0.4
		sim.After(d, func() { a.lossRate = 0 })
	case 5:
		sim.loseOwner()
	case 6:
		sim.logf("simulation: the store is unavailable for %s", d)
		sim.disturb(d)
		sim.storeDown = true
		sim.After(d, func() { sim.storeDown = false })
	case 7:
		sim.loseRunner(a)
	case 8:
		sim.restartRunner(a, sim.duration(0, 1500))
		again := sim.duration(500, 4000)
		sim.disturb(again)
		sim.After(again, func() { sim.loseRunner(a) })
	case 9, 10, 11:
		sim.impair(a, sim.rnd.IntN(3), sim.duration(2000, 15000))
	case 12:
		sim.drainRunner(a)
	case 13:
		sim.loseRunner(a)
		sim.loseOwner()
	case 14:
		sim.loseRunner(a)
		sim.loseAgent(a)
	case 15:
		sim.moveQueue(d)
	case 16:
		sim.faultOnMany()
	}
}

// faultOnMany impairs or loses several runners at once.
func (sim *waitingSimulation) faultOnMany() {
	kind := sim.rnd.IntN(4)
	d := sim.duration(2000, 15000)
	for n := 1 + sim.rnd.IntN(len(sim.agents)); n > 0; n-- {
		a := sim.pick()
		if a == nil {
			return
		}
		if kind < 3 {
			sim.impair(a, kind, d)
		} else {
			sim.loseRunner(a)
		}
	}
}
