package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/faker"
	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// ownerTick is how often an owner's core is asked what to do.
	ownerTick = 20 * time.Millisecond
	// callDelay is the one-way delay to the table and to workers.
	callDelay = 2 * time.Millisecond
	// retention is how long owners keep the rows of ended tasks.
	retention = time.Hour
	// callTimeout is when an owner gives up a call.
	callTimeout = time.Second
)

// errTimeout is what an owner sees of a call without an answer.
var errTimeout = errors.New("no answer in time")

// CellConfig shapes a cell's world.
type CellConfig struct {
	Seed     uint64
	Owners   int
	Workers  int
	Capacity publisher.Resources
	Assert   *asserter.Asserter
	Shape    func(c *placer.Cell)
	// CommitInterval is the owners' least time between two commits.
	CommitInterval time.Duration
}

// CellWorld is a cell with its possible owners, its workers and the table, in
// virtual time.
type CellWorld struct {
	Clock
	Platform *faker.Platform
	Owners   []*Owner
	Workers  []*CellWorker
	// TableDelay is the one-way delay to the table.
	TableDelay time.Duration
	// Running holds, by task, where it runs now.
	Running map[string]map[string]bool
	// Doubled lists tasks that were seen running in two places at once.
	Doubled []string
	// Starts counts the starts of each task on workers.
	Starts map[string]int
	// StartedAt is when each task first started.
	StartedAt map[string]time.Time

	cfg         CellConfig
	rnd         *rand.Rand
	checkpoints map[string]int64
	incarnation uint64
}

// Owner is a process that may own the cell.
type Owner struct {
	Core *overseer.Core

	w       *CellWorld
	name    string
	alive   bool
	paused  bool
	pending []func()
	// noTable cuts the process from the table.
	noTable bool
	// noWorker cuts it from single workers.
	noWorker map[string]bool
}

// CellWorker is an instance that runs tasks.
type CellWorker struct {
	Address string
	Worker  *faker.Worker

	domain   string
	rack     string
	alive    bool
	bootedAt time.Time
}

// cellDomains are the failure domains of the workers, which stand perRack to a
// rack.
var cellDomains = [...]string{"quito-norte", "quito-sur", "cumbaya"}

const perRack = 3

// NewCellWorld builds a world whose cell nobody owns yet.
func NewCellWorld(cfg CellConfig) *CellWorld {
	w := &CellWorld{
		Clock:       *NewClock(),
		Platform:    faker.NewPlatform(),
		TableDelay:  callDelay,
		Running:     map[string]map[string]bool{},
		Starts:      map[string]int{},
		StartedAt:   map[string]time.Time{},
		cfg:         cfg,
		rnd:         rand.New(rand.NewPCG(cfg.Seed, 3)),
		checkpoints: map[string]int64{},
	}
	w.Platform.Now = func() time.Time { return w.now }
	var addresses []string
	for i := range cfg.Workers {
		cw := &CellWorker{
			Address: fmt.Sprintf("worker-%03d", i),
			domain:  cellDomains[i%len(cellDomains)],
			rack:    fmt.Sprintf("rack-%d", i/len(cellDomains)/perRack),
		}
		w.boot(cw)
		w.Workers = append(w.Workers, cw)
		addresses = append(addresses, cw.Address)
	}
	for i := range cfg.Owners {
		w.Owners = append(w.Owners, w.newOwner(i, addresses))
	}
	return w
}

func (w *CellWorld) newOwner(i int, workers []string) *Owner {
	w.incarnation++
	o := &Owner{
		w:        w,
		name:     fmt.Sprintf("owner-%d#%d", i, w.incarnation),
		alive:    true,
		noWorker: map[string]bool{},
	}
	o.Core = overseer.NewCore(overseer.Config{
		Self:    o.name,
		Cell:    "cell-1",
		Workers: workers,
		Assert:  w.cfg.Assert,
		Shape:   w.cfg.Shape,

		CommitInterval: w.cfg.CommitInterval,
		Retention:      retention,
	})
	w.Every(ownerTick, func() bool {
		if o.alive && !o.paused {
			o.perform(o.Core.Tick(w.now))
		}
		return o.alive
	})
	return o
}

// boot starts a worker as a new incarnation without tasks.
func (w *CellWorld) boot(cw *CellWorker) {
	w.incarnation++
	worker := faker.NewWorker(w.incarnation, cw.domain, cw.rack, w.cfg.Capacity)
	worker.PutCheckpoint = func(name string, progress int64) { w.checkpoints[name] = progress }
	worker.GetCheckpoint = func(name string) int64 { return w.checkpoints[name] }
	worker.OnStart = func(id string, _ int) { w.started(id, cw.Address) }
	worker.OnStop = func(id string, _ int) { delete(w.Running[id], cw.Address) }
	cw.Worker = worker
	cw.alive = true
	cw.bootedAt = w.now
	w.Every(100*time.Millisecond, func() bool {
		if cw.Worker == worker && cw.alive {
			worker.Advance(w.clockOf(cw))
		}
		return cw.Worker == worker && cw.alive
	})
}

func (w *CellWorld) clockOf(cw *CellWorker) int64 {
	return w.now.Sub(cw.bootedAt).Milliseconds()
}

func (w *CellWorld) started(id, address string) {
	if w.Running[id] == nil {
		w.Running[id] = map[string]bool{}
		w.StartedAt[id] = w.now
	}
	w.Running[id][address] = true
	w.Starts[id]++
	if len(w.Running[id]) > 1 {
		w.Doubled = append(w.Doubled, id)
	}
}

// KillWorker ends an instance and what runs on it.
func (w *CellWorld) KillWorker(cw *CellWorker) {
	cw.alive = false
	for _, places := range w.Running {
		delete(places, cw.Address)
	}
}

// RebootWorker brings an instance back as a new incarnation.
func (w *CellWorld) RebootWorker(cw *CellWorker) {
	if !cw.alive {
		w.boot(cw)
	}
}

// Kill ends an owner at once.
func (o *Owner) Kill() {
	o.alive = false
}

// ReplaceOwner puts a fresh process in the place of a killed one.
func (w *CellWorld) ReplaceOwner(i int) {
	if w.Owners[i].alive {
		return
	}
	var addresses []string
	for _, cw := range w.Workers {
		addresses = append(addresses, cw.Address)
	}
	w.Owners[i] = w.newOwner(i, addresses)
}

// Pause freezes an owner; answers and acts of its wait until it wakes.
func (o *Owner) Pause(d time.Duration) {
	if o.paused {
		return
	}
	o.paused = true
	o.w.After(d, func() {
		o.paused = false
		pending := o.pending
		o.pending = nil
		for _, f := range pending {
			f()
		}
	})
}

// awake runs f now, or once the owner wakes.
func (o *Owner) awake(f func()) {
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
		// An owner may be paused between deciding and sending.
		o.w.After(0, func() { o.awake(func() { o.carryOut(action) }) })
	}
}

func (o *Owner) carryOut(action overseer.Action) {
	switch {
	case action.Read != nil:
		o.table(func() func() []overseer.Action {
			row, err := o.w.Platform.Table().Get(context.Background(), overseer.CellKey("cell-1"))
			return func() []overseer.Action { return o.Core.RowRead(o.w.now, row, err) }
		}, func() []overseer.Action { return o.Core.RowRead(o.w.now, storer.Row{}, errTimeout) })
	case action.Write != nil:
		tx := action.Write.Transaction
		o.table(func() func() []overseer.Action {
			err := o.w.Platform.Table().Commit(context.Background(), tx)
			return func() []overseer.Action { return o.Core.Written(o.w.now, tx.ID, err) }
		}, func() []overseer.Action { return o.Core.Written(o.w.now, tx.ID, errTimeout) })
	case action.Scan != nil:
		scan := *action.Scan
		o.table(func() func() []overseer.Action {
			rows, err := o.w.Platform.Table().Scan(context.Background(), scan.Prefix, scan.After, scan.Limit)
			return func() []overseer.Action { return o.Core.Scanned(o.w.now, scan, rows, err) }
		}, func() []overseer.Action { return o.Core.Scanned(o.w.now, scan, nil, errTimeout) })
	case action.Call != nil:
		o.call(action.Call.Sync)
	}
}

// table carries a call to the table and its answer back; a process that is cut
// off sees only the timeout.
func (o *Owner) table(call func() func() []overseer.Action, lost func() []overseer.Action) {
	if o.noTable {
		o.w.After(callTimeout, func() { o.awake(func() { o.perform(lost()) }) })
		return
	}
	o.w.After(o.w.TableDelay, func() {
		answer := call()
		if 2*o.w.TableDelay > callTimeout {
			answer = lost
		}
		o.w.After(min(o.w.TableDelay, callTimeout), func() { o.awake(func() { o.perform(answer()) }) })
	})
}

func (o *Owner) call(s placer.Sync) {
	cw := o.w.worker(s.Worker)
	if o.noWorker[s.Worker] || !cw.alive {
		o.w.After(callTimeout, func() {
			o.awake(func() { o.perform(o.Core.Called(o.w.now, s, placer.Report{}, errTimeout)) })
		})
		return
	}
	// Some calls arrive long after they were sent, and some answers are lost.
	delay := callDelay
	if o.w.rnd.IntN(50) == 0 {
		delay += time.Duration(o.w.rnd.Int64N(int64(3 * time.Second)))
	}
	worker := cw.Worker
	o.w.After(delay, func() {
		if !cw.alive || cw.Worker != worker {
			o.perform(o.Core.Called(o.w.now, s, placer.Report{}, errTimeout))
			return
		}
		report, err := worker.Sync(o.w.clockOf(cw), s)
		if o.w.rnd.IntN(100) == 0 {
			err = errTimeout
		}
		o.w.After(callDelay, func() { o.awake(func() { o.perform(o.Core.Called(o.w.now, s, report, err)) }) })
	})
}

func (w *CellWorld) worker(address string) *CellWorker {
	for _, cw := range w.Workers {
		if cw.Address == address {
			return cw
		}
	}
	return nil
}

// Alive tells whether the instance runs.
func (cw *CellWorker) Alive() bool {
	return cw.alive
}

// Alive tells whether the process runs.
func (o *Owner) Alive() bool {
	return o.alive
}

// rowsBelow counts the table's rows whose key starts with a prefix.
func (w *CellWorld) rowsBelow(prefix string) int {
	rows, err := w.Platform.Table().Scan(context.Background(), prefix, "", 1<<20)
	if err != nil {
		return -1
	}
	return len(rows)
}
