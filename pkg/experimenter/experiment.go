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
	// serverError is the lowest status that counts as a failed run.
	serverError = 500
	// The measurement begins after warmUpDuration and lasts measuredDuration.
	warmUpDuration   = 2 * time.Second
	measuredDuration = 8 * time.Second
)

// experimentDocument is a service document with the request kinds of the users'
// services.
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

// experimentRunTimes are the mean run times of requests by kind.
var experimentRunTimes = map[string]time.Duration{
	"check": 20 * time.Millisecond,
	"dial":  50 * time.Millisecond,
	"feed":  400 * time.Millisecond,
}

// baseRates returns arrivals per second by kind that occupy about a third of the
// slots.
func baseRates() map[string]float64 {
	return map[string]float64{
		"check": 240,
		"dial":  20,
		"feed":  10,
	}
}

// Policy is a named scheduling policy: a service document and an optional change
// to each dispatcher.
type Policy struct {
	Name                string
	Document            string
	ConfigureDispatcher func(d *dispatcher.Dispatcher, rnd *rand.Rand)
}

// Policies returns the policy in use, followed by the baselines.
func Policies() []Policy {
	noFloors := experimentDocument
	for _, replacement := range []struct{ from, to string }{
		{"floor = 0.5\n", "floor = 0.0\n"},
		{"floor = 0.125\n", "floor = 0.0\n"},
		{"floor = 0.25\n", "floor = 0.0\n"},
		{"ceiling = 0.5\n", "ceiling = 1.0\n"},
		{"ceiling = 0.75\n", "ceiling = 1.0\n"},
	} {
		noFloors = strings.Replace(noFloors, replacement.from, replacement.to, 1)
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
			ConfigureDispatcher: func(d *dispatcher.Dispatcher, rnd *rand.Rand) {
				d.ConfigureRouters(func(r *router.Router) {
					r.Choose = func(_ string, candidates []*router.Endpoint) *router.Endpoint {
						return candidates[rnd.IntN(len(candidates))]
					}
				})
			},
		},
	}
}

// Scenario is a load, as arrivals per second by kind, with an optional fault.
type Scenario struct {
	Name  string
	Rates map[string]float64
	Fault func(sim *Simulation)
}

// Scenarios returns the scenarios of the experiment.
func Scenarios() []Scenario {
	list := []Scenario{{
		Name:  "calm",
		Rates: baseRates(),
	}}
	capacity := float64(experimentEndpoints * experimentSlots)
	for _, times := range []float64{2, 5, 20} {
		for _, kind := range []string{"feed", "check"} {
			rates := baseRates()
			rates[kind] = times * capacity / experimentRunTimes[kind].Seconds()
			list = append(list, Scenario{
				Name:  fmt.Sprintf("%s-flood-%gx", kind, times),
				Rates: rates,
			})
		}
	}
	both := baseRates()
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
			Rates: baseRates(),
			Fault: func(sim *Simulation) { sim.Agents[0].RunTimeFactor = 20 },
		},
		Scenario{
			Name:  "failing-endpoint",
			Rates: baseRates(),
			Fault: func(sim *Simulation) { sim.Agents[0].Failing = true },
		},
		Scenario{
			Name:  "all-fail",
			Rates: baseRates(),
			Fault: func(sim *Simulation) {
				for _, a := range sim.Agents {
					a.Failing = true
				}
			},
		},
	)
}

// KindResult holds the measurements of one request kind in a run. Latencies are in
// milliseconds.
type KindResult struct {
	Kind     string  `json:"kind"`
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"not-run"`
	Unknown  int     `json:"unknown"`
	P50      float64 `json:"p50-millis"`
	P99      float64 `json:"p99-millis"`
	// SlotShare is the share of the slot time in the measured period that the kind's
	// useful runs took.
	SlotShare float64 `json:"share-of-slots"`
}

// AnsweredShare returns the share of the kind's requests that were answered, from
// 0 to 1.
func (k KindResult) AnsweredShare() float64 {
	return float64(k.Answered) / float64(max(1, k.Sent))
}

// Result is the measurement of one scenario under one policy with one seed.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// UsefulShare is the share of the slot time in the measured period that useful
	// runs of all kinds took.
	UsefulShare float64 `json:"useful-share"`
	// WastedShare is the share of runs whose answer did not reach the caller in time or
	// was a server error.
	WastedShare        float64               `json:"vain-share"`
	AttemptsPerRequest float64               `json:"attempts-a-request"`
	Kinds              map[string]KindResult `json:"kinds"`
	BrokenInvariants   int64                 `json:"broken-invariants"`
}

// RunExperiment simulates one scenario under one policy. It fails if the policy's
// document cannot be parsed.
func RunExperiment(s Scenario, p Policy, seed uint64) (Result, error) {
	assert := asserter.New(func(string, ...any) {})
	policyRand := rand.New(rand.NewPCG(seed, 9))
	cfg := Config{
		Seed:       seed,
		Entries:    experimentEntries,
		Endpoints:  experimentEndpoints,
		Domains:    []string{"quito-norte", "quito-sur", "cumbaya"},
		Delay:      1500 * time.Microsecond,
		Document:   p.Document,
		RunTime:    heavyTailedRunTime,
		RetryRatio: 0.1,
		RetryBurst: 10,
		Assert:     assert,
	}
	if p.ConfigureDispatcher != nil {
		cfg.ConfigureDispatcher = func(d *dispatcher.Dispatcher) { p.ConfigureDispatcher(d, policyRand) }
	}
	sim, err := NewSimulation(cfg)
	if err != nil {
		return Result{}, err
	}
	started := sim.Now()
	if s.Fault != nil {
		sim.After(warmUpDuration/2, func() { s.Fault(sim) })
	}
	rnd := rand.New(rand.NewPCG(seed, 8))
	for _, kind := range slices.Sorted(maps.Keys(s.Rates)) {
		scheduleArrivals(sim, rnd, kind, s.Rates[kind], started.Add(warmUpDuration+measuredDuration))
	}
	sim.RunUntil(started.Add(warmUpDuration + measuredDuration + 11*time.Second))
	return summarize(sim, s, p, seed, started.Add(warmUpDuration)), nil
}

// heavyTailedRunTime draws a run time from a mixture of two exponential
// distributions: one in ten has 4.6 times the declared mean of the kind, the
// others 0.6 times, so that the mean is the declared one.
func heavyTailedRunTime(rnd *rand.Rand, kind string) time.Duration {
	mean := float64(experimentRunTimes[kind])
	if rnd.IntN(10) == 0 {
		return time.Duration(mean * 4.6 * rnd.ExpFloat64())
	}
	return time.Duration(mean * 0.6 * rnd.ExpFloat64())
}

// scheduleArrivals submits requests of a kind as a Poisson process with a rate
// per second until a time, each to a random entry.
func scheduleArrivals(sim *Simulation, rnd *rand.Rand, kind string, rate float64, until time.Time) {
	var next func()
	next = func() {
		if sim.Now().After(until) {
			return
		}
		sim.Submit(sim.Entries[rnd.IntN(len(sim.Entries))], kind, "")
		sim.After(time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	sim.After(0, next)
}

// useful reports whether the caller got an answer without a server error before
// the deadline.
func (j *Job) useful() bool {
	if len(j.Outcomes) == 0 || j.Outcomes[0].Kind != dispatcher.Answered {
		return false
	}
	return j.Outcomes[0].Status < serverError && !j.Request.Deadline.Before(j.EndedAt)
}

// summarize computes the result of a finished run. Outcomes and latencies count
// for requests that were accepted at or after from, slot shares for answers
// within measuredDuration after it.
func summarize(sim *Simulation, s Scenario, p Policy, seed uint64, from time.Time) Result {
	r := Result{
		Scenario:         s.Name,
		Policy:           p.Name,
		Seed:             seed,
		Kinds:            map[string]KindResult{},
		BrokenInvariants: sim.cfg.Assert.Total(),
	}
	latencies := map[string]*hdrhistogram.Histogram{}
	runs, wasted, sent, attempts := 0, 0, 0, 0
	slotTime := measuredDuration * experimentEndpoints * experimentSlots
	for _, job := range sim.Jobs {
		kind := job.Request.Kind
		if job.useful() && job.EndedAt.After(from) && job.EndedAt.Before(from.Add(measuredDuration)) {
			k := r.Kinds[kind]
			k.SlotShare += float64(job.LastRunTime) / float64(slotTime)
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
		wasted += job.Runs
		switch o.Kind {
		case dispatcher.Answered:
			k.Answered++
			if job.useful() {
				wasted--
			}
			if latencies[kind] == nil {
				latencies[kind] = hdrhistogram.New(1, 60_000_000, 3)
			}
			// The deadline keeps latencies within the histogram's bounds.
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
		r.UsefulShare += k.SlotShare
		r.Kinds[kind] = k
	}
	r.WastedShare = float64(wasted) / float64(max(1, runs))
	r.AttemptsPerRequest = float64(attempts) / float64(max(1, sent))
	return r
}
