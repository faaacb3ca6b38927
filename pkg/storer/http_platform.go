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
	dialLimit = 500 * time.Millisecond
	// callLimit bounds one call to the platform.
	callLimit = time.Second
)

// HTTPPlatform speaks to a platform over HTTP and JSON, as the stand-in does.
type HTTPPlatform struct {
	address string
	client  *client.Client
}

// NewHTTPPlatform returns the adapter for the platform at address.
func NewHTTPPlatform(address string) (*HTTPPlatform, error) {
	c, err := client.NewClient(client.WithDialTimeout(dialLimit))
	if err != nil {
		return nil, errors.Wrap(err, "building the platform's client")
	}
	return &HTTPPlatform{
		address: address,
		client:  c,
	}, nil
}

// Table returns the table's functions.
func (p *HTTPPlatform) Table() Table {
	return Table{
		Commit: p.commit,
		Get:    p.get,
		Scan:   p.scan,
	}
}

// Objects returns the object store's functions.
func (p *HTTPPlatform) Objects() Objects {
	return Objects{
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
		// The platform refuses with these before it carries anything out.
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

func (p *HTTPPlatform) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	limit := callLimit
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline))
	}
	if limit <= 0 {
		return 0, nil, context.DeadlineExceeded
	}
	req.SetMethod(method)
	req.SetRequestURI("http://" + p.address + path)
	req.SetBody(body)
	if err := p.client.DoTimeout(ctx, req, resp, limit); err != nil {
		return 0, nil, errors.Wrap(err, "calling the platform")
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
