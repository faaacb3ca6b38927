package demonstrator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bilberrywalk/bilberrywalk/pkg/operator"
)

const (
	// latencyDigits and longestLatency shape the histograms, in microseconds.
	latencyDigits  = 3
	longestLatency = 60_000_000
)

// driver sends requests and gathers what became of them.
type driver struct {
	fleet *Fleet

	mu    sync.Mutex
	sums  map[string]*KindSummary
	dials []string
}

// call sends one request through one of the entries and judges its answer.
func (d *driver) call(ctx context.Context, service, kind string, i int) error {
	client, err := operator.New(d.fleet.Entries[i%len(d.fleet.Entries):][:1])
	if err != nil {
		return err
	}
	body := fmt.Appendf(nil, "%s/%s/%d/%s", service, kind, i, time.Now())
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	headers := map[string]string{
		"Bilberrywalk-Kind": kind,
	}
	if kind == "dial" {
		headers["Idempotency-Key"] = fmt.Sprintf("dial-%d", i)
		d.mu.Lock()
		d.dials = append(d.dials, digest)
		d.mu.Unlock()
	}
	started := time.Now()
	reply, err := client.Do(ctx, operator.Call{
		Method:  "POST",
		Path:    "/v1/services/" + service + "/requests",
		Headers: headers,
		Body:    body,
		Once:    true,
	})
	took := time.Since(started)
	if err != nil {
		return err
	}
	d.note(service, kind, reply, took, reply.Outcome != "answered" || rightAnswer(reply.Body, kind, body, digest))
	return nil
}

func (d *driver) note(service, kind string, reply operator.Reply, took time.Duration, right bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := service + "/" + kind
	sum := d.sums[key]
	if sum == nil {
		sum = &KindSummary{
			Service: service,
			Kind:    kind,
			latency: hdrhistogram.New(1, longestLatency, latencyDigits),
		}
		d.sums[key] = sum
	}
	sum.Sent++
	switch reply.Outcome {
	case "answered":
		sum.Answered++
	case "not-run":
		sum.NotRun++
	case "unknown":
		sum.Unknown++
	default:
		right = false
	}
	if !right {
		sum.Wrong++
	}
	if sum.latency.RecordValue(took.Microseconds()) != nil {
		sum.Wrong++
	}
}

// summary judges the whole run.
func (d *driver) summary() *Summary {
	s := &Summary{
		BrokenInvariants: d.fleet.Assert.Broken(),
	}
	for _, key := range slices.Sorted(maps.Keys(d.sums)) {
		sum := d.sums[key]
		sum.P50Millis = float64(sum.latency.ValueAtQuantile(50)) / 1000
		sum.P99Millis = float64(sum.latency.ValueAtQuantile(99)) / 1000
		s.Kinds = append(s.Kinds, sum)
		if sum.Answered != sum.Sent || sum.Wrong > 0 {
			s.Faults = append(s.Faults, fmt.Sprintf("%s: %d sent, %d answered, %d wrong", key, sum.Sent, sum.Answered, sum.Wrong))
		}
	}
	runs := map[string]int{}
	for _, e := range d.fleet.Endpoints {
		report := e.Report()
		s.MostRunning = max(s.MostRunning, report.MaxRunning)
		for digest, n := range report.Runs {
			runs[digest] += n
		}
	}
	s.Dials = len(d.dials)
	for _, digest := range d.dials {
		if runs[digest] > 1 {
			s.DoubledDials++
		}
	}
	return s.judged()
}

func (s *Summary) judged() *Summary {
	if s.DoubledDials > 0 {
		s.Faults = append(s.Faults, fmt.Sprintf("%d dials ran more than once", s.DoubledDials))
	}
	if s.MostRunning > slots {
		s.Faults = append(s.Faults, fmt.Sprintf("an endpoint ran %d requests at once; %d are allowed", s.MostRunning, slots))
	}
	for name, n := range s.BrokenInvariants {
		s.Faults = append(s.Faults, fmt.Sprintf("invariant %s broken %d times", name, n))
	}
	return s
}
