package ranker

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// modelCapacity is the capacity of the model in thousandths of a processor, round the
// time between two placements, and modelTime how long jobs arrive.
const (
	modelCapacity = 64_000
	// lateWorth is the share of its worth that a late job has for callers.
	lateWorth = 0.15
	round     = 20 * time.Millisecond
	modelTime = 80 * time.Second
)

// modelStep is a step of a job; its tasks run for a time that the estimate misses.
type modelStep struct {
	tasks, running, done int
	millis               int64
	estimate, duration   time.Duration
}

// modelJob is a job with steps one after another.
type modelJob struct {
	at        time.Time
	urgency   int
	steps     []modelStep
	step      int
	begun     bool
	work      int64
	objective time.Duration
	queue     *Queue
	standing  Standing
	doneAt    time.Time
}

func (j *modelJob) remaining() (work int64, chain time.Duration) {
	for i := j.step; i < len(j.steps); i++ {
		s := &j.steps[i]
		work += int64(s.tasks-s.done) * s.millis * s.estimate.Milliseconds()
		chain += s.estimate
	}
	return work, chain
}

// job returns what an order sees of a job.
func (j *modelJob) job(now time.Time) Job {
	work, chain := j.remaining()
	return Job{
		Urgency:   j.urgency,
		Waited:    now.Sub(j.at),
		Objective: j.objective,
		Work:      j.work,
		Remaining: work,
		MeanWork:  j.queue.Sizes.Mean(),
		Chain:     chain,
		Begun:     j.begun,
	}
}

// ends is the heap of the ends of runs.
type ends []end

type end struct {
	at  time.Time
	job *modelJob
}

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// waitingJob is a job in the order of a model.
type waitingJob struct {
	Entry
	job  *modelJob
	seen Job
}

// order sorts waiting jobs, the first to get capacity first.
type order func(now time.Time, s *Shares, list []waitingJob)

// formerOrder is the order by rank, urgency, remaining work and due time.
func formerOrder(_ time.Time, _ *Shares, list []waitingJob) {
	slices.SortFunc(list, func(a, b waitingJob) int {
		return cmp.Or(
			cmp.Compare(a.Key.Rank, b.Key.Rank),
			cmp.Compare(a.Key.Urgency, b.Key.Urgency),
			cmp.Compare(a.seen.Remaining, b.seen.Remaining),
			a.job.at.Compare(b.job.at),
		)
	})
}

// rankedOrder is the order of this package.
func rankedOrder(now time.Time, s *Shares, list []waitingJob) {
	for i := range list {
		s.Consider(&list[i].Entry)
	}
	s.Promote(now)
	byKey(now, s, list)
}

func byKey(_ time.Time, _ *Shares, list []waitingJob) {
	slices.SortFunc(list, func(a, b waitingJob) int {
		return cmp.Or(a.Key.Compare(&b.Key), a.job.at.Compare(b.job.at))
	})
}

// slackOrder is the order by least laxity.
func slackOrder(_ time.Time, _ *Shares, list []waitingJob) {
	slices.SortFunc(list, func(a, b waitingJob) int {
		return cmp.Or(
			cmp.Compare(a.Key.Rank, b.Key.Rank),
			cmp.Compare(a.Key.Urgency, b.Key.Urgency),
			cmp.Compare(a.Key.Slack, b.Key.Slack),
		)
	})
}

// queueNames are the names of the queues of each urgency.
var queueNames = []string{"urgent", "", "batch"}

// model plays jobs on a fixed capacity.
type model struct {
	// gate refuses jobs; nil if none are.
	gate    *gate
	random  *rand.Rand
	shares  *Shares
	free    int64
	waiting []*modelJob
	all     []*modelJob
	ends    ends
	list    []waitingJob
}

// newJob returns a job of one of two queues; a tenth of the batch jobs is large, and a
// fifth of middle size. Estimates miss by a factor of 1.5 either way, and some by 3.
func (m *model) newJob(now time.Time) *modelJob {
	r := m.random
	j := &modelJob{
		at: now,
	}
	steps, tasks, millis, seconds := 1, 1+r.IntN(3), int64(500), 0.2+0.5*r.Float64()
	stretch, target := 1.5, 300*time.Millisecond
	if r.Float64() < 0.5 {
		j.urgency = 2
		stretch, target = 2, time.Second
		switch size := r.Float64(); {
		case size < 0.1:
			steps, tasks, millis, seconds = 2, 4+r.IntN(6), 1000, 1+r.Float64()
		case size < 0.3:
			steps, tasks, millis, seconds = 1+r.IntN(2), 3+r.IntN(4), 1000, 0.5+r.Float64()
		default:
			millis = 1000
		}
	}
	chain := time.Duration(0)
	for range steps {
		duration := time.Duration(seconds * float64(time.Second))
		miss := math.Exp(0.4 * r.NormFloat64())
		s := modelStep{
			tasks:    tasks,
			millis:   millis,
			duration: duration,
			estimate: time.Duration(float64(duration) * miss),
		}
		chain += s.estimate
		j.work += int64(tasks) * millis * s.estimate.Milliseconds()
		j.steps = append(j.steps, s)
	}
	j.objective = time.Duration(stretch*float64(chain)) + target
	j.queue = m.shares.Queue(queueNames[j.urgency])
	return j
}

// place starts tasks in an order while there is capacity.
func (m *model) place(now time.Time, by order) {
	m.list = m.list[:0]
	for _, j := range m.waiting {
		if s := &j.steps[j.step]; s.done+s.running == s.tasks {
			continue
		}
		seen := j.job(now)
		m.list = append(m.list, waitingJob{
			Entry: Entry{
				Key:       KeyOf(&seen),
				Standing:  &j.standing,
				Waited:    seen.Waited,
				Objective: seen.Objective,
			},
			job:  j,
			seen: seen,
		})
	}
	by(now, m.shares, m.list)
	for i := range m.list {
		w := &m.list[i]
		s := &w.job.steps[w.job.step]
		for s.done+s.running < s.tasks && s.millis <= m.free {
			w.job.begun = true
			m.shares.Started(now, &w.job.standing, w.Key.Rank, s.millis*s.estimate.Milliseconds())
			m.free -= s.millis
			s.running++
			heap.Push(&m.ends, end{
				at:  now.Add(s.duration),
				job: w.job,
			})
		}
	}
}

func (m *model) finish(now time.Time, j *modelJob) {
	s := &j.steps[j.step]
	s.running--
	s.done++
	if m.gate != nil {
		m.gate.service.Completed(now, s.millis*s.estimate.Milliseconds(), s.millis*s.duration.Milliseconds())
	}
	m.free += s.millis
	if s.done == s.tasks {
		j.step++
	}
	if j.step == len(j.steps) {
		j.doneAt = now
		if now.Sub(j.at) <= LateFactor*j.objective {
			j.standing.Completed(now)
		}
		m.waiting = slices.DeleteFunc(m.waiting, func(other *modelJob) bool { return other == j })
	}
}

// play plays a load, in events of at most 20 ms.
func play(seed uint64, load float64, by order, g *gate) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 0)),
		gate:   g,
		shares: NewShares(),
		free:   modelCapacity,
	}
	start := time.Unix(1000, 0)
	offered := 0.0
	for now := start; now.Sub(start) < modelTime; now = now.Add(round) {
		for len(m.ends) > 0 && !m.ends[0].at.After(now) {
			m.finish(now, heap.Pop(&m.ends).(end).job)
		}
		for offered < load*modelCapacity*float64(now.Sub(start).Milliseconds()) {
			j := m.newJob(now)
			for _, s := range j.steps {
				offered += float64(int64(s.tasks) * s.millis * s.duration.Milliseconds())
			}
			if g != nil && !g.admits(now, j) {
				continue
			}
			j.standing = j.queue.Arrived(now, j.work)
			m.all = append(m.all, j)
			m.waiting = append(m.waiting, j)
		}
		m.place(now, by)
		if g != nil {
			g.observe(now, m)
		}
	}
	return m
}

// result is what callers got.
type result struct {
	worth, possible   [3][ClassCount]float64
	served, submitted [3][ClassCount]int
	waits             []time.Duration
}

func (m *model) result() *result {
	r := &result{}
	last := m.all[len(m.all)-1].at
	for _, j := range m.all {
		if last.Sub(j.at) < LateFactor*j.objective {
			continue
		}
		// The classes of the whole load, not those known at the arrival.
		class := j.queue.Sizes.Class(j.work)
		worth := Worth(j.work, j.queue.Sizes.Mean())
		r.possible[j.urgency][class] += worth
		r.submitted[j.urgency][class]++
		took := j.doneAt.Sub(j.at)
		if j.doneAt.IsZero() {
			took = last.Sub(j.at)
			r.waits = append(r.waits, took)
			continue
		}
		if j.urgency == 2 {
			r.waits = append(r.waits, took)
		}
		switch {
		case took <= j.objective:
			r.worth[j.urgency][class] += worth
			r.served[j.urgency][class]++
		case took <= LateFactor*j.objective:
			r.worth[j.urgency][class] += lateWorth * worth
			r.served[j.urgency][class]++
		}
	}
	return r
}

// worthShare returns the worth of the jobs of an urgency, relative to the possible one.
func (r *result) worthShare(urgency int, classes ...Class) float64 {
	worth, possible := 0.0, 0.0
	for _, c := range classes {
		worth += r.worth[urgency][c]
		possible += r.possible[urgency][c]
	}
	return worth / possible
}

// servedShare returns the share of the batch jobs that completed within their bound.
func (r *result) servedShare(classes ...Class) float64 {
	served, submitted := 0, 0
	const urgency = 2
	for _, c := range classes {
		served += r.served[urgency][c]
		submitted += r.submitted[urgency][c]
	}
	return float64(served) / float64(submitted)
}

// log prints the worth and the share of served jobs of the batch queue by size class.
func (r *result) log(t *testing.T, load float64, name string) {
	t.Helper()
	slices.Sort(r.waits)
	t.Logf("load %.1f, %-14s worth: urgent %.2f, batch %.2f (rest %.2f, large %.2f, largest %.2f); served: batch %.2f (%.2f, %.2f, %.2f); 99th percentile %.0f s",
		load, name, r.worthShare(0, Rest, Large, Largest), r.worthShare(2, Rest, Large, Largest),
		r.worthShare(2, Rest), r.worthShare(2, Large), r.worthShare(2, Largest),
		r.servedShare(Rest, Large, Largest), r.servedShare(Rest), r.servedShare(Large), r.servedShare(Largest),
		r.waits[len(r.waits)*99/100].Seconds())
}

// Under overload, the large jobs of a queue must not be passed over, and the most urgent
// queue must not lose.
func TestOverloadServesEachSizeClass(t *testing.T) {
	for _, load := range []float64{1.2, 2} {
		former := play(1, load, formerOrder, nil).result()
		former.log(t, load, "former")
		for name, by := range map[string]order{"density": byKey, "least laxity": slackOrder} {
			r := play(1, load, by, nil).result()
			r.log(t, load, name)
		}
		ranked := play(1, load, rankedOrder, nil).result()
		ranked.log(t, load, "ranked")
		whole := ranked.servedShare(Rest, Large, Largest)
		for class := range ClassCount {
			served := ranked.servedShare(class)
			assert.Assert(t, served >= whole/2, "load %.1f: %s served %.2f, the queue %.2f", load, class, served, whole)
		}
		assert.Assert(t, ranked.worthShare(2, Largest) >= former.worthShare(2, Largest), "load %.1f", load)
		assert.Assert(t, ranked.worthShare(0, Rest, Large, Largest) >= former.worthShare(0, Rest, Large, Largest)-0.01, "load %.1f", load)
	}
}
