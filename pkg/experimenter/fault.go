package experimenter

import "time"

// Kill ends an agent and its endpoint at once.
func (a *Agent) Kill() {
	a.alive = false
	a.asleep = nil
	for _, e := range a.w.Entries {
		p := a.w.pairs[e][a]
		p.agentOpen = false
		if p.entryOpen && !p.cut && !p.swallowToEntry {
			a.w.After(a.w.cfg.Delay, p.entryDrop)
		}
	}
}

// Restart brings a killed agent back under its address.
func (a *Agent) Restart() {
	if !a.alive {
		a.start()
	}
}

// Freeze pauses an agent; what arrives meanwhile is taken when it wakes.
func (a *Agent) Freeze(d time.Duration) {
	if !a.alive || a.frozen {
		return
	}
	a.frozen = true
	incarnation := a.incarnation
	a.w.After(d, func() {
		if a.incarnation != incarnation || !a.alive {
			return
		}
		a.frozen = false
		asleep := a.asleep
		a.asleep = nil
		for _, f := range asleep {
			f()
		}
	})
}

// Leave closes the agent's gate.
func (a *Agent) Leave() {
	if a.alive && !a.frozen {
		a.perform(a.gate.Leave())
	}
}

// Alive tells whether the agent runs.
func (a *Agent) Alive() bool {
	return a.alive
}

// Kill ends an entry at once; its callers get no outcome.
func (e *Entry) Kill() {
	e.alive = false
	for _, job := range e.w.Jobs {
		if len(job.Outcomes) == 0 {
			job.Orphaned = job.Orphaned || e.Dispatcher.Holds(job.Request.ID)
		}
	}
	for _, a := range e.w.Agents {
		p := e.w.pairs[e][a]
		p.entryOpen = false
		if p.agentOpen && !p.cut && !p.swallowToAgent {
			e.w.After(e.w.cfg.Delay, p.agentDrop)
		}
	}
}

// Alive tells whether the entry runs.
func (e *Entry) Alive() bool {
	return e.alive
}

// ReplaceEntry puts a fresh entry in the place of a killed one.
func (w *World) ReplaceEntry(i int) {
	if w.Entries[i].alive {
		return
	}
	w.nextID++
	e := newEntry(w, w.Entries[i].name+"+", w.domain(i))
	w.Entries[i] = e
	w.connect(e)
}

// Silence makes the open link between an entry and an agent lose everything
// in the chosen directions; new links work.
func (w *World) Silence(e *Entry, a *Agent, toAgent, toEntry bool) {
	p := w.pairs[e][a]
	p.swallowToAgent = p.swallowToAgent || toAgent
	p.swallowToEntry = p.swallowToEntry || toEntry
}

// Cut parts an entry from an agent for a while, new links too.
func (w *World) Cut(e *Entry, a *Agent, d time.Duration) {
	p := w.pairs[e][a]
	p.cut = true
	w.After(d, func() { p.cut = false })
}
