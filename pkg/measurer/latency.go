// Package measurer records latency histograms for a process's metrics.
package measurer

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minMicros and maxMicros are the bounds of a histogram, in microseconds.
	minMicros = 10
	maxMicros = 60_000_000
	// significantDigits is the precision of recorded values, in decimal digits.
	significantDigits = 2
)

// Latency is a histogram of durations. It is safe for concurrent use.
type Latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Summary holds the count and quantiles of a histogram; durations are in
// milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-millis"`
	P99   float64 `json:"p99-millis"`
	P999  float64 `json:"p999-millis"`
	Max   float64 `json:"max-millis"`
}

// NewLatency returns an empty histogram.
func NewLatency() *Latency {
	return &Latency{
		h: hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

// Record adds a duration; a value outside the bounds counts as the nearest bound.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	micros := min(maxMicros, max(minMicros, d.Microseconds()))
	// RecordValue fails only for values outside the bounds.
	_ = l.h.RecordValue(micros)
}

// Summary returns the count and quantiles of all durations recorded so far.
func (l *Latency) Summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Summary{
		Count: l.h.TotalCount(),
		P50:   millis(l.h.ValueAtQuantile(50)),
		P99:   millis(l.h.ValueAtQuantile(99)),
		P999:  millis(l.h.ValueAtQuantile(99.9)),
		Max:   millis(l.h.Max()),
	}
}

func millis(micros int64) float64 {
	return float64(micros) / 1000
}
