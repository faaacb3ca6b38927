package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
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

// Owner is a process that can own the cell.
type Owner struct {
	Core *overseer.Core

	sim     *CellSimulation
	name    string
	alive   bool
	paused  bool
	pending []func()
	// tableUnreachable makes all calls to the table time out.
	tableUnreachable bool
	// unreachableWorkers are the addresses of workers to which all calls time
	// out.
	unreachableWorkers map[string]bool
}

// CellWorker is an instance that runs tasks.
type CellWorker struct {
	Address string
	Worker  *emulator.Worker

	domain   string
	rack     string
	alive    bool
	bootedAt time.Time
}

// cellFailureDomains are the failure domains, to which workers are assigned in
// turn.
var cellFailureDomains = [...]string{"quito-norte", "quito-sur", "cumbaya"}

// workersPerRack is the number of workers of each failure domain that share a
// rack name.
const workersPerRack = 3

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
	var addresses []string
	for i := range cfg.Workers {
		cw := &CellWorker{
			Address: fmt.Sprintf("worker-%03d", i),
			domain:  cellFailureDomains[i%len(cellFailureDomains)],
			rack:    fmt.Sprintf("rack-%d", i/len(cellFailureDomains)/workersPerRack),
		}
		sim.boot(cw)
		sim.Workers = append(sim.Workers, cw)
		addresses = append(addresses, cw.Address)
	}
	for i := range cfg.Owners {
		sim.Owners = append(sim.Owners, sim.newOwner(i, addresses))
	}
	return sim
}

func (sim *CellSimulation) newOwner(i int, workers []string) *Owner {
	sim.incarnation++
	o := &Owner{
		sim:                sim,
		name:               fmt.Sprintf("owner-%d#%d", i, sim.incarnation),
		alive:              true,
		unreachableWorkers: map[string]bool{},
	}
	o.Core = overseer.NewCore(overseer.Config{
		Self:          o.name,
		Cell:          "cell-1",
		Workers:       workers,
		Assert:        sim.cfg.Assert,
		ConfigureCell: sim.cfg.ConfigureCell,

		CommitInterval: sim.cfg.CommitInterval,
		Retention:      retention,
	})
	sim.Every(ownerTickInterval, func() bool {
		if o.alive && !o.paused {
			o.perform(o.Core.Tick(sim.now))
		}
		return o.alive
	})
	return o
}

// boot starts an instance's worker as a new incarnation without tasks.
func (sim *CellSimulation) boot(cw *CellWorker) {
	sim.incarnation++
	worker := emulator.NewWorker(sim.incarnation, cw.domain, cw.rack, sim.cfg.Capacity)
	worker.PutCheckpoint = func(name string, progress int64) { sim.checkpoints[name] = progress }
	worker.GetCheckpoint = func(name string) int64 { return sim.checkpoints[name] }
	worker.OnStart = func(id string, _ int) { sim.recordStart(id, cw.Address) }
	worker.OnStop = func(id string, _ int) { delete(sim.Running[id], cw.Address) }
	cw.Worker = worker
	cw.alive = true
	cw.bootedAt = sim.now
	sim.Every(100*time.Millisecond, func() bool {
		if cw.Worker == worker && cw.alive {
			worker.Advance(sim.clockMillis(cw))
		}
		return cw.Worker == worker && cw.alive
	})
}

func (sim *CellSimulation) clockMillis(cw *CellWorker) int64 {
	return sim.now.Sub(cw.bootedAt).Milliseconds()
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

// KillWorker terminates an instance and the tasks that run on it.
func (sim *CellSimulation) KillWorker(cw *CellWorker) {
	cw.alive = false
	for _, addresses := range sim.Running {
		delete(addresses, cw.Address)
	}
}

// RebootWorker starts a killed instance as a new incarnation without tasks.
func (sim *CellSimulation) RebootWorker(cw *CellWorker) {
	if !cw.alive {
		sim.boot(cw)
	}
}

// Kill terminates an owner without releasing its lease.
func (o *Owner) Kill() {
	o.alive = false
}

// ReplaceOwner replaces a killed owner by a new process without state.
func (sim *CellSimulation) ReplaceOwner(i int) {
	if sim.Owners[i].alive {
		return
	}
	var addresses []string
	for _, cw := range sim.Workers {
		addresses = append(addresses, cw.Address)
	}
	sim.Owners[i] = sim.newOwner(i, addresses)
}

// Pause pauses an owner for d. Responses to it and calls that it has decided but
// not sent are handled when it resumes.
func (o *Owner) Pause(d time.Duration) {
	if o.paused {
		return
	}
	o.paused = true
	o.sim.After(d, func() {
		o.paused = false
		pending := o.pending
		o.pending = nil
		for _, f := range pending {
			f()
		}
	})
}

// runOrDefer runs f now, or when the owner resumes if it is paused. It drops f
// if the owner has been killed; an f that is already deferred still runs.
func (o *Owner) runOrDefer(f func()) {
	switch {
	case !o.alive:
	case o.paused:
		o.pending = append(o.pending, f)
	default:
		f()
	}
}

func (o *Owner) perform(actions []overseer.Action) {
	for _, action := range actions {
		// An owner can be paused between a decision and the call that carries it
		// out.
		o.sim.After(0, func() { o.runOrDefer(func() { o.execute(action) }) })
	}
}

func (o *Owner) execute(action overseer.Action) {
	switch {
	case action.Read != nil:
		o.callTable(func() func() []overseer.Action {
			row, err := o.sim.Platform.Table().Get(context.Background(), overseer.CellKey("cell-1"))
			return func() []overseer.Action { return o.Core.RowRead(o.sim.now, row, err) }
		}, func() []overseer.Action { return o.Core.RowRead(o.sim.now, storer.Row{}, errTimeout) })
	case action.Write != nil:
		tx := action.Write.Transaction
		o.callTable(func() func() []overseer.Action {
			err := o.sim.Platform.Table().Commit(context.Background(), tx)
			return func() []overseer.Action { return o.Core.Written(o.sim.now, tx.ID, err) }
		}, func() []overseer.Action { return o.Core.Written(o.sim.now, tx.ID, errTimeout) })
	case action.Scan != nil:
		scan := *action.Scan
		o.callTable(func() func() []overseer.Action {
			rows, err := o.sim.Platform.Table().Scan(context.Background(), scan.Prefix, scan.After, scan.Limit)
			return func() []overseer.Action { return o.Core.Scanned(o.sim.now, scan, rows, err) }
		}, func() []overseer.Action { return o.Core.Scanned(o.sim.now, scan, nil, errTimeout) })
	case action.Call != nil:
		o.callWorker(action.Call.Sync)
	}
}

// callTable delivers a call to the table and its response to the owner. If the
// table is unreachable, or answers after callTimeout, the owner gets the result
// of onTimeout instead.
func (o *Owner) callTable(call func() func() []overseer.Action, onTimeout func() []overseer.Action) {
	if o.tableUnreachable {
		o.sim.After(callTimeout, func() { o.runOrDefer(func() { o.perform(onTimeout()) }) })
		return
	}
	o.sim.After(o.sim.TableDelay, func() {
		answer := call()
		if 2*o.sim.TableDelay > callTimeout {
			answer = onTimeout
		}
		o.sim.After(min(o.sim.TableDelay, callTimeout), func() { o.runOrDefer(func() { o.perform(answer()) }) })
	})
}

func (o *Owner) callWorker(s placer.Sync) {
	cw := o.sim.workerAt(s.Worker)
	if o.unreachableWorkers[s.Worker] || !cw.alive {
		o.sim.After(callTimeout, func() {
			o.runOrDefer(func() { o.perform(o.Core.Called(o.sim.now, s, placer.Report{}, errTimeout)) })
		})
		return
	}
	// One call in 50 is delayed by up to 3 s, and one response in 100 is lost.
	delay := callDelay
	if o.sim.rnd.IntN(50) == 0 {
		delay += time.Duration(o.sim.rnd.Int64N(int64(3 * time.Second)))
	}
	worker := cw.Worker
	o.sim.After(delay, func() {
		if !cw.alive || cw.Worker != worker {
			o.perform(o.Core.Called(o.sim.now, s, placer.Report{}, errTimeout))
			return
		}
		report, err := worker.Sync(o.sim.clockMillis(cw), s)
		if o.sim.rnd.IntN(100) == 0 {
			err = errTimeout
		}
		o.sim.After(callDelay, func() { o.runOrDefer(func() { o.perform(o.Core.Called(o.sim.now, s, report, err)) }) })
	})
}

func (sim *CellSimulation) workerAt(address string) *CellWorker {
	for _, cw := range sim.Workers {
		if cw.Address == address {
			return cw
		}
	}
	return nil
}

// Alive reports whether the instance has not been killed.
func (cw *CellWorker) Alive() bool {
	return cw.alive
}

// Alive reports whether the process has not been killed.
func (o *Owner) Alive() bool {
	return o.alive
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
