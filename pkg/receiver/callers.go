package receiver

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/google/uuid"

	"github.com/bilberrywalk/bilberrywalk/pkg/dispatcher"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/server"
)

// The headers of the callers' API.
const (
	headerKind       = "Bilberrywalk-Kind"
	headerDeadline   = "Bilberrywalk-Deadline"
	headerIdempotent = "Bilberrywalk-Idempotent"
	headerCallerID   = "Idempotency-Key"
	headerOutcome    = "Bilberrywalk-Outcome"
	headerRequestID  = "Bilberrywalk-Request-Id"
	headerAttempts   = "Bilberrywalk-Attempts"
	headerRetryAfter = "Retry-After"
)

const (
	maxDeadline      = 24 * time.Hour
	maxCallerIDBytes = 128
	minDeadline      = time.Millisecond
)

// outcomeBody is the JSON body of a response for a request without an endpoint's
// answer.
type outcomeBody struct {
	Outcome          dispatcher.OutcomeKind `json:"outcome"`
	Reason           framer.Reason          `json:"reason"`
	RetryAfterMillis int64                  `json:"retry-after-millis"`
	Attempts         int                    `json:"attempts"`
	RequestID        string                 `json:"request-id"`
}

// UnknownServiceError reports that no document of a service is in force at this
// entry.
type UnknownServiceError struct {
	Service string
}

// Error implements error.
func (e *UnknownServiceError) Error() string {
	return "no document of service " + strconv.Quote(e.Service) + " is in force; apply one first"
}

// handleRequest submits a caller's request to the dispatcher, waits for the
// outcome and writes it as the response.
func (e *Entry) handleRequest(_ context.Context, c *app.RequestContext) {
	acceptedAt := time.Now()
	service := c.Param("service")
	doc, ok := (*e.documents.Load())[service]
	if !ok {
		server.WriteError(c, consts.StatusNotFound, &UnknownServiceError{
			Service: service,
		})
		return
	}
	r, err := parseRequest(c, doc, acceptedAt)
	if err != nil {
		server.WriteError(c, consts.StatusBadRequest, err)
		return
	}
	outcome := make(chan dispatcher.Outcome, 1)
	e.loop.Post(func(now time.Time) {
		e.waiters[r.ID] = outcome
		e.perform(e.dispatcher.Submit(now, r))
	})
	select {
	case result := <-outcome:
		writeOutcome(c, r.ID, result)
	case <-e.ctx.Done():
		writeOutcome(c, r.ID, dispatcher.Outcome{
			Kind:   dispatcher.Unknown,
			Reason: framer.ReasonLeaving,
		})
	}
}

// parseRequest reads the request's kind, deadline, idempotence and caller id from
// the headers, with defaults from the service's document. It returns a
// *publisher.FieldError if a header is invalid.
func parseRequest(c *app.RequestContext, doc publisher.Document, acceptedAt time.Time) (dispatcher.Request, error) {
	kind, err := parseKind(c, doc)
	if err != nil {
		return dispatcher.Request{}, err
	}
	deadline, err := parseDeadline(string(c.GetHeader(headerDeadline)), time.Duration(kind.Deadline))
	if err != nil {
		return dispatcher.Request{}, err
	}
	idempotent, err := parseIdempotent(string(c.GetHeader(headerIdempotent)), kind.Idempotent)
	if err != nil {
		return dispatcher.Request{}, err
	}
	callerID := string(c.GetHeader(headerCallerID))
	if len(callerID) > maxCallerIDBytes {
		return dispatcher.Request{}, &publisher.FieldError{
			Field:   headerCallerID,
			Value:   strconv.Itoa(len(callerID)) + " bytes",
			Allowed: "at most " + strconv.Itoa(maxCallerIDBytes) + " bytes",
		}
	}
	return dispatcher.Request{
		ID:          uuid.NewString(),
		CallerID:    callerID,
		Service:     doc.Service,
		Kind:        kind.Name,
		Idempotent:  idempotent,
		AcceptedAt:  acceptedAt,
		Deadline:    acceptedAt.Add(deadline),
		ContentType: string(c.ContentType()),
		Body:        append([]byte(nil), c.Request.Body()...),
	}, nil
}

// parseKind returns the kind that the caller named, or the document's first kind
// if the caller named none.
func parseKind(c *app.RequestContext, doc publisher.Document) (*publisher.Kind, error) {
	name := string(c.GetHeader(headerKind))
	if name == "" {
		return &doc.Kinds[0], nil
	}
	if kind := doc.Kind(name); kind != nil {
		return kind, nil
	}
	allowed := ""
	for i, k := range doc.Kinds {
		if i > 0 {
			allowed += ", "
		}
		allowed += k.Name
	}
	return nil, &publisher.FieldError{
		Field:   headerKind,
		Value:   name,
		Allowed: allowed,
	}
}

func parseDeadline(text string, declared time.Duration) (time.Duration, error) {
	if text == "" {
		return declared, nil
	}
	deadline, err := time.ParseDuration(text)
	if err != nil || deadline < minDeadline || deadline > maxDeadline {
		return 0, &publisher.FieldError{
			Field:   headerDeadline,
			Value:   text,
			Allowed: `a duration from "1ms" to "24h", like "1500ms"`,
		}
	}
	return deadline, nil
}

// parseIdempotent returns whether a request is idempotent. A caller can mark a
// request of an idempotent kind as not idempotent, but not the reverse.
func parseIdempotent(text string, declared bool) (bool, error) {
	switch text {
	case "":
		return declared, nil
	case "true", "false":
		return declared && text == "true", nil
	default:
		return false, &publisher.FieldError{
			Field:   headerIdempotent,
			Value:   text,
			Allowed: "true, false",
		}
	}
}

// writeOutcome writes the endpoint's answer as the response, or an outcomeBody if
// there is none.
func writeOutcome(c *app.RequestContext, id string, o dispatcher.Outcome) {
	c.Response.Header.Set(headerOutcome, string(o.Kind))
	c.Response.Header.Set(headerRequestID, id)
	c.Response.Header.Set(headerAttempts, strconv.Itoa(o.Attempts))
	if o.Kind == dispatcher.Answered {
		c.Data(o.Status, o.ContentType, o.Body)
		return
	}
	status := consts.StatusGatewayTimeout
	if o.Kind == dispatcher.NotRun {
		status = consts.StatusServiceUnavailable
		seconds := math.Ceil(o.RetryAfter.Seconds())
		c.Response.Header.Set(headerRetryAfter, strconv.Itoa(max(1, int(seconds))))
	}
	c.JSON(status, outcomeBody{
		Outcome:          o.Kind,
		Reason:           o.Reason,
		RetryAfterMillis: o.RetryAfter.Milliseconds(),
		Attempts:         o.Attempts,
		RequestID:        id,
	})
}
