package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/bilberrywalk/bilberrywalk/pkg/faker"
	"github.com/bilberrywalk/bilberrywalk/pkg/operator"
)

const (
	// startLimit bounds how long the fleet may take to serve its first request.
	startLimit = 15 * time.Second
	startPoll  = 50 * time.Millisecond
	// callersAtOnce bounds the requests that the demo has in flight.
	callersAtOnce = 24
	// slots is what the demo's documents declare for an endpoint.
	slots = 8
)

// Options are what a user of the demo may choose.
type Options struct {
	// Requests is how many requests are sent to each service.
	Requests int
	// Endpoints is how many endpoints each service has.
	Endpoints int
	// Progress gets a line for each step.
	Progress func(line string)
}

// KindSummary is what became of the requests of one kind.
type KindSummary struct {
	Service   string  `json:"service"`
	Kind      string  `json:"kind"`
	Sent      int     `json:"sent"`
	Answered  int     `json:"answered"`
	NotRun    int     `json:"not-run"`
	Unknown   int     `json:"unknown"`
	Wrong     int     `json:"wrong"`
	P50Millis float64 `json:"p50-millis"`
	P99Millis float64 `json:"p99-millis"`

	latency *hdrhistogram.Histogram
}

// Summary is the demo's result.
type Summary struct {
	Kinds            []*KindSummary   `json:"kinds"`
	Jobs             int              `json:"jobs"`
	JobsDone         int              `json:"jobs-done"`
	Dials            int              `json:"dials"`
	DoubledDials     int              `json:"doubled-dials"`
	MostRunning      int              `json:"most-running"`
	BrokenInvariants map[string]int64 `json:"broken-invariants"`
	Faults           []string         `json:"faults"`
}

// OK tells whether every answer was right.
func (s *Summary) OK() bool {
	return len(s.Faults) == 0
}

// Run brings the fleet up, sends the requests, and checks the answers.
func Run(ctx context.Context, log hclog.Logger, options Options) (*Summary, error) {
	fleetCtx, stop := context.WithCancel(ctx)
	defer stop()
	group, groupCtx := errgroup.WithContext(fleetCtx)
	fleet, err := StartFleet(groupCtx, group, log, options.Endpoints)
	if err != nil {
		return nil, err
	}
	options.Progress(fmt.Sprintf("started %d entries and %d endpoints with their agents", len(fleet.Entries), len(fleet.Endpoints)))
	summary, err := drive(groupCtx, fleet, options)
	stop()
	if ended := group.Wait(); err == nil && ended != nil {
		return nil, ended
	}
	return summary, err
}

func drive(ctx context.Context, fleet *Fleet, options Options) (*Summary, error) {
	client, err := operator.New(fleet.Entries)
	if err != nil {
		return nil, err
	}
	for _, s := range sites() {
		if err := publish(ctx, client, s); err != nil {
			return nil, err
		}
		options.Progress("document of " + s.service + " is in force")
	}
	if err := submitJobs(ctx, client); err != nil {
		return nil, err
	}
	options.Progress(fmt.Sprintf("%d jobs are on record", jobs))
	d := &driver{
		fleet: fleet,
		sums:  map[string]*KindSummary{},
	}
	var group errgroup.Group
	group.SetLimit(callersAtOnce)
	for i := range options.Requests {
		for _, s := range sites() {
			kind := s.kinds[i%len(s.kinds)]
			group.Go(func() error { return d.call(ctx, s.service, kind, i) })
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	options.Progress("all requests have their outcome")
	summary := d.summary()
	summary.Jobs = jobs
	summary.JobsDone, err = followJobs(ctx, client)
	if err != nil {
		return nil, err
	}
	if summary.JobsDone < summary.Jobs {
		summary.Faults = append(summary.Faults, fmt.Sprintf("%d of %d jobs are done", summary.JobsDone, summary.Jobs))
	}
	return summary, nil
}

// publish applies a site's document and waits until requests are served.
func publish(ctx context.Context, client *operator.Client, s site) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	ticker := time.NewTicker(startPoll)
	defer ticker.Stop()
	applied := false
	for {
		if !applied {
			reply, err := client.Do(ctx, operator.Call{
				Method: "PUT",
				Path:   "/v1/services/" + s.service + "/document?base=0",
				Headers: map[string]string{
					"Bilberrywalk-Who": "demo",
				},
				Body: []byte(s.document),
			})
			applied = err == nil && reply.Status < 300
		}
		if applied && served(ctx, client, s) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Newf("%s was not served within %s", s.service, startLimit)
		}
	}
}

// served sends one request and tells whether it was answered.
func served(ctx context.Context, client *operator.Client, s site) bool {
	reply, err := client.Do(ctx, operator.Call{
		Method: "POST",
		Path:   "/v1/services/" + s.service + "/requests",
		Headers: map[string]string{
			"Bilberrywalk-Kind": s.kinds[0],
		},
		Body: []byte("first"),
	})
	return err == nil && reply.Outcome == "answered"
}

func rightAnswer(body []byte, kind string, sent []byte, digest string) bool {
	var answer faker.EndpointAnswer
	if json.Unmarshal(body, &answer) != nil {
		return false
	}
	return answer.Kind == kind && answer.Bytes == len(sent) && answer.Digest == digest
}
