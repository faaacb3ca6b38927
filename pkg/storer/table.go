// Package storer accesses the platform's stores: the table service, the row store
// and the object store. Each store is a struct of functions that hide the
// platform's protocol, so that another platform is supported by setting these to
// other functions.
package storer

import (
	"context"
	"fmt"
)

// Row is one row of the table. Version increases with each write; zero means
// that the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Write changes one row if its version is still Expect; an Expect of zero means
// that the row must not exist. With CheckOnly the version is only compared.
type Write struct {
	Key       string `json:"key"`
	Expect    uint64 `json:"expect"`
	Value     []byte `json:"value,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
	CheckOnly bool   `json:"check-only,omitempty"`
}

// Transaction is a set of writes that take effect atomically. A transaction sent
// again under the same ID takes effect once.
type Transaction struct {
	ID     string  `json:"id"`
	Writes []Write `json:"writes"`
}

// Table is the platform's transactional table.
type Table struct {
	// Commit returns nil if the transaction took effect, a *ConflictError if
	// a row had another version than expected, or an *UnavailableError.
	Commit func(ctx context.Context, tx Transaction) error
	// Get returns a row; its version is zero if there is none.
	Get func(ctx context.Context, key string) (Row, error)
	// Scan returns, in key order, at most limit rows whose key starts with
	// prefix and is greater than after.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// ObjectStore is the platform's object store.
type ObjectStore struct {
	Put func(ctx context.Context, name string, data []byte) error
	Get func(ctx context.Context, name string) ([]byte, error)
}

// ConflictError reports that a row's version was not the expected one and that
// the transaction had no effect. Row is the current row.
type ConflictError struct {
	Row Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on row %s: its version is %d", e.Row.Key, e.Row.Version)
}

// UnavailableError reports that the platform gave no usable answer.
type UnavailableError struct {
	// MayHaveTakenEffect is set if a write may have been executed.
	MayHaveTakenEffect bool   `cbor:"may-have-taken-effect"`
	Cause              string `cbor:"cause"`
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.MayHaveTakenEffect {
		return fmt.Sprintf("platform unavailable, the write may have taken effect: %s", e.Cause)
	}
	return fmt.Sprintf("platform unavailable: %s", e.Cause)
}
