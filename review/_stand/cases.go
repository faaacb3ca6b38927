package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

func scenarios() map[string]scenario {
	return map[string]scenario{
		"paced-work":          pacedWork(),
		"lost-after-restart":  lostAfterRestart(),
		"restarted-then-lost": restartedThenLost(),
		"lost-after-start":    lostAfterStart(),
		"large-jobs":          largeJobs(),
		"dropped-route":       droppedRoute(),
		"foreign-beat":        foreignBeat(),
		"shrunk-room":         shrunkRoom(),
		"crashing-task":       crashingTask(),
	}
}

func fixedCPU(millis int) func(string) int { return func(string) int { return millis } }

// largeJobs: 22 jobs of 96 small tasks come at once, or four in a second. A job of
// tasks that last is at work before.
func largeJobs() scenario {
	const (
		jobs  = 22
		tasks = 96
		cpu   = 15
		// gap is the time between two jobs without the burst.
		gap     = 250 * time.Millisecond
		lasting = "00000000000000a9"
	)
	return scenario{
		entries: 2,
		runners: 3,
		behave: func(task string, _ int) behaviour {
			if strings.HasPrefix(task, lasting) {
				return behaviour{tail: 20}
			}
			return behaviour{runtime: time.Second, how: "done"}
		},
		cpuOf: func(task string) int {
			if strings.HasPrefix(task, lasting) {
				return 2000
			}
			return cpu
		},
		play: func(s *system, trouble bool) {
			s.configure(1, route("q", 2, 0), route("feed", 4, 0))
			s.start()
			s.warmUp("q")
			feed := step(3, 2000)
			feed["LongRunning"], feed["Image"], feed["TargetMs"] = true, "feed", 100
			s.submit("feed", lasting, job(feed))
			time.Sleep(2 * time.Second)
			large := job(step(tasks, cpu))
			large["Spec"] = strings.Repeat("x", 4000)
			ids := []string{}
			for i := range jobs {
				ids = append(ids, fmt.Sprintf("%016x", 0xb0+i))
			}
			var group sync.WaitGroup
			for _, id := range ids {
				if trouble {
					group.Go(func() { s.submit("q", id, large) })
					continue
				}
				s.submit("q", id, large)
				time.Sleep(gap)
			}
			group.Wait()
			s.rec.add("the traffic ends")
			s.finish("q", ids, tasks*cpu)
			s.watchLasting(lasting, 3, idleFor+500*time.Millisecond)
		},
	}
}

const (
	// finishS is how long after the end of the traffic jobs are asked for, and
	// idleFor how long one may have nothing running then.
	finishS = 14 * time.Second
	idleFor = 3 * time.Second
)

// usage returns how many runs each job has at work, how much of the capacity is in
// use and how much there is.
func (s *system) usage(ids []string) (runs map[string]int, used, total int) {
	runs = map[string]int{}
	for _, r := range s.runners {
		for i, id := range ids {
			n, millis := r.running(id)
			runs[id] += n
			if i == 0 {
				used += millis
			}
		}
		r.mu.Lock()
		total += r.capacity
		r.mu.Unlock()
	}
	return runs, used, total
}

// finish waits for finishS from the end of the traffic and asks for the jobs. A job
// that is not completed must not have nothing running for idleFor then, while there
// is capacity for it twice over and under half of the capacity is in use.
func (s *system) finish(queue string, ids []string, needs int) {
	time.Sleep(finishS)
	open := []string{}
	for i, id := range ids {
		state := s.state(i%len(s.callers), queue, id)
		if state != "completed" {
			open = append(open, id)
		}
		if state == "" || state == "failed" || state == "cancelled" {
			s.report("LOST: job %s is %q after the end of the traffic", id, state)
		}
	}
	idle := map[string]bool{}
	for _, id := range open {
		idle[id] = true
	}
	began := time.Now()
	for time.Since(began) < idleFor+200*time.Millisecond {
		runs, used, total := s.usage(open)
		for _, id := range open {
			if runs[id] > 0 || 2*used >= total || total-used < 2*needs {
				idle[id] = false
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, id := range open {
		if idle[id] && s.state(0, queue, id) != "completed" {
			_, used, total := s.usage(open)
			s.report("LOST: job %s has had nothing running for %.1f s, %.0f s after the end of the traffic, with %d of %d thousandths in use",
				id, time.Since(began).Seconds(), finishS.Seconds(), used, total)
		}
	}
	s.rec.add("%d of %d jobs are completed", len(ids)-len(open), len(ids))
}

// droppedRoute: the operator removes the route of a running job and adds it again.
func droppedRoute() scenario {
	const id = "00000000000000c1"
	return scenario{
		entries: 2,
		runners: 3,
		behave: func(task string, run int) behaviour {
			if strings.HasPrefix(task, id) && run < 4 {
				return behaviour{runtime: time.Second, how: "failed"}
			}
			return behaviour{runtime: time.Second, how: "done"}
		},
		cpuOf: fixedCPU(500),
		play: func(s *system, trouble bool) {
			s.configure(1, route("q", 4, 0), route("other", 2, 0))
			s.start()
			s.warmUp("other")
			s.submit("q", id, job(step(1, 500)))
			time.Sleep(500 * time.Millisecond)
			if trouble {
				s.configure(2, route("other", 2, 0))
			}
			time.Sleep(8 * time.Second)
			if trouble {
				s.configure(3, route("q", 4, 0), route("other", 2, 0))
			}
			time.Sleep(4 * time.Second)
			for entry := range s.callers {
				if state := s.state(entry, "q", id); state == "failed" {
					s.mu.Lock()
					s.broken("LOST: the job is shown as failed after %d of 4 attempts", s.starts[id+".0.0.0"])
					s.mu.Unlock()
				}
			}
		},
	}
}

// foreignBeat: an agent gets a heartbeat of another writer.
func foreignBeat() scenario {
	const id = "00000000000000d1"
	return scenario{
		entries: 2,
		runners: 3,
		behave: func(task string, _ int) behaviour {
			if strings.HasPrefix(task, id) {
				return behaviour{runtime: 15 * time.Second, how: "done"}
			}
			return behaviour{runtime: time.Second, how: "done"}
		},
		cpuOf: fixedCPU(500),
		play: func(s *system, trouble bool) {
			s.configure(1, route("q", 2, 0))
			s.start()
			s.warmUp("q")
			s.submit("q", id, job(step(6, 500)))
			time.Sleep(4 * time.Second)
			if trouble {
				r := s.runners[0]
				r.mu.Lock()
				body := r.heartbeatBody()
				r.mu.Unlock()
				body["Service"] = "elsewhere"
				body["Seq"] = 1
				body["born"] = time.Now().UnixMilli()
				s.rec.add("another writer sends a heartbeat to the agent of %s for a service that isn't named", r.name)
				if err := r.sendHeartbeat(context.Background(), "i-other", body); err != nil {
					fail("%v", err)
				}
			}
			time.Sleep(20 * time.Second)
		},
	}
}

// shrunkRoom: the rooms of all runners shrink a little, and a job comes whose task
// fits into each of them.
func shrunkRoom() scenario {
	const (
		id  = "00000000000000e1"
		cpu = 30000
	)
	return scenario{
		entries: 2,
		runners: 3,
		behave:  func(string, int) behaviour { return behaviour{runtime: time.Second, how: "done"} },
		cpuOf: func(task string) int {
			if strings.HasPrefix(task, id) {
				return cpu
			}
			return 100
		},
		play: func(s *system, trouble bool) {
			s.configure(1, route("q", 3, 2))
			s.start()
			s.warmUp("q")
			if trouble {
				for _, r := range s.runners {
					r.mu.Lock()
					r.capacity = 31000
					r.mu.Unlock()
				}
				s.rec.add("the capacity of all runners shrinks from 32000 to 31000")
				time.Sleep(5 * time.Second)
			}
			s.submit("q", id, job(step(1, cpu)))
			s.rec.add("the traffic ends")
			s.finish("q", []string{id}, cpu)
		},
	}
}

// crashingTask: a task crashes each runner that starts it, beside many sound ones.
func crashingTask() scenario {
	const (
		id    = "00000000000000a1"
		after = 600 * time.Millisecond
		back  = 3 * time.Second
		load  = 40
		cpu   = 4000
	)
	return scenario{
		entries: 2,
		runners: 8,
		behave: func(task string, _ int) behaviour {
			if strings.HasPrefix(task, id) {
				return behaviour{runtime: 3 * time.Second, how: "done", crashAfter: after}
			}
			return behaviour{runtime: 300 * time.Millisecond, how: "done"}
		},
		cpuOf: fixedCPU(cpu),
		play: func(s *system, trouble bool) {
			s.configure(1, route("q", 3, 0))
			var mu sync.Mutex
			crashes := 0
			atThird := 0
			for _, r := range s.runners {
				r.onCrash = func(r *runner, task string) {
					n := s.startCount(id + ".0.0.0")
					mu.Lock()
					crashes++
					if crashes == 3 {
						atThird = n
					}
					mu.Unlock()
					go func() {
						time.Sleep(back)
						if err := r.start(r.id); err != nil {
							s.rec.add("runner %s: %v", r.name, err)
						}
					}()
				}
			}
			s.start()
			s.warmUp("q")
			for i := range load {
				s.submit("q", fmt.Sprintf("00000000000003%02x", i), job(step(90, cpu)))
				if trouble && i == 6 {
					s.submit("q", id, job(step(1, cpu)))
				}
				time.Sleep(500 * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			starts := s.startCount(id + ".0.0.0")
			s.rec.add("%d runners crashed under the task, which was started %d times", crashes, starts)
			if atThird > 0 && starts-atThird >= 3 {
				s.mu.Lock()
				s.broken("BUDGET: the task was started %d times more after three runners had crashed under it", starts-atThird)
				s.mu.Unlock()
			}
		},
	}
}

// lostAfterStart: a runner is lost for good soon after it has started a task that
// lasts.
func lostAfterStart() scenario {
	const (
		id  = "00000000000000f1"
		cpu = 6000
		// lostAfter is how long after the start the runner is lost.
		lostAfter = 150 * time.Millisecond
		// from is how long after its last run a lasting task has to run again.
		from = 6 * time.Second
	)
	return scenario{
		entries:   2,
		runners:   8,
		maxHoldMs: 10000,
		behave: func(task string, _ int) behaviour {
			if strings.HasPrefix(task, id) {
				return behaviour{tail: 20}
			}
			return behaviour{runtime: time.Second, how: "done"}
		},
		cpuOf: fixedCPU(cpu),
		play: func(s *system, trouble bool) {
			s.configure(1, route("q", 2, 0), route("feed", 4, 0))
			lost := make(chan struct{})
			var once sync.Once
			for _, r := range s.runners {
				started := r.onStart
				r.onStart = func(r *runner, task string, run int) {
					started(r, task, run)
					if !strings.HasPrefix(task, id) {
						return
					}
					once.Do(func() {
						time.AfterFunc(lostAfter, func() {
							if trouble {
								r.crash("lost for good")
							}
							close(lost)
						})
					})
				}
			}
			s.start()
			s.warmUp("q")
			time.Sleep(2 * time.Second)
			feed := step(1, cpu)
			feed["LongRunning"], feed["Image"], feed["TargetMs"] = true, "feed", 100
			s.submit("feed", id, job(feed))
			select {
			case <-lost:
			case <-time.After(10 * time.Second):
				fail("the lasting task was not started")
			}
			time.Sleep(from)
			s.watchLasting(id, 1, 12*time.Second)
		},
	}
}

// watchLasting checks that no lasting task is down for idleFor.
func (s *system) watchLasting(id string, tasks int, during time.Duration) {
	since := map[string]time.Time{}
	reported := map[string]bool{}
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		up := map[string]bool{}
		for _, l := range s.live {
			up[l.task] = true
		}
		for i := range tasks {
			task := fmt.Sprintf("%s.0.0.%d", id, i)
			switch {
			case up[task]:
				delete(since, task)
			case since[task].IsZero():
				since[task] = time.Now()
			case time.Since(since[task]) > idleFor && !reported[task]:
				reported[task] = true
				s.broken("LOST: lasting task %s does not run, %.1f s after its last run", task, time.Since(s.endedAt[task]).Seconds())
			}
		}
		s.mu.Unlock()
	}
}

// restartedThenLost: a runner restarts under its id, answers no call after that and is
// then lost for good.
func restartedThenLost() scenario {
	const (
		id   = "00000000000000f1"
		cpu  = 6000
		down = time.Second
		mute = 3 * time.Second
		// calm is how long after the last disruption a lasting task must run.
		calm = 4 * time.Second
	)
	return scenario{
		entries: 2,
		runners: 8,
		behave: func(task string, _ int) behaviour {
			if strings.HasPrefix(task, id) {
				return behaviour{tail: 20}
			}
			return behaviour{runtime: time.Second, how: "done"}
		},
		cpuOf: fixedCPU(cpu),
		play: func(s *system, trouble bool) {
			s.configure(1, route("q", 2, 0), route("feed", 4, 0))
			s.start()
			s.warmUp("q")
			feed := step(1, cpu)
			feed["LongRunning"], feed["Image"], feed["TargetMs"] = true, "feed", 100
			s.submit("feed", id, job(feed))
			time.Sleep(3 * time.Second)
			var r *runner
			for _, other := range s.runners {
				if n, _ := other.running(id); n > 0 {
					r = other
				}
			}
			if r == nil {
				fail("the lasting task is not at work")
			}
			if trouble {
				r.crash("fault")
				time.Sleep(down)
				r.setMute(true)
				if err := r.start(r.id); err != nil {
					fail("%v", err)
				}
				time.Sleep(mute)
				r.crash("lost for good")
			}
			time.Sleep(calm)
			s.watchLasting(id, 1, 15*time.Second)
		},
	}
}

// lostAfterRestart: the only runner with room restarts under its id, gets a task that
// lasts, and is lost for good.
func lostAfterRestart() scenario {
	const (
		blockers  = "00000000000000b1"
		id        = "00000000000000f1"
		cpu       = 6000
		whole     = 32000
		down      = time.Second
		lostAfter = 1200 * time.Millisecond
		from      = 6 * time.Second
	)
	return scenario{
		entries:   2,
		runners:   8,
		maxHoldMs: 10000,
		behave: func(task string, _ int) behaviour {
			switch {
			case strings.HasPrefix(task, id):
				return behaviour{tail: 20}
			case strings.HasPrefix(task, blockers):
				return behaviour{runtime: 7 * time.Second, how: "done"}
			default:
				return behaviour{runtime: time.Second, how: "done"}
			}
		},
		cpuOf: func(task string) int {
			if strings.HasPrefix(task, blockers) {
				return whole
			}
			return cpu
		},
		play: func(s *system, trouble bool) {
			s.configure(1, route("q", 2, 0), route("feed", 4, 0))
			lost := make(chan struct{})
			var once sync.Once
			for _, r := range s.runners {
				started := r.onStart
				r.onStart = func(r *runner, task string, run int) {
					started(r, task, run)
					if !strings.HasPrefix(task, id) {
						return
					}
					once.Do(func() {
						time.AfterFunc(lostAfter, func() {
							if trouble {
								r.crash("lost for good")
							}
							close(lost)
						})
					})
				}
			}
			s.start()
			s.warmUp("q")
			s.submit("q", blockers, job(step(7, whole)))
			time.Sleep(time.Second)
			var free *runner
			for _, r := range s.runners {
				if n, _ := r.running(blockers); n == 0 {
					free = r
				}
			}
			if trouble {
				free.crash("fault")
				time.Sleep(down)
				if err := free.start(free.id); err != nil {
					fail("%v", err)
				}
			}
			feed := step(1, cpu)
			feed["LongRunning"], feed["Image"], feed["TargetMs"] = true, "feed", 100
			s.submit("feed", id, job(feed))
			select {
			case <-lost:
			case <-time.After(20 * time.Second):
				fail("the lasting task was not started")
			}
			time.Sleep(from)
			s.watchLasting(id, 1, 12*time.Second)
		},
	}
}

// pacedWork: a task that fills is paced down beside one that serves and is over its
// target, and the job of that one is then cancelled. Without the disruption, the
// serving task stays below its target.
func pacedWork() scenario {
	const (
		serves = "00000000000000f1"
		fills  = "00000000000000f2"
		cpu    = 8000
		target = 100
	)
	over := 2 * target
	return scenario{
		entries: 2,
		runners: 1,
		behave: func(task string, _ int) behaviour {
			switch {
			case strings.HasPrefix(task, serves):
				return behaviour{tail: over}
			case strings.HasPrefix(task, fills):
				return behaviour{runtime: 6 * time.Second, how: "done"}
			default:
				return behaviour{runtime: time.Second, how: "done"}
			}
		},
		cpuOf: fixedCPU(cpu),
		play: func(s *system, trouble bool) {
			if !trouble {
				over = target / 4
			}
			s.configure(1, route("q", 3, 2), route("feed", 4, 0))
			s.start()
			s.warmUp("q")
			filling := step(1, cpu)
			filling["Fills"], filling["Image"] = true, "fills"
			s.submit("q", fills, job(filling))
			time.Sleep(time.Second)
			serving := step(1, cpu)
			serving["LongRunning"], serving["Image"], serving["TargetMs"] = true, "serves", target
			s.submit("feed", serves, job(serving))
			time.Sleep(4 * time.Second)
			s.request(0, "DELETE", "/feed/"+serves, nil)
			time.Sleep(finishS + idleFor)
			if state := s.state(0, "q", fills); state != "completed" {
				s.report("job %s, 6 s of work, is %q %.0f s after the serving job was cancelled", fills, state, (finishS + idleFor).Seconds())
			}
		},
	}
}
