package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/server"
)

// ExplainPath is the path on the link address that explains where a job would be placed.
const ExplainPath = "/v1/explain"

// StatusNotOwner is the status of an answer that names the owner.
const StatusNotOwner = http.StatusMisdirectedRequest

// explainedJob is the id of jobs that are explained; they are never submitted.
const explainedJob = "explained"

// NotOwnerError reports that another entry owns the cell.
type NotOwnerError struct {
	// Owner is the address of the owner, or empty if it is not known.
	Owner string `json:"owner"`
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	if e.Owner == "" {
		return "no entry owns the cell; try again"
	}
	return fmt.Sprintf("the cell is owned by %s", e.Owner)
}

// UnknownQueueError reports that the configuration has no such queue.
type UnknownQueueError struct {
	Queue string
}

// Error implements error.
func (e *UnknownQueueError) Error() string {
	return fmt.Sprintf("the configuration has no queue %q", e.Queue)
}

// Explain returns where the tasks of a job of a queue would be placed now. It returns a
// *NotOwnerError unless this entry owns the cell, and an *UnknownQueueError.
func (e *Entry) Explain(ctx context.Context, queue string, body []byte) (scheduler.Explanation, error) {
	var q *scheduler.Queue
	if queues := e.Queues(); queues != nil {
		q = queues.Named(queue)
	}
	if q == nil {
		return scheduler.Explanation{}, &UnknownQueueError{
			Queue: queue,
		}
	}
	spec, err := e.deps.DecodeJob(explainedJob, q, body)
	if err != nil {
		return scheduler.Explanation{}, err
	}
	var explanation scheduler.Explanation
	var notOwner error
	err = e.loop.PostAndWait(ctx, func(now time.Time) {
		if e.owner.cell == nil {
			notOwner = &NotOwnerError{
				Owner: e.owner.lease.Owner(),
			}
			return
		}
		explanation = e.owner.cell.Explain(now, spec)
	})
	if err != nil {
		return scheduler.Explanation{}, err
	}
	return explanation, notOwner
}

// serveExplanations serves ExplainPath.
func (e *Entry) serveExplanations(h *hertz.Hertz) {
	h.POST(ExplainPath, func(ctx context.Context, c *app.RequestContext) {
		explanation, err := e.Explain(ctx, c.Query("queue"), c.Request.Body())
		var notOwner *NotOwnerError
		switch {
		case errors.As(err, &notOwner):
			c.JSON(StatusNotOwner, notOwner)
			return
		case err != nil:
			server.WriteError(c, consts.StatusBadRequest, err)
			return
		}
		data, err := json.Marshal(explanation)
		if err != nil {
			server.WriteError(c, consts.StatusInternalServerError, err)
			return
		}
		c.Data(consts.StatusOK, "application/json", data)
	})
}
