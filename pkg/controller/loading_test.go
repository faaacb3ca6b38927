package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// loseCell lets another entry own the cell.
func (h *ownerHarness) loseCell() {
	h.t.Helper()
	h.now = h.now.Add(renewInterval)
	h.entry.manageCell(h.now)
	h.version += 5
	h.answer(&storer.VersionMismatchError{
		Rows: []storer.PartitionedRow{{
			Key:     leaseKey(),
			Version: h.version,
			Value: storer.EncodeCBOR(leaseRow{
				Lease: leaser.Row{
					Owner: other,
					Epoch: h.entry.owner.lease.Epoch() + 1,
				},
				Address: other,
			}),
		}},
	})
	assert.Assert(h.t, h.entry.owner.cell == nil)
}

// acquireCell acquires the cell of a silent owner; its rows are then being read.
func (h *ownerHarness) acquireCell() {
	h.t.Helper()
	h.now = h.now.Add(slowAcquireAfter)
	h.entry.manageCell(h.now)
	h.confirm()
	assert.Assert(h.t, h.entry.owner.lease.Held())
}

// Rows that were read before the cell was last acquired lack what the owner in
// between has placed, so its runs would start a second time.
func TestRowsReadBeforeAcquisitionAreReadAgain(t *testing.T) {
	h := newOwnerHarness(t)
	h.loseCell()
	h.acquireCell()
	early := cellRows{
		epoch: h.entry.owner.lease.Epoch(),
	}
	h.loseCell()
	h.acquireCell()
	h.entry.cellLoaded(h.now, early, nil)
	assert.Assert(t, h.entry.owner.cell == nil)
	assert.Assert(t, h.entry.owner.loading, "the rows are read again")
	h.entry.cellLoaded(h.now, cellRows{
		epoch: h.entry.owner.lease.Epoch(),
	}, nil)
	assert.Assert(t, h.entry.owner.cell != nil)
}

// Whichever order the rows of a job are read in, its owner must know of it.
func TestJobIsKnownInAnyOrderOfRows(t *testing.T) {
	spec := scheduler.Spec{
		ID: "j",
		Steps: []scheduler.Step{{
			Count: 1,
		}},
	}
	rows := map[string]storer.PartitionedRow{
		"job": {
			Key:     jobKey("j"),
			Version: 3,
			Value:   storer.EncodeCBOR(spec),
		},
		"progress": {
			Key:     progressKey("j"),
			Version: 4,
			Value: storer.EncodeCBOR(scheduler.Progress{
				State: scheduler.StateRunning,
				Tasks: make([]scheduler.TaskProgress, 1),
			}),
		},
	}
	apply := func(h *ownerHarness, name string) {
		if name == "job" {
			h.entry.jobsChanged(h.now, []storer.PartitionedRow{rows[name]})
			return
		}
		h.entry.cellChanged(h.now, []storer.PartitionedRow{rows[name]})
	}
	for _, order := range [][]string{{"job", "progress"}, {"progress", "job"}, {"job", "job"}} {
		t.Run(order[0]+" then "+order[1], func(t *testing.T) {
			h := newOwnerHarness(t)
			for _, name := range order {
				apply(h, name)
			}
			assert.Assert(t, h.entry.owner.cell.HasJob("j"))
		})
		t.Run(order[0]+" while it loads, then "+order[1], func(t *testing.T) {
			h := newOwnerHarness(t)
			h.loseCell()
			h.acquireCell()
			apply(h, order[0])
			h.entry.cellLoaded(h.now, cellRows{
				epoch: h.entry.owner.lease.Epoch(),
			}, nil)
			apply(h, order[1])
			assert.Assert(t, h.entry.owner.cell.HasJob("j"))
		})
	}
	t.Run("after the history of the table was dropped", func(t *testing.T) {
		h := newOwnerHarness(t)
		apply(h, "job")
		h.now = h.now.Add(time.Second)
		apply(h, "job")
		apply(h, "progress")
		assert.Assert(t, h.entry.owner.cell.HasJob("j"))
	})
}

// The next owner must know the last service of a queue that was dropped.
func TestDroppedQueueKeepsItsLastService(t *testing.T) {
	h := newOwnerHarness(t)
	h.entry.deps.DecodeQueues = func(row storer.PartitionedRow) (*scheduler.Queues, error) {
		q := &scheduler.Queues{
			Version: int64(row.Version),
		}
		if len(row.Value) > 0 {
			q.List = []scheduler.Queue{{
				Name:    "checks",
				Service: string(row.Value),
			}}
		}
		return q, nil
	}
	for i, service := range []string{"polls", "moved", ""} {
		h.entry.queuesChanged(h.now, []storer.PartitionedRow{{
			Version: uint64(i + 1),
			Value:   []byte(service),
		}})
	}
	assert.Equal(t, h.entry.Queues().LastKnown("checks").Service, "moved")
}
