package experimenter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

const (
	// stepsLease is the lease of a platform that permits 6 s, and
	// stepsLongestLease the one of a platform that permits 10 s.
	stepsLease           = 6 * time.Second
	stepsLongestLease    = 10 * time.Second
	stepsMaxFailures     = 3
	stepsProcessorMillis = 8000
)

var errNoAnswer = errors.New("no answer")

// stepsSimulation runs the production code of a cell and of the agents' cores
// against fake runners in virtual time, and checks the guarantees at each event.
type stepsSimulation struct {
	*Clock
	t    *testing.T
	seed uint64
	rnd  *rand.Rand
	// foreignRnd decides on the heartbeats of other writers.
	foreignRnd *rand.Rand
	// stopRnd decides on what stoppedProcesses adds, processes configures it.
	stopRnd   *rand.Rand
	processes stoppedProcesses
	// faultsOver is set once no more faults are injected.
	faultsOver bool
	// lease is the lease that owners grant, and longestLease the longest one
	// that runners accept.
	lease        time.Duration
	longestLease time.Duration
	// ownerLease is how long an owner that was replaced may still grant leases.
	ownerLease time.Duration
	// maxReservations bounds the owner's reservations for large tasks.
	maxReservations int
	// reportProgress makes the runners list the progress of their runs.
	reportProgress bool
	log            []string
	// speculative makes all steps of submitted jobs speculative; pairs counts the
	// starts beside another run of the same task.
	speculative bool
	pairs       int

	// The store's state: specs, cancellations and progress by job, and the
	// owner's epoch.
	specs     map[string]scheduler.Spec
	cancelled map[string]time.Time
	progress  map[string]scheduler.Progress
	epoch     uint64
	storeDown bool

	// owners counts the processes that have owned the cell.
	owners int
	owner  *stepsOwner
	agents []*stepsAgent
	queues *scheduler.Queues

	// State of the checks, by task: the runner that runs it, its acknowledged
	// failures, whether a finished run with reason "done" was acknowledged, and its
	// starts and ends. allocated are the resources in use on each runner, and endedAt is when the
	// last run of each task ended.
	runningOn        map[string]*emulator.StepRunner
	failures         map[string]int
	acknowledgedDone map[string]bool
	histories        map[string]*history
	numbered         int
	allocated        map[*emulator.StepRunner]publisher.Resources
	endedAt          map[string]time.Time
	crashes          crashes
	draining         draining
	// runTime returns the duration of a run on an agent's runner and the reason
	// with which it finishes.
	runTime func(a *stepsAgent, ref framer.RunRef) (time.Duration, framer.FinishReason)
}

func newStepsSimulation(t *testing.T, seed uint64, longestLease time.Duration, agents int) *stepsSimulation {
	return newStoppedSimulation(t, seed, longestLease, agents, stoppedProcesses{})
}

// newStoppedSimulation returns a simulation with faults of processes and connections.
func newStoppedSimulation(t *testing.T, seed uint64, longestLease time.Duration, agents int, processes stoppedProcesses) *stepsSimulation {
	sim := &stepsSimulation{
		Clock:            NewClock(),
		t:                t,
		seed:             seed,
		rnd:              rand.New(rand.NewPCG(seed, 77)),
		foreignRnd:       rand.New(rand.NewPCG(seed, 78)),
		processes:        processes,
		stopRnd:          rand.New(rand.NewPCG(seed, 79)),
		lease:            grantedLease(longestLease),
		longestLease:     longestLease,
		specs:            map[string]scheduler.Spec{},
		cancelled:        map[string]time.Time{},
		progress:         map[string]scheduler.Progress{},
		runningOn:        map[string]*emulator.StepRunner{},
		failures:         map[string]int{},
		acknowledgedDone: map[string]bool{},
		histories:        map[string]*history{},
		allocated:        map[*emulator.StepRunner]publisher.Resources{},
		endedAt:          map[string]time.Time{},
		crashes: crashes{
			under:       map[string]int{},
			startsAfter: map[string]int{},
		},
	}
	sim.runTime = sim.randomRunTime
	sim.queues = &scheduler.Queues{
		Version: 1,
		List: []scheduler.Queue{{
			Name:    "q",
			Service: "s",
			Terms: scheduler.Terms{
				MaxFailures:   stepsMaxFailures,
				Stretch:       2,
				TargetLatency: time.Second,
			},
		}},
	}
	for range agents {
		sim.addAgent(framer.RunnerInfo{
			Service:         "s",
			ProcessorMillis: stepsProcessorMillis,
			MemoryBytes:     1 << 40,
		})
	}
	sim.Every(20*time.Millisecond, func() bool {
		if sim.owner != nil {
			sim.tickOwner(sim.owner)
		}
		return true
	})
	sim.replaceOwner(0)
	return sim
}

// submit stores a random job and adds it to the owner's cell. One job in ten is
// cancelled later.
func (sim *stepsSimulation) submit(n int) {
	steps := []scheduler.Step{{
		Count:          1 + sim.rnd.IntN(4),
		EstimateMillis: 1000,
	}}
	if sim.rnd.IntN(2) == 0 {
		steps = append(steps, scheduler.Step{
			Count: 1 + sim.rnd.IntN(3),
			After: []int{0},
		})
	}
	needs := publisher.Resources{
		ProcessorMillis: 500 + sim.rnd.Int64N(2000),
	}
	if sim.speculative && n%4 > 0 {
		// The budget allows several copies of small tasks.
		needs.ProcessorMillis /= 8
	}
	for i := range steps {
		steps[i].Needs = needs
		steps[i].Speculative = sim.speculative
	}
	spec := scheduler.Spec{
		ID:               fmt.Sprintf("job%d", n),
		Queue:            "q",
		Service:          "s",
		Steps:            steps,
		AcceptedAtMillis: sim.Now().UnixMilli(),
	}
	sim.specs[spec.ID] = spec
	if sim.owner != nil {
		sim.owner.cell.Add(sim.Now(), spec)
	}
	if sim.rnd.IntN(10) == 0 {
		sim.After(time.Duration(sim.rnd.IntN(3000))*time.Millisecond, func() {
			sim.cancelled[spec.ID] = sim.Now()
			sim.logf("%s is cancelled", spec.ID)
			if sim.owner != nil {
				sim.owner.cell.Cancel(sim.Now(), spec.ID)
			}
		})
	}
}
