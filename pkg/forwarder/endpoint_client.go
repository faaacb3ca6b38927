// Package forwarder implements the agent process: it receives attempts from
// entries, forwards those that its gate admits to the endpoint alongside which
// it runs, and returns the answers.
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
	// endpointPath is the HTTP path at which an endpoint accepts requests.
	endpointPath = "/run"
	// maxAnswerBytes is the maximum size of an endpoint's complete answer.
	maxAnswerBytes = 8 << 20
)

// The headers of a request to an endpoint.
const (
	headerRequestID = "Bilberrywalk-Request-Id"
	headerKind      = "Bilberrywalk-Kind"
	headerRemaining = "Bilberrywalk-Remaining-Millis"
)

// EndpointClient calls the endpoint over HTTP. Each call is sent at most once:
// the HTTP library retries only idempotent methods, and POST is not idempotent.
type EndpointClient struct {
	address string
	client  *client.Client
}

// NewEndpointClient returns a client that opens at most the given number of
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

// Run sends a request to the endpoint and returns its complete answer, or the
// reason why there is none. The call times out after remaining.
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

// callFailure converts the error of a call to a result, which distinguishes calls
// that never reached the endpoint from calls that may have run.
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
