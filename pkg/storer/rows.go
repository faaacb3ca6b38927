package storer

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

// Key identifies a row of a platform whose tables are partitioned. Rows of one
// partition can be changed atomically.
type Key struct {
	Table     string `cbor:"table"`
	Partition string `cbor:"part"`
	Name      string `cbor:"name"`
}

// PartitionedRow is a row with its version, which is taken from one counter for
// the entire store. Deleted marks a row that was deleted.
type PartitionedRow struct {
	Key     Key    `cbor:"key"`
	Version uint64 `cbor:"version"`
	Value   []byte `cbor:"value"`
	Deleted bool   `cbor:"gone,omitempty"`
}

// Expect is a precondition on a row's version; zero means that the row must not
// exist.
type Expect struct {
	Key     Key    `cbor:"key"`
	Version uint64 `cbor:"version"`
}

// Put writes a row.
type Put struct {
	Key   Key    `cbor:"key"`
	Value []byte `cbor:"value"`
}

// Change is a set of writes within one partition that take effect atomically, or
// not at all if a precondition fails.
type Change struct {
	Expects []Expect `cbor:"expects"`
	Puts    []Put    `cbor:"puts"`
	Removes []Key    `cbor:"removes"`
}

// MaxChangeEntries is the maximum number of entries of one change.
const MaxChangeEntries = 100

// Page is a portion of a table as of one time, or of its changes. Version is the
// store's counter at that time. More is set if there are further rows.
type Page struct {
	Rows    []PartitionedRow `cbor:"rows"`
	More    bool             `cbor:"more"`
	Version uint64           `cbor:"version"`
}

// RowStore is a platform's transactional store with partitioned tables.
type RowStore struct {
	// Commit returns the version of the rows written, a *VersionMismatchError
	// if a precondition failed, a *RejectedError if the change is invalid, or an
	// *UnavailableError.
	Commit func(ctx context.Context, change Change) (uint64, error)
	// Get returns a row; its version is zero if there is none.
	Get func(ctx context.Context, key Key) (PartitionedRow, error)
	// Scan returns the rows of a partition from a name on.
	Scan func(ctx context.Context, table, partition, from string) (Page, error)
	// Watch returns the changes of a table after a version, waiting for a
	// change if there is none yet. It returns a *CompactedError if the store
	// no longer has these changes.
	Watch func(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// VersionMismatchError reports that a change had no effect because a row had
// another version than expected. Rows are the current rows of the preconditions.
type VersionMismatchError struct {
	Rows []PartitionedRow `cbor:"rows"`
}

// Error implements error.
func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("the change expected other versions of %d rows", len(e.Rows))
}

// RejectedError reports that the store rejected a change, which had no effect and
// will be rejected again unless it is altered.
type RejectedError struct {
	Status int `cbor:"status"`
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the store rejected the change with status %d", e.Status)
}

// CompactedError reports that the store has compacted the changes since version
// After; the table has to be read again.
type CompactedError struct {
	After uint64 `cbor:"after"`
}

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("the store has forgotten the changes since version %d", e.After)
}

// ScanPartitions reads several partitions concurrently and returns their rows,
// partition by partition, with the lowest version of any page.
func (r RowStore) ScanPartitions(ctx context.Context, table string, partitions []string) (Page, error) {
	pages := make([]Page, len(partitions))
	group, ctx := errgroup.WithContext(ctx)
	for i, partition := range partitions {
		group.Go(func() error {
			page, err := r.ScanAll(ctx, table, partition)
			pages[i] = page
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return Page{}, err
	}
	all := pages[0]
	for _, page := range pages[1:] {
		all.Version = min(all.Version, page.Version)
		all.Rows = append(all.Rows, page.Rows...)
	}
	return all, nil
}

// ScanAll reads all rows of a partition, page by page, and returns them with the
// lowest version of the pages, which is that of the first.
func (r RowStore) ScanAll(ctx context.Context, table, partition string) (Page, error) {
	var all Page
	from := ""
	for {
		page, err := r.Scan(ctx, table, partition, from)
		if err != nil {
			return Page{}, err
		}
		if from == "" {
			all.Version = page.Version
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		from = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
	}
}
