package speculator

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of latest durations that are kept.
	maxSamples = 32
	// minSamples is the number of finished runs from which on their median is the usual
	// duration.
	minSamples = 3
)

// History holds the durations of the last finished runs. The zero value holds none.
type History struct {
	samples []time.Duration
	next    int
	median  time.Duration
}

// Add adds the duration of a finished run.
func (h *History) Add(d time.Duration) {
	if len(h.samples) < maxSamples {
		h.samples = append(h.samples, d)
	} else {
		h.samples[h.next] = d
		h.next = (h.next + 1) % maxSamples
	}
	sorted := slices.Sorted(slices.Values(h.samples))
	h.median = sorted[len(sorted)/2]
}

// Median returns the median duration; ok is false while there are too few.
func (h *History) Median() (d time.Duration, ok bool) {
	if h == nil || len(h.samples) < minSamples {
		return 0, false
	}
	return h.median, true
}

// Errors holds the ratios of durations to their estimates of the last finished runs.
type Errors struct {
	ratios History
}

// Add adds a finished run.
func (e *Errors) Add(d, estimate time.Duration) {
	if estimate > 0 {
		e.ratios.Add(time.Duration(float64(time.Second) * float64(d) / float64(estimate)))
	}
}

// Usual returns the usual duration of a task: that of the finished runs of its step, or else
// its estimate, corrected by the known error of estimates.
func Usual(step *History, errors *Errors, estimate time.Duration) time.Duration {
	if d, ok := step.Median(); ok {
		return d
	}
	if errors != nil {
		if ratio, ok := errors.ratios.Median(); ok {
			return time.Duration(float64(estimate) * ratio.Seconds())
		}
	}
	return portion(estimate, estimatePercent)
}
