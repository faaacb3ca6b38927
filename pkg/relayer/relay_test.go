package relayer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// scriptedRoute is a route to the store with scripted answers.
type scriptedRoute struct {
	calls atomic.Int64
	// answer is called for each commit.
	answer func(ctx context.Context) (uint64, error)
}

func (r *scriptedRoute) rows() storer.RowStore {
	return storer.RowStore{
		Commit: func(ctx context.Context, _ storer.Change) (uint64, error) {
			r.calls.Add(1)
			return r.answer(ctx)
		},
	}
}

func answering(version uint64) *scriptedRoute {
	return &scriptedRoute{
		answer: func(context.Context) (uint64, error) { return version, nil },
	}
}

func refusing() *scriptedRoute {
	return &scriptedRoute{
		answer: func(context.Context) (uint64, error) {
			return 0, &storer.UnavailableError{
				Cause: "status 503",
			}
		},
	}
}

// silent returns a route that never answers; its calls may have taken effect.
func silent(t *testing.T) *scriptedRoute {
	t.Helper()
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	return &scriptedRoute{
		answer: func(context.Context) (uint64, error) {
			<-over
			return 0, &storer.UnavailableError{
				MayHaveTakenEffect: true,
			}
		},
	}
}

func newRelay(own *scriptedRoute, peers map[string]*scriptedRoute) *Relay {
	r := New(own.rows(), func(peer string) storer.RowStore { return peers[peer].rows() }, time.Now)
	names := []string{}
	for name := range peers {
		names = append(names, name)
	}
	r.SetPeers(names)
	return r
}

func TestCallsGoDirectlyWhileTheStoreAnswers(t *testing.T) {
	peer := answering(8)
	r := newRelay(answering(7), map[string]*scriptedRoute{"p": peer})
	version, err := r.RowStore().Commit(context.Background(), storer.Change{})
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(7))
	assert.Equal(t, peer.calls.Load(), int64(0))
}

func TestCallsGoThroughPeers(t *testing.T) {
	cases := map[string]func(t *testing.T) *scriptedRoute{
		"when the store rejects this process": func(*testing.T) *scriptedRoute { return refusing() },
		"when the store does not answer":      silent,
	}
	for name, own := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRelay(own(t), map[string]*scriptedRoute{"p": answering(8)})
			version, err := r.RowStore().Commit(context.Background(), storer.Change{})
			assert.NilError(t, err)
			assert.Equal(t, version, uint64(8))
		})
	}
}

func TestFailedRouteIsUsedLast(t *testing.T) {
	own := refusing()
	r := newRelay(own, map[string]*scriptedRoute{"p": answering(8)})
	for range 3 {
		_, err := r.RowStore().Commit(context.Background(), storer.Change{})
		assert.NilError(t, err)
	}
	assert.Equal(t, own.calls.Load(), int64(1))
}

func TestVersionMismatchIsNotRetriedThroughPeers(t *testing.T) {
	own := &scriptedRoute{
		answer: func(context.Context) (uint64, error) { return 0, &storer.VersionMismatchError{} },
	}
	peer := answering(8)
	r := newRelay(own, map[string]*scriptedRoute{"p": peer})
	_, err := r.RowStore().Commit(context.Background(), storer.Change{})
	var mismatch *storer.VersionMismatchError
	assert.Assert(t, errors.As(err, &mismatch))
	assert.Equal(t, peer.calls.Load(), int64(0))
}

func TestAllRoutesDown(t *testing.T) {
	t.Run("all routes refuse", func(t *testing.T) {
		r := newRelay(refusing(), map[string]*scriptedRoute{"p": refusing()})
		_, err := r.RowStore().Commit(context.Background(), storer.Change{})
		var unavailable *storer.UnavailableError
		assert.Assert(t, errors.As(err, &unavailable))
		assert.Assert(t, !unavailable.MayHaveTakenEffect)
		assert.Assert(t, r.AllRoutesDown())
	})
	t.Run("no route answers", func(t *testing.T) {
		r := newRelay(silent(t), map[string]*scriptedRoute{"p": silent(t)})
		ctx, cancel := context.WithTimeout(context.Background(), 2*hedgeDelay)
		defer cancel()
		_, err := r.RowStore().Commit(ctx, storer.Change{})
		var unavailable *storer.UnavailableError
		assert.Assert(t, errors.As(err, &unavailable))
		assert.Assert(t, unavailable.MayHaveTakenEffect)
		assert.Assert(t, r.AllRoutesDown())
	})
}
