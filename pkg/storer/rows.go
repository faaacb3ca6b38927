package storer

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

// Key names a row of a platform whose tables are parted. Rows of one part can
// be changed together.
type Key struct {
	Table     string `cbor:"table"`
	Partition string `cbor:"part"`
	Name      string `cbor:"name"`
}

// PartitionedRow is a row with its version, which is taken from one counter of the
// whole store. Deleted marks a row that was deleted.
type PartitionedRow struct {
	Key     Key    `cbor:"key"`
	Version uint64 `cbor:"version"`
	Value   []byte `cbor:"value"`
	Deleted bool   `cbor:"gone,omitempty"`
}

// Expect demands a row's version; nought demands that there is no such row.
type Expect struct {
	Key     Key    `cbor:"key"`
	Version uint64 `cbor:"version"`
}

// Put writes a row.
type Put struct {
	Key   Key    `cbor:"key"`
	Value []byte `cbor:"value"`
}

// Change is a set of writes within one part that take effect together, or not
// at all when an expectation fails.
type Change struct {
	Expects []Expect `cbor:"expects"`
	Puts    []Put    `cbor:"puts"`
	Removes []Key    `cbor:"removes"`
}

// MaxChangeEntries bounds the entries of one change.
const MaxChangeEntries = 100

// Page is part of a table as of one moment, or what changed in it. Version is
// the store's counter then.
type Page struct {
	Rows    []PartitionedRow `cbor:"rows"`
	More    bool             `cbor:"more"`
	Version uint64           `cbor:"version"`
}

// RowStore is a platform's transactional store with parted tables.
type RowStore struct {
	// Commit returns the version of the rows written, a *VersionMismatchError when an
	// expectation failed, or an *UnavailableError.
	Commit func(ctx context.Context, change Change) (uint64, error)
	// Get returns a row; its version is nought if there is none.
	Get func(ctx context.Context, key Key) (PartitionedRow, error)
	// Scan returns the rows of a part from a name on.
	Scan func(ctx context.Context, table, part, from string) (Page, error)
	// Watch returns what changed in a table after a version, waiting for a
	// change if there is none yet; a *CompactedError when that is forgotten.
	Watch func(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// VersionMismatchError says that a change had no effect because a row had another
// version. Rows are the rows that were expected, as they are.
type VersionMismatchError struct {
	Rows []PartitionedRow `cbor:"rows"`
}

// Error implements error.
func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("the change expected other versions of %d rows", len(e.Rows))
}

// CompactedError says that the changes since a version are forgotten; the
// table has to be read anew.
type CompactedError struct {
	After uint64 `cbor:"after"`
}

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("the store has forgotten the changes since version %d", e.After)
}

// ScanPartitions reads several parts at once and returns their rows, part by part,
// with the lowest version that any page shows.
func (r RowStore) ScanPartitions(ctx context.Context, table string, parts []string) (Page, error) {
	pages := make([]Page, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	for i, part := range parts {
		group.Go(func() error {
			page, err := r.ScanAll(ctx, table, part)
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

// ScanAll returns all rows of a part, page by page, and the lowest version
// that the pages show.
func (r RowStore) ScanAll(ctx context.Context, table, part string) (Page, error) {
	var all Page
	from := ""
	for {
		page, err := r.Scan(ctx, table, part, from)
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
