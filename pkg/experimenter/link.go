package experimenter

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/connector"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	heartbeatCheckInterval = 50 * time.Millisecond
	redialDelay            = 20 * time.Millisecond
	maxJitter              = 200 * time.Microsecond
)

// agentLink is the connection between an entry and an agent. It is redialled
// when it closes.
type agentLink struct {
	sim   *Simulation
	entry *Entry
	agent *Agent
	// partitioned makes dialling fail and drops all frames.
	partitioned bool
	// dropToAgent and dropToEntry make the open link drop all frames in that
	// direction.
	dropToAgent, dropToEntry bool

	generation         int
	entryMonitor       *connector.LivenessMonitor
	agentMonitor       *connector.LivenessMonitor
	entryOpen          bool
	agentOpen          bool
	lastArrivalAtAgent time.Time
	lastArrivalAtEntry time.Time
	unansweredStarts   int
}

// dial opens the link if both sides are alive, the agent is not paused and
// there is no partition. Otherwise it tries again after redialDelay, or gives
// up if the entry is dead.
func (l *agentLink) dial() {
	if l.entryOpen || !l.entry.alive {
		return
	}
	if l.partitioned || !l.agent.alive || l.agent.paused {
		l.sim.After(redialDelay, l.dial)
		return
	}
	l.generation++
	l.dropToAgent, l.dropToEntry = false, false
	l.entryOpen, l.agentOpen = true, true
	l.unansweredStarts = 0
	now := l.sim.Now()
	l.entryMonitor = connector.NewLivenessMonitor(now, true)
	l.agentMonitor = connector.NewLivenessMonitor(now, false)
	l.agent.gate.Connect(l.entry.name)
	l.agent.perform([]gateAction{l.agent.gate.Report(l.entry.name)})
	l.entry.perform(l.entry.Dispatcher.Connect(now, l.agent.service, l.agent.address, l.agent.domain, l.agent.incarnation))
	generation := l.generation
	l.sim.Every(heartbeatCheckInterval, func() bool { return l.checkHeartbeats(generation) })
}

// checkHeartbeats sends the heartbeats that are due and closes a side whose
// peer is silent. It returns false if it closed the entry's side or the link
// was replaced.
func (l *agentLink) checkHeartbeats(generation int) bool {
	if l.generation != generation {
		return false
	}
	now := l.sim.Now()
	if l.entryOpen && l.entry.alive {
		if l.entryMonitor.TimedOut(now) {
			l.closeEntrySide()
			return false
		}
		if ping, ok := l.entryMonitor.NextHeartbeat(now, l.unansweredStarts > 0); ok {
			l.toAgent(framer.Frame{Heartbeat: &ping})
		}
	}
	if l.agentOpen && l.agent.alive && !l.agent.paused && l.agentMonitor.TimedOut(now) {
		l.closeAgentSide()
	}
	return true
}

// closeEntrySide closes the entry's side of the link, informs the agent's side
// if the link still carries frames, and redials.
func (l *agentLink) closeEntrySide() {
	if !l.entryOpen {
		return
	}
	l.entryOpen = false
	l.entry.perform(l.entry.Dispatcher.Disconnect(l.sim.Now(), l.agent.address))
	if l.agentOpen && !l.partitioned && !l.dropToAgent {
		l.sim.After(l.sim.cfg.Delay, l.closeAgentSide)
	}
	l.sim.After(redialDelay, l.dial)
}

func (l *agentLink) closeAgentSide() {
	if !l.agentOpen {
		return
	}
	l.agentOpen = false
	l.agent.gate.Disconnect(l.entry.name)
	if l.entryOpen && !l.partitioned && !l.dropToEntry {
		l.sim.After(l.sim.cfg.Delay, l.closeEntrySide)
	}
}

// toAgent delivers a frame to the agent, in order, after the link's delay.
func (l *agentLink) toAgent(f framer.Frame) {
	if !l.entryOpen || l.partitioned || l.dropToAgent {
		return
	}
	if f.Start != nil {
		l.unansweredStarts++
	}
	generation := l.generation
	l.lastArrivalAtAgent = l.sim.arrivalTime(l.lastArrivalAtAgent)
	l.sim.At(l.lastArrivalAtAgent, func() {
		l.agent.runOrDefer(func() { l.receiveAtAgent(generation, f) })
	})
}

func (l *agentLink) receiveAtAgent(generation int, f framer.Frame) {
	if l.generation != generation || !l.agentOpen {
		return
	}
	now := l.sim.Now()
	if echo, ok := l.agentMonitor.RecordFrame(now, f); ok {
		l.toEntry(framer.Frame{Heartbeat: &echo})
	}
	switch {
	case f.Start != nil:
		l.agent.perform(l.agent.gate.Start(now, l.entry.name, *f.Start))
	case f.Fence != nil:
		l.agent.perform(l.agent.gate.Fence(now, l.entry.name, *f.Fence))
	}
}

func (l *agentLink) toEntry(f framer.Frame) {
	if !l.agentOpen || l.partitioned || l.dropToEntry {
		return
	}
	generation := l.generation
	l.lastArrivalAtEntry = l.sim.arrivalTime(l.lastArrivalAtEntry)
	l.sim.At(l.lastArrivalAtEntry, func() { l.receiveAtEntry(generation, f) })
}

func (l *agentLink) receiveAtEntry(generation int, f framer.Frame) {
	if l.generation != generation || !l.entryOpen || !l.entry.alive {
		return
	}
	now := l.sim.Now()
	l.entryMonitor.RecordFrame(now, f)
	if f.Refused != nil || f.Failed != nil || f.Answer != nil {
		l.unansweredStarts = max(0, l.unansweredStarts-1)
	}
	l.entry.perform(l.entry.Dispatcher.Receive(now, l.agent.address, f))
}
