package receiver

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/bilberrywalk/bilberrywalk/pkg/dispatcher"
	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/server"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// maxListedJobs is the maximum number of jobs that one list call reads.
	maxListedJobs    = 500
	maxUrgency       = 9
	maxRunTimeMillis = int64(30 * 24 * time.Hour / time.Millisecond)
)

// JobBody is the response to a submitted or cancelled job.
type JobBody struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
}

// CellBody is a cell in the operators' API.
type CellBody struct {
	Cell    string        `json:"cell"`
	Owner   string        `json:"owner"`
	Epoch   uint64        `json:"epoch"`
	Own     bool          `json:"own"`
	Waiting int           `json:"waiting"`
	Counts  placer.Counts `json:"counts"`
}

// newCell returns the overseer of the cell that this entry may own, or nil if no
// workers are configured.
func (e *Entry) newCell() *overseer.Overseer {
	if len(e.cfg.Entry.Workers) == 0 {
		return nil
	}
	return overseer.New(overseer.Config{
		Self:           e.cfg.Address + "#" + strconv.FormatUint(e.hello.Incarnation, 16),
		Cell:           e.cfg.Entry.Cell,
		Workers:        e.cfg.Entry.Workers,
		Assert:         e.assert,
		CommitInterval: time.Duration(e.cfg.Entry.CommitInterval),
		Retention:      overseer.DefaultRetention,
	}, e.table, e.workers, e.loop, e.group)
}

// submitJob records a batch job in the store.
func (e *Entry) submitJob(ctx context.Context, c *app.RequestContext) {
	spec, err := e.parseJob(c.Request.Body())
	if err != nil {
		server.WriteError(c, consts.StatusBadRequest, err)
		return
	}
	if err := e.jobs.Submit(ctx, time.Now(), spec); err != nil {
		refuseChange(c, err)
		return
	}
	c.JSON(consts.StatusAccepted, JobBody{
		ID:      spec.ID,
		Outcome: "accepted",
	})
}

// parseJob decodes and validates a job. The caller may choose the job's id, so
// that it can submit the job again without creating a second one.
func (e *Entry) parseJob(body []byte) (placer.Spec, error) {
	var spec placer.Spec
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&spec); err != nil {
		return spec, errors.Wrap(err, "reading the job")
	}
	if spec.ID == "" {
		spec.ID = uuid.NewString()
	}
	spec.Class = placer.ClassBatch
	if spec.Kind == "" {
		spec.Kind = spec.Team
	}
	for _, check := range []error{
		publisher.CheckName("id", spec.ID),
		publisher.CheckName("team", spec.Team),
		publisher.CheckName("kind", spec.Kind),
		publisher.CheckRange("urgency", int64(spec.Urgency), 0, maxUrgency),
		publisher.CheckRange("needs.processor-millis", spec.Needs.ProcessorMillis, 1, 1<<50),
		spec.Needs.Check("needs"),
		publisher.CheckRange("run-time-millis", spec.RunTimeMillis, 1, maxRunTimeMillis),
	} {
		if check != nil {
			return spec, check
		}
	}
	spec.ID = e.cfg.Entry.Cell + "/" + spec.ID
	return spec, nil
}

func (e *Entry) getJob(ctx context.Context, c *app.RequestContext) {
	task, err := e.jobs.Get(ctx, jobID(c))
	if err != nil {
		refuseRead(c, err)
		return
	}
	c.JSON(consts.StatusOK, task)
}

func (e *Entry) cancelJob(ctx context.Context, c *app.RequestContext) {
	id := jobID(c)
	if err := e.jobs.Cancel(ctx, id); err != nil {
		var missing *overseer.JobNotFoundError
		if errors.As(err, &missing) {
			refuseRead(c, err)
			return
		}
		refuseChange(c, err)
		return
	}
	c.JSON(consts.StatusAccepted, JobBody{
		ID:      id,
		Outcome: "cancelling",
	})
}

func (e *Entry) listJobs(ctx context.Context, c *app.RequestContext) {
	tasks, err := e.jobs.List(ctx, e.cfg.Entry.Cell, c.Query("after"), maxListedJobs)
	if err != nil {
		refuseRead(c, err)
		return
	}
	if class := placer.Class(c.Query("class")); class != "" {
		tasks = slices.DeleteFunc(tasks, func(t placer.Task) bool { return t.Spec.Class != class })
	}
	c.JSON(consts.StatusOK, tasks)
}

// listInstances lists the cell's instances. Only the cell's owner has them; other
// entries respond with an empty list.
func (e *Entry) listInstances(ctx context.Context, c *app.RequestContext) {
	list := []placer.InstanceView{}
	err := e.loop.PostAndWait(ctx, func(time.Time) {
		if e.cell != nil && e.cell.Core.Cell() != nil {
			list = e.cell.Core.Cell().Instances()
		}
	})
	if err != nil {
		server.WriteError(c, consts.StatusServiceUnavailable, err)
		return
	}
	c.JSON(consts.StatusOK, list)
}

func (e *Entry) listCells(ctx context.Context, c *app.RequestContext) {
	list := []CellBody{}
	err := e.loop.PostAndWait(ctx, func(time.Time) {
		if e.cell == nil {
			return
		}
		body := CellBody{
			Cell: e.cfg.Entry.Cell,
		}
		body.Owner, body.Epoch = e.cell.Core.Owner()
		if cell := e.cell.Core.Cell(); cell != nil {
			body.Own = true
			body.Waiting = cell.Waiting()
			body.Counts = cell.Counts
		}
		list = append(list, body)
	})
	if err != nil {
		server.WriteError(c, consts.StatusServiceUnavailable, err)
		return
	}
	c.JSON(consts.StatusOK, list)
}

func jobID(c *app.RequestContext) string {
	return c.Param("cell") + "/" + c.Param("job")
}

// refuseChange responds to a change that was not recorded (status 503) or may have
// been recorded (status 504).
func refuseChange(c *app.RequestContext, err error) {
	var unavailable *storer.UnavailableError
	if errors.As(err, &unavailable) && unavailable.MayHaveTakenEffect {
		c.Response.Header.Set(headerOutcome, string(dispatcher.Unknown))
		server.WriteError(c, consts.StatusGatewayTimeout, err)
		return
	}
	c.Response.Header.Set(headerOutcome, string(dispatcher.NotRun))
	server.WriteError(c, consts.StatusServiceUnavailable, err)
}

func refuseRead(c *app.RequestContext, err error) {
	var missing *overseer.JobNotFoundError
	if errors.As(err, &missing) {
		server.WriteError(c, consts.StatusNotFound, err)
		return
	}
	server.WriteError(c, consts.StatusServiceUnavailable, err)
}
