package emulator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/bilberrywalk/bilberrywalk/pkg/server"
)

// maxEndpointBody is the largest request body in bytes that the stand-in
// endpoint accepts.
const maxEndpointBody = 2 << 20

// EndpointFaults are the faults that can be injected into a stand-in endpoint.
type EndpointFaults struct {
	// Fail makes every request fail with an internal server error.
	Fail bool `json:"fail"`
	// DelayMillis is the time added to every request's run time, in
	// milliseconds.
	DelayMillis int `json:"delay-millis"`
}

// EndpointAnswer is the response of a stand-in endpoint. It lets the caller
// verify that the complete body of the right request arrived.
type EndpointAnswer struct {
	RequestID string `json:"request-id"`
	Kind      string `json:"kind"`
	Bytes     int    `json:"bytes"`
	Digest    string `json:"digest"`
}

// EndpointReport holds a stand-in endpoint's counts since it started.
type EndpointReport struct {
	// Runs is the number of times that a request ran, by the digest of its
	// body.
	Runs       map[string]int `json:"runs"`
	Running    int            `json:"running"`
	MaxRunning int            `json:"max-running"`
}

// Endpoint is a stand-in for a runner of a user's service. It sleeps for each
// request's run time and responds with a digest of the body.
type Endpoint struct {
	// RunTimes is the run time of a request, by kind.
	RunTimes map[string]time.Duration

	mu     sync.Mutex
	faults EndpointFaults
	report EndpointReport
}

// NewEndpoint returns an endpoint with the given run times and no faults.
func NewEndpoint(runTimes map[string]time.Duration) *Endpoint {
	return &Endpoint{
		RunTimes: runTimes,
		report: EndpointReport{
			Runs: map[string]int{},
		},
	}
}

// Server returns the HTTP server of the endpoint.
func (e *Endpoint) Server(address string) *hertz.Hertz {
	h := server.New(address, maxEndpointBody)
	h.POST("/run", e.serveRun)
	h.GET("/report", func(_ context.Context, c *app.RequestContext) {
		c.JSON(consts.StatusOK, e.Report())
	})
	h.POST("/faults", func(_ context.Context, c *app.RequestContext) {
		var faults EndpointFaults
		if err := json.Unmarshal(c.Request.Body(), &faults); err != nil {
			server.WriteError(c, consts.StatusBadRequest, err)
			return
		}
		e.SetFaults(faults)
		c.JSON(consts.StatusOK, faults)
	})
	h.GET("/healthz", server.Health)
	return h
}

// SetFaults replaces the injected faults.
func (e *Endpoint) SetFaults(f EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Report returns a copy of the counts since the endpoint started.
func (e *Endpoint) Report() EndpointReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.report.Runs))
	for digest, n := range e.report.Runs {
		runs[digest] = n
	}
	return EndpointReport{
		Runs:       runs,
		Running:    e.report.Running,
		MaxRunning: e.report.MaxRunning,
	}
}

func (e *Endpoint) serveRun(_ context.Context, c *app.RequestContext) {
	sum := sha256.Sum256(c.Request.Body())
	answer := EndpointAnswer{
		RequestID: string(c.GetHeader("Bilberrywalk-Request-Id")),
		Kind:      string(c.GetHeader("Bilberrywalk-Kind")),
		Bytes:     len(c.Request.Body()),
		Digest:    hex.EncodeToString(sum[:]),
	}
	faults := e.beginRequest(answer.Digest)
	time.Sleep(e.RunTimes[answer.Kind] + time.Duration(faults.DelayMillis)*time.Millisecond)
	e.endRequest()
	if faults.Fail {
		c.String(consts.StatusInternalServerError, "the endpoint fails as it was told to\n")
		return
	}
	c.JSON(consts.StatusOK, answer)
}

func (e *Endpoint) beginRequest(digest string) EndpointFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Runs[digest]++
	e.report.Running++
	e.report.MaxRunning = max(e.report.MaxRunning, e.report.Running)
	return e.faults
}

func (e *Endpoint) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Running--
}
