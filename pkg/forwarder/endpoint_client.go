// Package forwarder is the agent's process: it takes attempts from entries,
// passes those that its gate admits to the endpoint beside it, and sends the
// answers back.
package forwarder

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/gatekeeper"
	"github.com/bilberrywalk/bilberrywalk/pkg/server"
)

const (
	endpointDialTimeout = 250 * time.Millisecond
	// endpointPath is where an endpoint takes requests.
	endpointPath = "/run"
	// maxAnswerBytes bounds an endpoint's whole answer.
	maxAnswerBytes = 8 << 20
)

// The headers that an endpoint gets with a request.
const (
	headerRequestID = "Bilberrywalk-Request-Id"
	headerKind      = "Bilberrywalk-Kind"
	headerRemaining = "Bilberrywalk-Remaining-Millis"
)

// EndpointClient calls the endpoint over HTTP. Each call is sent once: the
// library repeats only methods that are idempotent, and POST is not.
type EndpointClient struct {
	address string
	client  *client.Client
}

// NewEndpointClient returns a client that keeps at most the given number of
// connections to the endpoint.
func NewEndpointClient(address string, connections int) (*EndpointClient, error) {
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(endpointDialTimeout),
		client.WithMaxConnsPerHost(connections),
	)
	if err != nil {
		return nil, errors.Wrap(err, "building the endpoint's client")
	}
	return &EndpointClient{
		address: address,
		client:  c,
	}, nil
}

// Run sends a request to the endpoint and returns its whole answer, or why
// there is none.
func (c *EndpointClient) Run(ctx context.Context, s framer.Start, remaining time.Duration) gatekeeper.Result {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(consts.MethodPost)
	req.SetRequestURI("http://" + c.address + endpointPath)
	req.Header.Set(headerRequestID, s.ID)
	req.Header.Set(headerKind, s.Kind)
	req.Header.Set(headerRemaining, strconv.FormatInt(remaining.Milliseconds(), 10))
	if s.ContentType != "" {
		req.Header.SetContentTypeBytes([]byte(s.ContentType))
	}
	req.SetBodyRaw(s.Body)
	if err := c.client.DoTimeout(ctx, req, resp, remaining); err != nil {
		return callFailure(err)
	}
	if len(resp.Body()) > maxAnswerBytes {
		return gatekeeper.Result{
			Failure: framer.ReasonBrokenAnswer,
		}
	}
	return gatekeeper.Result{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}
}

// callFailure tells apart a call that never reached the endpoint from one that may
// have run.
func callFailure(err error) gatekeeper.Result {
	if server.NeverSent(err) {
		return gatekeeper.Result{
			NotStarted: framer.ReasonEndpointDown,
		}
	}
	return gatekeeper.Result{
		Failure: framer.ReasonBrokenAnswer,
	}
}
