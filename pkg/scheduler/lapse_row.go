package scheduler

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// lapsedRunnerBytes and lapsedRunBytes bound what a lapsed runner, without its names, and
	// one of its runs take in a row.
	lapsedRunnerBytes = 32
	lapsedRunBytes    = 8
)

// LapsedRunner is a runner whose lease expired with runs of a job, in the job's row: the next
// owner learns whether it crashed.
type LapsedRunner struct {
	_               struct{} `cbor:",toarray"`
	ID              string
	StartedAtMillis int64
	Address         string
	// AtMillis is when the runs were lost, in milliseconds since 1970.
	AtMillis int64
	Runs     []LapsedRun
}

// LapsedRun is a task whose run was lost with its runner, by its index in Progress.Tasks.
type LapsedRun struct {
	_ struct{} `cbor:",toarray"`
	// Task is the index of the task in Progress.Tasks.
	Task int
	// Suspicion is what a crash of the runner adds to the evidence against the task.
	Suspicion int
}

// recordLapses stores the lapses of a job's tasks as far as the row has room for them. Without
// an entry, the next owner takes none of them for a crash.
func (p *Progress) recordLapses(tasks []*task) {
	room := p.room()
	positions := map[*lapsedRunner]int{}
	for i, t := range tasks {
		if t.done {
			continue
		}
		for _, run := range t.lapses {
			r := run.runner
			position, known := positions[r]
			needs := lapsedRunBytes
			if !known {
				needs += lapsedRunnerBytes + len(r.key.ID) + len(r.address)
			}
			if room -= needs; room < 0 {
				return
			}
			if !known {
				position = len(p.Lapsed)
				positions[r] = position
				p.Lapsed = append(p.Lapsed, LapsedRunner{
					ID:              r.key.ID,
					StartedAtMillis: r.key.StartedAtMillis,
					Address:         r.address,
					AtMillis:        r.at.UnixMilli(),
				})
			}
			p.Lapsed[position].Runs = append(p.Lapsed[position].Runs, LapsedRun{
				Task:      i,
				Suspicion: run.added.suspicion,
			})
		}
	}
}

// loadLapses restores the lapses of a job's tasks. They lie in the past, although the times of
// day of two owners may differ.
func (c *Cell) loadLapses(seenAt time.Time, tasks []*task, lapsed []LapsedRunner) {
	for _, r := range lapsed {
		key := framer.RunnerKey{
			ID:              r.ID,
			StartedAtMillis: r.StartedAtMillis,
		}
		for _, run := range r.Runs {
			if run.Task < 0 || run.Task >= len(tasks) || tasks[run.Task].done {
				continue
			}
			c.lapses.add(minTime(seenAt, time.UnixMilli(r.AtMillis)), key, r.Address, tasks[run.Task].taskState, crashRecord{
				crashes:   1,
				suspicion: min(max(0, run.Suspicion), soleSuspicion),
			})
		}
	}
}

// size returns the size of the encoded runner, rounded up.
func (r *LapsedRunner) size() int {
	return lapsedRunnerBytes + len(r.ID) + len(r.Address) + lapsedRunBytes*len(r.Runs)
}
