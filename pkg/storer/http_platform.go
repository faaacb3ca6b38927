package storer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds the opening of a connection to the platform.
	dialTimeout = 500 * time.Millisecond
	// callTimeout bounds one call to the platform.
	callTimeout = time.Second
)

// HTTPPlatform is the client of a platform that offers JSON over HTTP, as the
// stand-in does.
type HTTPPlatform struct {
	address string
	client  *client.Client
}

// NewHTTPPlatform returns the client of the platform at address.
func NewHTTPPlatform(address string) (*HTTPPlatform, error) {
	c, err := client.NewClient(client.WithDialTimeout(dialTimeout))
	if err != nil {
		return nil, errors.Wrap(err, "building the platform's client")
	}
	return &HTTPPlatform{
		address: address,
		client:  c,
	}, nil
}

// Table returns the table service of the platform.
func (p *HTTPPlatform) Table() Table {
	return Table{
		Commit: p.commit,
		Get:    p.get,
		Scan:   p.scan,
	}
}

// Objects returns the object store of the platform.
func (p *HTTPPlatform) Objects() ObjectStore {
	return ObjectStore{
		Put: p.putObject,
		Get: p.getObject,
	}
}

func (p *HTTPPlatform) commit(ctx context.Context, tx Transaction) error {
	body, err := json.Marshal(tx)
	if err != nil {
		return errors.Wrap(err, "encoding a transaction")
	}
	status, reply, err := p.call(ctx, consts.MethodPost, "/v1/commit", body)
	switch {
	case err != nil:
		return &UnavailableError{
			MayHaveTakenEffect: true,
			Cause:              err.Error(),
		}
	case status == consts.StatusOK:
		return nil
	case status == consts.StatusConflict:
		conflict := &ConflictError{}
		if err := json.Unmarshal(reply, &conflict.Row); err != nil {
			return errors.Wrap(err, "decoding a conflict")
		}
		return conflict
	default:
		// The platform rejects a transaction with one of these statuses before
		// any of it takes effect.
		refused := status == consts.StatusTooManyRequests || status == consts.StatusServiceUnavailable
		return &UnavailableError{
			MayHaveTakenEffect: !refused,
			Cause:              fmt.Sprintf("status %d", status),
		}
	}
}

func (p *HTTPPlatform) get(ctx context.Context, key string) (Row, error) {
	row := Row{
		Key: key,
	}
	return row, p.read(ctx, "/v1/row?key="+url.QueryEscape(key), &row)
}

func (p *HTTPPlatform) scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	path := fmt.Sprintf("/v1/rows?prefix=%s&after=%s&limit=%d", url.QueryEscape(prefix), url.QueryEscape(after), limit)
	return rows, p.read(ctx, path, &rows)
}

func (p *HTTPPlatform) read(ctx context.Context, path string, into any) error {
	status, reply, err := p.call(ctx, consts.MethodGet, path, nil)
	if err != nil {
		return &UnavailableError{
			Cause: err.Error(),
		}
	}
	if status != consts.StatusOK {
		return &UnavailableError{
			Cause: fmt.Sprintf("status %d", status),
		}
	}
	return errors.Wrap(json.Unmarshal(reply, into), "decoding the platform's answer")
}

func (p *HTTPPlatform) putObject(ctx context.Context, name string, data []byte) error {
	status, _, err := p.call(ctx, consts.MethodPut, "/v1/objects?name="+url.QueryEscape(name), data)
	if err == nil && status == consts.StatusOK {
		return nil
	}
	return &UnavailableError{
		MayHaveTakenEffect: true,
		Cause:              fmt.Sprintf("status %d: %v", status, err),
	}
}

func (p *HTTPPlatform) getObject(ctx context.Context, name string) ([]byte, error) {
	status, reply, err := p.call(ctx, consts.MethodGet, "/v1/objects?name="+url.QueryEscape(name), nil)
	if err == nil && status == consts.StatusOK {
		return reply, nil
	}
	return nil, &UnavailableError{
		Cause: fmt.Sprintf("status %d: %v", status, err),
	}
}

// call makes one HTTP call, bounded by callTimeout and ctx's deadline, and
// returns the status and the body of the response.
func (p *HTTPPlatform) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	timeout := callTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if timeout <= 0 {
		return 0, nil, context.DeadlineExceeded
	}
	req.SetMethod(method)
	req.SetRequestURI("http://" + p.address + path)
	req.SetBody(body)
	if err := p.client.DoTimeout(ctx, req, resp, timeout); err != nil {
		return 0, nil, errors.Wrap(err, "calling the platform")
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
