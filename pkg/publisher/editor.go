package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// editTimeout is the timeout of one edit or of one row written to the audit
	// trail, including its retries.
	editTimeout = 5 * time.Second
	// maxCommitAttempts limits the attempts of one edit: edits of other
	// documents conflict with it over the sequence row of the document log.
	maxCommitAttempts = 16
	// scanLimit is the largest number of rows that one scan returns.
	scanLimit = 100

	sequenceKey = "document-sequence"
)

// Edit is an operator's change to one document.
type Edit struct {
	Service string
	// Base is the version that the edit is based on; 0 for a new document.
	Base uint64
	Text string
	Who  string
}

// StaleEditError reports that the document has changed since the edit's base
// version. Current is the version in force.
type StaleEditError struct {
	Base    uint64
	Current framer.Document
}

// Error implements error.
func (e *StaleEditError) Error() string {
	return fmt.Sprintf("the edit is based on version %d of %s, but version %d is in force; compare them and edit again",
		e.Base, e.Current.Service, e.Current.Version)
}

// AuditRow is one row of the audit trail.
type AuditRow struct {
	At      time.Time `json:"at"`
	Who     string    `json:"who"`
	What    string    `json:"what"`
	Subject string    `json:"subject"`
	From    string    `json:"from"`
	To      string    `json:"to"`
	Why     string    `json:"why,omitempty"`
}

// storedDocument is the value of a document row and of a history row.
type storedDocument struct {
	Text string    `json:"text"`
	Who  string    `json:"who"`
	At   time.Time `json:"at"`
}

// logEntry is the value of a row of the document log.
type logEntry struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
}

// Editor stores documents in the table. It is safe for concurrent use.
type Editor struct {
	table     storer.Table
	committer *storer.Committer
}

// NewEditor returns an editor that uses the table.
func NewEditor(table storer.Table) *Editor {
	return &Editor{
		table:     table,
		committer: storer.NewCommitter(table),
	}
}

// Apply validates and stores an edit. It returns the accepted document, or a
// *FieldError, a *StaleEditError or a *storer.UnavailableError.
func (e *Editor) Apply(ctx context.Context, now time.Time, edit Edit) (framer.Document, error) {
	doc, err := Parse(edit.Text)
	if err != nil {
		return framer.Document{}, err
	}
	if doc.Service != edit.Service {
		return framer.Document{}, &FieldError{
			Field:   "service",
			Value:   doc.Service,
			Allowed: edit.Service,
		}
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	for range maxCommitAttempts {
		err := e.commit(ctx, now, edit)
		var conflict *storer.ConflictError
		switch {
		case err == nil:
			return framer.Document{
				Service: edit.Service,
				Version: edit.Base + 1,
				Text:    edit.Text,
			}, nil
		case !errors.As(err, &conflict):
			return framer.Document{}, err
		case conflict.Row.Key == documentKey(edit.Service):
			return framer.Document{}, staleEditError(edit, conflict.Row)
		}
	}
	return framer.Document{}, &storer.UnavailableError{
		Cause: "too many edits at once; try again",
	}
}

// staleEditError returns a *StaleEditError with the document of the row, or
// the error of decoding it.
func staleEditError(edit Edit, row storer.Row) error {
	var current storedDocument
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return errors.Wrap(err, "decoding a document's row")
		}
	}
	return &StaleEditError{
		Base: edit.Base,
		Current: framer.Document{
			Service: edit.Service,
			Version: row.Version,
			Text:    current.Text,
		},
	}
}

// commit writes the document, its history row, its log row and its audit row
// in one transaction.
func (e *Editor) commit(ctx context.Context, now time.Time, edit Edit) error {
	sequence, err := e.table.Get(ctx, sequenceKey)
	if err != nil {
		return err
	}
	version := edit.Base + 1
	stored := storer.EncodeJSON(storedDocument{
		Text: edit.Text,
		Who:  edit.Who,
		At:   now,
	})
	return e.committer.Commit(ctx, storer.Transaction{
		ID: uuid.NewString(),
		Writes: []storer.Write{
			{
				Key:    documentKey(edit.Service),
				Expect: edit.Base,
				Value:  stored,
			},
			{
				Key:   fmt.Sprintf("document-history/%s/%012d", edit.Service, version),
				Value: stored,
			},
			{
				Key:    sequenceKey,
				Expect: sequence.Version,
			},
			{
				Key: logKey(sequence.Version + 1),
				Value: storer.EncodeJSON(logEntry{
					Service: edit.Service,
					Version: version,
				}),
			},
			{
				Key: AuditKey(now, fmt.Sprintf("%s/%d", edit.Service, version)),
				Value: storer.EncodeJSON(AuditRow{
					At:      now,
					Who:     edit.Who,
					What:    "document",
					Subject: edit.Service,
					From:    fmt.Sprint(edit.Base),
					To:      fmt.Sprint(version),
				}),
			},
		},
	})
}

// ChangedSince returns the documents that were accepted after a cursor in the log,
// and the next cursor. It reads at most scanLimit log rows.
func (e *Editor) ChangedSince(ctx context.Context, cursor uint64) ([]framer.Document, uint64, error) {
	rows, err := e.table.Scan(ctx, "document-log/", logKey(cursor), scanLimit)
	if err != nil {
		return nil, cursor, err
	}
	changed := map[string]bool{}
	for _, row := range rows {
		var entry logEntry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			return nil, cursor, errors.Wrap(err, "decoding the document log")
		}
		changed[entry.Service] = true
	}
	var documents []framer.Document
	for service := range changed {
		doc, err := e.load(ctx, service)
		if err != nil {
			return nil, cursor, err
		}
		documents = append(documents, doc)
	}
	return documents, cursor + uint64(len(rows)), nil
}

// History returns the versions of a document, oldest first, at most scanLimit.
func (e *Editor) History(ctx context.Context, service string) ([]framer.Document, error) {
	rows, err := e.table.Scan(ctx, "document-history/"+service+"/", "", scanLimit)
	if err != nil {
		return nil, err
	}
	documents := make([]framer.Document, 0, len(rows))
	for i, row := range rows {
		doc, err := decodeDocument(service, row)
		if err != nil {
			return nil, err
		}
		doc.Version = uint64(i + 1)
		documents = append(documents, doc)
	}
	return documents, nil
}

// RecordAudit adds a row to the audit trail.
func (e *Editor) RecordAudit(ctx context.Context, auditRow AuditRow) error {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	id := uuid.NewString()
	return e.committer.Commit(ctx, storer.Transaction{
		ID: id,
		Writes: []storer.Write{{
			Key:   AuditKey(auditRow.At, id),
			Value: storer.EncodeJSON(auditRow),
		}},
	})
}

// Audit returns the rows of the audit trail after a key, oldest first, at most
// scanLimit. An empty key starts at the beginning.
func (e *Editor) Audit(ctx context.Context, after string) ([]AuditRow, error) {
	rows, err := e.table.Scan(ctx, "audit/", after, scanLimit)
	if err != nil {
		return nil, err
	}
	trail := make([]AuditRow, 0, len(rows))
	for _, row := range rows {
		var auditRow AuditRow
		if err := json.Unmarshal(row.Value, &auditRow); err != nil {
			return nil, errors.Wrap(err, "decoding the audit trail")
		}
		trail = append(trail, auditRow)
	}
	return trail, nil
}

func (e *Editor) load(ctx context.Context, service string) (framer.Document, error) {
	row, err := e.table.Get(ctx, documentKey(service))
	if err != nil {
		return framer.Document{}, err
	}
	return decodeDocument(service, row)
}

func decodeDocument(service string, row storer.Row) (framer.Document, error) {
	var stored storedDocument
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return framer.Document{}, errors.Wrap(err, "decoding a document's row")
	}
	return framer.Document{
		Service: service,
		Version: row.Version,
		Text:    stored.Text,
	}, nil
}

// AuditKey returns the key of an audit row. Keys sort by time; id
// distinguishes rows of the same time.
func AuditKey(now time.Time, id string) string {
	return fmt.Sprintf("audit/%020d/%s", now.UnixNano(), id)
}

func documentKey(service string) string {
	return "document/" + service
}

func logKey(sequence uint64) string {
	return fmt.Sprintf("document-log/%012d", sequence)
}
