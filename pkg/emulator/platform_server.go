package emulator

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/server"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// maxPlatformBody is the largest request body in bytes that the stand-in
// platform accepts.
const maxPlatformBody = 8 << 20

// Server returns the HTTP server of the stand-in platform.
func (p *Platform) Server(address string) *hertz.Hertz {
	h := server.New(address, maxPlatformBody)
	h.POST("/v1/commit", p.serveCommit)
	h.GET("/v1/row", func(ctx context.Context, c *app.RequestContext) {
		row, err := p.get(ctx, c.Query("key"))
		reply(c, row, err)
	})
	h.GET("/v1/rows", func(ctx context.Context, c *app.RequestContext) {
		limit, err := strconv.Atoi(c.Query("limit"))
		if err != nil {
			server.WriteError(c, consts.StatusBadRequest, err)
			return
		}
		rows, err := p.scan(ctx, c.Query("prefix"), c.Query("after"), limit)
		reply(c, rows, err)
	})
	h.PUT("/v1/objects", func(ctx context.Context, c *app.RequestContext) {
		reply(c, "stored", p.putObject(ctx, c.Query("name"), c.Request.Body()))
	})
	h.GET("/v1/objects", func(ctx context.Context, c *app.RequestContext) {
		data, err := p.getObject(ctx, c.Query("name"))
		if err != nil {
			reply(c, nil, err)
			return
		}
		c.Data(consts.StatusOK, "application/octet-stream", data)
	})
	h.POST("/v1/faults", func(_ context.Context, c *app.RequestContext) {
		var faults PlatformFaults
		if err := json.Unmarshal(c.Request.Body(), &faults); err != nil {
			server.WriteError(c, consts.StatusBadRequest, err)
			return
		}
		p.SetFaults(faults)
		c.JSON(consts.StatusOK, faults)
	})
	h.GET("/healthz", server.Health)
	return h
}

func (p *Platform) serveCommit(ctx context.Context, c *app.RequestContext) {
	var tx storer.Transaction
	if err := json.Unmarshal(c.Request.Body(), &tx); err != nil {
		server.WriteError(c, consts.StatusBadRequest, err)
		return
	}
	err := p.commit(ctx, tx)
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		c.JSON(consts.StatusConflict, conflict.Row)
		return
	}
	reply(c, "committed", err)
}

// reply sends a response; a response lost by an injected fault becomes a bad
// gateway status.
func reply(c *app.RequestContext, body any, err error) {
	var unavailable *storer.UnavailableError
	switch {
	case errors.As(err, &unavailable) && unavailable.MayHaveTakenEffect:
		server.WriteError(c, consts.StatusBadGateway, err)
	case err != nil:
		server.WriteError(c, consts.StatusServiceUnavailable, err)
	default:
		c.JSON(consts.StatusOK, body)
	}
}
