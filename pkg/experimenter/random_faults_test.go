package experimenter

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/dispatcher"
)

// fatalAsserter returns an asserter that fails the test at the first broken
// invariant.
func fatalAsserter(t *testing.T, seed uint64) *asserter.Asserter {
	return asserter.New(func(name string, pairs ...any) {
		t.Fatalf("seed %d: invariant %s broken: %v", seed, name, pairs)
	})
}

// seeds returns the seeds of a randomised test, 1 to n. The environment variable
// BILBERRYWALK_SEED selects a single seed, BILBERRYWALK_SEEDS replaces n.
func seeds(n uint64) []uint64 {
	if count, err := strconv.ParseUint(os.Getenv("BILBERRYWALK_SEEDS"), 10, 64); err == nil {
		n = count
	}
	if text := os.Getenv("BILBERRYWALK_SEED"); text != "" {
		if seed, err := strconv.ParseUint(text, 10, 64); err == nil {
			return []uint64{seed}
		}
	}
	list := make([]uint64, 0, n)
	for seed := range n {
		list = append(list, seed+1)
	}
	return list
}

func newTestSimulation(t *testing.T, seed uint64) *Simulation {
	sim, err := NewSimulation(Config{
		Seed:      seed,
		Entries:   3,
		Endpoints: 10,
		Domains:   []string{"quito-norte", "quito-sur", "cumbaya"},
		Delay:     1500 * time.Microsecond,
		Document:  experimentDocument,
		RunTime: func(rnd *rand.Rand, kind string) time.Duration {
			return time.Duration(float64(experimentRunTimes[kind]) * (0.2 + rnd.ExpFloat64()))
		},
		RetryRatio: 0.1,
		RetryBurst: 10,
		Assert:     fatalAsserter(t, seed),
	})
	assert.NilError(t, err)
	return sim
}

// TestRandomFaults submits requests, some of them twice, under random faults that
// can overlap, and checks the guarantees for every request.
func TestRandomFaults(t *testing.T) {
	for _, seed := range seeds(20) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			sim := newTestSimulation(t, seed)
			rnd := rand.New(rand.NewPCG(seed, 2))
			submitRandomRequests(sim, rnd)
			sim.Every(120*time.Millisecond, func() bool {
				injectRandomFault(sim, rnd)
				return true
			})
			sim.RunUntil(sim.Now().Add(60 * time.Second))
			for _, e := range sim.Entries {
				assert.Assert(t, e.Dispatcher.InFlight() < 2000)
			}
			checkGuarantees(t, sim)
		})
	}
}

// submitRandomRequests submits requests for 45 s of the 60 s of the test, so that
// every deadline has passed at the end.
func submitRandomRequests(sim *Simulation, rnd *rand.Rand) {
	kinds := []string{"check", "check", "check", "check", "dial", "dial", "feed"}
	until := sim.Now().Add(45 * time.Second)
	n := 0
	sim.Every(3*time.Millisecond, func() bool {
		n++
		e := sim.Entries[rnd.IntN(len(sim.Entries))]
		kind := kinds[rnd.IntN(len(kinds))]
		callerID := ""
		if kind == "dial" {
			callerID = fmt.Sprintf("dial-%d", n-rnd.IntN(2)*rnd.IntN(40))
		}
		if e.Alive() {
			sim.Submit(e, kind, callerID)
		}
		return sim.Now().Before(until)
	})
}

func injectRandomFault(sim *Simulation, rnd *rand.Rand) {
	a := sim.Agents[rnd.IntN(len(sim.Agents))]
	i := rnd.IntN(len(sim.Entries))
	e := sim.Entries[i]
	span := time.Duration(rnd.Int64N(int64(4 * time.Second)))
	switch rnd.IntN(12) {
	case 0:
		a.Kill()
		sim.After(span, a.Restart)
	case 1:
		a.Pause(span)
	case 2:
		sim.DropFrames(e, a, true, false)
	case 3:
		sim.DropFrames(e, a, false, true)
	case 4:
		sim.DropFrames(e, a, true, true)
	case 5:
		sim.Partition(e, a, span)
	case 6:
		a.Failing = true
		sim.After(span, func() { a.Failing = false })
	case 7:
		a.RunTimeFactor = 20
		sim.After(span, func() { a.RunTimeFactor = 1 })
	case 8:
		a.Leave()
		sim.After(span, func() {
			a.Kill()
			a.Restart()
		})
	case 9:
		if rnd.IntN(4) == 0 && e.Alive() {
			e.Kill()
			sim.After(span, func() { sim.ReplaceEntry(i) })
		}
	case 10:
		sim.ClaimsDown = true
		sim.After(span/2, func() { sim.ClaimsDown = false })
	default:
	}
}

// checkGuarantees checks the outcome of every request, that each caller id ran at
// most once, that no endpoint exceeded its slots, and that more than half of the
// requests were answered.
func checkGuarantees(t *testing.T, sim *Simulation) {
	t.Helper()
	runsByCallerID := map[string]int{}
	answered := 0
	for id, job := range sim.Jobs {
		checkOutcome(t, id, job)
		if job.Request.CallerID != "" {
			runsByCallerID[job.Request.CallerID] += job.Runs
		}
		if len(job.Outcomes) == 1 && job.Outcomes[0].Kind == dispatcher.Answered {
			answered++
		}
	}
	for callerID, runs := range runsByCallerID {
		assert.Assert(t, runs <= 1, "%s ran %d times", callerID, runs)
	}
	for _, a := range sim.Agents {
		assert.Assert(t, a.MaxRunning <= 8, "%s ran %d at once", a.address, a.MaxRunning)
	}
	assert.Assert(t, answered*2 > len(sim.Jobs), "only %d of %d answered", answered, len(sim.Jobs))
}

// checkOutcome checks that a request got exactly one outcome, at most one tick
// after its deadline, and that a request reported as not run never ran. A request
// whose entry was killed must have no outcome.
func checkOutcome(t *testing.T, id string, job *Job) {
	t.Helper()
	if job.Orphaned {
		assert.Assert(t, len(job.Outcomes) == 0, "%s: outcome reported by a killed entry", id)
		return
	}
	assert.Assert(t, len(job.Outcomes) == 1, "%s (%s): %d outcomes", id, job.Request.Kind, len(job.Outcomes))
	o := job.Outcomes[0]
	switch o.Kind {
	case dispatcher.NotRun:
		assert.Assert(t, job.Runs == 0, "%s: outcome %s (%s), but ran %d times", id, o.Kind, o.Reason, job.Runs)
	case dispatcher.Answered:
		assert.Assert(t, o.Status != 200 || string(o.Body) == id, "%s: got the answer %q", id, o.Body)
	case dispatcher.Unknown:
	}
	late := job.EndedAt.Sub(job.Request.Deadline)
	assert.Assert(t, late <= entryTickInterval, "%s: outcome %s after the deadline", id, late)
}
