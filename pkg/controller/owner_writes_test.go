package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/clocker"
	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// ownerHarness drives an entry that owns the cell. The test answers its writes.
type ownerHarness struct {
	t       *testing.T
	entry   *Entry
	now     time.Time
	version uint64
}

func newOwnerHarness(t *testing.T) *ownerHarness {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h := &ownerHarness{
		t:   t,
		now: start,
		entry: New(configurer.Fleet{
			Link:         self,
			LongestLease: publisher.Duration(6 * time.Second),
		}, Dependencies{
			Log:    hclog.NewNullLogger(),
			Assert: asserter.New(func(name string, _ ...any) { t.Errorf("invariant %s broken", name) }),
			Clock:  clocker.New(),
			// The answers of this store are never read.
			Store: storer.RowStore{
				Commit: func(context.Context, storer.Change) (uint64, error) { return 0, context.Canceled },
				Scan: func(context.Context, string, string, string) (storer.Page, error) {
					return storer.Page{}, context.Canceled
				},
			},
		}),
		version: 10,
	}
	e := h.entry
	e.group = &errgroup.Group{}
	e.ctx = ctx
	t.Cleanup(func() { assert.NilError(t, e.group.Wait()) })
	e.cellChanged(h.now, nil)
	e.manageCell(h.now)
	h.confirm()
	e.cellLoaded(h.now, cellRows{
		epoch: e.owner.lease.Epoch(),
	}, nil)
	assert.Assert(t, e.owner.cell != nil)
	return h
}

// confirm confirms the pending write.
func (h *ownerHarness) confirm() {
	h.t.Helper()
	h.version++
	h.answer(nil)
}

// answer answers the pending write.
func (h *ownerHarness) answer(err error) {
	h.t.Helper()
	w := h.entry.owner.write
	assert.Assert(h.t, w != nil, "no write is pending")
	h.entry.writeAnswered(h.now, w, h.version, err)
}

// addJob lets the entry read the row of a job.
func (h *ownerHarness) addJob(id string, steps ...scheduler.Step) {
	h.entry.jobsChanged(h.now, []storer.PartitionedRow{{
		Key:     jobKey(id),
		Version: h.version,
		Value: storer.EncodeCBOR(scheduler.Spec{
			ID:    id,
			Steps: steps,
		}),
	}})
}

// addCancelledJobs adds jobs whose progress rows must be written.
func (h *ownerHarness) addCancelledJobs(count int) {
	for i := range count {
		id := fmt.Sprintf("job-%d", i)
		h.addJob(id, scheduler.Step{
			Count: 1,
		})
		h.entry.jobsChanged(h.now, []storer.PartitionedRow{{
			Key:     cancelKey(id),
			Version: h.version,
		}})
	}
}

func entries(c storer.Change) int {
	return len(c.Expects) + len(c.Puts) + len(c.Removes)
}

// The store refuses a transaction with more entries each time that it is sent, so
// the owner would never write again.
func TestWritesHaveNoMoreEntriesThanAllowed(t *testing.T) {
	t.Run("with many changed jobs and many learned models", func(t *testing.T) {
		h := newOwnerHarness(t)
		h.entry.owner.cell.LoadModels(manyModels(40, 1))
		h.addCancelledJobs(200)
		written := 0
		for range 5 {
			h.now = h.now.Add(2 * modelWriteInterval)
			h.entry.manageCell(h.now)
			w := h.entry.owner.write
			written += len(w.commit.Rows)
			assert.Assert(t, entries(w.change) <= storer.MaxChangeEntries, "%d entries", entries(w.change))
			h.confirm()
		}
		assert.Equal(t, written, 200)
	})
	t.Run("with many orphaned rows and many learned models", func(t *testing.T) {
		h := newOwnerHarness(t)
		h.entry.owner.cell.LoadModels(manyModels(80, 1))
		for i := range 2 * sweepLimit {
			h.entry.cache.setProgress(fmt.Sprintf("job-%d", i), scheduler.Progress{
				State:         scheduler.StateCompleted,
				EndedAtMillis: 1,
			}, 3)
		}
		h.now = h.now.Add(2 * modelWriteInterval)
		h.entry.manageCell(h.now)
		w := h.entry.owner.write
		assert.Equal(t, len(w.orphans), sweepLimit)
		assert.Assert(t, entries(w.change) <= storer.MaxChangeEntries, "%d entries", entries(w.change))
	})
}

// A transaction that the store rejects each time must not end all writes.
func TestRejectedWriteBlocksNoOther(t *testing.T) {
	const bad = "job-17"
	h := newOwnerHarness(t)
	h.addCancelledJobs(30)
	written := map[string]bool{}
	for range 40 {
		h.now = h.now.Add(resendDelay)
		h.entry.manageCell(h.now)
		w := h.entry.owner.write
		if w == nil {
			continue
		}
		err := error(nil)
		for _, row := range w.commit.Rows {
			if row.ID == bad {
				err = &storer.RejectedError{
					Status: 400,
				}
			}
		}
		if err != nil {
			h.answer(err)
			continue
		}
		for _, row := range w.commit.Rows {
			written[row.ID] = true
		}
		h.confirm()
	}
	assert.Equal(t, len(written), 29)
	assert.Assert(t, h.entry.owner.lease.Valid(h.now), "the lease is renewed")
}

// A job whose progress can never be stored must be refused before it is stored.
func TestJobOfTooManyTasksIsNotSubmitted(t *testing.T) {
	h := newOwnerHarness(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := h.entry.Submit(ctx, scheduler.Spec{
		ID: "j",
		Steps: []scheduler.Step{{
			Count: 10_000,
		}},
	})
	var invalid *publisher.FieldError
	assert.Assert(t, errors.As(err, &invalid), "%v", err)
}

// orphan adds the progress row of a job that was removed long ago to the cache.
func (h *ownerHarness) orphan(id string) {
	h.entry.cache.setProgress(id, scheduler.Progress{
		State:         scheduler.StateCompleted,
		EndedAtMillis: 1,
	}, 3)
}

// An owner that always has changed jobs to write must remove orphaned rows too, or they
// accumulate.
func TestOrphanedRowsAreRemovedBesideChangedJobs(t *testing.T) {
	h := newOwnerHarness(t)
	for i := range 2 * sweepLimit {
		h.orphan(fmt.Sprintf("old-%d", i))
	}
	h.addCancelledJobs(10)
	h.entry.manageCell(h.now)
	w := h.entry.owner.write
	assert.Equal(t, len(w.commit.Rows), 10)
	assert.Equal(t, len(w.orphans), sweepLimit)
	assert.Assert(t, entries(w.change) <= storer.MaxChangeEntries)
}

// A new owner that has not read all jobs must not take their progress for orphaned: without it,
// a job that has ended would run again.
func TestProgressIsNoOrphanBeforeAllJobsAreRead(t *testing.T) {
	h := newOwnerHarness(t)
	h.orphan("a")
	h.entry.owner.cell = nil
	h.now = h.now.Add(renewInterval)
	h.entry.commit(h.now)
	assert.Equal(t, len(h.entry.owner.write.orphans), 0)
}
