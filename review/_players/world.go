package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	serviceName = "app-1"
	queueHost   = "calls.example"
	queuePrefix = "/checks/"
	earlyTime   = 250 * time.Millisecond
	cancelTime  = 3 * time.Second
	maxAttempts = 3
)

// step is a step of a job as clients send it, with what its tasks do on a runner.
type step struct {
	Count        int     `json:"Count"`
	Cpu          int64   `json:"Cpu,omitempty"`
	MemMb        int64   `json:"MemMb,omitempty"`
	EstimateMs   int64   `json:"EstimateMs,omitempty"`
	After        []int   `json:"After,omitempty"`
	Checkpoints  bool    `json:"Checkpoints,omitempty"`
	Gang         bool    `json:"Gang,omitempty"`
	RackLocal    bool    `json:"RackLocal,omitempty"`
	Requires     string  `json:"Requires,omitempty"`
	DataRack     string  `json:"DataRack,omitempty"`
	AntiAffinity int     `json:"AntiAffinity,omitempty"`
	LongRunning  bool    `json:"LongRunning,omitempty"`
	Image        string  `json:"Image,omitempty"`
	TargetMs     float64 `json:"TargetMs,omitempty"`
	Fills        bool    `json:"Fills,omitempty"`
	MayMiss      int     `json:"MayMiss,omitempty"`
	Speculative  bool    `json:"Speculative,omitempty"`
	// work is how long a task works; 0 lasts. failRuns is how many of a task's first runs
	// fail, for the task with the index failIndex.
	work      time.Duration
	failRuns  int
	failIndex int
}

// job is a job as a client sends it.
type job struct {
	Spec       string `json:"Spec"`
	Steps      []step `json:"Steps"`
	RunCount   int    `json:"RunCount,omitempty"`
	StartAtMs  int64  `json:"StartAtMs,omitempty"`
	IntervalMs int64  `json:"IntervalMs,omitempty"`

	id         string
	accepted   time.Time
	rejectedBy int
	unknown    int
	cancelSent time.Time
	cancelAck  time.Time
	state      string
	stateCode  int
}

type endNote struct {
	at  time.Time
	run int
	e   *endedRun
	a   *activeRun
}

// world holds the stand-ins and what they have seen.
type world struct {
	mu       sync.Mutex
	began    time.Time
	record   *os.File
	runners  []*runner
	jobs     map[string]*job
	ends     map[string][]endNote
	startsOf map[string][]endNote
	saves    map[string]savedWork
	nextSave int
	// savedBytes is the size of the values of Saved; 16 at least.
	savedBytes int
	broken     []string
	disturbs   bool
	store      *store
}

type savedWork struct {
	gang   string
	task   string
	worked time.Duration
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{
		began:    time.Now(),
		record:   f,
		jobs:     map[string]*job{},
		ends:     map[string][]endNote{},
		startsOf: map[string][]endNote{},
		saves:    map[string]savedWork{},
		store:    newStore(),
	}
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			w.mu.Lock()
			now := time.Now()
			for _, r := range w.runners {
				r.work(now)
			}
			w.mu.Unlock()
		}
	}()
	return w, nil
}

// note writes a line into the record.
func (w *world) note(what string, pairs ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f %s", time.Since(w.began).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	b.WriteString("\n")
	w.record.WriteString(b.String())
}

// breakRule records a broken rule. The lock must be held.
func (w *world) breakRule(rule, text string) {
	w.broken = append(w.broken, rule)
	w.note("BROKEN", "rule", rule, "what", text)
}

func (w *world) byID(id string) *runner {
	for i := len(w.runners) - 1; i >= 0; i-- {
		if r := w.runners[i]; r.id == id && r.up {
			return r
		}
	}
	return nil
}

var nothing = step{}

func (w *world) stepOf(k taskKey) *step {
	j := w.jobs[k.id]
	if j == nil || k.step >= len(j.Steps) {
		return &nothing
	}
	return &j.Steps[k.step]
}

func (w *world) fails(k taskKey, _ int) bool {
	s := w.stepOf(k)
	if s.failRuns == 0 || s.failIndex != k.idx {
		return false
	}
	name := fmt.Sprintf("%s.%d.%d.%d", k.id, k.k, k.step, k.idx)
	failed := 0
	for _, e := range w.ends[name] {
		if e.e.how == "failed" {
			failed++
		}
	}
	return failed < s.failRuns
}

func (w *world) checkpoint(a *activeRun) string {
	w.nextSave++
	name := fmt.Sprintf("%016x", w.nextSave) + strings.Repeat("0", max(0, w.savedBytes-16))
	w.saves[name] = savedWork{
		gang:   fmt.Sprintf("%s.%d.%d", a.key.id, a.key.k, a.key.step),
		task:   a.task,
		worked: a.worked,
	}
	return name
}

func (w *world) progressOf(saved string) time.Duration { return w.saves[saved].worked }

func (w *world) members(a *activeRun) []*activeRun {
	var list []*activeRun
	for _, r := range w.runners {
		if !r.up {
			continue
		}
		for _, b := range r.active {
			if b.key.gang(b.run) == a.key.gang(a.run) {
				list = append(list, b)
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].key.idx < list[j].key.idx })
	return list
}

func (w *world) gangPresent(a *activeRun) bool {
	return len(w.members(a)) == w.stepOf(a.key).Count
}

// breakGang ends the other members of a run of a gang.
func (w *world) breakGang(a *activeRun, now time.Time) {
	if !w.stepOf(a.key).Gang {
		return
	}
	for _, b := range w.members(a) {
		if b != a {
			b.r.end(now, b, "broken")
		}
	}
}

func (w *world) finishGang(a *activeRun, now time.Time) {
	if !w.stepOf(a.key).Gang {
		return
	}
	for _, b := range w.members(a) {
		if b != a && b.r.active[b.task] == b {
			delete(b.r.active, b.task)
			b.r.sequence++
			e := &endedRun{n: b.r.sequence, task: b.task, run: b.run, how: "done", saved: b.saved}
			b.r.ended = append(b.r.ended, e)
			w.note("end", "task", b.task, "run", b.run, "runner", b.r.id, "how", "done", "n", e.n)
			w.recordEnd(now, b, e)
			close(b.r.changed)
			b.r.changed = make(chan struct{})
		}
	}
}

func (w *world) recordEnd(now time.Time, a *activeRun, e *endedRun) {
	w.ends[a.task] = append(w.ends[a.task], endNote{at: now, run: a.run, e: e, a: a})
	if e.how == "alone" && !w.disturbs && w.jobs[a.key.id] != nil && w.jobs[a.key.id].cancelSent.IsZero() {
		w.breakRule("GANG", fmt.Sprintf("%s run %d ended alone", a.task, a.run))
	}
}

// checkStart checks the rules that a start can break.
func (w *world) checkStart(now time.Time, r *runner, a *activeRun, c call) {
	j := w.jobs[a.key.id]
	if j == nil {
		w.breakRule("UNASKED", "no client sent "+a.task)
		return
	}
	s := w.stepOf(a.key)
	if c.Spec != j.Spec || a.key.step >= len(j.Steps) || a.key.idx >= s.Count || a.key.k >= max(1, j.RunCount) {
		w.breakRule("UNASKED", "another Spec or task: "+a.task)
	}
	if c.Saved != "" {
		save, ok := w.saves[c.Saved]
		mine := save.task == a.task || s.Gang && save.gang == fmt.Sprintf("%s.%d.%d", a.key.id, a.key.k, a.key.step)
		if !ok || !mine {
			w.breakRule("UNASKED", fmt.Sprintf("%s is started with Saved %q of %q", a.task, c.Saved, save.task))
		}
	}
	if s.Gang {
		for _, b := range w.members(a) {
			if b.task != a.task && w.began0(b) != c.Saved {
				w.breakRule("UNASKED", fmt.Sprintf("gang %s carries different Saved: %q and %q", a.task, c.Saved, w.began0(b)))
			}
		}
	}
	if !j.cancelAck.IsZero() && now.Sub(j.cancelAck) > cancelTime && !w.disturbs {
		w.breakRule("UNASKED", fmt.Sprintf("%s starts %v after the acknowledged cancelling", a.task, now.Sub(j.cancelAck)))
	}
	if s.Requires != "" && !contains(r.labels, s.Requires) {
		w.breakRule("ROUTE", fmt.Sprintf("%s needs the label %s, %s has %v", a.task, s.Requires, r.id, r.labels))
	}
	cpu, mem, siblings := int64(0), int64(0), 0
	for _, b := range r.active {
		bs := w.stepOf(b.key)
		if !bs.Fills {
			cpu += bs.Cpu
		}
		mem += bs.MemMb
		if b.key.id == a.key.id && b.key.k == a.key.k && b.key.step == a.key.step {
			siblings++
		}
	}
	if s.AntiAffinity > 0 && siblings >= s.AntiAffinity {
		w.breakRule("ROUTE", fmt.Sprintf("%s is number %d of its step on %s", a.task, siblings+1, r.id))
	}
	need := s.Cpu
	if s.Fills {
		need = 0
	}
	if cpu+need > r.cpu || mem+s.MemMb > r.mem {
		w.breakRule("LIMIT", fmt.Sprintf("%s needs %d, %d; %s has %d, %d, of which %d, %d is taken", a.task, need, s.MemMb, r.id, r.cpu, r.mem, cpu, mem))
	}
	if !s.Speculative {
		for _, other := range w.runners {
			if b := other.active[a.task]; other.up && b != nil {
				w.breakRule("TWICE", fmt.Sprintf("%s run %d starts on %s while run %d is on %s", a.task, a.run, r.id, b.run, other.id))
			}
		}
	}
	due := time.Time{}
	if j.RunCount > 0 {
		due = time.UnixMilli(j.StartAtMs + int64(a.key.k)*j.IntervalMs)
		if now.Before(due.Add(-earlyTime)) {
			w.breakRule("ORDER", fmt.Sprintf("%s starts %v before its time", a.task, due.Sub(now)))
		}
	}
	for _, dep := range s.After {
		for i := 0; i < j.Steps[dep].Count; i++ {
			if !w.done(fmt.Sprintf("%s.%d.%d.%d", a.key.id, a.key.k, dep, i)) {
				w.breakRule("ORDER", fmt.Sprintf("%s starts before task %d of step %d is done", a.task, i, dep))
			}
		}
	}
	w.startsOf[a.task] = append(w.startsOf[a.task], endNote{at: now, run: a.run, a: a})
	a.workAt = now
	a.saved = c.Saved
	savedAtStart[a] = c.Saved
}

var savedAtStart = map[*activeRun]string{}

func (w *world) began0(a *activeRun) string { return savedAtStart[a] }

func (w *world) done(task string) bool {
	for _, e := range w.ends[task] {
		if e.e.how == "done" {
			return true
		}
	}
	return false
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// judge checks what can be told only at the end. The lock must be held.
func (w *world) judge() {
	tasks := make([]string, 0, len(w.startsOf))
	for t := range w.startsOf {
		tasks = append(tasks, t)
	}
	sort.Strings(tasks)
	for _, t := range tasks {
		k, _ := parseTask(t)
		s := w.stepOf(k)
		if s.LongRunning {
			continue
		}
		for _, st := range w.startsOf[t] {
			failed := 0
			for _, e := range w.ends[t] {
				noted := e.e.acked && !e.e.lapsedGap
				if !noted || !e.at.Before(st.at) {
					continue
				}
				if e.e.how == "failed" {
					failed++
				}
				if e.e.how == "done" && !s.Speculative {
					w.breakRule("TWICE", fmt.Sprintf("%s run %d starts %v after run %d ended done, which was taken note of", t, st.run, st.at.Sub(e.at), e.run))
				}
			}
			if failed >= maxAttempts && !s.Speculative {
				w.breakRule("BUDGET", fmt.Sprintf("%s run %d starts after %d failed runs", t, st.run, failed))
			}
		}
	}
	for _, j := range w.jobs {
		if j.accepted.IsZero() && j.unknown == 0 {
			for t := range w.startsOf {
				if strings.HasPrefix(t, j.id+".") {
					w.breakRule("REFUSED", t)
				}
			}
		}
	}
}
