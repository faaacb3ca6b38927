// Package emulator provides small stand-ins for the external systems: the
// platform's table and object store, endpoints, workers and runners. Faults can
// be injected into the platform, endpoints and workers. Tests, the demo and the
// stand-in commands use them.
package emulator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// writesPerSecond and readsPerSecond are the rate limits that the platform
	// documents.
	writesPerSecond = 400
	readsPerSecond  = 2000
	// maxRecordedCommits is the number of transaction ids whose results the
	// table retains for deduplication.
	maxRecordedCommits = 1 << 16
)

// PlatformFaults are the faults that can be injected into a stand-in platform.
type PlatformFaults struct {
	// Down rejects every call before it takes effect.
	Down bool `json:"down"`
	// DelayMillis is the latency added to every call, in milliseconds.
	DelayMillis int `json:"delay-millis"`
	// LoseAnswers is the number of writes whose responses are dropped after
	// the writes have taken effect.
	LoseAnswers int `json:"lose-answers"`
}

// Platform is an in-memory table and object store with rate limits.
type Platform struct {
	mu            sync.Mutex
	faults        PlatformFaults
	rows          map[string]storer.Row
	keys          []string
	commitResults map[string]error
	commitOrder   []string
	objects       map[string][]byte
	writes        *rate.Limiter
	reads         *rate.Limiter

	// Now returns the time for the rate limiters.
	Now func() time.Time
	// Writes and Reads count the table's writes and reads that were carried
	// out.
	Writes, Reads int
}

// NewPlatform returns an empty platform with the default rate limits.
func NewPlatform() *Platform {
	return &Platform{
		rows:          map[string]storer.Row{},
		commitResults: map[string]error{},
		objects:       map[string][]byte{},
		writes:        rate.NewLimiter(writesPerSecond, writesPerSecond),
		reads:         rate.NewLimiter(readsPerSecond, readsPerSecond),
		Now:           time.Now,
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Table returns the platform's table for calls within the process.
func (p *Platform) Table() storer.Table {
	return storer.Table{
		Commit: p.commit,
		Get:    p.get,
		Scan:   p.scan,
	}
}

// Objects returns the platform's object store for calls within the process.
func (p *Platform) Objects() storer.ObjectStore {
	return storer.ObjectStore{
		Put: p.putObject,
		Get: p.getObject,
	}
}

func (p *Platform) commit(ctx context.Context, tx storer.Transaction) error {
	if err := p.admit(ctx, p.writes); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	err, known := p.commitResults[tx.ID]
	if !known {
		err = p.apply(tx)
		p.recordCommit(tx.ID, err)
	}
	p.Writes++
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return &storer.UnavailableError{
			MayHaveTakenEffect: true,
			Cause:              "the answer was lost",
		}
	}
	return err
}

// admit applies the rate limit and the faults that precede a call's effect.
func (p *Platform) admit(ctx context.Context, limiter *rate.Limiter) error {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if faults.DelayMillis > 0 {
		select {
		case <-time.After(time.Duration(faults.DelayMillis) * time.Millisecond):
		case <-ctx.Done():
			return &storer.UnavailableError{
				Cause: ctx.Err().Error(),
			}
		}
	}
	if faults.Down {
		return &storer.UnavailableError{
			Cause: "the platform is down",
		}
	}
	if !limiter.AllowN(p.Now(), 1) {
		return &storer.UnavailableError{
			Cause: "too many calls a second",
		}
	}
	return nil
}

func (p *Platform) apply(tx storer.Transaction) error {
	for _, w := range tx.Writes {
		if row := p.rows[w.Key]; row.Version != w.Expect {
			row.Key = w.Key
			return &storer.ConflictError{
				Row: row,
			}
		}
	}
	for _, w := range tx.Writes {
		p.write(w)
	}
	return nil
}

func (p *Platform) write(w storer.Write) {
	if w.CheckOnly {
		return
	}
	i, exists := slices.BinarySearch(p.keys, w.Key)
	if w.Delete {
		if exists {
			p.keys = slices.Delete(p.keys, i, i+1)
		}
		delete(p.rows, w.Key)
		return
	}
	if !exists {
		p.keys = slices.Insert(p.keys, i, w.Key)
	}
	p.rows[w.Key] = storer.Row{
		Key:     w.Key,
		Version: w.Expect + 1,
		Value:   w.Value,
	}
}

func (p *Platform) recordCommit(id string, err error) {
	p.commitResults[id] = err
	p.commitOrder = append(p.commitOrder, id)
	if len(p.commitOrder) > maxRecordedCommits {
		delete(p.commitResults, p.commitOrder[0])
		p.commitOrder = p.commitOrder[1:]
	}
}

func (p *Platform) get(ctx context.Context, key string) (storer.Row, error) {
	if err := p.admit(ctx, p.reads); err != nil {
		return storer.Row{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Reads++
	row := p.rows[key]
	row.Key = key
	return row, nil
}

func (p *Platform) scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	if err := p.admit(ctx, p.reads); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Reads++
	i, _ := slices.BinarySearch(p.keys, max(prefix, after))
	var rows []storer.Row
	for _, key := range p.keys[i:] {
		if !strings.HasPrefix(key, prefix) || len(rows) == limit {
			break
		}
		if key > after {
			rows = append(rows, p.rows[key])
		}
	}
	return rows, nil
}

func (p *Platform) putObject(ctx context.Context, name string, data []byte) error {
	if err := p.admit(ctx, p.writes); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = slices.Clone(data)
	return nil
}

func (p *Platform) getObject(ctx context.Context, name string) ([]byte, error) {
	if err := p.admit(ctx, p.reads); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.objects[name]), nil
}
