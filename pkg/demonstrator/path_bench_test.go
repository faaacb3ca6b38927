package demonstrator

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/operator"
)

// BenchmarkPath compares requests through an entry and an agent with direct calls
// to the same endpoints in one run. Callers, entries, agents and endpoints share
// one process, so the difference in processor time is the cost of the path.
func BenchmarkPath(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	fleet, err := StartFleet(groupCtx, group, hclog.NewNullLogger(), 4)
	assert.NilError(b, err)
	for _, e := range fleet.Endpoints {
		clear(e.RunTimes)
	}
	client, err := operator.New(fleet.Entries)
	assert.NilError(b, err)
	assert.NilError(b, publish(ctx, client, fleet.Entries, demoServices()[0]))
	for _, callers := range []int{1, 16} {
		b.Run(fmt.Sprintf("direct/callers-%d", callers), func(b *testing.B) {
			measure(b, callers, fleet.EndpointAddresses, "/run")
		})
		b.Run(fmt.Sprintf("path/callers-%d", callers), func(b *testing.B) {
			measure(b, callers, fleet.Entries, "/v1/services/central-polls/requests")
		})
	}
	cancel()
	assert.NilError(b, group.Wait())
}

// measure sends b.N requests round-robin to the addresses and reports processor
// time per request and latency quantiles.
func measure(b *testing.B, callers int, addresses []string, path string) {
	var clients []*operator.Client
	for _, address := range addresses {
		client, err := operator.New([]string{address})
		assert.NilError(b, err)
		clients = append(clients, client)
	}
	latency := hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(callers)
	before := processorTime(b)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		group.Go(func() error {
			started := time.Now()
			reply, err := clients[i%len(clients)].Do(context.Background(), operator.Call{
				Method: "POST",
				Path:   path,
				Body:   []byte("list"),
			})
			elapsed := time.Since(started)
			if err == nil && reply.Status != 200 {
				err = reply.Error()
			}
			mu.Lock()
			defer mu.Unlock()
			// The error is ignored: no deadline is longer than the histogram's limit.
			_ = latency.RecordValue(elapsed.Microseconds())
			return err
		})
	}
	assert.NilError(b, group.Wait())
	b.StopTimer()
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-µs")
}

// processorTime returns the user and system time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
