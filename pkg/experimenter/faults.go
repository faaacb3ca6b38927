package experimenter

import "time"

// Kill terminates an agent and its endpoint without draining.
func (a *Agent) Kill() {
	a.alive = false
	a.pending = nil
	for _, e := range a.sim.Entries {
		l := a.sim.links[e][a]
		l.agentOpen = false
		if l.entryOpen && !l.partitioned && !l.dropToEntry {
			a.sim.After(a.sim.cfg.Delay, l.closeEntrySide)
		}
	}
}

// Restart starts a killed agent as a new incarnation at the same address.
func (a *Agent) Restart() {
	if !a.alive {
		a.start()
	}
}

// Pause pauses an agent for d. Frames and results that arrive meanwhile are
// handled when it resumes.
func (a *Agent) Pause(d time.Duration) {
	if !a.alive || a.paused {
		return
	}
	a.paused = true
	incarnation := a.incarnation
	a.sim.After(d, func() {
		if a.incarnation != incarnation || !a.alive {
			return
		}
		a.paused = false
		pending := a.pending
		a.pending = nil
		for _, f := range pending {
			f()
		}
	})
}

// Leave makes the agent's gate refuse new and waiting requests. Running ones
// continue. It has no effect on a killed or paused agent.
func (a *Agent) Leave() {
	if a.alive && !a.paused {
		a.perform(a.gate.Leave())
	}
}

// Alive reports whether the agent has not been killed.
func (a *Agent) Alive() bool {
	return a.alive
}

// Kill terminates an entry. The requests that it has get no outcome.
func (e *Entry) Kill() {
	e.alive = false
	for _, job := range e.sim.Jobs {
		if len(job.Outcomes) == 0 {
			job.Orphaned = job.Orphaned || e.Dispatcher.HasRequest(job.Request.ID)
		}
	}
	for _, a := range e.sim.Agents {
		l := e.sim.links[e][a]
		l.entryOpen = false
		if l.agentOpen && !l.partitioned && !l.dropToAgent {
			e.sim.After(e.sim.cfg.Delay, l.closeAgentSide)
		}
	}
}

// Alive reports whether the entry has not been killed.
func (e *Entry) Alive() bool {
	return e.alive
}

// ReplaceEntry replaces a killed entry by a new one without state.
func (sim *Simulation) ReplaceEntry(i int) {
	if sim.Entries[i].alive {
		return
	}
	sim.nextID++
	e := newEntry(sim, sim.Entries[i].name+"+", sim.failureDomain(i))
	sim.Entries[i] = e
	sim.connect(e)
}

// DropFrames makes the open link between an entry and an agent drop all frames in
// the given directions. A link that is dialled later works.
func (sim *Simulation) DropFrames(e *Entry, a *Agent, toAgent, toEntry bool) {
	l := sim.links[e][a]
	l.dropToAgent = l.dropToAgent || toAgent
	l.dropToEntry = l.dropToEntry || toEntry
}

// Partition partitions an entry from an agent for d: frames are dropped, and dialling
// fails.
func (sim *Simulation) Partition(e *Entry, a *Agent, d time.Duration) {
	l := sim.links[e][a]
	l.partitioned = true
	sim.After(d, func() { l.partitioned = false })
}
