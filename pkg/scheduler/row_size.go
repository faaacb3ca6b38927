package scheduler

import "github.com/bilberrywalk/bilberrywalk/pkg/publisher"

const (
	// maxRowBytes is the size of the largest row that the store takes, and
	// maxCommitBytes the total size of the rows in a commit: the store takes
	// 1 MB, which includes their encoding as text and the other rows.
	maxRowBytes    = 64 << 10
	maxCommitBytes = 600_000
	// idleTaskBytes bounds what a task that is not placed takes in its job's row,
	// with its crash record, checkpointBytes what the checkpoint of a gang adds at least, and
	// placedTaskBytes what the name and the address of a runner add. rowHeaderBytes
	// bounds the rest.
	idleTaskBytes   = 12
	checkpointBytes = 24
	placedTaskBytes = 64
	rowHeaderBytes  = 1024
	// runnerPositionBytes bounds what a placed task takes in a compact row, which has the
	// name and the address of each runner once.
	runnerPositionBytes = 4
	// manyRunners is a number of runners at which a compact row has no advantage.
	manyRunners = maxRowBytes
	// minStepBytes is less than a step takes in the job's own row, and maxSteps more than
	// such a row can hold.
	minStepBytes = 56
	maxSteps     = maxRowBytes / minStepBytes
)

// maxPlaced returns how many of the job's tasks may be placed at the same time, so that its
// progress fits into a row with a checkpoint for each gang; other checkpoints have what room is
// left. checkpointSize is the size of the longest checkpoint of a gang, copies the number of
// entries in Progress.Copies, and runners the number of runners that there are.
func (s *Spec) maxPlaced(checkpointSize, copies, runners int) int {
	free := maxRowBytes - rowHeaderBytes - copies*(idleTaskBytes+placedTaskBytes)
	for i := range s.Steps {
		step := &s.Steps[i]
		size := idleTaskBytes * step.Count
		if step.Gang && (step.Checkpoints || checkpointSize > 0) {
			size += max(checkpointBytes, checkpointSize)
		}
		free -= size * s.occurrences()
	}
	plain := free / placedTaskBytes
	compact := (free - runners*placedTaskBytes) / runnerPositionBytes
	return max(0, plain, compact)
}

// CheckSize returns a *publisher.FieldError if the job has so many tasks that its
// progress cannot be stored.
func (s *Spec) CheckSize() error {
	largest := 1
	for i := range s.Steps {
		if s.Steps[i].Gang {
			largest = max(largest, s.Steps[i].Count)
		}
	}
	return publisher.CheckRange("tasks placed at the same time", int64(largest), 1, int64(s.maxPlaced(0, 0, manyRunners)))
}

// size returns the size of the encoded progress, rounded up.
func (p *Progress) size() int {
	if plain := p.plainSize(); plain <= maxRowBytes {
		return plain
	}
	return p.compactSize()
}

// room returns how many bytes more the row can hold in the smaller of its forms.
func (p *Progress) room() int {
	return maxRowBytes - min(p.plainSize(), p.compactSize())
}

// compactSize returns the size of the compact form, rounded up.
func (p *Progress) compactSize() int {
	size := p.sizeOfRest()
	runners := map[rowRunner]struct{}{}
	for i := range p.Tasks {
		t := &p.Tasks[i]
		size += idleTaskBytes + len(t.Checkpoint)
		if t.RunnerID != "" {
			size += runnerPositionBytes
			runners[t.runner()] = struct{}{}
		}
	}
	return size + placedTaskBytes*len(runners)
}

// plainSize returns the size of the plain form, rounded up.
func (p *Progress) plainSize() int {
	size := p.sizeOfRest()
	for i := range p.Tasks {
		t := &p.Tasks[i]
		size += idleTaskBytes + len(t.Checkpoint)
		if t.RunnerID != "" {
			size += placedTaskBytes
		}
	}
	return size
}

// sizeOfRest returns the size of all but Tasks, rounded up.
func (p *Progress) sizeOfRest() int {
	size := rowHeaderBytes
	for i := range p.Copies {
		size += idleTaskBytes
		if p.Copies[i].RunnerID != "" {
			size += placedTaskBytes
		}
	}
	for i := range p.Lapsed {
		size += p.Lapsed[i].size()
	}
	return size + countedRunBytes*len(p.CountedRuns)
}
