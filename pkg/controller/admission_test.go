package controller

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/clocker"
	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/estimator"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// overloadedEntry is an entry that has read that queue q is overloaded. Its store
// answers with row and err, and counts commits.
type overloadedEntry struct {
	*Entry
	row     storer.PartitionedRow
	err     error
	commits int
}

func newOverloadedEntry(t *testing.T) *overloadedEntry {
	t.Helper()
	o := &overloadedEntry{}
	o.Entry = New(configurer.Fleet{
		Link: self,
	}, Dependencies{
		Log:   hclog.NewNullLogger(),
		Clock: clocker.New(),
		Store: storer.RowStore{
			Get: func(context.Context, storer.Key) (storer.PartitionedRow, error) { return o.row, o.err },
			Commit: func(context.Context, storer.Change) (uint64, error) {
				o.commits++
				return 1, o.err
			},
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return o.loop.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, group.Wait())
	})
	now := o.clock.Now()
	o.admission.observe(now, 5, estimator.Report{})
	o.admission.observe(now, 6, estimator.Report{
		Queues: []estimator.Queue{{
			Name:        "q",
			WaitMillis:  30_000,
			BoundMillis: 12_000,
			Refusing:    true,
		}},
	})
	return o
}

// assertSubmitted submits a job, and checks the reason of its refusal, "" if it has
// none, and how often the store was asked to commit it.
func (o *overloadedEntry) assertSubmitted(t *testing.T, reason string, commits int) {
	t.Helper()
	err := o.Submit(t.Context(), scheduler.Spec{
		ID:    "j",
		Queue: "q",
		Steps: []scheduler.Step{{
			Count: 1,
		}},
	})
	var refused *NotAcceptedError
	if reason == "" {
		assert.NilError(t, err)
	} else {
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.Equal(t, refused.Reason, reason)
	}
	assert.Equal(t, o.commits, commits)
}

// Guards against accepted jobs that are refused when they are submitted again, and
// against refusals of jobs that may run.
func TestOverloadedEntryRefusesOnlyUnknownJobs(t *testing.T) {
	t.Run("a new job is refused, and accepted later", func(t *testing.T) {
		o := newOverloadedEntry(t)
		o.assertSubmitted(t, estimator.ReasonOverload, 0)
		assert.Equal(t, o.Metrics().RefusedFor[estimator.ReasonOverload], int64(1))
		o.admission.observe(o.clock.Now(), 7, estimator.Report{})
		o.assertSubmitted(t, "", 1)
	})
	t.Run("a job that another entry committed", func(t *testing.T) {
		o := newOverloadedEntry(t)
		o.row = storer.PartitionedRow{
			Key:     jobKey("j"),
			Version: 3,
			Value: storer.EncodeCBOR(scheduler.Spec{
				ID: "j",
			}),
		}
		o.assertSubmitted(t, "", 0)
	})
	t.Run("a job whose earlier submission may be committed", func(t *testing.T) {
		o := newOverloadedEntry(t)
		o.admission.begin("j")
		o.assertSubmitted(t, "", 1)
		o.admission.end(o.clock.Now(), "j", true)
		o.assertSubmitted(t, "", 1)
	})
	t.Run("the store is down", func(t *testing.T) {
		o := newOverloadedEntry(t)
		o.err = &storer.RejectedError{
			Status: 400,
		}
		o.assertSubmitted(t, o.err.Error(), 1)
	})
}

// Guards against refusals by the estimate of an owner that is paused, by one that was
// read first and may be of any age, and after the loss of the owner.
func TestEntryKnowsHowOldAnEstimateIs(t *testing.T) {
	var a admission
	refuses := func(now time.Time) bool {
		return a.view.Load().Refuse(now, &estimator.Job{
			Queue: "q",
			Waits: true,
		}) != nil
	}
	report := estimator.Report{
		Queues: []estimator.Queue{{
			Name:     "q",
			Refusing: true,
		}},
	}
	now := time.Unix(1000, 0)
	assert.Assert(t, !refuses(now), "an entry that was just started")
	a.observe(now, 5, report)
	assert.Assert(t, !refuses(now), "a row that may be old")
	a.observe(now.Add(time.Second), 6, report)
	assert.Assert(t, refuses(now.Add(time.Second)))
	a.observe(now.Add(4*time.Second), 6, report)
	assert.Assert(t, !refuses(now.Add(4*time.Second)), "the owner is lost or paused")
	a.observe(now.Add(9*time.Second), 7, report)
	assert.Assert(t, !refuses(now.Add(9*time.Second)), "a row that may be as old as the one before")
	a.observe(now.Add(10*time.Second), 8, estimator.Report{})
	assert.Assert(t, !refuses(now.Add(10*time.Second)), "the next owner has no estimate yet")
}

// publishedLoad returns the estimates in the pending write.
func (h *ownerHarness) publishedLoad() estimator.Report {
	h.t.Helper()
	row, err := decodeLease(storer.PartitionedRow{
		Version: 1,
		Value:   h.entry.owner.write.change.Puts[0].Value,
	})
	assert.NilError(h.t, err)
	return row.Load
}

// Guards against an owner that publishes no estimates, or those of a time before it
// released the cell.
func TestOwnerPublishesWhatRunnersCanHold(t *testing.T) {
	h := newOwnerHarness(t)
	h.entry.owner.cell.HandleReport(h.now, "agent", framer.Report{
		Epoch: 1,
		Runner: framer.RunnerInfo{
			Address: "agent",
			Key: framer.RunnerKey{
				ID: "r",
			},
			Service:         "polls",
			ProcessorMillis: 2000,
		},
		ClockMillis: 1,
		Listed:      true,
	})
	write := func() estimator.Report {
		h.now = h.now.Add(renewInterval)
		h.entry.manageCell(h.now)
		return h.publishedLoad()
	}
	assert.Equal(t, len(write().Runners), 0, "runners of an owner that was just started")
	h.confirm()
	var last estimator.Report
	for range 30 {
		last = write()
		h.confirm()
	}
	assert.Equal(t, len(last.Runners), 1)
	assert.Equal(t, last.Runners[0].ProcessorMillis, int64(2000))
	h.entry.owner.leaving = true
	assert.Equal(t, len(write().Runners), 0, "estimates of a former owner")
}
