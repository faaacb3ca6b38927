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
	colocationWorkers        = 10
	replicasPerService       = 5
	colocationWarmUpDuration = 2 * time.Minute
	colocationDuration       = 10 * time.Minute
	sampleInterval           = 200 * time.Millisecond
	// slowdownScale is the factor by which slowdowns are multiplied, because the
	// histogram takes only integers.
	slowdownScale     = 1000
	slowdownThreshold = 1.5
)

// excessSlowdown is the slowdown that one batch task of a kind adds to a service,
// by service and kind. The policy does not get these values and has to estimate
// them.
var excessSlowdown = map[string]map[string]float64{
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

// ColocationPolicy is a named policy for the placement and throttling of batch
// tasks that are co-located with services.
type ColocationPolicy struct {
	Name   string
	Policy placer.Colocation
}

// ColocationPolicies returns the policy in use, followed by the baselines.
func ColocationPolicies() []ColocationPolicy {
	return []ColocationPolicy{
		{
			Name: "chosen",
			Policy: placer.Colocation{
				Avoid:          true,
				Throttle:       true,
				Evict:          true,
				LimitEvictions: true,
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
				Throttle:       true,
				Evict:          true,
				LimitEvictions: true,
			},
		},
	}
}

// ColocationResult is the measurement of one policy with one seed.
type ColocationResult struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// P50 and P99 are percentiles of the services' slowdowns over all samples.
	P50 float64 `json:"p50-slowdown"`
	P99 float64 `json:"p99-slowdown"`
	// AboveThresholdShare is the share of samples in which a service's slowdown
	// is above slowdownThreshold.
	AboveThresholdShare float64 `json:"bad-share"`
	// BatchProcessors is the mean number of processors that work on batch tasks.
	BatchProcessors  float64 `json:"batch-processors"`
	Evictions        int64   `json:"evictions"`
	Throttled        int64   `json:"throttled"`
	Done             int64   `json:"done"`
	BrokenInvariants int64   `json:"broken-invariants"`
}

// RunColocation simulates waves of batch tasks that are co-located with two
// services.
func RunColocation(p ColocationPolicy, seed uint64) ColocationResult {
	assert := asserter.New(func(string, ...any) {})
	sim := NewCellSimulation(CellConfig{
		Seed:    seed,
		Owners:  1,
		Workers: colocationWorkers,
		Capacity: publisher.Resources{
			ProcessorMillis: 30_000,
			MemoryBytes:     125 << 30,
		},
		Assert:         assert,
		CommitInterval: overseer.DefaultCommitInterval,
		ConfigureCell:  func(c *placer.Cell) { c.Colocation = p.Policy },
	})
	for _, cw := range sim.Workers {
		cw.Worker.SlowdownModel = actualSlowdown
	}
	for service := range excessSlowdown {
		sim.Owners[0].Core.SetReplicas(service, placer.ReplicaNeed{
			Team:  "condor",
			Count: replicasPerService,
			Needs: publisher.Resources{
				ProcessorMillis: 4000,
				MemoryBytes:     8 << 30,
			},
		})
	}
	from := sim.Now().Add(colocationWarmUpDuration)
	until := from.Add(colocationDuration)
	submitBatchWaves(sim, rand.New(rand.NewPCG(seed, 6)), until)
	r := ColocationResult{
		Policy: p.Name,
		Seed:   seed,
	}
	sampleServices(sim, &r, from, until)
	if cell := sim.Owners[0].Core.Cell(); cell != nil {
		r.Evictions = cell.Counts.Evicted
		r.Throttled = cell.Counts.Throttled
		r.Done = cell.Counts.Done
	}
	r.BrokenInvariants = assert.Total() + int64(len(sim.DoubleRuns))
	return r
}

func actualSlowdown(service string, kinds map[string]float64) float64 {
	slowdown := 1.0
	for kind, weight := range kinds {
		slowdown += weight * excessSlowdown[service][kind]
	}
	return slowdown
}

// submitBatchWaves submits batch tasks until a time. Half of them have a random
// kind; the others share a kind that changes every 30 s.
func submitBatchWaves(sim *CellSimulation, rnd *rand.Rand, until time.Time) {
	kinds := []string{"weighting", "review", "crunch"}
	n := 0
	sim.Every(400*time.Millisecond, func() bool {
		n++
		kind := kinds[rnd.IntN(len(kinds))]
		if rnd.IntN(2) == 0 {
			kind = kinds[int(sim.Now().Unix()/30)%len(kinds)]
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
		// A submission that the table refuses is not part of the load, so the
		// error is ignored.
		_ = overseer.NewJobs(sim.Platform.Table()).Submit(context.Background(), sim.Now(), spec)
		return sim.Now().Before(until)
	})
}

// sampleServices runs the simulation and samples slowdowns and batch speed into
// r from the time from until the time until.
func sampleServices(sim *CellSimulation, r *ColocationResult, from, until time.Time) {
	h := hdrhistogram.New(1, 100*slowdownScale, 3)
	samples, aboveThreshold, total := 0, 0, 0
	for sim.Now().Before(until) {
		sim.RunUntil(sim.Now().Add(sampleInterval))
		speed := 0.0
		for _, cw := range sim.Workers {
			for _, slowdown := range cw.Worker.MeasureSlowdowns(sim.clockMillis(cw)) {
				if sim.Now().Before(from) {
					continue
				}
				total++
				if slowdown > slowdownThreshold {
					aboveThreshold++
				}
				// No set of co-located tasks that fits an instance exceeds the
				// histogram's bound.
				_ = h.RecordValue(int64(slowdown * slowdownScale))
			}
			speed += cw.Worker.BatchSpeed()
		}
		if !sim.Now().Before(from) {
			samples++
			r.BatchProcessors += speed
		}
	}
	r.BatchProcessors /= float64(max(1, samples))
	r.AboveThresholdShare = float64(aboveThreshold) / float64(max(1, total))
	r.P50 = float64(h.ValueAtQuantile(50)) / slowdownScale
	r.P99 = float64(h.ValueAtQuantile(99)) / slowdownScale
}
