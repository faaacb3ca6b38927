package server

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// readWhole returns what a server reads from a connection on which send writes, and the
// error after it.
func readWhole(t *testing.T, bounds func() Bounds, send func(w io.Writer)) (string, error) {
	t.Helper()
	near, far := net.Pipe()
	c := &conn{
		Conn:         near,
		limiter:      newLimiter(Limits{}),
		bounds:       bounds,
		maxBodyBytes: 1 << 20,
	}
	assert.Assert(t, c.limiter.admit(c, time.Now()))
	var group errgroup.Group
	group.Go(func() error {
		send(far)
		return nil
	})
	group.Go(func() error {
		// It reads refusals until the connection is closed.
		_, _ = io.Copy(io.Discard, far)
		return nil
	})
	var read strings.Builder
	_, err := io.Copy(&read, c)
	assert.NilError(t, c.Close())
	assert.NilError(t, group.Wait())
	return read.String(), err
}

// Guards against a slow but steady client that is cut off, and against one that stops and
// is not.
func TestSlowClientsAreServedWhileTheyProceed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bounds := func() Bounds {
			return Bounds{
				HeadTimeout: 3 * time.Second,
				IdleTimeout: 15 * time.Second,
			}
		}
		head := testHead + strings.Repeat("X: "+strings.Repeat("a", 95)+"\r\n", 100) + "\r\n"
		begun := time.Now()
		read, err := readWhole(t, bounds, func(w io.Writer) {
			for rest := head; rest != ""; {
				n := min(120, len(rest))
				_, err := io.WriteString(w, rest[:n])
				assert.NilError(t, err)
				rest = rest[n:]
				time.Sleep(100 * time.Millisecond)
			}
		})
		assert.NilError(t, err)
		assert.Equal(t, read, head)
		assert.Assert(t, time.Since(begun) > 15*time.Second)

		begun = time.Now()
		_, err = readWhole(t, bounds, func(w io.Writer) {
			_, err := io.WriteString(w, testHead)
			assert.NilError(t, err)
		})
		var refused *refusedError
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.Cause, causeHeadTimeout)
		assert.Assert(t, time.Since(begun) < 4*time.Second)
	})
}

// Guards against an idle connection that is closed earlier than the present configuration
// says.
func TestIdleConnectionGetsTheTimeOfThePresentConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		idle := 5 * time.Second
		begun := time.Now()
		read, err := readWhole(t, func() Bounds {
			if time.Since(begun) > 4*time.Second {
				idle = 15 * time.Second
			}
			return Bounds{
				IdleTimeout: idle,
			}
		}, func(w io.Writer) {
			time.Sleep(14 * time.Second)
			_, err := io.WriteString(w, testHead+"\r\n")
			assert.NilError(t, err)
		})
		assert.NilError(t, err)
		assert.Equal(t, read, testHead+"\r\n")
	})
}
