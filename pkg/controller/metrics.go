package controller

import (
	"github.com/bilberrywalk/bilberrywalk/pkg/estimator"
	"github.com/bilberrywalk/bilberrywalk/pkg/measurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

// Metrics are the counters and latencies of an entry.
type Metrics struct {
	Owner  bool             `json:"owner"`
	Epoch  uint64           `json:"epoch"`
	Jobs   int              `json:"jobs"`
	Agents int              `json:"agents"`
	Cell   scheduler.Counts `json:"cell"`
	Waits  scheduler.Waits  `json:"waits"`
	// Domains are the failure domains: all of them if the entry owns the cell, or else
	// those with an order.
	Domains []DomainStatus `json:"domains"`
	// OrdersAgeMillis is how old the reading of the orders to drain domains is; -1 if
	// there was none.
	OrdersAgeMillis int64 `json:"orders-age-millis"`
	// Starts counts the starts of each queue by size class; the owner's.
	Starts map[string]scheduler.QueueStarts `json:"starts,omitempty"`
	// Refused counts submissions and cancellations that had no effect, Unknown
	// those with an unknown outcome.
	Refused int64 `json:"refused"`
	// RefusedFor counts the submissions that were refused by the owner's estimates, by
	// reason. Estimates holds the estimates that the entry has read.
	RefusedFor map[string]int64  `json:"refused-for,omitempty"`
	Estimates  []estimator.Queue `json:"estimates,omitempty"`
	Unknown    int64             `json:"unknown"`
	Submits    measurer.Summary  `json:"submits"`
	Cancels    measurer.Summary  `json:"cancels"`
	Commits    measurer.Summary  `json:"commits"`
}

func (e *Entry) updateMetrics() {
	m := &Metrics{
		Owner:  e.owner.cell != nil,
		Epoch:  e.owner.lease.Epoch(),
		Jobs:   len(e.cache.jobs),
		Agents: len(e.agents),
	}
	if e.owner.cell != nil {
		m.Cell = e.owner.cell.Counts
		m.Waits = e.owner.cell.Waits()
		m.Starts = e.owner.cell.QueueStarts()
	}
	m.Domains, m.OrdersAgeMillis = e.domainStatuses(), -1
	if !e.ordersReadAt.IsZero() {
		m.OrdersAgeMillis = e.clock.Now().Sub(e.ordersReadAt).Milliseconds()
	}
	e.metrics.Store(m)
}

// Metrics returns the current metrics.
func (e *Entry) Metrics() Metrics {
	m := *e.metrics.Load()
	m.Refused = e.refused.Load()
	m.RefusedFor = e.admission.counts()
	if v := e.admission.view.Load(); v != nil {
		m.Estimates = v.Report.Queues
	}
	m.Unknown = e.unknown.Load()
	m.Submits = e.submits.Summary()
	m.Cancels = e.cancels.Summary()
	m.Commits = e.commits.Summary()
	return m
}
