package experimenter

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// runnerCallTimeout is how long an agent waits for the response to a call.
	runnerCallTimeout = 400 * time.Millisecond
	// slowCallTime is the longest time that a slow call takes in one direction.
	slowCallTime = 300 * time.Millisecond
	// linkTimeout is after how much silence an owner closes a link.
	linkTimeout = 3 * time.Second
	// stopSpread bounds, in milliseconds, the time between the end of a run and the stop of a process
	// that the end triggers.
	stopSpread = 60
	// maxStopDelay bounds, in milliseconds, how long a call that is made shortly before a
	// stop takes to leave the process.
	maxStopDelay = 30
)

// stoppedProcesses configures faults of processes and connections as real processes
// have them. All zero, there are none.
type stoppedProcesses struct {
	// kinds are the kinds of faults that are injected.
	kinds []int
	// endsToFault is the number of ends of runs to one fault that follows within
	// stopSpread, of the kinds in atEnds.
	endsToFault int
	atEnds      []int
	// slowClocks makes the clocks of some runners 2 % slow.
	slowClocks bool
	// lapse is when the runners' leases count as expired.
	lapse emulator.LapseReading
	// timerDelay bounds, in milliseconds, how late timers fire after a stop, beyond 1 ms.
	timerDelay int
	// manyEnds submits jobs with hundreds of short tasks.
	manyEnds bool
}

// message is what waits in a socket; those of one connection stay in order. Each call
// and each heartbeat has its ownConnection.
type message struct {
	connection int
	process    func()
}

const ownConnection = 0

// inbox holds the messages to a process while it is stopped. stopping is set shortly
// before, while calls are made that it sends only when it continues.
type inbox struct {
	stopped  bool
	stopping bool
	messages []message
}

// deliver processes a message, or keeps it while the process is stopped.
func (b *inbox) deliver(connection int, process func()) {
	if !b.stopped {
		process()
		return
	}
	b.messages = append(b.messages, message{
		connection: connection,
		process:    process,
	})
}

// take empties the inbox of a process that continues. It returns the messages in a
// random order, except that those of one connection stay in order.
func (b *inbox) take(rnd *rand.Rand) []message {
	list := b.messages
	*b = inbox{}
	order := rnd.Perm(len(list))
	shuffled := make([]message, len(list))
	for i, from := range order {
		shuffled[i] = list[from]
	}
	for i := range shuffled {
		if shuffled[i].connection != ownConnection {
			next := slices.IndexFunc(list, func(m message) bool { return m.connection == shuffled[i].connection })
			shuffled[i] = list[next]
			list = slices.Delete(list, next, next+1)
		}
	}
	return shuffled
}

func (sim *stepsSimulation) stopDuration() time.Duration {
	return time.Duration(200+sim.stopRnd.IntN(9000)) * time.Millisecond
}

// stopAgent stops an agent's process for some time. What its owner and its runner send
// waits in its sockets. The calls of the last milliseconds leave it only afterwards.
func (sim *stepsSimulation) stopAgent(a *stepsAgent, d time.Duration) {
	if a.inbox.stopped || a.inbox.stopping {
		return
	}
	incarnation := a.incarnation
	a.inbox.stopping = sim.stopRnd.IntN(2) == 0
	sim.After(time.Duration(sim.stopRnd.IntN(maxStopDelay))*time.Millisecond, func() {
		if a.incarnation != incarnation {
			return
		}
		sim.logf("simulation: the process of %s is stopped for %s", a.name, d)
		a.inbox.stopping = false
		a.inbox.stopped = true
		sim.After(linkTimeout-time.Duration(sim.stopRnd.IntN(1000))*time.Millisecond, func() {
			if a.incarnation == incarnation && a.inbox.stopped {
				sim.disconnect(a)
			}
		})
		sim.After(d, func() {
			if a.incarnation == incarnation {
				sim.continueAgent(a)
			}
		})
	})
}

// continueAgent lets a stopped agent process what waits in its sockets. Its timers fire
// at any moment in between.
func (sim *stepsSimulation) continueAgent(a *stepsAgent) {
	sim.logf("simulation: the process of %s continues, %d messages wait", a.name, len(a.inbox.messages))
	for _, m := range a.inbox.take(sim.stopRnd) {
		if sim.stopRnd.IntN(4) == 0 {
			sim.tickAgent(a)
		}
		m.process()
	}
}

// stopRunner stops a runner's process for some time. Calls wait in its sockets.
func (sim *stepsSimulation) stopRunner(a *stepsAgent, d time.Duration) {
	if a.runnerInbox.stopped || a.runnerUnreachable || a.lost {
		return
	}
	r := a.runner
	sim.logf("simulation: the process of %v is stopped for %s", r.Key, d)
	r.Freeze(sim.Now())
	a.runnerInbox.stopped = true
	sim.After(d, func() {
		if a.runner == r {
			sim.continueRunner(a)
		}
	})
}

// continueRunner lets a stopped runner execute the calls that waited, before or after
// the timers that fell due.
func (sim *stepsSimulation) continueRunner(a *stepsAgent) {
	sim.logf("simulation: the process of %v continues, %d calls wait, its lease expired %v", a.runner.Key, len(a.runnerInbox.messages), a.runner.Expired(sim.Now()))
	delay := time.Duration(1+sim.stopRnd.IntN(max(1, sim.processes.timerDelay))) * time.Millisecond
	a.runner.Thaw(sim.Now(), delay, sim.stopRnd.IntN(2) == 0)
	sim.advanceRunner(a)
	r := a.runner
	sim.After(delay, func() {
		if a.runner == r {
			sim.advanceRunner(a)
		}
	})
	for _, m := range a.runnerInbox.take(sim.stopRnd) {
		if sim.stopRnd.IntN(4) == 0 {
			sim.advanceRunner(a)
		}
		m.process()
	}
}

// advanceRunner lets a runner's timers fire. Whatever runs after a stop may not run
// elsewhere.
func (sim *stepsSimulation) advanceRunner(a *stepsAgent) {
	a.runner.Advance(sim.Now())
	if a.runner.Frozen(sim.Now()) {
		return
	}
	for task, on := range sim.runningOn {
		if on != a.runner && a.runner.Running(task) {
			sim.fatalf(task, "%s runs on %v after a stop, and on %v", task, a.runner.Key, on.Key)
		}
	}
}

// stoppedAndExpired reports whether a runner's process was stopped until its lease
// expired, and does no work.
func (sim *stepsSimulation) stoppedAndExpired(r *emulator.StepRunner) bool {
	return r.Frozen(sim.Now()) && r.Expired(sim.Now())
}

// configureRunner applies the configuration to a new runner.
func (sim *stepsSimulation) configureRunner(r *emulator.StepRunner) {
	if sim.processes.lapse != 0 {
		r.Lapse = sim.processes.lapse
	}
	if sim.processes.slowClocks && sim.stopRnd.IntN(2) == 0 {
		r.SlowPercent = 2
	}
	r.OnLapse = func() { sim.logf("simulation: the lease of %v expires", r.Key) }
}

// syncReceived processes a sync as an agent does: one of an earlier link of the same
// owner is out of date.
func (sim *stepsSimulation) syncReceived(a *stepsAgent, link int, s framer.Sync) {
	if s.Epoch == a.core.Epoch() && link < a.link {
		return
	}
	if a.core.SyncReceived(sim.Now(), s) {
		a.link = link
	}
}

// readLate returns the outcome of a call whose response is read now: if the agent was
// stopped in between, the response and the timeout are there at once.
func (sim *stepsSimulation) readLate(sentAt time.Time, err error) error {
	if err == nil && sim.Now().Sub(sentAt) > runnerCallTimeout+slowCallTime && sim.stopRnd.IntN(2) == 0 {
		return errNoAnswer
	}
	return err
}

// executeOnSocket executes a call once the runner's process reads it. The response takes
// back to arrive.
func executeOnSocket[T any](sim *stepsSimulation, a *stepsAgent, execute func(r *emulator.StepRunner) T, reply func(T, error), back time.Duration) {
	answered := false
	if a.runnerInbox.stopped {
		sim.After(runnerCallTimeout, func() {
			if !answered {
				answered = true
				var zero T
				reply(zero, errNoAnswer)
			}
		})
	}
	r := a.runner
	a.runnerInbox.deliver(ownConnection, func() {
		if a.runner != r {
			return
		}
		value := execute(r)
		if answered {
			return
		}
		answered = true
		sim.After(back, func() { reply(value, nil) })
	})
}

// callRunnerBadly executes a call that is slow, whose response is lost, or that leaves
// the agent's process only after that was stopped.
func callRunnerBadly[T any](sim *stepsSimulation, a *stepsAgent, execute func(r *emulator.StepRunner) T, reply func(T, error)) {
	sentTo, incarnation, owners := a.runner.Key, a.incarnation, sim.owners
	there := time.Duration(1+sim.stopRnd.Int64N(int64(slowCallTime)/int64(time.Millisecond))) * time.Millisecond
	back := time.Duration(1+sim.stopRnd.Int64N(int64(slowCallTime)/int64(time.Millisecond))) * time.Millisecond
	switch {
	case a.inbox.stopping:
		there, back = time.Duration(1+sim.stopRnd.IntN(maxStopDelay))*time.Millisecond, time.Millisecond
	case !a.slow:
		there, back = 2*time.Millisecond, time.Millisecond
	default:
	}
	answered := false
	answer := func(value T, err error) {
		if !answered {
			answered = true
			reply(value, err)
		}
	}
	lost, leaves := a.answersLost, sim.Now()
	var send func()
	send = func() {
		if a.inbox.stopped && a.incarnation == incarnation {
			// It leaves the process when that continues.
			a.inbox.deliver(ownConnection, func() { sim.After(time.Millisecond, send) })
			return
		}
		sim.After(runnerCallTimeout, func() {
			var zero T
			answer(zero, errNoAnswer)
		})
		if a.runnerUnreachable || a.lost || !sim.shouldExecuteLate(a, sentTo, incarnation, owners) {
			return
		}
		executeOnSocket(sim, a, execute, func(value T, err error) {
			if !lost {
				answer(value, err)
			}
		}, back)
	}
	sim.At(leaves.Add(there), send)
}

// faultAtEnd injects a fault of the agent of a runner soon after the end of a run, now
// and then.
func (sim *stepsSimulation) faultAtEnd(r *emulator.StepRunner) {
	p := sim.processes
	if p.endsToFault == 0 || sim.faultsOver || sim.stopRnd.IntN(p.endsToFault) != 0 {
		return
	}
	i := slices.IndexFunc(sim.agents, func(a *stepsAgent) bool { return a.runner == r })
	if i < 0 {
		return
	}
	a, kind := sim.agents[i], p.atEnds[sim.stopRnd.IntN(len(p.atEnds))]
	sim.After(time.Duration(sim.stopRnd.IntN(stopSpread))*time.Millisecond, func() {
		switch kind {
		case faultAgentRestarts:
			sim.restartAgent(a)
		case faultOwnerFails:
			if sim.owner != nil {
				sim.logf("simulation: the owner fails soon after an end")
				sim.replaceOwner(time.Duration(sim.stopRnd.IntN(4000)) * time.Millisecond)
			}
		default:
			sim.injectStop(a, kind, sim.stopDuration())
		}
	})
}
