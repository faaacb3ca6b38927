package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// What the store does to the calls of one entry.
const (
	storeCalm = iota
	storeRefuses
	storeSilent
	// storeLoses carries out some writes without an answer, storeLate some of them later.
	storeLoses
	storeLate
	storeSlow
	storeModes
)

const slowAnswer = 240 * time.Millisecond

// hinder returns a handler that hinders the calls of one entry by a mode.
func hinder(mode *atomic.Int32, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		unlucky := q.URL.Path == "/rows-tx" && rand.IntN(3) == 0
		switch m := mode.Load(); {
		case m == storeRefuses:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case m == storeSilent:
			<-q.Context().Done()
			return
		case m == storeLoses && unlucky:
			h.ServeHTTP(httptest.NewRecorder(), q)
			panic(http.ErrAbortHandler)
		case m == storeLate && unlucky:
			body, _ := io.ReadAll(q.Body)
			late := q.Clone(context.Background())
			late.Body = io.NopCloser(bytes.NewReader(body))
			time.AfterFunc(time.Second+rand.N(5*time.Second), func() { h.ServeHTTP(httptest.NewRecorder(), late) })
			<-q.Context().Done()
			return
		case m == storeSlow:
			time.Sleep(slowAnswer)
		}
		h.ServeHTTP(w, q)
	})
}

// randomJob returns a job with steps of a random kind, and whether its tasks last.
func randomJob(random *rand.Rand) (job map[string]any, lasts bool) {
	switch random.IntN(5) {
	case 0, 1:
		n, millis := 2+random.IntN(5), 300+random.IntN(3000)
		saves, fails := random.IntN(2) == 0, random.IntN(10) == 0
		return map[string]any{
			"Spec": fmt.Sprintf(`{"s":[{"ms":%d,"g":%d,"c":%v,"f":%v},{"ms":300}]}`, millis, n, saves, fails),
			"Steps": []map[string]any{
				{"Count": n, "Cpu": 1000 + random.IntN(3000), "MemMb": 256, "EstimateMs": millis, "Gang": true, "Checkpoints": saves},
				{"Count": 2, "Cpu": 500, "MemMb": 10, "EstimateMs": 300, "After": []int{0}},
			},
		}, false
	case 2:
		n := 2 + random.IntN(3)
		return map[string]any{
			"Spec": fmt.Sprintf(`{"s":[{"ms":0,"g":%d,"c":true}]}`, n),
			"Steps": []map[string]any{
				{"Count": n, "Cpu": 1000, "MemMb": 256, "EstimateMs": 1000, "Gang": true, "Checkpoints": true, "LongRunning": true},
			},
		}, true
	case 3:
		return map[string]any{
			"Spec":     `{"s":[{"ms":500,"c":true},{"ms":400,"g":2}]}`,
			"RunCount": 4, "StartAtMs": time.Now().Add(2 * time.Second).UnixMilli(), "IntervalMs": 700,
			"Steps": []map[string]any{
				{"Count": 3, "Cpu": 500, "MemMb": 256, "EstimateMs": 500, "Checkpoints": true, "AntiAffinity": 1},
				{"Count": 2, "Cpu": 500, "MemMb": 1, "EstimateMs": 400, "Gang": true, "After": []int{0}},
			},
		}, false
	default:
		return map[string]any{
			"Spec":  `{"s":[{"ms":1500,"c":true}]}`,
			"Steps": []map[string]any{{"Count": 6, "Cpu": 800, "MemMb": 256, "EstimateMs": 700, "Checkpoints": true, "Speculative": true}},
		}, false
	}
}

// soak plays random jobs, gangs and jobs with times among them, and random troubles. SEED
// chooses them, SECS is how long they come.
func soak(w *world, trouble bool) int {
	random := rand.New(rand.NewPCG(uint64(envInt("SEED", 1)), 7))
	w.configure(w.route("q"))
	var modes [3]atomic.Int32
	for i := range modes {
		w.addEntry(func(h http.Handler) http.Handler { return hinder(&modes[i], h) })
	}
	w.addRunners(5, 16000)
	if !w.begin() {
		return exitNoRun
	}
	var mu sync.Mutex
	wanted := map[string]string{}
	var clients sync.WaitGroup
	end := time.Now().Add(time.Duration(envInt("SECS", 60)) * time.Second)
	for time.Now().Before(end) {
		id := newID()
		job, lasts := randomJob(random)
		cancel := lasts || random.IntN(6) == 0
		after := 500*time.Millisecond + time.Duration(random.IntN(8000))*time.Millisecond
		clients.Go(func() {
			if !w.submit("q", id, job) {
				return
			}
			want := "accepted"
			if cancel {
				time.Sleep(after)
				if !w.cancel("q", id) {
					return
				}
				want = "cancelled"
			}
			mu.Lock()
			defer mu.Unlock()
			wanted[id] = want
		})
		time.Sleep(100*time.Millisecond + time.Duration(random.IntN(700))*time.Millisecond)
		if trouble && random.IntN(4) == 0 {
			w.disturb(random, modes[:])
		}
	}
	clients.Wait()
	time.Sleep(25 * time.Second)
	for id, want := range wanted {
		status, state := w.state("q", id)
		for try := 0; try < 10 && !final(state); try++ {
			time.Sleep(time.Second)
			status, state = w.state("q", id)
		}
		if status != http.StatusOK || !final(state) || want == "accepted" && state == "cancelled" {
			w.mu.Lock()
			w.fault("LOST: %s %s is %d %s", want, id, status, state)
			w.mu.Unlock()
		}
	}
	fmt.Println("jobs", len(wanted), "starts", w.starts, "faults", w.faults)
	if len(w.faults) > 0 {
		return exitBroken
	}
	return exitHeld
}

func final(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// disturb plays one trouble.
func (w *world) disturb(random *rand.Rand, modes []atomic.Int32) {
	d := 300*time.Millisecond + time.Duration(random.IntN(9000))*time.Millisecond
	e, a, r := w.entries[random.IntN(len(w.entries))], w.agents[random.IntN(len(w.agents))], w.runners[random.IntN(len(w.runners))]
	switch k := random.IntN(15); k {
	case 0:
		e.signal(syscall.SIGKILL)
	case 1:
		if o := w.owner(); o != nil {
			o.signal(syscall.SIGKILL)
		}
	case 2:
		if o := w.owner(); o != nil {
			o.signal(syscall.SIGSTOP)
			time.AfterFunc(d/2, func() { o.signal(syscall.SIGCONT) })
		}
	case 3:
		a.signal(syscall.SIGKILL)
	case 4:
		a.signal(syscall.SIGSTOP)
		time.AfterFunc(d, func() { a.signal(syscall.SIGCONT) })
	case 5, 6:
		r.crash()
		time.AfterFunc(d/4, r.start)
	case 7, 8:
		r.setCut(true)
		time.AfterFunc(d, func() { r.setCut(false) })
	default:
		mode, all, x := 1+random.IntN(storeModes-1), random.IntN(2) == 0, random.IntN(len(modes))
		w.record.add("store mode %d for entry %d, all: %v, for %v", mode, x+1, all, d)
		for i := range modes {
			if all || i == x {
				modes[i].Store(int32(mode))
				time.AfterFunc(d, func() { modes[i].Store(storeCalm) })
			}
		}
	}
}

// envInt returns the number in an environment variable, or def.
func envInt(name string, def int) int {
	var v int
	if _, err := fmt.Sscan(os.Getenv(name), &v); err != nil {
		return def
	}
	return v
}
