package relayer

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/client"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberrywalk/bilberrywalk/pkg/server"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// path is the HTTP path at which an entry accepts calls of its peers.
	path = "/store"
	// dialTimeout and callTimeout bound a call to a peer; a long poll's wait
	// is added to callTimeout.
	dialTimeout = 300 * time.Millisecond
	callTimeout = 1500 * time.Millisecond
)

// request is a call to the store. Exactly one of the fields other than After and
// Wait is set.
type request struct {
	Commit *storer.Change `cbor:"commit,omitempty"`
	Get    *storer.Key    `cbor:"get,omitempty"`
	Scan   *storer.Key    `cbor:"scan,omitempty"`
	// Watch is the table to watch for changes after version After, for at
	// most Wait.
	Watch string        `cbor:"follow,omitempty"`
	After uint64        `cbor:"after,omitempty"`
	Wait  time.Duration `cbor:"wait,omitempty"`
}

// response is the store's response, or Unavailable if it gave none.
type response struct {
	Version         uint64                       `cbor:"version,omitempty"`
	Page            storer.Page                  `cbor:"page"`
	Row             storer.PartitionedRow        `cbor:"row"`
	VersionMismatch *storer.VersionMismatchError `cbor:"stale,omitempty"`
	Rejected        *storer.RejectedError        `cbor:"rejected,omitempty"`
	Compacted       *storer.CompactedError       `cbor:"compacted,omitempty"`
	Unavailable     *storer.UnavailableError     `cbor:"unavailable,omitempty"`
	Other           string                       `cbor:"other,omitempty"`
}

// Serve registers the handler through which peers call the store by way of this
// process. If the direct route of this process is down, it answers at once that
// the store is unavailable.
func Serve(h *hertz.Hertz, own storer.RowStore, r *Relay) {
	h.POST(path, func(ctx context.Context, c *app.RequestContext) {
		var req request
		if err := cbor.Unmarshal(c.Request.Body(), &req); err != nil {
			c.String(consts.StatusBadRequest, "this path takes calls to the store\n")
			return
		}
		var resp response
		if r.DirectDown() {
			resp.Unavailable = &storer.UnavailableError{
				Cause: "the store is out of reach from here",
			}
		} else {
			resp = execute(ctx, own, req)
			r.recordOutcome(direct, resp.err())
		}
		c.Data(consts.StatusOK, "application/cbor", storer.EncodeCBOR(resp))
	})
}

// execute makes a peer's call to the store.
func execute(ctx context.Context, own storer.RowStore, req request) response {
	var resp response
	var err error
	switch {
	case req.Commit != nil:
		resp.Version, err = own.Commit(ctx, *req.Commit)
	case req.Get != nil:
		resp.Row, err = own.Get(ctx, *req.Get)
	case req.Scan != nil:
		resp.Page, err = own.Scan(ctx, req.Scan.Table, req.Scan.Partition, req.Scan.Name)
	default:
		resp.Page, err = own.Watch(ctx, req.Watch, req.After, req.Wait)
	}
	switch {
	case err == nil:
	case errors.As(err, &resp.VersionMismatch), errors.As(err, &resp.Rejected), errors.As(err, &resp.Compacted), errors.As(err, &resp.Unavailable):
	default:
		resp.Other = err.Error()
	}
	return resp
}

// err returns the error that the response carries, or nil.
func (r *response) err() error {
	switch {
	case r.VersionMismatch != nil:
		return r.VersionMismatch
	case r.Rejected != nil:
		return r.Rejected
	case r.Compacted != nil:
		return r.Compacted
	case r.Unavailable != nil:
		return r.Unavailable
	case r.Other != "":
		return errors.New(r.Other)
	default:
		return nil
	}
}

// Client calls the store through peers.
type Client struct {
	client *client.Client
}

// NewClient returns a client for calls to any peer.
func NewClient() (*Client, error) {
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
	)
	if err != nil {
		return nil, errors.Wrap(err, "building the client for peers")
	}
	return &Client{
		client: c,
	}, nil
}

// ThroughPeer returns the store as reached through the entry at an address.
func (c *Client) ThroughPeer(peer string) storer.RowStore {
	return storer.RowStore{
		Commit: func(ctx context.Context, change storer.Change) (uint64, error) {
			resp, err := c.call(ctx, peer, request{
				Commit: &change,
			})
			return resp.Version, err
		},
		Get: func(ctx context.Context, key storer.Key) (storer.PartitionedRow, error) {
			resp, err := c.call(ctx, peer, request{
				Get: &key,
			})
			return resp.Row, err
		},
		Scan: func(ctx context.Context, table, partition, from string) (storer.Page, error) {
			resp, err := c.call(ctx, peer, request{
				Scan: &storer.Key{
					Table:     table,
					Partition: partition,
					Name:      from,
				},
			})
			return resp.Page, err
		},
		Watch: func(ctx context.Context, table string, after uint64, wait time.Duration) (storer.Page, error) {
			resp, err := c.call(ctx, peer, request{
				Watch: table,
				After: after,
				Wait:  wait,
			})
			return resp.Page, err
		},
	}
}

// call sends a call to a peer. A call that fails before it was sent can't have
// taken effect; any other failure leaves that unknown.
func (c *Client) call(_ context.Context, peer string, call request) (response, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(consts.MethodPost)
	req.SetRequestURI("http://" + peer + path)
	req.SetOptions(config.WithRequestTimeout(callTimeout + call.Wait))
	req.SetBody(storer.EncodeCBOR(call))
	var decoded response
	if err := c.client.Do(context.Background(), req, resp); err != nil {
		return decoded, &storer.UnavailableError{
			MayHaveTakenEffect: !server.NeverSent(err),
			Cause:              err.Error(),
		}
	}
	if err := cbor.Unmarshal(resp.Body(), &decoded); err != nil {
		return decoded, &storer.UnavailableError{
			MayHaveTakenEffect: true,
			Cause:              err.Error(),
		}
	}
	return decoded, decoded.err()
}
