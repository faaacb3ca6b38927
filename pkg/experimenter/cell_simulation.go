package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	// ownerTickInterval is the interval between two ticks of an owner's core.
	ownerTickInterval = 20 * time.Millisecond
	// callDelay is the one-way delay of calls to the table and to workers.
	callDelay = 2 * time.Millisecond
	// retention is the time for which owners keep the rows of finished tasks.
	retention = time.Hour
	// callTimeout is the timeout of an owner's calls.
	callTimeout = time.Second
)

// errTimeout is the error of a call that got no answer within callTimeout.
var errTimeout = errors.New("no answer in time")

// CellConfig is the configuration of a cell's simulation.
type CellConfig struct {
	Seed          uint64
	Owners        int
	Workers       int
	Capacity      publisher.Resources
	Assert        *asserter.Asserter
	ConfigureCell func(c *placer.Cell)
	// CommitInterval is the minimum time between two commits of an owner.
	CommitInterval time.Duration
}

// CellSimulation simulates a cell in virtual time: the processes that can own it, its
// workers and the table.
type CellSimulation struct {
	Clock
	Platform *emulator.Platform
	Owners   []*Owner
	Workers  []*CellWorker
	// TableDelay is the one-way delay of calls to the table.
	TableDelay time.Duration
	// Running holds the addresses of the workers that run a task now, by task.
	Running map[string]map[string]bool
	// DoubleRuns lists the tasks that ran on two workers at the same time.
	DoubleRuns []string
	// Starts counts the starts on workers, by task.
	Starts map[string]int
	// StartedAt is the time of the first start, by task.
	StartedAt map[string]time.Time

	cfg         CellConfig
	rnd         *rand.Rand
	checkpoints map[string]int64
	incarnation uint64
}

// NewCellSimulation builds the simulation of a cell that has no owner yet.
func NewCellSimulation(cfg CellConfig) *CellSimulation {
	sim := &CellSimulation{
		Clock:       *NewClock(),
		Platform:    emulator.NewPlatform(),
		TableDelay:  callDelay,
		Running:     map[string]map[string]bool{},
		Starts:      map[string]int{},
		StartedAt:   map[string]time.Time{},
		cfg:         cfg,
		rnd:         rand.New(rand.NewPCG(cfg.Seed, 3)),
		checkpoints: map[string]int64{},
	}
	sim.Platform.Now = func() time.Time { return sim.now }
	for i := range cfg.Workers {
		cw := &CellWorker{
			Address: fmt.Sprintf("worker-%03d", i),
			domain:  cellFailureDomains[i%len(cellFailureDomains)],
			rack:    fmt.Sprintf("rack-%d", i/len(cellFailureDomains)/workersPerRack),
		}
		sim.boot(cw)
		sim.Workers = append(sim.Workers, cw)
	}
	for i := range cfg.Owners {
		sim.Owners = append(sim.Owners, sim.newOwner(i, sim.addresses()))
	}
	return sim
}

func (sim *CellSimulation) recordStart(id, address string) {
	if sim.Running[id] == nil {
		sim.Running[id] = map[string]bool{}
		sim.StartedAt[id] = sim.now
	}
	sim.Running[id][address] = true
	sim.Starts[id]++
	if len(sim.Running[id]) > 1 {
		sim.DoubleRuns = append(sim.DoubleRuns, id)
	}
}

// countRows returns the number of the table's rows whose key starts with a
// prefix, or -1 if they cannot be read.
func (sim *CellSimulation) countRows(prefix string) int {
	rows, err := sim.Platform.Table().Scan(context.Background(), prefix, "", 1<<20)
	if err != nil {
		return -1
	}
	return len(rows)
}
