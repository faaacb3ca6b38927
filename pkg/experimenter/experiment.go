package experimenter

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/dispatcher"
	"github.com/bilberrywalk/bilberrywalk/pkg/router"
)

const (
	experimentEndpoints = 4
	experimentSlots     = 8
	experimentEntries   = 3
	// serverError is the first status that counts as a failed run.
	serverError = 500
	// warmUp is left out of the figures, span is measured.
	warmUp = 2 * time.Second
	span   = 8 * time.Second
)

// experimentDocument has the kinds of the users' services.
const experimentDocument = `service = "central-polls"
team = "condor"
[endpoint]
slots = 8
connections = 64
[[kind]]
name = "check"
urgency = 9
deadline = "2s"
run-time = "20ms"
idempotent = true
floor = 0.5
ceiling = 1.0
lend-limit = "100ms"
max-queued = 4000
[[kind]]
name = "dial"
urgency = 7
deadline = "4s"
run-time = "50ms"
idempotent = false
floor = 0.125
ceiling = 0.5
lend-limit = "100ms"
max-queued = 2000
[[kind]]
name = "feed"
urgency = 3
deadline = "10s"
run-time = "400ms"
idempotent = true
floor = 0.25
ceiling = 0.75
lend-limit = "1s"
max-queued = 1000
`

// experimentRunTimes are the mean run times by kind.
var experimentRunTimes = map[string]time.Duration{
	"check": 20 * time.Millisecond,
	"dial":  50 * time.Millisecond,
	"feed":  400 * time.Millisecond,
}

// calmRates are arrivals a second that take about a third of the slots.
func calmRates() map[string]float64 {
	return map[string]float64{
		"check": 240,
		"dial":  20,
		"feed":  10,
	}
}

// Policy is a way to decide that is compared with others.
type Policy struct {
	Name     string
	Document string
	Shape    func(d *dispatcher.Dispatcher, rnd *rand.Rand)
}

// Policies returns the chosen policy, then its baselines.
func Policies() []Policy {
	noFloors := experimentDocument
	for _, cut := range []struct{ from, to string }{
		{"floor = 0.5\n", "floor = 0.0\n"},
		{"floor = 0.125\n", "floor = 0.0\n"},
		{"floor = 0.25\n", "floor = 0.0\n"},
		{"ceiling = 0.5\n", "ceiling = 1.0\n"},
		{"ceiling = 0.75\n", "ceiling = 1.0\n"},
	} {
		noFloors = strings.Replace(noFloors, cut.from, cut.to, 1)
	}
	fifo := noFloors
	for _, urgency := range []string{"9", "7", "3"} {
		fifo = strings.Replace(fifo, "urgency = "+urgency, "urgency = 5", 1)
	}
	return []Policy{
		{
			Name:     "chosen",
			Document: experimentDocument,
		},
		{
			Name:     "urgency-without-floors",
			Document: noFloors,
		},
		{
			Name:     "fifo-without-floors",
			Document: fifo,
		},
		{
			Name:     "random-endpoint",
			Document: experimentDocument,
			Shape: func(d *dispatcher.Dispatcher, rnd *rand.Rand) {
				d.ShapeRouters(func(r *router.Router) {
					r.Choose = func(_ string, candidates []*router.Endpoint) *router.Endpoint {
						return candidates[rnd.IntN(len(candidates))]
					}
				})
			},
		},
	}
}

// Scenario is a load, with faults.
type Scenario struct {
	Name  string
	Rates map[string]float64
	Fault func(w *World)
}

// Scenarios returns the loads of the experiment.
func Scenarios() []Scenario {
	list := []Scenario{{
		Name:  "calm",
		Rates: calmRates(),
	}}
	capacity := float64(experimentEndpoints * experimentSlots)
	for _, times := range []float64{2, 5, 20} {
		for _, kind := range []string{"feed", "check"} {
			rates := calmRates()
			rates[kind] = times * capacity / experimentRunTimes[kind].Seconds()
			list = append(list, Scenario{
				Name:  fmt.Sprintf("%s-flood-%gx", kind, times),
				Rates: rates,
			})
		}
	}
	both := calmRates()
	for _, kind := range []string{"feed", "check"} {
		both[kind] = 5 * capacity / experimentRunTimes[kind].Seconds()
	}
	return append(list,
		Scenario{
			Name:  "both-flood-5x",
			Rates: both,
		},
		Scenario{
			Name:  "slow-endpoint",
			Rates: calmRates(),
			Fault: func(w *World) { w.Agents[0].Slow = 20 },
		},
		Scenario{
			Name:  "failing-endpoint",
			Rates: calmRates(),
			Fault: func(w *World) { w.Agents[0].Failing = true },
		},
		Scenario{
			Name:  "all-fail",
			Rates: calmRates(),
			Fault: func(w *World) {
				for _, a := range w.Agents {
					a.Failing = true
				}
			},
		},
	)
}

// KindResult is what became of one kind in a run.
type KindResult struct {
	Kind     string  `json:"kind"`
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"not-run"`
	Unknown  int     `json:"unknown"`
	P50      float64 `json:"p50-millis"`
	P99      float64 `json:"p99-millis"`
	// Share is the part of all slots that the kind's useful work took in the
	// measured span.
	Share float64 `json:"share-of-slots"`
}

// Kept is the part of the kind's requests that were answered.
func (k KindResult) Kept() float64 {
	return float64(k.Answered) / float64(max(1, k.Sent))
}

// Result is the outcome of one scenario under one policy and seed.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Useful is the part of all slots that answered work took.
	Useful float64 `json:"useful-share"`
	// Vain is the part of the runs whose answer nobody got.
	Vain     float64               `json:"vain-share"`
	Attempts float64               `json:"attempts-a-request"`
	Kinds    map[string]KindResult `json:"kinds"`
	Broken   int64                 `json:"broken-invariants"`
}

// RunExperiment plays one scenario under one policy.
func RunExperiment(s Scenario, p Policy, seed uint64) (Result, error) {
	assert := asserter.New(func(string, ...any) {})
	shapes := rand.New(rand.NewPCG(seed, 9))
	cfg := Config{
		Seed:       seed,
		Entries:    experimentEntries,
		Endpoints:  experimentEndpoints,
		Domains:    []string{"quito-norte", "quito-sur", "cumbaya"},
		Delay:      1500 * time.Microsecond,
		Document:   p.Document,
		RunTime:    heavyTailed,
		RetryRatio: 0.1,
		RetryBurst: 10,
		Assert:     assert,
	}
	if p.Shape != nil {
		cfg.Shape = func(d *dispatcher.Dispatcher) { p.Shape(d, shapes) }
	}
	w, err := NewWorld(cfg)
	if err != nil {
		return Result{}, err
	}
	started := w.Now()
	if s.Fault != nil {
		w.After(warmUp/2, func() { s.Fault(w) })
	}
	rnd := rand.New(rand.NewPCG(seed, 8))
	for _, kind := range slices.Sorted(maps.Keys(s.Rates)) {
		arrive(w, rnd, kind, s.Rates[kind], started.Add(warmUp+span))
	}
	w.RunUntil(started.Add(warmUp + span + 11*time.Second))
	return judge(w, s, p, seed, started.Add(warmUp)), nil
}

// heavyTailed draws nine short run times in ten and one that is long; the mean
// is the declared one.
func heavyTailed(rnd *rand.Rand, kind string) time.Duration {
	mean := float64(experimentRunTimes[kind])
	if rnd.IntN(10) == 0 {
		return time.Duration(mean * 4.6 * rnd.ExpFloat64())
	}
	return time.Duration(mean * 0.6 * rnd.ExpFloat64())
}

// arrive submits requests of a kind at random times with a mean rate.
func arrive(w *World, rnd *rand.Rand, kind string, rate float64, until time.Time) {
	var next func()
	next = func() {
		if w.Now().After(until) {
			return
		}
		w.Submit(w.Entries[rnd.IntN(len(w.Entries))], kind, "")
		w.After(time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.After(0, next)
}

// useful tells whether the caller got the endpoint's answer in time.
func (j *Job) useful() bool {
	if len(j.Outcomes) == 0 || j.Outcomes[0].Kind != dispatcher.Answered {
		return false
	}
	return j.Outcomes[0].Status < serverError && !j.Request.Deadline.Before(j.EndedAt)
}

// judge gathers the figures of the jobs that were sent in the measured span.
func judge(w *World, s Scenario, p Policy, seed uint64, from time.Time) Result {
	r := Result{
		Scenario: s.Name,
		Policy:   p.Name,
		Seed:     seed,
		Kinds:    map[string]KindResult{},
		Broken:   w.cfg.Assert.Total(),
	}
	latencies := map[string]*hdrhistogram.Histogram{}
	runs, vain, sent, attempts := 0, 0, 0, 0
	slotTime := span * experimentEndpoints * experimentSlots
	for _, job := range w.Jobs {
		kind := job.Request.Kind
		if job.useful() && job.EndedAt.After(from) && job.EndedAt.Before(from.Add(span)) {
			k := r.Kinds[kind]
			k.Share += float64(job.RunTook) / float64(slotTime)
			r.Kinds[kind] = k
		}
		if job.Request.AcceptedAt.Before(from) || len(job.Outcomes) == 0 {
			continue
		}
		k := r.Kinds[kind]
		k.Kind = kind
		k.Sent++
		sent++
		o := job.Outcomes[0]
		attempts += o.Attempts
		runs += job.Runs
		vain += job.Runs
		switch o.Kind {
		case dispatcher.Answered:
			k.Answered++
			if job.useful() {
				vain--
			}
			if latencies[kind] == nil {
				latencies[kind] = hdrhistogram.New(1, 60_000_000, 3)
			}
			// Latencies lie within the histogram's bounds by the deadline.
			_ = latencies[kind].RecordValue(job.EndedAt.Sub(job.Request.AcceptedAt).Microseconds())
		case dispatcher.NotRun:
			k.NotRun++
		case dispatcher.Unknown:
			k.Unknown++
		}
		r.Kinds[kind] = k
	}
	for kind, k := range r.Kinds {
		if h := latencies[kind]; h != nil {
			k.P50 = float64(h.ValueAtQuantile(50)) / 1000
			k.P99 = float64(h.ValueAtQuantile(99)) / 1000
		}
		r.Useful += k.Share
		r.Kinds[kind] = k
	}
	r.Vain = float64(vain) / float64(max(1, runs))
	r.Attempts = float64(attempts) / float64(max(1, sent))
	return r
}
