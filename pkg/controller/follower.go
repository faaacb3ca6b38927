package controller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// followWait is how long the store keeps a question for changes; short,
	// so that a connection that went silent is noticed.
	followWait = time.Second
	// followRetry is the wait after a question that failed.
	followRetry = 200 * time.Millisecond
)

// follower keeps up with the changes of one table.
type follower struct {
	log   hclog.Logger
	store storer.RowStore
	table string
	parts []string
	// pace is the least time between two questions; it may change.
	pace func() time.Duration
	// apply takes rows, in order; it is called on the follower's goroutine.
	apply func(rows []storer.PartitionedRow)
	// contact is told whether the store answered.
	contact func(ok bool)
}

// run follows until ctx is done.
func (f *follower) run(ctx context.Context) {
	after, read := uint64(0), false
	lost := false
	for ctx.Err() == nil {
		if !read {
			version, err := f.readAll(ctx)
			f.note(&lost, err)
			if err != nil {
				sleep(ctx, followRetry)
				continue
			}
			after, read = version, true
		}
		page, err := f.store.Watch(ctx, f.table, after, followWait)
		var compacted *storer.CompactedError
		if errors.As(err, &compacted) {
			f.log.Info("table read anew", "table", f.table, "cause", err)
			read = false
			continue
		}
		f.note(&lost, err)
		if err != nil {
			sleep(ctx, followRetry)
			continue
		}
		after = max(after, page.Version)
		if len(page.Rows) > 0 {
			f.apply(page.Rows)
			sleep(ctx, f.pace())
		}
	}
}

// note logs the loss and the return of the store, once each.
func (f *follower) note(lost *bool, err error) {
	f.contact(err == nil)
	if err != nil && !*lost {
		f.log.Warn("table out of reach", "table", f.table, "error", err)
	}
	if err == nil && *lost {
		f.log.Info("table within reach again", "table", f.table)
	}
	*lost = err != nil
}

// readAll reads the table and returns the version to follow from.
func (f *follower) readAll(ctx context.Context) (uint64, error) {
	page, err := f.store.ScanPartitions(ctx, f.table, f.parts)
	if err != nil {
		return 0, err
	}
	f.apply(page.Rows)
	return page.Version, nil
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
