// Package relayer reaches the platform's store also while the store turns this
// process away: calls then go through other entries that it serves.
package relayer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// hedgeAfter is how long a call waits for one way before it is also made
	// by the next.
	hedgeAfter = 300 * time.Millisecond
	// downFor is how long a way that failed counts as down.
	downFor = 1500 * time.Millisecond
	// answeringFor is how long a way that answered counts as answering.
	answeringFor = time.Second
	// slowCall is what no call takes while the store is well.
	slowCall = 150 * time.Millisecond
	// mostWays bounds the ways that one call takes.
	mostWays = 3
)

// direct is the name of the way without a peer.
const direct = ""

// Relay makes calls to the store directly or through peers. A change may reach
// the store twice; it must name what it expects or say the same again. It is
// safe for concurrent use.
type Relay struct {
	own storer.RowStore
	// via returns the store as a peer reaches it.
	via func(peer string) storer.RowStore
	now func() time.Time

	mu sync.Mutex
	// peers are the addresses of other entries.
	peers []string
	// failedAt is when each way failed last, unless it succeeded since, and
	// answeredAt when it last did.
	failedAt   map[string]time.Time
	answeredAt map[string]time.Time
	// took is how long the last direct call but long polls took.
	took time.Duration
}

// New returns a relay around the process's own way to the store.
func New(own storer.RowStore, via func(peer string) storer.RowStore, now func() time.Time) *Relay {
	return &Relay{
		own:      own,
		via:      via,
		now:      now,
		failedAt: map[string]time.Time{},

		answeredAt: map[string]time.Time{},
	}
}

// SetPeers replaces the addresses of other entries.
func (r *Relay) SetPeers(peers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = slices.Sorted(slices.Values(peers))
}

// Rows returns the store as it is reached by any way.
func (r *Relay) Rows() storer.RowStore {
	return storer.RowStore{
		Commit: r.commit,
		Get: func(ctx context.Context, key storer.Key) (storer.PartitionedRow, error) {
			return attempt(ctx, r, func(ctx context.Context, s storer.RowStore) (storer.PartitionedRow, error) {
				return s.Get(ctx, key)
			})
		},
		Scan: func(ctx context.Context, table, part, from string) (storer.Page, error) {
			return attempt(ctx, r, func(ctx context.Context, s storer.RowStore) (storer.Page, error) {
				return s.Scan(ctx, table, part, from)
			})
		},
		Watch: r.follow,
	}
}

func (r *Relay) commit(ctx context.Context, change storer.Change) (uint64, error) {
	return attempt(ctx, r, func(ctx context.Context, s storer.RowStore) (uint64, error) {
		return s.Commit(ctx, change)
	})
}

// follow waits long, so it takes one way at a time: directly unless that just
// failed. The long polls of an entry are what finds a way up again.
func (r *Relay) follow(ctx context.Context, table string, after uint64, wait time.Duration) (storer.Page, error) {
	way := r.ways()[0]
	page, err := r.store(way).Watch(ctx, table, after, wait)
	r.note(way, err)
	return page, err
}

// Down tells whether all ways to the store have just failed.
func (r *Relay) Down() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, way := range append([]string{direct}, r.peers...) {
		if !r.isDown(way) {
			return false
		}
	}
	return true
}

// DirectDown tells whether the store itself has just failed to answer.
func (r *Relay) DirectDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isDown(direct)
}

func (r *Relay) isDown(way string) bool {
	failed, ok := r.failedAt[way]
	return ok && r.now().Sub(failed) < downFor
}

// ways lists the ways to take, in order: those that are up first, and among
// these the direct one.
func (r *Relay) ways() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	up, down := []string{}, []string{}
	for _, way := range append([]string{direct}, r.peers...) {
		if r.isDown(way) {
			down = append(down, way)
		} else {
			up = append(up, way)
		}
	}
	up = append(up, down...)
	return up[:min(len(up), mostWays)]
}

func (r *Relay) store(way string) storer.RowStore {
	if way == direct {
		return r.own
	}
	return r.via(way)
}

// note books the outcome of a call by one way. Any word of the store counts
// as a success.
func (r *Relay) note(way string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	var unavailable *storer.UnavailableError
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.As(err, &unavailable) {
		r.failedAt[way] = r.now()
		return
	}
	delete(r.failedAt, way)
	r.answeredAt[way] = r.now()
}

// answered tells whether a way answered any call since a time.
func (r *Relay) answered(way string, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answeredAt[way].After(since)
}

// Slow tells whether the store answers this process, but takes long.
func (r *Relay) Slow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.took > slowCall && r.now().Sub(r.answeredAt[direct]) < answeringFor
}

// timed notes how long a call by the direct way took.
func (r *Relay) timed(way string, began time.Time) {
	if way != direct {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took = r.now().Sub(began)
}

// outcome is what a call by one way gave.
type outcome[T any] struct {
	way   string
	value T
	err   error
}

// attempt makes a call by one way after the other, each after the last failed
// or kept silent for a while, and returns the first word of the store. When ctx
// is done first, the calls on their way go on, and their ways count as down.
func attempt[T any](ctx context.Context, r *Relay, call func(ctx context.Context, s storer.RowStore) (T, error)) (T, error) {
	ways := r.ways()
	silent := map[string]bool{}
	outcomes := make(chan outcome[T], len(ways))
	var group errgroup.Group
	launch := func(way string) {
		silent[way] = true
		group.Go(func() error {
			began := r.now()
			value, err := call(ctx, r.store(way))
			r.note(way, err)
			r.timed(way, began)
			outcomes <- outcome[T]{
				way:   way,
				value: value,
				err:   err,
			}
			return nil
		})
	}
	timer := time.NewTimer(hedgeAfter)
	defer timer.Stop()
	launched, answered := 1, 0
	launch(ways[0])
	failure := &storer.UnavailableError{}
	for {
		hedge := timer.C
		if launched == len(ways) {
			hedge = nil
		}
		var next bool
		select {
		case o := <-outcomes:
			answered++
			delete(silent, o.way)
			var unavailable *storer.UnavailableError
			if !errors.As(o.err, &unavailable) {
				return o.value, o.err
			}
			failure.MayHaveTakenEffect = failure.MayHaveTakenEffect || unavailable.MayHaveTakenEffect
			failure.Cause = unavailable.Cause
			next = true
		case <-hedge:
			// A way that answers other calls is slow, and one more call by
			// another way would only slow the store further.
			next = !r.answered(ways[launched-1], r.now().Add(-hedgeAfter))
			timer.Reset(hedgeAfter)
		case <-ctx.Done():
			failure.MayHaveTakenEffect = true
			failure.Cause = "no answer in time"
			for way := range silent {
				r.note(way, failure)
			}
			var none T
			return none, failure
		}
		switch {
		case next && launched < len(ways):
			launch(ways[launched])
			launched++
			timer.Reset(hedgeAfter)
		case answered == launched:
			var none T
			return none, failure
		}
	}
}
