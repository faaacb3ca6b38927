package overseer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bilberrywalk/bilberrywalk/pkg/looper"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	workerDialTimeout = 500 * time.Millisecond
	workerCallTimeout = time.Second
)

// WorkerClient calls workers; another platform is supported by another Sync
// function.
type WorkerClient struct {
	Sync func(ctx context.Context, s placer.Sync) (placer.Report, error)
}

// NewHTTPWorkers returns a client for workers with an HTTP and JSON interface.
func NewHTTPWorkers() (WorkerClient, error) {
	c, err := client.NewClient(client.WithDialTimeout(workerDialTimeout))
	if err != nil {
		return WorkerClient{}, errors.Wrap(err, "building the workers' client")
	}
	return WorkerClient{
		Sync: func(ctx context.Context, s placer.Sync) (placer.Report, error) {
			return syncOverHTTP(ctx, c, s)
		},
	}, nil
}

func syncOverHTTP(ctx context.Context, c *client.Client, s placer.Sync) (placer.Report, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(consts.MethodPost)
	req.SetRequestURI("http://" + s.Worker + "/sync")
	req.SetBody(storer.EncodeJSON(s))
	if err := c.DoTimeout(ctx, req, resp, workerCallTimeout); err != nil {
		return placer.Report{}, errors.Wrap(err, "calling a worker")
	}
	if resp.StatusCode() != consts.StatusOK {
		return placer.Report{}, errors.Newf("worker %s answered with status %d", s.Worker, resp.StatusCode())
	}
	var report placer.Report
	return report, errors.Wrap(json.Unmarshal(resp.Body(), &report), "decoding a worker's report")
}

// Overseer performs the actions that a core returns. The core may only be used on
// the loop.
type Overseer struct {
	Core *Core

	table   storer.Table
	workers WorkerClient
	loop    *looper.Loop
	group   *errgroup.Group
}

// New returns an overseer whose I/O runs in the group.
func New(cfg Config, table storer.Table, workers WorkerClient, loop *looper.Loop, group *errgroup.Group) *Overseer {
	return &Overseer{
		Core:    NewCore(cfg),
		table:   table,
		workers: workers,
		loop:    loop,
		group:   group,
	}
}

// Tick must be called on the loop at short intervals.
func (o *Overseer) Tick(ctx context.Context, now time.Time) {
	o.executeAll(ctx, o.Core.Tick(now))
}

func (o *Overseer) executeAll(ctx context.Context, actions []Action) {
	for _, action := range actions {
		o.group.Go(func() error {
			o.execute(ctx, action)
			return nil
		})
	}
}

// execute performs one action and posts its result to the loop.
func (o *Overseer) execute(ctx context.Context, action Action) {
	switch {
	case action.Read != nil:
		row, err := o.table.Get(ctx, CellKey(o.Core.cfg.Cell))
		o.post(ctx, func(now time.Time) []Action { return o.Core.RowRead(now, row, err) })
	case action.Write != nil:
		err := o.table.Commit(ctx, action.Write.Transaction)
		o.post(ctx, func(now time.Time) []Action { return o.Core.Written(now, action.Write.Transaction.ID, err) })
	case action.Scan != nil:
		rows, err := o.table.Scan(ctx, action.Scan.Prefix, action.Scan.After, action.Scan.Limit)
		o.post(ctx, func(now time.Time) []Action { return o.Core.Scanned(now, *action.Scan, rows, err) })
	case action.Call != nil:
		report, err := o.workers.Sync(ctx, action.Call.Sync)
		o.post(ctx, func(now time.Time) []Action { return o.Core.Called(now, action.Call.Sync, report, err) })
	}
}

func (o *Overseer) post(ctx context.Context, f func(now time.Time) []Action) {
	o.loop.Post(func(now time.Time) { o.executeAll(ctx, f(now)) })
}
