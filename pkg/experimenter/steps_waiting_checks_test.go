package experimenter

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

const (
	// contactTime is the time after the last fault from which the rest counts as
	// calm, and calmBefore how long it must have been calm before a wait counts.
	contactTime = 3 * time.Second
	calmBefore  = 4 * time.Second
	// restartTime is the time after the last run of a long-running task from
	// which a wait counts.
	restartTime = 6 * time.Second
	// maxWait is how long a task may wait that could run.
	maxWait       = 3 * time.Second
	checkInterval = 100 * time.Millisecond
)

// waitingSimulation checks that tasks which could run do not wait for long. The
// checks read the true state of the runners and none of the cell's.
type waitingSimulation struct {
	*stepsSimulation
	// disturbedUntil is when the last fault ends that was injected so far.
	disturbedUntil time.Time
	// waitingSince is since when each long-running task or finite job could run
	// and does not.
	waitingSince map[string]time.Time
	// doneOn is the runner on which each finite task was done.
	doneOn map[string]*emulator.StepRunner
	// restarts counts the long-running tasks that started again, and longestWait
	// is the longest time for which one could run and did not.
	restarts    int
	longestWait time.Duration
	jobs        int
}

// disturb records a fault that ends after d.
func (sim *waitingSimulation) disturb(d time.Duration) {
	if end := sim.Now().Add(d); end.After(sim.disturbedUntil) {
		sim.disturbedUntil = end
	}
}

// calm reports whether there has been no fault for long enough that a wait
// counts.
func (sim *waitingSimulation) calm() bool {
	return sim.Now().Sub(sim.disturbedUntil) >= contactTime+calmBefore
}

// checkWaits fails the test if a task or a job has waited too long.
func (sim *waitingSimulation) checkWaits() {
	if !sim.calm() {
		clear(sim.waitingSince)
		return
	}
	for _, id := range slices.Sorted(maps.Keys(sim.specs)) {
		if _, ok := sim.cancelled[id]; ok || sim.progress[id].State.Final() {
			continue
		}
		spec := sim.specs[id]
		if !spec.Steps[0].LongRunning {
			sim.checkWait(id+".", sim.finiteJobWaits(&spec))
			continue
		}
		for _, task := range stepTasks(&spec, 0) {
			sim.checkWait(task, sim.longRunningTaskWaits(&spec, task))
		}
	}
}

func (sim *waitingSimulation) checkWait(name string, waits bool) {
	since, ok := sim.waitingSince[name]
	switch {
	case !waits:
		delete(sim.waitingSince, name)
	case !ok:
		sim.waitingSince[name] = sim.Now()
	default:
		wait := sim.Now().Sub(since)
		sim.longestWait = max(sim.longestWait, wait)
		if wait >= maxWait {
			sim.failWait(name)
		}
	}
}

// failWait fails the test because a task or a job waits.
func (sim *waitingSimulation) failWait(name string) {
	sim.describe(name)
	sim.fatalf(name, "%s does not run, with capacity for it twice over for %s; the last fault ended at %s, its last run at %s",
		name, maxWait, sim.disturbedUntil.Format("15:04:05.000"), sim.endedAt[name].Format("15:04:05.000"))
}

// describe logs what a task or a job needs and what the runners hold.
func (sim *waitingSimulation) describe(name string) {
	task := name
	if strings.HasSuffix(name, ".") {
		task += "0.0.0"
	}
	step := sim.step(task)
	sim.logf("simulation: %s needs %v, label %q, anti-affinity %d, best effort %v, service %s", name, allocation(step), step.Requires, step.AntiAffinity, step.BestEffort, sim.serviceOf(task))
	for _, a := range sim.agents {
		if !a.lost {
			sim.logf("simulation: %s of %s %v: sound %v, %v of %v in use, fits twice %v, runs %v", a.runner.Key.ID, a.info.Service, a.info.Labels,
				sim.sound(a), sim.allocated[a.runner], capacity(a), sim.holdsTwice(a, task), a.runner)
		}
	}
}

// longRunningTaskWaits reports whether a long-running task should run now and
// does not.
func (sim *waitingSimulation) longRunningTaskWaits(spec *scheduler.Spec, task string) bool {
	ended, ok := sim.endedAt[task]
	if !ok {
		ended = time.UnixMilli(spec.AcceptedAtMillis)
	}
	return sim.runningOn[task] == nil && sim.Now().Sub(ended) >= restartTime && sim.fitsTwice(task)
}

// finiteJobWaits reports whether a finite job should have something running now
// and has not.
func (sim *waitingSimulation) finiteJobWaits(spec *scheduler.Spec) bool {
	if sim.Now().Sub(time.UnixMilli(spec.AcceptedAtMillis)) < restartTime || sim.anyRuns(spec) {
		return false
	}
	for number := range spec.Steps {
		for _, task := range stepTasks(spec, number) {
			if sim.turnHasCome(spec, number, task) && sim.mostlyIdle(sim.serviceOf(task)) && sim.fitsTwice(task) {
				return true
			}
		}
	}
	return false
}

func (sim *waitingSimulation) anyRuns(spec *scheduler.Spec) bool {
	for number := range spec.Steps {
		for _, task := range stepTasks(spec, number) {
			if sim.runningOn[task] != nil {
				return true
			}
		}
	}
	return false
}

// turnHasCome reports whether a task is not done and all tasks before it are.
func (sim *waitingSimulation) turnHasCome(spec *scheduler.Spec, number int, task string) bool {
	if sim.doneOn[task] != nil || sim.committedDone(spec, task) {
		return false
	}
	for _, dependency := range spec.Steps[number].After {
		for _, other := range stepTasks(spec, dependency) {
			if !sim.committedDone(spec, other) {
				return false
			}
		}
	}
	return true
}

// committedDone reports whether the store has a task as done.
func (sim *waitingSimulation) committedDone(spec *scheduler.Spec, task string) bool {
	i := 0
	for number := range spec.Steps {
		for _, other := range stepTasks(spec, number) {
			if other == task {
				tasks := sim.progress[spec.ID].Tasks
				return i < len(tasks) && tasks[i].Done
			}
			i++
		}
	}
	return false
}

// mostlyIdle reports whether less than half of a service's processors are in
// use.
func (sim *waitingSimulation) mostlyIdle(service string) bool {
	used, total := int64(0), int64(0)
	for _, a := range sim.agents {
		if sim.sound(a) && a.info.Service == service {
			used += sim.allocated[a.runner].ProcessorMillis
			total += a.info.ProcessorMillis
		}
	}
	return 2*used < total
}

// fitsTwice reports whether a sound runner could hold a task twice.
func (sim *waitingSimulation) fitsTwice(task string) bool {
	return slices.ContainsFunc(sim.agents, func(a *stepsAgent) bool { return sim.holdsTwice(a, task) })
}

// holdsTwice reports whether a runner is sound and could hold a task twice.
func (sim *waitingSimulation) holdsTwice(a *stepsAgent, task string) bool {
	step := sim.step(task)
	if !sim.sound(a) || a.info.Service != sim.serviceOf(task) || step.Requires != "" && !slices.Contains(a.info.Labels, step.Requires) {
		return false
	}
	if step.AntiAffinity > 0 && sim.siblings(a, task) >= step.AntiAffinity {
		return false
	}
	needs := allocation(step)
	return publisher.Within(publisher.Add(needs, needs), publisher.Subtract(capacity(a), sim.allocated[a.runner]))
}

// siblings counts the tasks of the same step that run on a runner.
func (sim *waitingSimulation) siblings(a *stepsAgent, task string) int {
	step := task[:strings.LastIndexByte(task, '.')+1]
	n := 0
	for other, on := range sim.runningOn {
		if on == a.runner && strings.HasPrefix(other, step) {
			n++
		}
	}
	return n
}

// sound reports whether a runner and its agent are well, apart from the faults
// that make calm return false.
func (sim *waitingSimulation) sound(a *stepsAgent) bool {
	return !a.lost && !a.gone && !a.info.Draining && !a.partitioned && !a.runnerUnreachable
}

func (sim *waitingSimulation) serviceOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return sim.queues.Named(sim.specs[id].Queue).Service
}

// stepTasks returns the names of the tasks of a step.
func stepTasks(spec *scheduler.Spec, number int) []string {
	var tasks []string
	for i := range spec.Steps[number].Count {
		tasks = append(tasks, fmt.Sprintf("%s.0.%d.%d", spec.ID, number, i))
	}
	return tasks
}

// checkEnds fails the test if a finite job has not ended.
func (sim *waitingSimulation) checkEnds() {
	for _, id := range slices.Sorted(maps.Keys(sim.specs)) {
		if state := sim.progress[id].State; !sim.specs[id].Steps[0].LongRunning && !state.Final() {
			sim.describe(id + ".")
			sim.fatalf(id+".", "%s is %s at the end", id, state)
		}
	}
}

// recordDone keeps for each finite task on which runner it was done, as long as
// that result is not lost.
func (sim *waitingSimulation) recordDone(r *emulator.StepRunner) {
	finish, acknowledged := r.OnFinish, r.OnAcknowledged
	r.OnFinish = func(e framer.FinishedRun) {
		finish(e)
		if e.Reason == framer.FinishDone {
			sim.doneOn[e.Task] = r
		}
	}
	r.OnAcknowledged = func(e framer.FinishedRun, leaseExpired bool) {
		acknowledged(e, leaseExpired)
		delete(sim.doneOn, e.Task)
	}
}

// forgetDone drops the unacknowledged results of a runner that is lost.
func (sim *waitingSimulation) forgetDone(r *emulator.StepRunner) {
	maps.DeleteFunc(sim.doneOn, func(_ string, on *emulator.StepRunner) bool { return on == r })
}
