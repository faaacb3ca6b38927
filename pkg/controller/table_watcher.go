package controller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// watchTimeout is how long the store may delay the reply to a watch
	// request. It is short, so that a connection that went silent is noticed.
	watchTimeout = time.Second
	// watchRetryDelay is the delay after a request that failed.
	watchRetryDelay = 200 * time.Millisecond
)

// tableWatcher reads one table and then watches it for changes.
type tableWatcher struct {
	log        hclog.Logger
	store      storer.RowStore
	table      string
	partitions []string
	// delay returns how long to wait after a reply with changes before the next
	// watch request. It is called each time, since the delay may change.
	delay func() time.Duration
	// apply receives changed rows in order, on the goroutine of run.
	apply func(rows []storer.PartitionedRow)
	// onContact is called after each request with whether it succeeded, except
	// after a watch whose position was compacted.
	onContact func(ok bool)
}

// run watches the table until ctx is done.
func (w *tableWatcher) run(ctx context.Context) {
	after, read := uint64(0), false
	lost := false
	for ctx.Err() == nil {
		if !read {
			version, err := w.readAll(ctx)
			w.recordResult(&lost, err)
			if err != nil {
				sleep(ctx, watchRetryDelay)
				continue
			}
			after, read = version, true
		}
		page, err := w.store.Watch(ctx, w.table, after, watchTimeout)
		var compacted *storer.CompactedError
		if errors.As(err, &compacted) {
			w.log.Info("rereading table: watch position compacted", "table", w.table, "cause", err)
			read = false
			continue
		}
		w.recordResult(&lost, err)
		if err != nil {
			sleep(ctx, watchRetryDelay)
			continue
		}
		after = max(after, page.Version)
		if len(page.Rows) > 0 {
			w.apply(page.Rows)
			sleep(ctx, w.delay())
		}
	}
}

// recordResult reports the result of a request to onContact. It logs when the
// store becomes unavailable and when it is available again, once each.
func (w *tableWatcher) recordResult(lost *bool, err error) {
	w.onContact(err == nil)
	if err != nil && !*lost {
		w.log.Warn("table unavailable", "table", w.table, "error", err)
	}
	if err == nil && *lost {
		w.log.Info("table available again", "table", w.table)
	}
	*lost = err != nil
}

// readAll reads the table and returns the version to watch from.
func (w *tableWatcher) readAll(ctx context.Context) (uint64, error) {
	page, err := w.store.ScanPartitions(ctx, w.table, w.partitions)
	if err != nil {
		return 0, err
	}
	w.apply(page.Rows)
	return page.Version, nil
}

// sleep waits for d or until ctx is done.
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
