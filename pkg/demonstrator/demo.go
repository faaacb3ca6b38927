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

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/operator"
)

const (
	// startTimeout bounds the time to apply a document and to get a first request of
	// its service answered through each entry.
	startTimeout      = 15 * time.Second
	startPollInterval = 50 * time.Millisecond
	// maxInFlight bounds the demo's concurrent requests.
	maxInFlight = 24
	// endpointSlots is the number of slots that the demo's documents declare per
	// endpoint.
	endpointSlots = 8
)

// Options configure a demo run.
type Options struct {
	// Requests is the number of requests sent to each service.
	Requests int
	// Endpoints is the number of endpoints per service.
	Endpoints int
	// Progress is called with one line of text after each step.
	Progress func(line string)
}

// KindSummary counts the outcomes of the requests of one kind and gives their
// latency quantiles in milliseconds.
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

// Summary is the demo's result. Faults lists each failed check; it is empty if
// all passed.
type Summary struct {
	Kinds            []*KindSummary   `json:"kinds"`
	Jobs             int              `json:"jobs"`
	JobsDone         int              `json:"jobs-done"`
	Dials            int              `json:"dials"`
	RepeatedDials    int              `json:"doubled-dials"`
	MaxRunning       int              `json:"most-running"`
	BrokenInvariants map[string]int64 `json:"broken-invariants"`
	Faults           []string         `json:"faults"`
}

// OK reports whether the run found no faults.
func (s *Summary) OK() bool {
	return len(s.Faults) == 0
}

// Run starts the fleet, sends the requests and checks the answers. Failed checks
// are listed in the summary; an error means that the run was not completed.
func Run(ctx context.Context, log hclog.Logger, options Options) (*Summary, error) {
	fleetCtx, stop := context.WithCancel(ctx)
	defer stop()
	group, groupCtx := errgroup.WithContext(fleetCtx)
	fleet, err := StartFleet(groupCtx, group, log, options.Endpoints)
	if err != nil {
		return nil, err
	}
	options.Progress(fmt.Sprintf("started %d entries and %d endpoints with their agents", len(fleet.Entries), len(fleet.Endpoints)))
	summary, err := runWorkload(groupCtx, fleet, options)
	stop()
	if waitErr := group.Wait(); err == nil && waitErr != nil {
		return nil, waitErr
	}
	return summary, err
}

// runWorkload applies the documents, submits the jobs, sends the requests and
// waits for all of them to finish.
func runWorkload(ctx context.Context, fleet *Fleet, options Options) (*Summary, error) {
	client, err := operator.New(fleet.Entries)
	if err != nil {
		return nil, err
	}
	for _, svc := range demoServices() {
		if err := publish(ctx, client, fleet.Entries, svc); err != nil {
			return nil, err
		}
		options.Progress("document of " + svc.service + " is in force")
	}
	if err := submitJobs(ctx, client); err != nil {
		return nil, err
	}
	options.Progress(fmt.Sprintf("%d jobs are on record", jobCount))
	d := &driver{
		fleet:     fleet,
		summaries: map[string]*KindSummary{},
	}
	var group errgroup.Group
	group.SetLimit(maxInFlight)
	for i := range options.Requests {
		for _, svc := range demoServices() {
			kind := svc.kinds[i%len(svc.kinds)]
			group.Go(func() error { return d.sendRequest(ctx, svc.service, kind, i) })
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	options.Progress("all requests have their outcome")
	summary := d.summarize()
	summary.Jobs = jobCount
	summary.JobsDone, err = waitForJobs(ctx, client)
	if err != nil {
		return nil, err
	}
	if summary.JobsDone < summary.Jobs {
		summary.Faults = append(summary.Faults, fmt.Sprintf("%d of %d jobs are done", summary.JobsDone, summary.Jobs))
	}
	return summary, nil
}

// publish applies a service's document and waits until the service answers a
// request through each of the entries, for at most startTimeout.
func publish(ctx context.Context, client *operator.Client, entries []string, svc demoService) error {
	var waiting []*operator.Client
	for _, address := range entries {
		entry, err := operator.New([]string{address})
		if err != nil {
			return err
		}
		waiting = append(waiting, entry)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	applied := false
	for {
		if !applied {
			reply, err := client.Do(ctx, operator.Call{
				Method: "PUT",
				Path:   "/v1/services/" + svc.service + "/document?base=0",
				Headers: map[string]string{
					"Bilberrywalk-Who": "demo",
				},
				Body: []byte(svc.document),
			})
			applied = err == nil && reply.Status < 300
		}
		for applied && len(waiting) > 0 && answersRequest(ctx, waiting[0], svc) {
			waiting = waiting[1:]
		}
		if applied && len(waiting) == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Newf("%s was not served within %s", svc.service, startTimeout)
		}
	}
}

// answersRequest sends one request and reports whether it was answered.
func answersRequest(ctx context.Context, client *operator.Client, svc demoService) bool {
	reply, err := client.Do(ctx, operator.Call{
		Method: "POST",
		Path:   "/v1/services/" + svc.service + "/requests",
		Headers: map[string]string{
			"Bilberrywalk-Kind": svc.kinds[0],
		},
		Body: []byte("first"),
	})
	return err == nil && reply.Outcome == "answered"
}

// answerMatches reports whether an endpoint's answer has the kind, length and
// digest of the request that was sent.
func answerMatches(body []byte, kind string, sent []byte, digest string) bool {
	var answer emulator.EndpointAnswer
	if json.Unmarshal(body, &answer) != nil {
		return false
	}
	return answer.Kind == kind && answer.Bytes == len(sent) && answer.Digest == digest
}
