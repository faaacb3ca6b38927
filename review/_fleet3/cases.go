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

// The scenario "blocked": a job whose tasks last and checkpoint their progress, beside quick
// jobs of another queue, and two runners of six that are cut off for a while.
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

func blocked(w *world, trouble bool) int {
	w.savedBytes = lastingSaved
	w.configure(w.route("feed"), w.route("quick"))
	w.addEntries()
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
		for _, r := range w.runners[2:4] {
			r.setCut(true)
			time.AfterFunc(cutTime, func() { r.setCut(false) })
		}
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
	w.record.add("tasks that last without a run, not judged here: %d, the longest for %v", idle, longest)
	if stuck > 0 {
		w.record.add("BROKEN LOST: %d quick jobs have nothing running", stuck)
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
	w.addEntries()
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
	w.addEntries()
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

// The scenario "reserved": a large gang waits for room, and a small job that lasts comes
// after it.
const (
	reservedRunners = 5
	// Two fifths of each runner are in use by a task of reservedMillis.
	reservedCPU    = 12800
	reservedMillis = 90000
	gangCPU        = 31000
	feedTasks      = 2
	reservedWait   = 75 * time.Second
)

func reserved(w *world, trouble bool) int {
	w.configure(w.route("survey"), w.route("large"), w.route("feed"))
	w.addEntries()
	w.addRunners(reservedRunners, runnerMillis)
	if !w.begin() {
		return exitNoRun
	}
	if !w.submit("survey", newID(), map[string]any{
		"Spec": fmt.Sprintf(`{"s":[{"ms":%d}]}`, reservedMillis),
		"Steps": []map[string]any{{
			"Count": reservedRunners, "Cpu": reservedCPU, "MemMb": 8000, "EstimateMs": reservedMillis, "AntiAffinity": 1,
		}},
	}) || !w.waitRunning(reservedRunners, 10*time.Second) {
		w.broken("the runners are not in use")
		return exitNoRun
	}
	if trouble && !w.submit("large", newID(), map[string]any{
		"Spec": fmt.Sprintf(`{"s":[{"ms":5000,"g":%d}]}`, reservedRunners),
		"Steps": []map[string]any{{
			"Count": reservedRunners, "Cpu": gangCPU, "MemMb": 8000, "EstimateMs": 5000, "Gang": true,
		}},
	}) {
		w.broken("the gang was not accepted")
		return exitNoRun
	}
	time.Sleep(time.Second)
	id := newID()
	if !w.submit("feed", id, map[string]any{
		"Spec":  `{"s":[{"ms":0}]}`,
		"Steps": []map[string]any{{"Count": feedTasks, "Cpu": 2000, "MemMb": 1000, "EstimateMs": 500, "LongRunning": true}},
	}) {
		w.broken("the job that lasts was not accepted")
		return exitNoRun
	}
	handedIn := time.Now()
	for time.Since(handedIn) < reservedWait {
		time.Sleep(5 * time.Second)
		idle, _ := w.idleTasks(id, feedTasks, 0)
		w.record.add("%d of %d tasks that last have nothing running, %v after they were accepted", idle, feedTasks, time.Since(handedIn).Round(time.Second))
	}
	idle, _ := w.idleTasks(id, feedTasks, idleAfter+calmTime+idleTime)
	if idle > 0 {
		w.record.add("BROKEN LOST: %d tasks that last have nothing running, and three fifths of each runner are free", idle)
		return exitBroken
	}
	return exitHeld
}
