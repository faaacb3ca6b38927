package overseer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// jobTimeout bounds how long a caller waits for its job to be committed.
const jobTimeout = 5 * time.Second

// JobNotFoundError is returned if there is no job with the id.
type JobNotFoundError struct {
	ID string
}

// Error implements error.
func (e *JobNotFoundError) Error() string {
	return fmt.Sprintf("no job has the id %q; see the list of jobs", e.ID)
}

// Jobs commits jobs to the table and reads their state. It is safe for concurrent
// use.
type Jobs struct {
	table     storer.Table
	committer *storer.Committer
}

// NewJobs returns a Jobs that uses the table.
func NewJobs(table storer.Table) *Jobs {
	return &Jobs{
		table:     table,
		committer: storer.NewCommitter(table),
	}
}

// Submit commits a job; a job whose id is in use already is not committed again.
// Once it returns nil, the job will be run or reported as failed, even if this
// process ends. A *storer.UnavailableError reports whether the job may have been
// committed.
func (j *Jobs) Submit(ctx context.Context, now time.Time, spec placer.Spec) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	err := j.committer.Commit(ctx, storer.Transaction{
		ID: uuid.NewString(),
		Writes: []storer.Write{
			{
				Key: inboxKey(spec.ID),
				Value: storer.EncodeJSON(AcceptedTask{
					Spec: spec,
					At:   now,
				}),
			},
			{
				Key:       TaskKey(spec.ID),
				CheckOnly: true,
			},
			{
				Key:       EndedKey(spec.ID),
				CheckOnly: true,
			},
		},
	})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		// The id is in use already: the same job was submitted again.
		return nil
	}
	return err
}

// Cancel requests that a job be stopped permanently. It returns a
// *JobNotFoundError if there is no such job.
func (j *Jobs) Cancel(ctx context.Context, id string) error {
	if _, err := j.Get(ctx, id); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	err := j.committer.Commit(ctx, storer.Transaction{
		ID: uuid.NewString(),
		Writes: []storer.Write{{
			Key:   cancelKey(id),
			Value: []byte("{}"),
		}},
	})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		// A cancellation of this job has been committed already.
		return nil
	}
	return err
}

// Get returns a job as stored in the table, or a *JobNotFoundError.
func (j *Jobs) Get(ctx context.Context, id string) (placer.Task, error) {
	// A row only moves from the inbox to the tasks to the ended tasks, so reading
	// in that order finds it wherever it is.
	for _, key := range []string{inboxKey(id), TaskKey(id), EndedKey(id)} {
		row, err := j.table.Get(ctx, key)
		if err != nil {
			return placer.Task{}, err
		}
		if row.Version == 0 {
			continue
		}
		if key == inboxKey(id) {
			return decodeAccepted(row)
		}
		return DecodeTask(row)
	}
	return placer.Task{}, &JobNotFoundError{
		ID: id,
	}
}

// List returns jobs of a cell whose ids follow after, sorted by id: first those that
// have not ended, then those that have, at most limit of each.
func (j *Jobs) List(ctx context.Context, cell, after string, limit int) ([]placer.Task, error) {
	var tasks []placer.Task
	for _, key := range []func(id string) string{TaskKey, EndedKey} {
		start := ""
		if after != "" {
			start = key(after)
		}
		rows, err := j.table.Scan(ctx, key(cell+"/"), start, limit)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			task, err := DecodeTask(row)
			if err != nil {
				return nil, err
			}
			tasks = append(tasks, task)
		}
	}
	return tasks, nil
}

// DecodeTask decodes a task from its row.
func DecodeTask(row storer.Row) (placer.Task, error) {
	var task placer.Task
	return task, errors.Wrap(json.Unmarshal(row.Value, &task), "decoding a task's row")
}

func decodeAccepted(row storer.Row) (placer.Task, error) {
	var accepted AcceptedTask
	if err := json.Unmarshal(row.Value, &accepted); err != nil {
		return placer.Task{}, errors.Wrap(err, "decoding an inbox row")
	}
	return placer.Task{
		Spec:       accepted.Spec,
		State:      placer.StateAccepted,
		AcceptedAt: accepted.At,
	}, nil
}
