// Package server builds the HTTP servers of the system's processes and the
// responses that they have in common.
package server

import (
	"context"
	"expvar"
	"io"
	"net"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	// idleTimeout is the time after which a connection without traffic is closed.
	idleTimeout = time.Minute
	// maxKeptBodyBytes is the largest buffer for a body that is used again.
	maxKeptBodyBytes = 64 << 10
)

// New returns a server that listens on address and limits request bodies to
// maxBodyBytes.
func New(address string, maxBodyBytes int) *server.Hertz {
	return NewBounded(address, maxBodyBytes, nil)
}

// NewBounded returns a server like New. Each request on it is bound by what bounds returns
// at its start; nil means the defaults.
func NewBounded(address string, maxBodyBytes int, bounds func() Bounds) *server.Hertz {
	return newServer(address, maxBodyBytes, bounds, process)
}

func newServer(address string, maxBodyBytes int, bounds func() Bounds, l *limiter) *server.Hertz {
	hlog.SetOutput(io.Discard)
	return server.New(
		server.WithHostPorts(address),
		server.WithTransport(func(options *config.Options) network.Transporter {
			return &transport{
				options:      options,
				limiter:      l,
				bounds:       bounds,
				maxBodyBytes: maxBodyBytes,
			}
		}),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithMaxKeepBodySize(maxKeptBodyBytes),
		// A form would be written to files.
		server.WithDisablePreParseMultipartForm(true),
		// The connections have deadlines of their own.
		server.WithIdleTimeout(idleTimeout),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
	)
}

// Run serves until ctx is done, then closes the listener. Requests in flight
// continue; the process must wait for them before it exits.
func Run(ctx context.Context, h *server.Hertz) error {
	stop := context.AfterFunc(ctx, func() {
		if err := h.Shutdown(context.Background()); err != nil {
			hlog.Warnf("closing the HTTP server: %v", err)
		}
	})
	defer stop()
	if err := h.Run(); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "serving HTTP")
	}
	return nil
}

// Error is the JSON body of an error response.
type Error struct {
	Error   string `json:"error"`
	Field   string `json:"field,omitempty"`
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed,omitempty"`
}

// WriteError writes an error response. If err is a *publisher.FieldError, the body
// names the field, its value and the allowed values.
func WriteError(c *app.RequestContext, status int, err error) {
	body := Error{
		Error: err.Error(),
	}
	var field *publisher.FieldError
	if errors.As(err, &field) {
		body.Field = field.Field
		body.Value = field.Value
		body.Allowed = field.Allowed
	}
	c.JSON(status, body)
}

// Vars writes the process's expvar metrics, except its command line, as JSON.
func Vars(_ context.Context, c *app.RequestContext) {
	var b strings.Builder
	b.WriteString("{")
	separator := "\n"
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key == "cmdline" {
			return
		}
		b.WriteString(separator + `"` + kv.Key + `": ` + kv.Value.String())
		separator = ",\n"
	})
	b.WriteString("\n}\n")
	c.Data(consts.StatusOK, "application/json", []byte(b.String()))
}

// Health writes a fixed response while the process is alive.
func Health(_ context.Context, c *app.RequestContext) {
	c.String(consts.StatusOK, "alive\n")
}

// NeverSent reports whether a call failed while dialing, before any of it was
// sent.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// RunAll runs several servers until ctx is done or one of them fails; it returns
// the first error.
func RunAll(ctx context.Context, servers ...*server.Hertz) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, h := range servers {
		group.Go(func() error { return Run(ctx, h) })
	}
	return group.Wait()
}
