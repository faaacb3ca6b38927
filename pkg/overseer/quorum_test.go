package overseer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
)

// Guards against a quorum of too few workers, of old calls, or of workers that the
// owner did not know before another process could acquire the cell.
func TestQuorum(t *testing.T) {
	workers := []string{"a", "b", "c", "d"}
	acceptedBy := func(at time.Time, sole bool, names ...string) *quorum {
		q := newQuorum()
		for _, name := range names {
			q.accepted(name, 1, at, sole)
		}
		return &q
	}
	t.Run("half of the workers are too few", func(t *testing.T) {
		assert.Assert(t, !acceptedBy(start, true, "a", "b").has(start, workers))
		assert.Assert(t, acceptedBy(start, true, "a", "b", "c").has(start, workers))
	})
	t.Run("other workers do not count", func(t *testing.T) {
		assert.Assert(t, !acceptedBy(start, true, "a", "b", "x", "y").has(start, workers))
	})
	t.Run("it ends with the age of the calls", func(t *testing.T) {
		q := acceptedBy(start, true, workers...)
		assert.Assert(t, q.has(start.Add(leaser.QuorumAge-1), workers))
		assert.Assert(t, !q.has(start.Add(leaser.QuorumAge), workers))
	})
	t.Run("a worker first seen without the lease does not count", func(t *testing.T) {
		assert.Assert(t, !acceptedBy(start, false, workers...).has(start, workers))
		q := newQuorum()
		for _, name := range workers {
			q.accepted(name, 0, start, false)
		}
		assert.Assert(t, !q.has(start, workers), "incarnation 0")
	})
	t.Run("a new incarnation counts once the lease is valid again", func(t *testing.T) {
		q := acceptedBy(start, true, workers...)
		for _, name := range workers {
			q.accepted(name, 2, start, false)
		}
		assert.Assert(t, !q.has(start, workers))
		for _, name := range workers {
			q.accepted(name, 2, start, true)
		}
		assert.Assert(t, q.has(start, workers))
	})
}
