package main

import (
	"fmt"
	"sync"
	"time"
)

// runnerMillis is the capacity of a runner, in thousandths of a core.
const runnerMillis = 32000

// Bounds of the rules. finishTime after the end of the traffic, no job may have nothing running
// for idleTime while there is room and a task's turn has come; nor at any time a task that
// lasts, from idleAfter after its last run, if calmTime before that was calm.
const (
	finishTime = 14 * time.Second
	idleAfter  = 6 * time.Second
	idleTime   = 3 * time.Second
	calmTime   = 4 * time.Second
)

// The scenario "timed": jobs that run each minute for two days are handed in, beside quick
// jobs of another queue.
const (
	// machineMemory is that of a front machine.
	machineMemory = 284 << 20
	timedRuns     = 2880
	timedPerS     = 7
	timedTime     = 14 * time.Second
	// A burst is burstFactor times the traffic for burstTime.
	burstFactor = 2.4
	burstAt     = 4 * time.Second
	burstTime   = 6500 * time.Millisecond
	quickEvery  = time.Second
	timedEnd    = 50 * time.Second
)

func timed(w *world, trouble bool) int {
	w.configure(w.route("quick"), w.route("timed"))
	w.addEntries(machineMemory)
	w.addRunners(3, runnerMillis)
	if !w.begin() {
		return exitNoRun
	}
	began := time.Now()
	var clients sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]string{}
	hand := func(queue string, job map[string]any) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := newID()
			if w.submit(queue, id, job) {
				mu.Lock()
				accepted[id] = queue
				mu.Unlock()
			}
		}()
	}
	quickAt, timedAt := began, began
	for now := began; now.Sub(began) < timedEnd; now = time.Now() {
		if !now.Before(quickAt) {
			quickAt = quickAt.Add(quickEvery)
			hand("quick", map[string]any{
				"Spec": `{"s":[{"ms":300}]}`, "Steps": []map[string]any{{"Count": 2, "Cpu": 500, "MemMb": 256, "EstimateMs": 300}},
			})
		}
		for now.Sub(began) < timedTime && !now.Before(timedAt) {
			rate := float64(timedPerS)
			if since := now.Sub(began); trouble && since >= burstAt && since < burstAt+burstTime {
				rate *= burstFactor
			}
			timedAt = timedAt.Add(time.Duration(float64(time.Second) / rate))
			hand("timed", map[string]any{
				"Spec": `{"s":[{"ms":500}]}`, "RunCount": timedRuns, "StartAtMs": began.Add(time.Hour).UnixMilli(), "IntervalMs": 60000,
				"Steps": []map[string]any{{"Count": 1, "Cpu": 500, "MemMb": 256, "EstimateMs": 500}},
			})
		}
		time.Sleep(10 * time.Millisecond)
	}
	clients.Wait()
	w.record.add("end of the traffic")
	time.Sleep(finishTime + idleTime)
	counts := map[string]int{}
	stuck := 0
	for id, queue := range accepted {
		status, state := w.state(queue, id)
		counts[fmt.Sprintf("%s %d %s", queue, status, state)]++
		if queue == "quick" && w.hasNothingRunning(id, 2, idleTime) {
			stuck++
			w.record.add("job %s (%s) has nothing running, and its tasks' turn has come", id, state)
		}
	}
	w.record.add("jobs at the end, by queue, answer and state: %v; %d tasks run", counts, w.runningTasks())
	for _, p := range w.entries {
		w.record.add("process %s: largest memory %d MB, ended %d times for that", p.name, p.peak>>20, p.overs)
	}
	if stuck > 0 {
		w.record.add("BROKEN LOST: %d accepted jobs have nothing running", stuck)
		return exitBroken
	}
	return exitHeld
}

// The scenario "lasting": a job whose tasks last and checkpoint their progress, beside quick
// jobs of another queue, and a runner that is cut off for a while.
const (
	lastingTasks  = 640
	lastingMillis = 100
	// lastingSaved is the length of the saved values.
	lastingSaved = 64
	cutTime      = 8 * time.Second
	quickJobs    = 300 * time.Millisecond
	quickTasks   = 40
	trafficTime  = 66 * time.Second
)

func lasting(w *world, trouble bool) int {
	w.savedBytes = lastingSaved
	w.configure(w.route("feed"), w.route("quick"))
	w.addEntries(0)
	w.addRunners(6, runnerMillis)
	if !w.begin() {
		return exitNoRun
	}
	id := newID()
	if !w.submit("feed", id, map[string]any{
		"Spec": `{"s":[{"ms":0,"c":true}]}`,
		"Steps": []map[string]any{{
			"Count": lastingTasks, "Cpu": lastingMillis, "MemMb": 64, "EstimateMs": 60000, "LongRunning": true, "Checkpoints": true,
		}},
	}) {
		return exitNoRun
	}
	if !w.waitRunning(lastingTasks, 20*time.Second) {
		w.broken("the tasks have not started")
		return exitNoRun
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.runners[2].setCut(true)
		time.AfterFunc(cutTime, func() { w.runners[2].setCut(false) })
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	began := time.Now()
	for time.Since(began) < trafficTime {
		clients.Add(1)
		go func() {
			defer clients.Done()
			quick := newID()
			if w.submit("quick", quick, map[string]any{
				"Spec": `{"s":[{"ms":100},{"ms":100}]}`,
				"Steps": []map[string]any{
					{"Count": quickTasks, "Cpu": 200, "MemMb": 64, "EstimateMs": 100},
					{"Count": 1, "Cpu": 200, "MemMb": 64, "EstimateMs": 100, "After": []int{0}},
				},
			}) {
				mu.Lock()
				accepted = append(accepted, quick)
				mu.Unlock()
			}
		}()
		time.Sleep(quickJobs)
	}
	clients.Wait()
	w.record.add("end of the traffic, %d tasks run", w.runningTasks())
	time.Sleep(finishTime + idleTime)
	counts := map[string]int{}
	stuck := 0
	for _, quick := range accepted {
		status, state := w.state("quick", quick)
		counts[fmt.Sprintf("%d %s", status, state)]++
		if w.waitsForNothing(quick, quickTasks, idleTime) {
			stuck++
			w.record.add("job %s (%s) has nothing running, and the turn of its second step has come", quick, state)
		}
	}
	w.record.add("quick jobs: %v; %d transactions were rejected", counts, w.store.rejected.Load())
	idle, longest := w.idleTasks(id, lastingTasks, idleAfter+calmTime+idleTime)
	w.record.add("tasks that last without a run: %d, the longest for %v", idle, longest)
	if idle+stuck > 0 {
		w.record.add("BROKEN LOST: %d tasks that last, and %d quick jobs, have nothing running", idle, stuck)
		return exitBroken
	}
	return exitHeld
}

// The scenario "blamed": a runner crashes under a sound task, and the next one that starts it
// is cut off for a while and runs on.
const (
	blamedMillis   = 2500
	blamedCrash    = 3 * time.Second
	blamedCut      = 8 * time.Second
	blamedAfter    = 150 * time.Millisecond
	blamedDeadline = 60 * time.Second
)

func blamed(w *world, trouble bool) int {
	w.configure(w.route("q"))
	w.addEntries(0)
	w.addRunners(7, runnerMillis)
	if !w.begin() {
		return exitNoRun
	}
	id := newID()
	if !w.submit("q", id, map[string]any{
		"Spec":  fmt.Sprintf(`{"s":[{"ms":%d}]}`, blamedMillis),
		"Steps": []map[string]any{{"Count": 1, "Cpu": 500, "MemMb": 256, "EstimateMs": blamedMillis}},
	}) {
		return exitNoRun
	}
	if trouble {
		first := w.waitRun(id+".0.0.0", 1, 10*time.Second)
		if first == nil {
			w.broken("the task has not started")
			return exitNoRun
		}
		time.Sleep(blamedAfter)
		first.crash()
		time.AfterFunc(blamedCrash, first.start)
		second := w.waitRun(id+".0.0.0", 2, 20*time.Second)
		if second == nil {
			w.broken("the task has not started again")
			return exitNoRun
		}
		time.Sleep(blamedAfter)
		second.setRefusing(true)
		time.AfterFunc(blamedCut, func() { second.setRefusing(false) })
	}
	state := ""
	for end := time.Now().Add(blamedDeadline); time.Now().Before(end); time.Sleep(time.Second) {
		_, state = w.state("q", id)
		w.record.add("GET %s: %s", id, state)
		if state == "completed" || state == "failed" {
			break
		}
	}
	if state == "failed" {
		w.record.add("BROKEN LOST: the job is shown as failed; no run of its task has ended failed, and one runner has crashed")
		return exitBroken
	}
	if state != "completed" {
		w.record.add("BROKEN LOST: the job is shown as %q", state)
		return exitBroken
	}
	return exitHeld
}

// The scenario "added": empty runners join while a job whose tasks last waits for room.
const (
	addedTasks = 900
	addedCPU   = 100
	addedCount = 3
	addedWait  = 30 * time.Second
)

func added(w *world, trouble bool) int {
	w.configure(w.route("feed"))
	w.addEntries(0)
	w.addRunners(2, runnerMillis)
	if !w.begin() {
		return exitNoRun
	}
	id := newID()
	if !w.submit("feed", id, map[string]any{
		"Spec":  `{"s":[{"ms":0}]}`,
		"Steps": []map[string]any{{"Count": addedTasks, "Cpu": addedCPU, "MemMb": 64, "EstimateMs": 60000, "LongRunning": true}},
	}) {
		return exitNoRun
	}
	if !w.waitRunning(2*runnerMillis/addedCPU, 30*time.Second) {
		w.broken("the runners are not filled")
		return exitNoRun
	}
	if trouble {
		w.addRunners(addedCount, runnerMillis)
	}
	for range 6 {
		time.Sleep(addedWait / 6)
		w.record.add("%d of %d tasks run", w.runningTasks(), addedTasks)
	}
	idle, _ := w.idleTasks(id, addedTasks, idleAfter+calmTime+idleTime)
	free := w.freeMillis()
	status, state := w.state("feed", id)
	w.record.add("GET %s: %d %s; %d tasks have nothing running; %d thousandths of a core are free", id, status, state, idle, free)
	if idle > 0 && free >= 2*addedCPU {
		w.record.add("BROKEN LOST: %d tasks that last have nothing running, and there is room", idle)
		return exitBroken
	}
	return exitHeld
}
