package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func newID(r *rand.Rand) string { return fmt.Sprintf("%016x", r.Uint64()) }

func randomJob(r *rand.Rand) *job {
	j := &job{id: newID(r), Spec: "spec " + newID(r)}
	n := 1 + r.Intn(3)
	for i := 0; i < n; i++ {
		s := step{Count: 1 + r.Intn(4), Cpu: int64(200 + r.Intn(4000)), MemMb: int64(256 + r.Intn(4000)), work: time.Duration(200+r.Intn(2500)) * time.Millisecond}
		s.EstimateMs = s.work.Milliseconds()
		if i > 0 && r.Intn(3) > 0 {
			s.After = []int{r.Intn(i)}
		}
		switch r.Intn(6) {
		case 0, 1, 2:
			s.Gang = true
			s.Count = 2 + r.Intn(4)
			s.Checkpoints = r.Intn(2) == 0
			s.RackLocal = r.Intn(3) == 0
		case 3:
			s.Checkpoints = true
		case 4:
			s.Speculative = true
		}
		if r.Intn(4) == 0 {
			s.Requires = "b"
		}
		if r.Intn(5) == 0 {
			s.AntiAffinity = 1 + r.Intn(2)
		}
		if s.Gang && s.AntiAffinity > 0 {
			s.Count = min(s.Count, 3*s.AntiAffinity)
		}
		if r.Intn(8) == 0 {
			s.failRuns, s.failIndex = 1+r.Intn(4), r.Intn(s.Count)
		}
		j.Steps = append(j.Steps, s)
	}
	if r.Intn(5) == 0 {
		j.RunCount = 2 + r.Intn(3)
		j.StartAtMs = time.Now().UnixMilli() + int64(r.Intn(3000))
		j.IntervalMs = int64(300 + r.Intn(2000))
	}
	if r.Intn(12) == 0 {
		j.RunCount = 0
		j.Steps = []step{{Count: 2 + r.Intn(3), Cpu: 1000, MemMb: 1000, EstimateMs: 500, LongRunning: true, MayMiss: 1, Gang: r.Intn(2) == 0}}
	}
	return j
}

// soak plays random jobs with random disturbances.
func soak(c *scene) error {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	span := 40 * time.Second
	if s, err := strconv.Atoi(os.Getenv("SPAN")); err == nil {
		span = time.Duration(s) * time.Second
	}
	r := rand.New(rand.NewSource(seed))
	c.w.disturbs = c.trouble
	sh := shape{entries: 3}
	for i := 0; i < 5; i++ {
		labels := []string{"a", fmt.Sprintf("r1-%d", i/2)}
		if i%2 == 0 {
			labels[0] = "b"
		}
		sh.runners = append(sh.runners, shapeRunner{cpu: 16000, mem: 64000, labels: labels})
	}
	s, err := newSystem(c.w, c.binary, sh)
	if err != nil {
		return err
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return err
	}
	end := time.Now().Add(span)
	var group sync.WaitGroup
	if c.trouble {
		group.Add(1)
		go func() {
			defer group.Done()
			disturb(s, rand.New(rand.NewSource(seed+1)), end.Add(-5*time.Second))
		}()
	}
	for time.Now().Before(end) {
		j := randomJob(r)
		group.Add(1)
		entry, cancelAfter := r.Intn(3), time.Duration(0)
		if r.Intn(8) == 0 || j.Steps[0].LongRunning {
			cancelAfter = time.Duration(r.Intn(6000)) * time.Millisecond
			if j.Steps[0].LongRunning {
				cancelAfter = time.Until(end)
			}
		}
		go func() {
			defer group.Done()
			s.submit(entry, j)
			if cancelAfter > 0 {
				time.Sleep(cancelAfter)
				s.cancel((entry+1)%3, j)
			}
		}()
		time.Sleep(time.Duration(100+r.Intn(500)) * time.Millisecond)
	}
	group.Wait()
	time.Sleep(25 * time.Second)
	c.w.mu.Lock()
	var jobs []*job
	for _, j := range c.w.jobs {
		jobs = append(jobs, j)
	}
	c.w.mu.Unlock()
	for _, j := range jobs {
		state := s.state(j)
		c.w.mu.Lock()
		if !j.accepted.IsZero() {
			c.w.note("state", "id", j.id, "state", state, "cancelled", !j.cancelSent.IsZero())
			hopeless := false
			for _, st := range j.Steps {
				hopeless = hopeless || st.failRuns >= maxAttempts
			}
			switch {
			case state == "gone" || state == "unanswered" || state == "queued" || state == "running":
				if j.cancelSent.IsZero() || state == "unanswered" {
					c.w.breakRule("LOST", fmt.Sprintf("%s is %s", j.id, state))
				}
			case state == "failed" && !hopeless || state == "cancelled" && j.cancelSent.IsZero():
				c.w.breakRule("LOST", fmt.Sprintf("%s is %s without cause", j.id, state))
			case state == "completed":
				for i, st := range j.Steps {
					for k := 0; k < max(1, j.RunCount); k++ {
						for x := 0; x < st.Count; x++ {
							if !c.w.done(fmt.Sprintf("%s.%d.%d.%d", j.id, k, i, x)) {
								c.w.breakRule("MIXED", fmt.Sprintf("%s is completed, %d.%d.%d is not done", j.id, k, i, x))
							}
						}
					}
				}
			}
		}
		c.w.mu.Unlock()
	}
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		if p.ended() {
			c.w.mu.Lock()
			c.w.breakRule("FAULT", p.name+" has ended by itself")
			c.w.mu.Unlock()
		}
	}
	return nil
}

func disturb(s *system, r *rand.Rand, end time.Time) {
	w := s.w
	note := func(what string, pairs ...any) {
		w.mu.Lock()
		w.note("TROUBLE "+what, pairs...)
		w.mu.Unlock()
	}
	only := os.Getenv("ONLY")
	var group sync.WaitGroup
	for time.Now().Before(end) {
		kind := r.Intn(13)
		if kinds := strings.Fields(only); len(kinds) > 0 {
			kind, _ = strconv.Atoi(kinds[r.Intn(len(kinds))])
		}
		group.Add(1)
		d := time.Duration(300+r.Intn(5000)) * time.Millisecond
		e, a := s.entries[r.Intn(len(s.entries))], s.agents[r.Intn(len(s.agents))]
		i := r.Intn(len(s.agents))
		x := r.Float64()
		go func() {
			defer group.Done()
			switch kind {
			case 0, 1:
				p := e
				if x < 0.5 {
					p = a
				}
				note("freeze", "process", p.name, "for", d)
				p.signal(syscall.SIGSTOP)
				time.Sleep(d)
				p.signal(syscall.SIGCONT)
			case 2, 3:
				p := e
				if x < 0.5 {
					p = a
				}
				if !p.turn.TryLock() {
					return
				}
				defer p.turn.Unlock()
				note("kill", "process", p.name)
				p.signal(syscall.SIGKILL)
				p.end()
				time.Sleep(500 * time.Millisecond)
				p.start()
			case 4:
				if !e.turn.TryLock() {
					return
				}
				defer e.turn.Unlock()
				note("term", "process", e.name)
				e.signal(syscall.SIGTERM)
				e.end()
				time.Sleep(300 * time.Millisecond)
				e.start()
			case 5, 6:
				w.mu.Lock()
				old := w.runners[i]
				if !old.up {
					w.mu.Unlock()
					return
				}
				old.crash()
				w.mu.Unlock()
				time.Sleep(d / 4)
				w.mu.Lock()
				n := &runner{w: w, id: old.id, addr: old.addr, registry: old.registry, zone: old.zone, labels: old.labels, cpu: old.cpu, mem: old.mem}
				if x < 0.3 {
					n.id = old.id + "x"
				}
				w.runners[i] = n
				if x < 0.5 && x > 0.35 || x > 0.85 {
					n.backMs = 2000
				}
				for try := 0; n.power() != nil && try < 50; try++ {
					w.mu.Unlock()
					time.Sleep(50 * time.Millisecond)
					w.mu.Lock()
				}
				w.mu.Unlock()
			case 7:
				how := r.Intn(3)
				note("store down", "how", how, "for", d/2)
				for _, door := range s.doors {
					door.set(func(rw http.ResponseWriter, q *http.Request) bool {
						switch how {
						case 0:
							writeJSON(rw, http.StatusServiceUnavailable, struct{}{})
						case 1:
							hangUp(rw)
						default:
							<-q.Context().Done()
						}
						return false
					}, nil)
				}
				time.Sleep(d / 2)
				for _, door := range s.doors {
					door.set(nil, nil)
				}
			case 8:
				note("store loses answers", "for", d, "late", x < 0.5)
				for _, door := range s.doors {
					door.set(nil, func() (bool, time.Duration) {
						if rand.Float64() > 0.35 {
							return false, 0
						}
						if x < 0.5 {
							return true, time.Duration(1000+rand.Intn(5000)) * time.Millisecond
						}
						return true, 0
					})
				}
				time.Sleep(d)
				for _, door := range s.doors {
					door.set(nil, nil)
				}
			case 9:
				note("orders carried out late", "runner", i, "for", d)
				w.mu.Lock()
				rr := w.runners[i]
				rr.late = func(string) time.Duration {
					if rand.Float64() > 0.5 {
						return 0
					}
					return time.Duration(2000+rand.Intn(10000)) * time.Millisecond
				}
				w.mu.Unlock()
				time.Sleep(d)
				w.mu.Lock()
				rr.late = nil
				w.mu.Unlock()
			case 11, 12:
				w.mu.Lock()
				rr := w.runners[i]
				w.note("TROUBLE runner resets or hangs", "runner", i, "for", d, "reset", x < 0.5)
				rr.gate = func(path string, rw http.ResponseWriter) bool {
					if x < 0.5 {
						hangUp(rw)
					} else {
						time.Sleep(d)
					}
					return false
				}
				w.mu.Unlock()
				time.Sleep(d)
				w.mu.Lock()
				rr.gate = nil
				w.mu.Unlock()
			case 10:
				door := s.doorOf(e)
				note("store turns away", "process", e.name, "for", d)
				door.set(func(rw http.ResponseWriter, q *http.Request) bool {
					writeJSON(rw, http.StatusServiceUnavailable, struct{}{})
					return false
				}, nil)
				time.Sleep(d)
				door.set(nil, nil)
			}
		}()
		time.Sleep(time.Duration(300+r.Intn(1800)) * time.Millisecond)
	}
	group.Wait()
}
