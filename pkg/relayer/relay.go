// Package relayer keeps the platform's store reachable while the store rejects
// or does not answer this process: calls then go through peers, which are other
// entries that still reach it.
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
	// hedgeDelay is how long a call waits on one route before it is also
	// sent on the next, unless the route has answered other calls meanwhile.
	hedgeDelay = 300 * time.Millisecond
	// downPeriod is how long a route counts as down after a failure.
	downPeriod = 1500 * time.Millisecond
	// answeringPeriod is how long the direct route counts as answering after
	// an answer.
	answeringPeriod = time.Second
	// slowThreshold is the latency above which the store counts as slow; a
	// healthy store answers every call faster.
	slowThreshold = 150 * time.Millisecond
	// maxRoutes bounds the routes that one call uses.
	maxRoutes = 3
)

// direct is the name of the route without a peer.
const direct = ""

// Relay makes calls to the store directly or through peers. A change may reach
// the store twice, so it must either name the versions that it expects or be
// idempotent. It is safe for concurrent use.
type Relay struct {
	own storer.RowStore
	// throughPeer returns the store as reached through a peer.
	throughPeer func(peer string) storer.RowStore
	now         func() time.Time

	mu sync.Mutex
	// peers are the addresses of other entries.
	peers []string
	// failedAt is the time of each route's last failure, unless it has
	// answered since; answeredAt is the time of its last answer.
	failedAt   map[string]time.Time
	answeredAt map[string]time.Time
	// directLatency is the latency of the last direct call other than a long
	// poll.
	directLatency time.Duration
}

// New returns a relay. own is the store as this process reaches it directly;
// throughPeer returns the store as reached through a peer.
func New(own storer.RowStore, throughPeer func(peer string) storer.RowStore, now func() time.Time) *Relay {
	return &Relay{
		own:         own,
		throughPeer: throughPeer,
		now:         now,
		failedAt:    map[string]time.Time{},

		answeredAt: map[string]time.Time{},
	}
}

// SetPeers replaces the addresses of other entries.
func (r *Relay) SetPeers(peers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = slices.Sorted(slices.Values(peers))
}

// RowStore returns the store as reached over any route.
func (r *Relay) RowStore() storer.RowStore {
	return storer.RowStore{
		Commit: r.commit,
		Get: func(ctx context.Context, key storer.Key) (storer.PartitionedRow, error) {
			return hedgedCall(ctx, r, func(ctx context.Context, s storer.RowStore) (storer.PartitionedRow, error) {
				return s.Get(ctx, key)
			})
		},
		Scan: func(ctx context.Context, table, partition, from string) (storer.Page, error) {
			return hedgedCall(ctx, r, func(ctx context.Context, s storer.RowStore) (storer.Page, error) {
				return s.Scan(ctx, table, partition, from)
			})
		},
		Watch: r.watch,
	}
}

func (r *Relay) commit(ctx context.Context, change storer.Change) (uint64, error) {
	return hedgedCall(ctx, r, func(ctx context.Context, s storer.RowStore) (uint64, error) {
		return s.Commit(ctx, change)
	})
}

// watch is a long poll, so it uses one route at a time: the direct one unless
// that has just failed. The long polls of an entry detect that a route is up
// again.
func (r *Relay) watch(ctx context.Context, table string, after uint64, wait time.Duration) (storer.Page, error) {
	route := r.routes()[0]
	page, err := r.storeFor(route).Watch(ctx, table, after, wait)
	r.recordOutcome(route, err)
	return page, err
}

// AllRoutesDown reports whether all routes to the store have failed within downPeriod.
func (r *Relay) AllRoutesDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, route := range append([]string{direct}, r.peers...) {
		if !r.isDown(route) {
			return false
		}
	}
	return true
}

// DirectDown reports whether the direct route has failed within downPeriod.
func (r *Relay) DirectDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isDown(direct)
}

// isDown reports whether a route has failed within downPeriod and has not answered
// since. The caller must hold mu.
func (r *Relay) isDown(route string) bool {
	failed, ok := r.failedAt[route]
	return ok && r.now().Sub(failed) < downPeriod
}

// routes returns at most maxRoutes routes in the order in which to use them:
// routes that are up before those that are down, and among each the direct one
// first.
func (r *Relay) routes() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	up, down := []string{}, []string{}
	for _, route := range append([]string{direct}, r.peers...) {
		if r.isDown(route) {
			down = append(down, route)
		} else {
			up = append(up, route)
		}
	}
	up = append(up, down...)
	return up[:min(len(up), maxRoutes)]
}

func (r *Relay) storeFor(route string) storer.RowStore {
	if route == direct {
		return r.own
	}
	return r.throughPeer(route)
}

// recordOutcome records the outcome of a call over one route. Any response of
// the store, also an error, counts as a success of the route. A cancelled call
// is not counted.
func (r *Relay) recordOutcome(route string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	var unavailable *storer.UnavailableError
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.As(err, &unavailable) {
		r.failedAt[route] = r.now()
		return
	}
	delete(r.failedAt, route)
	r.answeredAt[route] = r.now()
}

// answeredSince reports whether a route has answered any call since a time.
func (r *Relay) answeredSince(route string, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answeredAt[route].After(since)
}

// Slow reports whether the store answers this process, but with a latency above
// slowThreshold.
func (r *Relay) Slow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directLatency > slowThreshold && r.now().Sub(r.answeredAt[direct]) < answeringPeriod
}

// recordLatency records the latency of a call over the direct route.
func (r *Relay) recordLatency(route string, began time.Time) {
	if route != direct {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directLatency = r.now().Sub(began)
}

// outcome is the result of a call over one route.
type outcome[T any] struct {
	route string
	value T
	err   error
}

// hedgedCall makes a call over one route after another, each once the previous
// one failed or has answered no call at all for hedgeDelay, and returns the first
// response of the store. If ctx is done first, the calls in flight go on but are
// not waited for, and their routes count as down.
func hedgedCall[T any](ctx context.Context, r *Relay, call func(ctx context.Context, s storer.RowStore) (T, error)) (T, error) {
	routes := r.routes()
	unanswered := map[string]bool{}
	outcomes := make(chan outcome[T], len(routes))
	var group errgroup.Group
	launch := func(route string) {
		unanswered[route] = true
		group.Go(func() error {
			began := r.now()
			value, err := call(ctx, r.storeFor(route))
			r.recordOutcome(route, err)
			r.recordLatency(route, began)
			outcomes <- outcome[T]{
				route: route,
				value: value,
				err:   err,
			}
			return nil
		})
	}
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	launched, answered := 1, 0
	launch(routes[0])
	failure := &storer.UnavailableError{}
	for {
		hedge := timer.C
		if launched == len(routes) {
			hedge = nil
		}
		var next bool
		select {
		case o := <-outcomes:
			answered++
			delete(unanswered, o.route)
			var unavailable *storer.UnavailableError
			if !errors.As(o.err, &unavailable) {
				return o.value, o.err
			}
			failure.MayHaveTakenEffect = failure.MayHaveTakenEffect || unavailable.MayHaveTakenEffect
			failure.Cause = unavailable.Cause
			next = true
		case <-hedge:
			// A route that answers other calls is merely slow, and one more
			// call over another route would only slow the store further.
			next = !r.answeredSince(routes[launched-1], r.now().Add(-hedgeDelay))
			timer.Reset(hedgeDelay)
		case <-ctx.Done():
			failure.MayHaveTakenEffect = true
			failure.Cause = "no answer in time"
			for route := range unanswered {
				r.recordOutcome(route, failure)
			}
			var none T
			return none, failure
		}
		switch {
		case next && launched < len(routes):
			launch(routes[launched])
			launched++
			timer.Reset(hedgeDelay)
		case answered == launched:
			var none T
			return none, failure
		}
	}
}
