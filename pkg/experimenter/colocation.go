package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	colocationWorkers = 10
	replicasEach      = 5
	colocationWarmUp  = 2 * time.Minute
	colocationSpan    = 10 * time.Minute
	sampleInterval    = 200 * time.Millisecond
	// slowdownScale keeps slowdowns as whole numbers in the histogram.
	slowdownScale = 1000
	badSlowdown   = 1.5
)

// trueExcess is how much one batch task of a kind truly slows a service, which
// the policy has to find out.
var trueExcess = map[string]map[string]float64{
	"central-polls": {
		"weighting": 0.25,
		"review":    0.02,
		"crunch":    0.02,
	},
	"recovery-reader": {
		"weighting": 0.02,
		"review":    0.03,
		"crunch":    0.3,
	},
}

// ColocationPolicy is a way to place and hold batch tasks beside services.
type ColocationPolicy struct {
	Name   string
	Policy placer.Colocation
}

// ColocationPolicies returns the chosen policy, then its baselines.
func ColocationPolicies() []ColocationPolicy {
	return []ColocationPolicy{
		{
			Name: "chosen",
			Policy: placer.Colocation{
				Avoid:    true,
				Throttle: true,
				Evict:    true,
				Ration:   true,
			},
		},
		{
			Name: "best-fit-only",
		},
		{
			Name: "evict-at-once",
			Policy: placer.Colocation{
				Evict: true,
			},
		},
		{
			Name: "throttle-then-evict",
			Policy: placer.Colocation{
				Throttle: true,
				Evict:    true,
				Ration:   true,
			},
		},
	}
}

// ColocationResult is the outcome of one policy and seed.
type ColocationResult struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// P50 and P99 are services' slowdowns over time.
	P50 float64 `json:"p50-slowdown"`
	P99 float64 `json:"p99-slowdown"`
	// Bad is the part of the time that services spent above the limit.
	Bad float64 `json:"bad-share"`
	// Batch is the mean of the processors at work on batch tasks.
	Batch     float64 `json:"batch-processors"`
	Evictions int64   `json:"evictions"`
	Throttled int64   `json:"throttled"`
	Done      int64   `json:"done"`
	Broken    int64   `json:"broken-invariants"`
}

// RunColocation plays waves of batch tasks beside two services.
func RunColocation(p ColocationPolicy, seed uint64) ColocationResult {
	assert := asserter.New(func(string, ...any) {})
	w := NewCellWorld(CellConfig{
		Seed:    seed,
		Owners:  1,
		Workers: colocationWorkers,
		Capacity: publisher.Resources{
			ProcessorMillis: 30_000,
			MemoryBytes:     125 << 30,
		},
		Assert:         assert,
		CommitInterval: overseer.DefaultCommitInterval,
		Shape:          func(c *placer.Cell) { c.Colocation = p.Policy },
	})
	for _, cw := range w.Workers {
		cw.Worker.Interfere = trueSlowdown
	}
	for service := range trueExcess {
		w.Owners[0].Core.SetReplicas(service, placer.ReplicaNeed{
			Team:  "condor",
			Count: replicasEach,
			Needs: publisher.Resources{
				ProcessorMillis: 4000,
				MemoryBytes:     8 << 30,
			},
		})
	}
	from := w.Now().Add(colocationWarmUp)
	until := from.Add(colocationSpan)
	batchWaves(w, rand.New(rand.NewPCG(seed, 6)), until)
	r := ColocationResult{
		Policy: p.Name,
		Seed:   seed,
	}
	sampleServices(w, &r, from, until)
	if cell := w.Owners[0].Core.Cell(); cell != nil {
		r.Evictions = cell.Counts.Evicted
		r.Throttled = cell.Counts.Throttled
		r.Done = cell.Counts.Done
	}
	r.Broken = assert.Total() + int64(len(w.Doubled))
	return r
}

func trueSlowdown(service string, kinds map[string]float64) float64 {
	slowdown := 1.0
	for kind, weight := range kinds {
		slowdown += weight * trueExcess[service][kind]
	}
	return slowdown
}

// batchWaves submits tasks whose kinds come in waves of half a minute.
func batchWaves(w *CellWorld, rnd *rand.Rand, until time.Time) {
	kinds := []string{"weighting", "review", "crunch"}
	n := 0
	w.Every(400*time.Millisecond, func() bool {
		n++
		kind := kinds[rnd.IntN(len(kinds))]
		if rnd.IntN(2) == 0 {
			kind = kinds[int(w.Now().Unix()/30)%len(kinds)]
		}
		spec := placer.Spec{
			ID:      fmt.Sprintf("cell-1/batch-%05d", n),
			Team:    "lisciva",
			Class:   placer.ClassBatch,
			Kind:    kind,
			Urgency: 3,
			Needs: publisher.Resources{
				ProcessorMillis: 2000 + rnd.Int64N(2000),
				MemoryBytes:     2 << 30,
			},
			RunTimeMillis: 5_000 + int64(20_000*rnd.ExpFloat64()),
		}
		// A submission that the table refuses is not part of the load.
		_ = overseer.NewJobs(w.Platform.Table()).Submit(context.Background(), w.Now(), spec)
		return w.Now().Before(until)
	})
}

// sampleServices runs the world and gathers slowdowns and batch speed.
func sampleServices(w *CellWorld, r *ColocationResult, from, until time.Time) {
	h := hdrhistogram.New(1, 100*slowdownScale, 3)
	samples, bad, total := 0, 0, 0
	for w.Now().Before(until) {
		w.RunUntil(w.Now().Add(sampleInterval))
		speed := 0.0
		for _, cw := range w.Workers {
			for _, slowdown := range cw.Worker.Measure(w.clockOf(cw)) {
				if w.Now().Before(from) {
					continue
				}
				total++
				if slowdown > badSlowdown {
					bad++
				}
				// No mix of tasks that fits an instance passes the bound.
				_ = h.RecordValue(int64(slowdown * slowdownScale))
			}
			speed += cw.Worker.BatchSpeed()
		}
		if !w.Now().Before(from) {
			samples++
			r.Batch += speed
		}
	}
	r.Batch /= float64(max(1, samples))
	r.Bad = float64(bad) / float64(max(1, total))
	r.P50 = float64(h.ValueAtQuantile(50)) / slowdownScale
	r.P99 = float64(h.ValueAtQuantile(99)) / slowdownScale
}
