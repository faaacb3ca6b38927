// Package operator implements the client of the entries' HTTP interface. It
// tries the configured entries in order until one replies.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/server"
)

const (
	dialTimeout = time.Second
	callTimeout = 15 * time.Second
)

// Reply is an entry's response. Outcome is the value of the Bilberrywalk-Outcome
// header, or empty.
type Reply struct {
	Status  int
	Outcome string
	Body    []byte
}

// Call is a request to an entry.
type Call struct {
	Method  string
	Path    string
	Headers map[string]string
	Body    []byte
	// AtMostOnce forbids a retry at another entry once the call may have reached one.
	AtMostOnce bool
}

// UnreachableError reports that no entry replied.
type UnreachableError struct {
	Entries []string
	// MayHaveArrived reports whether the call may have reached an entry and
	// taken effect.
	MayHaveArrived bool
	// Cause is the text of the last error.
	Cause string
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no entry of %v answered: %s; check the addresses and try again", e.Entries, e.Cause)
}

// Client sends calls to entries. It is safe for concurrent use.
type Client struct {
	entries []string
	client  *client.Client
}

// New returns a client of the entries at the given addresses.
func New(entries []string) (*Client, error) {
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
	)
	if err != nil {
		return nil, errors.Wrap(err, "building the client")
	}
	return &Client{
		entries: entries,
		client:  c,
	}, nil
}

// Do sends a call to the entries in order and returns the first reply, whatever
// its status. It returns an *UnreachableError if no entry replies.
func (c *Client) Do(ctx context.Context, call Call) (Reply, error) {
	unreachable := &UnreachableError{
		Entries: c.entries,
		Cause:   "no entry is known",
	}
	for _, entry := range c.entries {
		reply, err := c.do(ctx, entry, call)
		if err == nil {
			return reply, nil
		}
		unreachable.Cause = err.Error()
		unreachable.MayHaveArrived = unreachable.MayHaveArrived || !server.NeverSent(err)
		if call.AtMostOnce && unreachable.MayHaveArrived {
			break
		}
	}
	return Reply{}, unreachable
}

// Get sends a GET and decodes the JSON body of the reply. A status of 300 or
// above is an error.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	reply, err := c.Do(ctx, Call{
		Method: "GET",
		Path:   path,
	})
	if err != nil {
		return err
	}
	if reply.Status >= 300 {
		return reply.Error()
	}
	return errors.Wrap(json.Unmarshal(reply.Body, into), "decoding the entry's answer")
}

// Error returns the error message in the reply's body, or an error with its
// status if the body has none.
func (r Reply) Error() error {
	var body server.Error
	if json.Unmarshal(r.Body, &body) != nil || body.Error == "" {
		return errors.Newf("the entry answered with status %d", r.Status)
	}
	return errors.Newf("%s", body.Error)
}

func (c *Client) do(ctx context.Context, entry string, call Call) (Reply, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(call.Method)
	req.SetRequestURI("http://" + entry + call.Path)
	for name, value := range call.Headers {
		req.Header.Set(name, value)
	}
	req.SetBody(call.Body)
	if err := c.client.DoTimeout(ctx, req, resp, callTimeout); err != nil {
		return Reply{}, errors.Wrapf(err, "calling %s", entry)
	}
	return Reply{
		Status:  resp.StatusCode(),
		Outcome: string(resp.Header.Peek("Bilberrywalk-Outcome")),
		Body:    append([]byte(nil), resp.Body()...),
	}, nil
}
