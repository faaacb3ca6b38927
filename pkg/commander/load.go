package commander

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/bilberrywalk/bilberrywalk/pkg/operator"
)

const (
	// maxLoadLatencyMicros is the highest latency that the histogram records, in
	// microseconds.
	maxLoadLatencyMicros = 120_000_000
	// loadSignificantDigits is the precision of the histogram.
	loadSignificantDigits = 3
	microsPerMilli        = 1000
)

// loadCommand sends requests to the entries in turn, at up to Rate a second and
// with at most Callers in flight, and counts their outcomes.
type loadCommand struct {
	operatorFlags
	Service string        `help:"The service's name." default:"central-polls"`
	Kind    string        `help:"The kind of request; the document's first by default."`
	Rate    float64       `help:"Requests a second." default:"100"`
	Span    time.Duration `help:"How long to send." default:"5s"`
	Callers int           `help:"The most requests in flight." default:"64"`
	Bytes   int           `help:"Bytes of a request's body." default:"100"`
}

// loadSummary counts requests by outcome and gives latency quantiles in
// milliseconds.
type loadSummary struct {
	Sent      int            `json:"sent"`
	Outcomes  map[string]int `json:"outcomes"`
	P50Millis float64        `json:"p50-millis"`
	P99Millis float64        `json:"p99-millis"`
}

// Run implements the command.
func (cmd loadCommand) Run(ctx context.Context, s *streams) error {
	var clients []*operator.Client
	for _, entry := range cmd.Entries {
		client, err := operator.New([]string{entry})
		if err != nil {
			return err
		}
		clients = append(clients, client)
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Span)
	defer cancel()
	sum := loadSummary{
		Outcomes: map[string]int{},
	}
	latency := hdrhistogram.New(1, maxLoadLatencyMicros, loadSignificantDigits)
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(cmd.Callers)
	limiter := rate.NewLimiter(rate.Limit(cmd.Rate), 1)
	for limiter.Wait(ctx) == nil {
		client := clients[sum.Sent%len(clients)]
		sum.Sent++
		group.Go(func() error {
			outcome, elapsed := cmd.send(client)
			mu.Lock()
			defer mu.Unlock()
			sum.Outcomes[outcome]++
			return latency.RecordValue(elapsed.Microseconds())
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	sum.P50Millis = float64(latency.ValueAtQuantile(50)) / microsPerMilli
	sum.P99Millis = float64(latency.ValueAtQuantile(99)) / microsPerMilli
	if cmd.JSON {
		return printJSON(s, sum)
	}
	return printLine(s, "%d sent: %s; p50 %.1f ms, p99 %.1f ms", sum.Sent, fmt.Sprint(sum.Outcomes), sum.P50Millis, sum.P99Millis)
}

// send sends one request and returns its outcome and latency. The outcome is
// "no-answer" if the entry returned none.
func (cmd loadCommand) send(client *operator.Client) (string, time.Duration) {
	headers := map[string]string{}
	if cmd.Kind != "" {
		headers["Bilberrywalk-Kind"] = cmd.Kind
	}
	started := time.Now()
	reply, err := client.Do(context.Background(), operator.Call{
		Method:     "POST",
		Path:       "/v1/services/" + cmd.Service + "/requests",
		Headers:    headers,
		Body:       make([]byte, cmd.Bytes),
		AtMostOnce: true,
	})
	elapsed := time.Since(started)
	if err != nil || reply.Outcome == "" {
		return "no-answer", elapsed
	}
	return reply.Outcome, elapsed
}
