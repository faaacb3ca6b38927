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
	// latencySignificantDigits and maxLatencyMicros are the precision and the
	// highest value of the latency histograms, which count microseconds.
	latencySignificantDigits = 3
	maxLatencyMicros         = 60_000_000
)

// driver sends requests and records their outcomes.
type driver struct {
	fleet *Fleet

	mu          sync.Mutex
	summaries   map[string]*KindSummary
	dialDigests []string
}

// sendRequest sends request i through one of the entries, checks the answer and
// records the outcome. Dials carry an idempotency key and are listed by digest,
// so that summarize can find those that ran more than once.
func (d *driver) sendRequest(ctx context.Context, service, kind string, i int) error {
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
		d.dialDigests = append(d.dialDigests, digest)
		d.mu.Unlock()
	}
	started := time.Now()
	reply, err := client.Do(ctx, operator.Call{
		Method:     "POST",
		Path:       "/v1/services/" + service + "/requests",
		Headers:    headers,
		Body:       body,
		AtMostOnce: true,
	})
	elapsed := time.Since(started)
	if err != nil {
		return err
	}
	d.record(service, kind, reply, elapsed, reply.Outcome != "answered" || answerMatches(reply.Body, kind, body, digest))
	return nil
}

// record counts one outcome. A result with correct unset, an unexpected outcome
// and a latency above the histogram's limit each count as wrong.
func (d *driver) record(service, kind string, reply operator.Reply, elapsed time.Duration, correct bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := service + "/" + kind
	sum := d.summaries[key]
	if sum == nil {
		sum = &KindSummary{
			Service: service,
			Kind:    kind,
			latency: hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits),
		}
		d.summaries[key] = sum
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
		correct = false
	}
	if !correct {
		sum.Wrong++
	}
	if sum.latency.RecordValue(elapsed.Microseconds()) != nil {
		sum.Wrong++
	}
}

// summarize checks the complete run against the runs that the endpoints report.
func (d *driver) summarize() *Summary {
	s := &Summary{
		BrokenInvariants: d.fleet.Assert.Broken(),
	}
	for _, key := range slices.Sorted(maps.Keys(d.summaries)) {
		sum := d.summaries[key]
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
		s.MaxRunning = max(s.MaxRunning, report.MaxRunning)
		for digest, n := range report.Runs {
			runs[digest] += n
		}
	}
	s.Dials = len(d.dialDigests)
	for _, digest := range d.dialDigests {
		if runs[digest] > 1 {
			s.RepeatedDials++
		}
	}
	return s.withFaults()
}

// withFaults adds a fault for repeated dials, for an endpoint that ran more
// requests than its slots, and for each broken invariant.
func (s *Summary) withFaults() *Summary {
	if s.RepeatedDials > 0 {
		s.Faults = append(s.Faults, fmt.Sprintf("%d dials ran more than once", s.RepeatedDials))
	}
	if s.MaxRunning > endpointSlots {
		s.Faults = append(s.Faults, fmt.Sprintf("an endpoint ran %d requests at once; %d are allowed", s.MaxRunning, endpointSlots))
	}
	for name, n := range s.BrokenInvariants {
		s.Faults = append(s.Faults, fmt.Sprintf("invariant %s broken %d times", name, n))
	}
	return s
}
