package scheduler

// maxCheckpointBytes is the size of the longest checkpoint that is kept. The owner does without
// a longer one, as if the run had not reported it.
const maxCheckpointBytes = 16 << 10

// recordCheckpoints stores the checkpoints of a job's tasks in what room the row has left. If
// they don't all fit, a gang has one for all members, which must start with the same. Those of
// tasks that wait come next, since a runner lists those of the others to the next owner. A task
// whose checkpoint is left out may have to start from the beginning under the next owner.
func (p *Progress) recordCheckpoints(tasks []*task) {
	size := 0
	for _, t := range tasks {
		if !t.done {
			size += len(t.checkpoint)
		}
	}
	room := p.room()
	if size <= room {
		p.addCheckpoints(tasks, size, func(*task) bool { return true })
		return
	}
	listed := map[waitingStep]bool{}
	room = p.addCheckpoints(tasks, room, func(t *task) bool {
		first := t.spec().Gang && t.checkpoint != "" && !listed[t.gang()]
		listed[t.gang()] = listed[t.gang()] || first
		return first
	})
	room = p.addCheckpoints(tasks, room, func(t *task) bool { return !t.spec().Gang && t.runner == nil })
	p.addCheckpoints(tasks, room, func(t *task) bool { return !t.spec().Gang && t.runner != nil })
}

// addCheckpoints stores the checkpoints of some tasks that are not done, as far as there is
// room for them, and returns what room is left.
func (p *Progress) addCheckpoints(tasks []*task, room int, some func(t *task) bool) int {
	for i, t := range tasks {
		if t.done || !some(t) || len(t.checkpoint) > room {
			continue
		}
		p.Tasks[i].Checkpoint = t.checkpoint
		room -= len(t.checkpoint)
	}
	return room
}

// loadGangCheckpoints gives the members of a gang without a checkpoint the one that the row has
// for all of them.
func loadGangCheckpoints(tasks []*task) {
	checkpoints := map[waitingStep]string{}
	for _, t := range tasks {
		if t.spec().Gang && !t.done && checkpoints[t.gang()] == "" {
			checkpoints[t.gang()] = t.checkpoint
		}
	}
	for _, t := range tasks {
		if t.spec().Gang && !t.done && t.checkpoint == "" {
			t.checkpoint = checkpoints[t.gang()]
		}
	}
}

// gang identifies the gang of the task.
func (t *task) gang() waitingStep {
	return waitingStep{
		occurrence: t.occurrence,
		step:       t.step,
	}
}

// setCheckpoint records the task's checkpoint.
func (t *task) setCheckpoint(checkpoint string) {
	if len(checkpoint) > maxCheckpointBytes {
		return
	}
	t.checkpoint = checkpoint
	if t.spec().Gang {
		t.job.gangCheckpointSize = max(t.job.gangCheckpointSize, len(checkpoint))
	}
}
