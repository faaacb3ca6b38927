package scheduler

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// plainProgress is the form of a job's row that names the runner of each task, which is also
// read by earlier versions.
type plainProgress Progress

// compactProgress is the form that names each runner once. It is used where the plain one is
// too large for the store.
type compactProgress struct {
	plainProgress
	Runners      []rowRunner   `cbor:"runners,omitempty"`
	CompactTasks []compactTask `cbor:"compact-tasks,omitempty"`
}

type rowRunner struct {
	_               struct{} `cbor:",toarray"`
	ID              string
	StartedAtMillis int64
	Address         string
}

// compactTask is a TaskProgress with the position of its runner in the list, from 1 on; zero
// means that it is not placed.
type compactTask struct {
	_          struct{} `cbor:",toarray"`
	Done       bool
	Run        int
	Failures   int
	Checkpoint string
	Runner     int
}

// MarshalCBOR implements cbor.Marshaler.
func (p Progress) MarshalCBOR() ([]byte, error) {
	if p.plainSize() <= maxRowBytes {
		data, err := cbor.Marshal(plainProgress(p))
		return data, errors.Wrap(err, "encoding a job's progress")
	}
	data, err := cbor.Marshal(p.compact())
	return data, errors.Wrap(err, "encoding a job's progress")
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (p *Progress) UnmarshalCBOR(data []byte) error {
	var row compactProgress
	if err := cbor.Unmarshal(data, &row); err != nil {
		return errors.Wrap(err, "decoding a job's progress")
	}
	*p = Progress(row.plainProgress)
	for _, t := range row.CompactTasks {
		task := TaskProgress{
			Done:       t.Done,
			Run:        t.Run,
			Failures:   t.Failures,
			Checkpoint: t.Checkpoint,
		}
		if t.Runner < 0 || t.Runner > len(row.Runners) {
			return errors.Newf("runner %d of %d in a job's progress", t.Runner, len(row.Runners))
		}
		if t.Runner > 0 {
			r := row.Runners[t.Runner-1]
			task.RunnerID, task.RunnerStartedAtMillis, task.Address = r.ID, r.StartedAtMillis, r.Address
		}
		p.Tasks = append(p.Tasks, task)
	}
	return nil
}

func (p *Progress) compact() compactProgress {
	row := compactProgress{
		plainProgress: plainProgress(*p),
	}
	row.Tasks = nil
	positions := map[rowRunner]int{}
	for i := range p.Tasks {
		t := &p.Tasks[i]
		task := compactTask{
			Done:       t.Done,
			Run:        t.Run,
			Failures:   t.Failures,
			Checkpoint: t.Checkpoint,
		}
		if t.RunnerID != "" {
			r := t.runner()
			if positions[r] == 0 {
				row.Runners = append(row.Runners, r)
				positions[r] = len(row.Runners)
			}
			task.Runner = positions[r]
		}
		row.CompactTasks = append(row.CompactTasks, task)
	}
	return row
}

func (t *TaskProgress) runner() rowRunner {
	return rowRunner{
		ID:              t.RunnerID,
		StartedAtMillis: t.RunnerStartedAtMillis,
		Address:         t.Address,
	}
}
