package experimenter

import (
	"context"
	"fmt"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

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

// Kill terminates an owner without releasing its lease.
func (o *Owner) Kill() {
	o.alive = false
}

// ReplaceOwner replaces a killed owner by a new process without state.
func (sim *CellSimulation) ReplaceOwner(i int) {
	if sim.Owners[i].alive {
		return
	}
	sim.Owners[i] = sim.newOwner(i, sim.addresses())
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

// Alive reports whether the process has not been killed.
func (o *Owner) Alive() bool {
	return o.alive
}
