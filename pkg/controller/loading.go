package controller

import (
	"context"
	"maps"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// loadCell reads the rows of the cell in the background. The owner schedules
// nothing before they are read.
func (e *Entry) loadCell() {
	o := &e.owner
	if o.loading {
		return
	}
	o.loading = true
	epoch := o.lease.Epoch()
	e.group.Go(func() error {
		rows, err := e.readCell(e.ctx)
		rows.epoch = epoch
		e.loop.Post(func(now time.Time) { e.cellLoaded(now, rows, err) })
		return nil
	})
}

// cellRows are all rows that a new owner reads.
type cellRows struct {
	// epoch is the epoch under which the cell was owned when the read began.
	epoch   uint64
	jobs    []storer.PartitionedRow
	cell    []storer.PartitionedRow
	members []storer.PartitionedRow
}

func (e *Entry) readCell(ctx context.Context) (cellRows, error) {
	var rows cellRows
	cell, err := e.store.ScanAll(ctx, cellTable, cellPartition)
	if err != nil {
		return rows, err
	}
	jobs, err := e.store.ScanPartitions(ctx, jobTable, allJobPartitions())
	if err != nil {
		return rows, err
	}
	members, err := e.store.ScanAll(ctx, storer.MemberTable, "")
	if err != nil {
		return rows, err
	}
	return cellRows{
		jobs:    jobs.Rows,
		cell:    cell.Rows,
		members: members.Rows,
	}, nil
}

// cellLoaded builds the cell from its rows, or reads them again if the read
// failed or began before the cell was last acquired.
func (e *Entry) cellLoaded(now time.Time, rows cellRows, err error) {
	o := &e.owner
	o.loading = false
	if !o.lease.Held() {
		return
	}
	if rows.epoch != o.lease.Epoch() {
		// Another process owned the cell meanwhile and may have written rows.
		e.loadCell()
		return
	}
	if err != nil {
		e.log.Warn("cell read failed", "error", err)
		e.group.Go(func() error {
			sleep(e.ctx, resendDelay)
			e.loop.Post(func(time.Time) {
				if e.owner.lease.Held() && e.owner.cell == nil {
					e.loadCell()
				}
			})
			return nil
		})
		return
	}
	for _, row := range rows.cell {
		e.cache.applyCell(row)
	}
	for _, row := range rows.jobs {
		e.cache.applyJob(now, row)
	}
	o.cell = scheduler.NewCell(e.cellConfig())
	o.cell.SetQueues(e.queues)
	o.cell.OrdersRead(e.ordersReadAt)
	o.cell.SetOrders(now, e.orders.List())
	e.loadModels(rows.cell)
	for id := range e.cache.jobs {
		e.activate(now, id)
	}
	for _, row := range rows.members {
		e.applyMember(row)
	}
	e.linkAgents()
	e.log.Info("cell loaded", "epoch", o.lease.Epoch(), "jobs", len(e.cache.jobs), "agents", len(e.agents))
}

// cellConfig returns the configuration of a cell that was just acquired.
func (e *Entry) cellConfig() scheduler.Config {
	o := &e.owner
	return scheduler.Config{
		Epoch:           o.lease.Epoch(),
		Assert:          e.assert,
		Lease:           RunnerLease(e.cfg),
		LongestLease:    time.Duration(e.cfg.LongestLease),
		FormerLeasesEnd: o.formerLeasesEnd,
		DelayedLeases:   maps.Clone(o.delayedLeases),
		DrainWithin:     time.Duration(e.cfg.DrainWithin),
		MaxReservations: e.cfg.MaxReservations,
		ColdRuns:        e.cfg.ColdRuns,
		LogEvent: func(message string, pairs ...any) {
			e.log.Info(message, append(pairs, "epoch", o.lease.Epoch())...)
		},
	}
}

// activate adds a job to the cell, with its progress if there is any, and
// cancels it there if it is cancelled.
func (e *Entry) activate(now time.Time, id string) {
	cell := e.owner.cell
	v := e.cache.jobs[id]
	if cell == nil || v == nil || !v.hasSpec {
		return
	}
	if !cell.HasJob(id) {
		if v.progressVersion > 0 {
			cell.Load(v.seenAt, v.spec, v.progress)
		} else {
			cell.Add(v.seenAt, v.spec)
		}
	}
	if v.cancelled {
		cell.Cancel(now, id)
	}
}
