package controller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// watchTimeout is how long the store keeps a question for changes; short,
	// so that a connection that went silent is noticed.
	watchTimeout = time.Second
	// watchRetryDelay is the wait after a question that failed.
	watchRetryDelay = 200 * time.Millisecond
)

// tableWatcher keeps up with the changes of one table.
type tableWatcher struct {
	log        hclog.Logger
	store      storer.RowStore
	table      string
	partitions []string
	// interval is the least time between two questions; it may change.
	interval func() time.Duration
	// apply takes rows, in order; it is called on the follower's goroutine.
	apply func(rows []storer.PartitionedRow)
	// onContact is told whether the store answered.
	onContact func(ok bool)
}

// run follows until ctx is done.
func (f *tableWatcher) run(ctx context.Context) {
	after, read := uint64(0), false
	lost := false
	for ctx.Err() == nil {
		if !read {
			version, err := f.readAll(ctx)
			f.recordResult(&lost, err)
			if err != nil {
				sleep(ctx, watchRetryDelay)
				continue
			}
			after, read = version, true
		}
		page, err := f.store.Watch(ctx, f.table, after, watchTimeout)
		var compacted *storer.CompactedError
		if errors.As(err, &compacted) {
			f.log.Info("table read anew", "table", f.table, "cause", err)
			read = false
			continue
		}
		f.recordResult(&lost, err)
		if err != nil {
			sleep(ctx, watchRetryDelay)
			continue
		}
		after = max(after, page.Version)
		if len(page.Rows) > 0 {
			f.apply(page.Rows)
			sleep(ctx, f.interval())
		}
	}
}

// recordResult logs the loss and the return of the store, once each.
func (f *tableWatcher) recordResult(lost *bool, err error) {
	f.onContact(err == nil)
	if err != nil && !*lost {
		f.log.Warn("table out of reach", "table", f.table, "error", err)
	}
	if err == nil && *lost {
		f.log.Info("table within reach again", "table", f.table)
	}
	*lost = err != nil
}

// readAll reads the table and returns the version to follow from.
func (f *tableWatcher) readAll(ctx context.Context) (uint64, error) {
	page, err := f.store.ScanPartitions(ctx, f.table, f.partitions)
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
