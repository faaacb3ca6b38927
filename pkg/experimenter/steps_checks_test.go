package experimenter

import (
	"fmt"
	"strings"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

func (sim *stepsSimulation) logf(format string, args ...any) {
	sim.log = append(sim.log, sim.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// fatalf prints the log lines that concern a task and fails the test.
func (sim *stepsSimulation) fatalf(task, format string, args ...any) {
	sim.t.Helper()
	id, _, _ := strings.Cut(task, ".")
	for _, line := range sim.log {
		if strings.Contains(line, task) || !strings.Contains(line, ".") || strings.Contains(line, id+" ") || strings.Contains(line, "simulation") {
			sim.t.Log(line)
		}
	}
	sim.t.Fatalf("seed %d at %s: "+format, append([]any{sim.seed, sim.Now().Format("15:04:05.000")}, args...)...)
}

func (sim *stepsSimulation) runStarted(r *emulator.StepRunner, ref framer.RunRef) {
	sim.logf("%s run %d starts on %v", ref.Task, ref.Run, r.Key)
	if other := sim.runningOn[ref.Task]; other != nil {
		sim.fatalf(ref.Task, "%s runs on %v and on %v", ref.Task, other.Key, r.Key)
	}
	if sim.acknowledgedDone[ref.Task] {
		sim.fatalf(ref.Task, "%s starts after its completion was acknowledged", ref.Task)
	}
	if sim.failures[ref.Task] >= stepsMaxFailures {
		sim.fatalf(ref.Task, "%s starts after %d failures", ref.Task, sim.failures[ref.Task])
	}
	id, _, _ := strings.Cut(ref.Task, ".")
	spec, ok := sim.specs[id]
	if !ok {
		sim.fatalf(ref.Task, "%s was never submitted", ref.Task)
	}
	sim.runningOn[ref.Task] = r
	sim.allocatedMillis[r] += spec.Steps[0].Needs.ProcessorMillis
	if sim.allocatedMillis[r] > stepsProcessorMillis {
		sim.fatalf(ref.Task, "%v has %d of %d processor millis allocated", r.Key, sim.allocatedMillis[r], stepsProcessorMillis)
	}
}

func (sim *stepsSimulation) runFinished(r *emulator.StepRunner, e framer.FinishedRun) {
	sim.logf("%s run %d finished on %v: %s", e.Task, e.Run, r.Key, e.Reason)
	id, _, _ := strings.Cut(e.Task, ".")
	sim.allocatedMillis[r] -= sim.specs[id].Steps[0].Needs.ProcessorMillis
	if sim.runningOn[e.Task] == r {
		delete(sim.runningOn, e.Task)
	}
}

// runAcknowledged records a finished run that the runner deletes because it was
// acknowledged, and that is therefore committed. It ignores runs that finished
// before the runner's lease last expired.
func (sim *stepsSimulation) runAcknowledged(e framer.FinishedRun, leaseExpired bool) {
	sim.logf("%s run %d deleted by the runner: %s, expired %v", e.Task, e.Run, e.Reason, leaseExpired)
	if leaseExpired {
		return
	}
	if e.Reason == framer.FinishFailed {
		sim.failures[e.Task]++
	}
	if e.Reason == framer.FinishDone {
		sim.acknowledgedDone[e.Task] = true
	}
}
