package experimenter

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

func (sim *stepsSimulation) logf(format string, args ...any) {
	sim.log = append(sim.log, sim.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// fatalf prints the log lines that concern a task and fails the test.
func (sim *stepsSimulation) fatalf(task, format string, args ...any) {
	sim.t.Helper()
	id, _, _ := strings.Cut(task, ".")
	for _, line := range sim.log {
		if strings.Contains(line, task) || !strings.Contains(line, ".") || strings.Contains(line, id+" ") || strings.Contains(line, "simulation") || strings.Contains(line, "cell: runner") {
			sim.t.Log(line)
		}
	}
	sim.t.Fatalf("seed %d at %s: "+format, append([]any{sim.seed, sim.Now().Format("15:04:05.000")}, args...)...)
}

// step returns the step of a task.
func (sim *stepsSimulation) step(task string) *scheduler.Step {
	id, _, _ := strings.Cut(task, ".")
	parts := strings.Split(task, ".")
	number, err := strconv.Atoi(parts[len(parts)-2])
	if err != nil || number >= len(sim.specs[id].Steps) {
		sim.fatalf(task, "%s was never submitted", task)
	}
	return &sim.specs[id].Steps[number]
}

// allocation returns what a task of a step takes from its runner's capacity.
func allocation(step *scheduler.Step) publisher.Resources {
	needs := step.Needs
	if step.BestEffort {
		needs.ProcessorMillis = 0
	}
	return needs
}

func capacity(a *stepsAgent) publisher.Resources {
	return publisher.Resources{
		ProcessorMillis: a.info.ProcessorMillis,
		MemoryBytes:     a.info.MemoryBytes,
	}
}

func (sim *stepsSimulation) runStarted(a *stepsAgent, r *emulator.StepRunner, ref framer.RunRef) {
	sim.logf("%s run %d starts on %v", ref.Task, ref.Run, r.Key)
	step := sim.step(ref.Task)
	if step.Speculative {
		sim.checkCopies(ref.Task)
	} else if other := sim.runningOn[ref.Task]; other != nil && !sim.stoppedAndExpired(other) {
		sim.fatalf(ref.Task, "%s runs on %v and on %v", ref.Task, other.Key, r.Key)
	}
	if sim.acknowledgedDone[ref.Task] {
		sim.fatalf(ref.Task, "%s starts after its completion was acknowledged", ref.Task)
	}
	if !step.LongRunning && sim.failures[ref.Task] >= stepsMaxFailures {
		sim.fatalf(ref.Task, "%s starts after %d failures", ref.Task, sim.failures[ref.Task])
	}
	if !step.Speculative {
		sim.runningOn[ref.Task] = r
	}
	sim.allocated[r] = publisher.Add(sim.allocated[r], allocation(step))
	if limit := sim.startCapacity(a); !publisher.Within(sim.allocated[r], limit) {
		sim.fatalf(ref.Task, "%v has %v of %v allocated", r.Key, sim.allocated[r], limit)
	}
	sim.history(ref.Task).starts = append(sim.history(ref.Task).starts, startedRun{
		run:    ref.Run,
		on:     r,
		at:     sim.Now(),
		number: sim.nextNumber(),
	})
	sim.crashingStarted(a, r, ref)
}

func (sim *stepsSimulation) runFinished(r *emulator.StepRunner, e framer.FinishedRun) {
	sim.logf("%s run %d finished on %v: %s", e.Task, e.Run, r.Key, e.Reason)
	sim.recordEnd(r, e)
	sim.faultAtEnd(r)
	sim.allocated[r] = publisher.Subtract(sim.allocated[r], allocation(sim.step(e.Task)))
	if sim.runningOn[e.Task] == r {
		delete(sim.runningOn, e.Task)
		sim.endedAt[e.Task] = sim.Now()
	}
}

// runAcknowledged records a finished run that the runner deletes because it was
// acknowledged, and that is therefore committed. It ignores runs that finished
// before the runner's lease last expired.
func (sim *stepsSimulation) runAcknowledged(r *emulator.StepRunner, e framer.FinishedRun, leaseExpired bool) {
	sim.logf("%s run %d deleted by %v: %s, expired %v", e.Task, e.Run, r.Key, e.Reason, leaseExpired)
	if leaseExpired {
		return
	}
	sim.checkAcknowledged(r, e)
	if e.Reason == framer.FinishFailed {
		sim.failures[e.Task]++
	}
	if e.Reason == framer.FinishDone && !sim.step(e.Task).LongRunning {
		sim.acknowledgedDone[e.Task] = true
	}
}
