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
	// orderWatchTimeout replaces it for the operator table if starts after an order
	// to drain are bounded: each reply shows that there is no newer order.
	watchTimeout      = time.Second
	orderWatchTimeout = 400 * time.Millisecond
	// watchRetryDelay is the delay after a request that failed.
	watchRetryDelay = 200 * time.Millisecond
)

// tableWatcher reads one table and then watches it for changes.
type tableWatcher struct {
	log        hclog.Logger
	now        func() time.Time
	store      storer.RowStore
	table      string
	partitions []string
	// delay returns how long to wait after a reply with changes before the next
	// watch request. It is called each time, since the delay may change.
	delay func() time.Duration
	// timeout is how long the store may delay the reply to a watch request.
	timeout time.Duration
	// apply receives rows in order, on the goroutine of run: changed ones, or the
	// whole table if whole is set. Rows that the table lacks then are gone.
	apply func(rows []storer.PartitionedRow, whole bool)
	// readAsOf, which may be nil, is called once apply has received all changes up
	// to a time.
	readAsOf func(at time.Time)
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
		sentAt := w.now()
		page, err := w.store.Watch(ctx, w.table, after, w.timeout)
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
			w.apply(page.Rows, false)
		}
		w.recordReading(watchedUntil(sentAt, w.now(), w.timeout, len(page.Rows) > 0))
		if len(page.Rows) > 0 {
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
	sentAt := w.now()
	page, err := w.store.ScanPartitions(ctx, w.table, w.partitions)
	if err != nil {
		return 0, err
	}
	w.apply(page.Rows, true)
	w.recordReading(sentAt)
	return page.Version, nil
}

// recordReading reports that all changes up to a time were read.
func (w *tableWatcher) recordReading(at time.Time) {
	if w.readAsOf != nil {
		w.readAsOf(at)
	}
}

// watchedUntil returns up to when the reply to a watch request shows all changes. One
// without a change was delayed until the timeout.
func watchedUntil(sentAt, repliedAt time.Time, timeout time.Duration, changed bool) time.Time {
	if !changed && repliedAt.Sub(sentAt) >= timeout {
		return sentAt.Add(timeout)
	}
	return sentAt
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
