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

// way is a scripted way to the store.
type way struct {
	calls atomic.Int64
	// answer is called for each commit.
	answer func(ctx context.Context) (uint64, error)
}

func (w *way) rows() storer.RowStore {
	return storer.RowStore{
		Commit: func(ctx context.Context, _ storer.Change) (uint64, error) {
			w.calls.Add(1)
			return w.answer(ctx)
		},
	}
}

func answering(version uint64) *way {
	return &way{
		answer: func(context.Context) (uint64, error) { return version, nil },
	}
}

func refusing() *way {
	return &way{
		answer: func(context.Context) (uint64, error) {
			return 0, &storer.UnavailableError{
				Cause: "status 503",
			}
		},
	}
}

// silent never answers; what it was told may have taken effect.
func silent(t *testing.T) *way {
	t.Helper()
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	return &way{
		answer: func(context.Context) (uint64, error) {
			<-over
			return 0, &storer.UnavailableError{
				MayHaveTakenEffect: true,
			}
		},
	}
}

func relay(own *way, peers map[string]*way) *Relay {
	r := New(own.rows(), func(peer string) storer.RowStore { return peers[peer].rows() }, time.Now)
	names := []string{}
	for name := range peers {
		names = append(names, name)
	}
	r.SetPeers(names)
	return r
}

func TestCallsGoDirectlyWhileThatWorks(t *testing.T) {
	peer := answering(8)
	r := relay(answering(7), map[string]*way{"p": peer})
	version, err := r.Rows().Commit(context.Background(), storer.Change{})
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(7))
	assert.Equal(t, peer.calls.Load(), int64(0))
}

func TestCallsGoThroughPeers(t *testing.T) {
	cases := map[string]func(t *testing.T) *way{
		"when the store turns this process away": func(*testing.T) *way { return refusing() },
		"when the store is silent":               silent,
	}
	for name, own := range cases {
		t.Run(name, func(t *testing.T) {
			r := relay(own(t), map[string]*way{"p": answering(8)})
			version, err := r.Rows().Commit(context.Background(), storer.Change{})
			assert.NilError(t, err)
			assert.Equal(t, version, uint64(8))
		})
	}
}

func TestAWayThatFailedGoesLast(t *testing.T) {
	own := refusing()
	r := relay(own, map[string]*way{"p": answering(8)})
	for range 3 {
		_, err := r.Rows().Commit(context.Background(), storer.Change{})
		assert.NilError(t, err)
	}
	assert.Equal(t, own.calls.Load(), int64(1))
}

func TestStaleIsTheStoresWord(t *testing.T) {
	own := &way{
		answer: func(context.Context) (uint64, error) { return 0, &storer.VersionMismatchError{} },
	}
	peer := answering(8)
	r := relay(own, map[string]*way{"p": peer})
	_, err := r.Rows().Commit(context.Background(), storer.Change{})
	var stale *storer.VersionMismatchError
	assert.Assert(t, errors.As(err, &stale))
	assert.Equal(t, peer.calls.Load(), int64(0))
}

func TestAllWaysDown(t *testing.T) {
	t.Run("refused everywhere", func(t *testing.T) {
		r := relay(refusing(), map[string]*way{"p": refusing()})
		_, err := r.Rows().Commit(context.Background(), storer.Change{})
		var unavailable *storer.UnavailableError
		assert.Assert(t, errors.As(err, &unavailable))
		assert.Assert(t, !unavailable.MayHaveTakenEffect)
		assert.Assert(t, r.Down())
	})
	t.Run("silent everywhere", func(t *testing.T) {
		r := relay(silent(t), map[string]*way{"p": silent(t)})
		ctx, cancel := context.WithTimeout(context.Background(), 2*hedgeAfter)
		defer cancel()
		_, err := r.Rows().Commit(ctx, storer.Change{})
		var unavailable *storer.UnavailableError
		assert.Assert(t, errors.As(err, &unavailable))
		assert.Assert(t, unavailable.MayHaveTakenEffect)
		assert.Assert(t, r.Down())
	})
}
