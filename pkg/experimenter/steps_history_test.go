package experimenter

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// history is what the runners saw of a task. Starts and ends are numbered in the order
// in which they happened, for all tasks together.
type history struct {
	starts []startedRun
	ends   []endedRun
}

type startedRun struct {
	run    int
	on     *emulator.StepRunner
	at     time.Time
	number int
}

// endedRun is a run that finished. acknowledged is set once its runner has received an
// acknowledgement of it, without an expiry of the runner's lease between the two.
type endedRun struct {
	finished     framer.FinishedRun
	on           *emulator.StepRunner
	at           time.Time
	number       int
	acknowledged bool
}

func (sim *stepsSimulation) history(task string) *history {
	if sim.histories[task] == nil {
		sim.histories[task] = &history{}
	}
	return sim.histories[task]
}

// nextNumber returns the number of the next start or end.
func (sim *stepsSimulation) nextNumber() int {
	sim.numbered++
	return sim.numbered
}

func (sim *stepsSimulation) recordEnd(r *emulator.StepRunner, e framer.FinishedRun) {
	h := sim.history(e.Task)
	h.ends = append(h.ends, endedRun{
		finished: e,
		on:       r,
		at:       sim.Now(),
		number:   sim.nextNumber(),
	})
}

// checkAcknowledged records that an end counts, and checks the starts since then: none
// may follow a run that was done, nor as many failures as the job may have. Starts that
// come later are checked when they come. A copy may start after another run was done, but
// not after that was acknowledged.
func (sim *stepsSimulation) checkAcknowledged(r *emulator.StepRunner, e framer.FinishedRun) {
	h := sim.history(e.Task)
	for i := range h.ends {
		if h.ends[i].on == r && h.ends[i].finished.Sequence == e.Sequence {
			h.ends[i].acknowledged = true
		}
	}
	if sim.step(e.Task).LongRunning {
		return
	}
	for _, started := range h.starts {
		done, failed := h.acknowledgedBefore(started.number)
		if done != nil && !sim.step(e.Task).Speculative {
			sim.fatalf(e.Task, "%s run %d started on %v at %s, after run %d had ended as done on %v at %s, which is acknowledged now and whose lease has not expired since",
				e.Task, started.run, started.on.Key, clockTime(started.at), done.finished.Run, done.on.Key, clockTime(done.at))
		}
		if failed >= stepsMaxFailures {
			sim.fatalf(e.Task, "%s run %d started on %v at %s, after %d failures that are acknowledged now",
				e.Task, started.run, started.on.Key, clockTime(started.at), failed)
		}
	}
}

// acknowledgedBefore returns an acknowledged end as done before a start, or nil, and the
// number of acknowledged failures before it.
func (h *history) acknowledgedBefore(start int) (done *endedRun, failed int) {
	for i := range h.ends {
		e := &h.ends[i]
		if !e.acknowledged || e.number > start {
			continue
		}
		switch e.finished.Reason {
		case framer.FinishDone:
			done = e
		case framer.FinishFailed:
			failed++
		default:
		}
	}
	return done, failed
}

func clockTime(at time.Time) string {
	return at.Format("15:04:05.000")
}
