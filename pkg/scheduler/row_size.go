package scheduler

import "github.com/bilberrywalk/bilberrywalk/pkg/publisher"

const (
	// maxRowBytes is the size of the largest row that the store takes, and
	// maxCommitBytes the total size of the rows in a commit: the store takes
	// 1 MB, which includes their encoding as text and the other rows.
	maxRowBytes    = 64 << 10
	maxCommitBytes = 600_000
	// idleTaskBytes bounds what a task that is not placed takes in its job's row,
	// with its crash record, checkpointBytes what a checkpoint adds, and
	// placedTaskBytes what the name and the address of a runner add. rowHeaderBytes
	// bounds the rest.
	idleTaskBytes   = 12
	checkpointBytes = 24
	placedTaskBytes = 64
	rowHeaderBytes  = 1024
	// minStepBytes is less than a step takes in the job's own row, and maxSteps more than
	// such a row can hold.
	minStepBytes = 56
	maxSteps     = maxRowBytes / minStepBytes
)

// maxPlaced returns how many of the job's tasks may be placed at the same time, so
// that its progress fits into a row.
func (s *Spec) maxPlaced() int {
	free := maxRowBytes - rowHeaderBytes
	for i := range s.Steps {
		step := &s.Steps[i]
		size := idleTaskBytes
		if step.Checkpoints {
			size += checkpointBytes
		}
		free -= size * step.Count * s.occurrences()
	}
	return max(0, free/placedTaskBytes)
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
	return publisher.CheckRange("tasks placed at the same time", int64(largest), 1, int64(s.maxPlaced()))
}

// size returns the size of the encoded progress, rounded up.
func (p *Progress) size() int {
	size := rowHeaderBytes
	for i := range p.Tasks {
		t := &p.Tasks[i]
		size += idleTaskBytes + len(t.Checkpoint)
		if t.RunnerID != "" {
			size += placedTaskBytes
		}
	}
	for i := range p.Copies {
		size += idleTaskBytes
		if p.Copies[i].RunnerID != "" {
			size += placedTaskBytes
		}
	}
	for i := range p.Lapsed {
		size += p.Lapsed[i].size()
	}
	return size
}
