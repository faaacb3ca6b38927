package controller

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/ut"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/looper"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

// An answer of an entry that is not the owner, or about another queue, would be taken for
// the truth.
func TestOnlyTheOwnerExplains(t *testing.T) {
	h := newOwnerHarness(t)
	e := h.entry
	e.deps.DecodeJob = func(id string, queue *scheduler.Queue, _ []byte) (scheduler.Spec, error) {
		return scheduler.Spec{
			ID:    id,
			Queue: queue.Name,
			Steps: []scheduler.Step{{
				Count: 1,
			}},
		}, nil
	}
	queues := &scheduler.Queues{
		Version: 1,
		List: []scheduler.Queue{{
			Name:    "checks",
			Service: "polls",
		}},
	}
	e.configured.Store(queues)
	e.loop = looper.New(func(time.Time) time.Duration { return time.Hour })
	ctx, stop := context.WithCancel(t.Context())
	group := &errgroup.Group{}
	group.Go(func() error { return e.loop.Run(ctx) })
	t.Cleanup(func() {
		stop()
		assert.NilError(t, group.Wait())
	})
	s := hertz.New()
	e.serveExplanations(s)
	assertAnswer := func(queue string, status int, part string) {
		t.Helper()
		r := ut.PerformRequest(s.Engine, "POST", ExplainPath+"?queue="+queue, nil).Result()
		assert.Equal(t, r.StatusCode(), status)
		assert.Assert(t, strings.Contains(string(r.Body()), part), "%s", r.Body())
	}
	assertAnswer("checks", http.StatusOK, `"cause":"no-runner"`)
	assertAnswer("other", http.StatusBadRequest, "no queue")
	assert.NilError(t, e.loop.PostAndWait(ctx, func(now time.Time) {
		e.owner.cell = nil
		e.owner.lease.Lost()
		e.owner.lease.Observe(now, 99, leaser.Row{
			Owner: other,
			Epoch: 9,
		})
	}))
	assertAnswer("checks", StatusNotOwner, `"owner":"`+other+`"`)
}
