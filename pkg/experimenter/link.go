package experimenter

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/linker"
)

const (
	watchInterval = 50 * time.Millisecond
	redialPause   = 20 * time.Millisecond
	jitter        = 200 * time.Microsecond
)

// pair is an entry and an agent and the link between them, if any.
type pair struct {
	w     *World
	entry *Entry
	agent *Agent
	// cut makes dialling fail and swallows everything.
	cut bool
	// swallowToAgent and swallowToEntry make the open link silent.
	swallowToAgent, swallowToEntry bool

	generation  int
	entryWatch  *linker.Watch
	agentWatch  *linker.Watch
	entryOpen   bool
	agentOpen   bool
	lastToAgent time.Time
	lastToEntry time.Time
	outstanding int
}

// dial opens a link if both ends live and the way is free.
func (p *pair) dial() {
	if p.entryOpen || !p.entry.alive {
		return
	}
	if p.cut || !p.agent.alive || p.agent.frozen {
		p.w.After(redialPause, p.dial)
		return
	}
	p.generation++
	p.swallowToAgent, p.swallowToEntry = false, false
	p.entryOpen, p.agentOpen = true, true
	p.outstanding = 0
	now := p.w.Now()
	p.entryWatch = linker.NewWatch(now, true)
	p.agentWatch = linker.NewWatch(now, false)
	p.agent.gate.Connect(p.entry.name)
	p.agent.perform([]gateAction{p.agent.gate.Report(p.entry.name)})
	p.entry.perform(p.entry.Dispatcher.Connect(now, p.agent.service, p.agent.address, p.agent.domain, p.agent.incarnation))
	generation := p.generation
	p.w.Every(watchInterval, func() bool { return p.watch(generation) })
}

// watch sends heartbeats and drops silent ends.
func (p *pair) watch(generation int) bool {
	if p.generation != generation {
		return false
	}
	now := p.w.Now()
	if p.entryOpen && p.entry.alive {
		if p.entryWatch.Silent(now) {
			p.entryDrop()
			return false
		}
		if ping, ok := p.entryWatch.Ping(now, p.outstanding > 0); ok {
			p.toAgent(framer.Frame{Heartbeat: &ping})
		}
	}
	if p.agentOpen && p.agent.alive && !p.agent.frozen && p.agentWatch.Silent(now) {
		p.agentDrop()
	}
	return true
}

// entryDrop ends the entry's side of the link and dials again.
func (p *pair) entryDrop() {
	if !p.entryOpen {
		return
	}
	p.entryOpen = false
	p.entry.perform(p.entry.Dispatcher.Disconnect(p.w.Now(), p.agent.address))
	if p.agentOpen && !p.cut && !p.swallowToAgent {
		p.w.After(p.w.cfg.Delay, p.agentDrop)
	}
	p.w.After(redialPause, p.dial)
}

func (p *pair) agentDrop() {
	if !p.agentOpen {
		return
	}
	p.agentOpen = false
	p.agent.gate.Disconnect(p.entry.name)
	if p.entryOpen && !p.cut && !p.swallowToEntry {
		p.w.After(p.w.cfg.Delay, p.entryDrop)
	}
}

// toAgent carries a frame, in order, after the link's delay.
func (p *pair) toAgent(f framer.Frame) {
	if !p.entryOpen || p.cut || p.swallowToAgent {
		return
	}
	if f.Start != nil {
		p.outstanding++
	}
	generation := p.generation
	p.lastToAgent = p.w.arrival(p.lastToAgent)
	p.w.At(p.lastToAgent, func() {
		p.agent.whenAwake(func() { p.atAgent(generation, f) })
	})
}

func (p *pair) atAgent(generation int, f framer.Frame) {
	if p.generation != generation || !p.agentOpen {
		return
	}
	now := p.w.Now()
	if echo, ok := p.agentWatch.Heard(now, f); ok {
		p.toEntry(framer.Frame{Heartbeat: &echo})
	}
	switch {
	case f.Start != nil:
		p.agent.perform(p.agent.gate.Start(now, p.entry.name, *f.Start))
	case f.Fence != nil:
		p.agent.perform(p.agent.gate.Fence(now, p.entry.name, *f.Fence))
	}
}

func (p *pair) toEntry(f framer.Frame) {
	if !p.agentOpen || p.cut || p.swallowToEntry {
		return
	}
	generation := p.generation
	p.lastToEntry = p.w.arrival(p.lastToEntry)
	p.w.At(p.lastToEntry, func() { p.atEntry(generation, f) })
}

func (p *pair) atEntry(generation int, f framer.Frame) {
	if p.generation != generation || !p.entryOpen || !p.entry.alive {
		return
	}
	now := p.w.Now()
	p.entryWatch.Heard(now, f)
	if f.Refused != nil || f.Failed != nil || f.Answer != nil {
		p.outstanding = max(0, p.outstanding-1)
	}
	p.entry.perform(p.entry.Dispatcher.Receive(now, p.agent.address, f))
}
