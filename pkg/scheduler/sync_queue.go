package scheduler

import "slices"

// syncQueue holds the runners whose agents are to be sent a sync, each once.
type syncQueue struct {
	runners []*runnerState
}

// add queues a runner.
func (q *syncQueue) add(s *runnerState) {
	s.dirty = true
	if !s.queued {
		s.queued = true
		q.runners = append(q.runners, s)
	}
}

// agents returns the sorted addresses of the agents of the queued runners. A
// runner stays queued until its agent was sent a sync; one without an agent is
// dropped.
func (q *syncQueue) agents() []string {
	if len(q.runners) == 0 {
		return nil
	}
	var agents []string
	queued := q.runners[:0]
	for _, s := range q.runners {
		if !s.dirty || s.agent == "" {
			s.queued = false
			continue
		}
		queued = append(queued, s)
		agents = append(agents, s.agent)
	}
	clear(q.runners[len(queued):])
	q.runners = queued
	slices.Sort(agents)
	return agents
}
