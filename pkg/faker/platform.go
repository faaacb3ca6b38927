// Package faker holds the small stand-ins for the outside systems: the
// platform's table and object store, endpoints and workers, each with faults
// that can be switched on. Tests and the demo use them.
package faker

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
	// writesPerSecond and readsPerSecond are the platform's stated limits.
	writesPerSecond = 400
	readsPerSecond  = 2000
	// rememberedCommits bounds the transaction ids that the table remembers.
	rememberedCommits = 1 << 16
)

// PlatformFaults are the faults that a stand-in platform can show.
type PlatformFaults struct {
	// Down refuses every call before it takes effect.
	Down bool `json:"down"`
	// DelayMillis is added to every call.
	DelayMillis int `json:"delay-millis"`
	// LoseAnswers drops the answers of that many writes after their effect.
	LoseAnswers int `json:"lose-answers"`
}

// Platform is a table and an object store in memory.
type Platform struct {
	mu        sync.Mutex
	faults    PlatformFaults
	rows      map[string]storer.Row
	keys      []string
	committed map[string]error
	order     []string
	objects   map[string][]byte
	writes    *rate.Limiter
	reads     *rate.Limiter

	// Now is the clock of the limits.
	Now func() time.Time
	// Writes and Reads count the calls that were carried out.
	Writes, Reads int
}

// NewPlatform returns an empty platform with its limits.
func NewPlatform() *Platform {
	return &Platform{
		rows:      map[string]storer.Row{},
		committed: map[string]error{},
		objects:   map[string][]byte{},
		writes:    rate.NewLimiter(writesPerSecond, writesPerSecond),
		reads:     rate.NewLimiter(readsPerSecond, readsPerSecond),
		Now:       time.Now,
	}
}

// SetFaults switches faults on and off.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Table returns the platform's table without a network between.
func (p *Platform) Table() storer.Table {
	return storer.Table{
		Commit: p.commit,
		Get:    p.get,
		Scan:   p.scan,
	}
}

// Objects returns the platform's object store without a network between.
func (p *Platform) Objects() storer.Objects {
	return storer.Objects{
		Put: p.putObject,
		Get: p.getObject,
	}
}

func (p *Platform) commit(ctx context.Context, tx storer.Transaction) error {
	if err := p.enter(ctx, p.writes); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	err, known := p.committed[tx.ID]
	if !known {
		err = p.apply(tx)
		p.remember(tx.ID, err)
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

// enter applies the limits and the faults that come before any effect.
func (p *Platform) enter(ctx context.Context, limit *rate.Limiter) error {
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
	if !limit.AllowN(p.Now(), 1) {
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
	at, exists := slices.BinarySearch(p.keys, w.Key)
	if w.Delete {
		if exists {
			p.keys = slices.Delete(p.keys, at, at+1)
		}
		delete(p.rows, w.Key)
		return
	}
	if !exists {
		p.keys = slices.Insert(p.keys, at, w.Key)
	}
	p.rows[w.Key] = storer.Row{
		Key:     w.Key,
		Version: w.Expect + 1,
		Value:   w.Value,
	}
}

func (p *Platform) remember(id string, err error) {
	p.committed[id] = err
	p.order = append(p.order, id)
	if len(p.order) > rememberedCommits {
		delete(p.committed, p.order[0])
		p.order = p.order[1:]
	}
}

func (p *Platform) get(ctx context.Context, key string) (storer.Row, error) {
	if err := p.enter(ctx, p.reads); err != nil {
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
	if err := p.enter(ctx, p.reads); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Reads++
	at, _ := slices.BinarySearch(p.keys, max(prefix, after))
	var rows []storer.Row
	for _, key := range p.keys[at:] {
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
	if err := p.enter(ctx, p.writes); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = slices.Clone(data)
	return nil
}

func (p *Platform) getObject(ctx context.Context, name string) ([]byte, error) {
	if err := p.enter(ctx, p.reads); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.objects[name]), nil
}
