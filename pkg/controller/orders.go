package controller

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/drainer"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// ordersChanged applies the orders to drain failure domains among rows of the operator
// table, which are the whole table if whole is set: an order without a row was withdrawn
// then, also if its deletion was never read.
func (e *Entry) ordersChanged(now time.Time, rows []storer.PartitionedRow, whole bool) {
	var read []drainer.Order
	changed := false
	for _, row := range rows {
		order, ok := e.deps.DecodeOrder(row)
		if !ok {
			continue
		}
		changed = e.orders.Apply(now, order, row.Deleted) || changed
		if !row.Deleted {
			read = append(read, order)
		}
	}
	if whole {
		changed = e.orders.Keep(read) || changed
	}
	if !changed {
		return
	}
	e.log.Info("orders to drain changed", "orders", len(e.orders.List()), "whole", whole)
	if e.owner.cell != nil {
		e.owner.cell.SetOrders(now, e.orders.List())
	}
}

// ordersRead records that the orders are complete as of a time.
func (e *Entry) ordersRead(at time.Time) {
	e.ordersReadAt = at
	if e.owner.cell != nil {
		e.owner.cell.OrdersRead(at)
	}
}

// DomainStatus is the state of a failure domain as an entry knows it.
type DomainStatus struct {
	Name  string        `json:"name"`
	State drainer.State `json:"state"`
	// SinceMillis is when the domain entered the state, and OrderedMillis when the last
	// order was read, both in milliseconds since 1970 and as far as the entry knows.
	SinceMillis   int64 `json:"since-millis"`
	OrderedMillis int64 `json:"ordered-millis,omitempty"`
	// OrderVersion is the version of the last order's row.
	OrderVersion uint64 `json:"order-version,omitempty"`
	// Runs counts the runs in the domain; only the owner of the cell knows them.
	Runs    *int `json:"runs,omitempty"`
	Runners *int `json:"runners,omitempty"`
}

// domainStatuses returns all failure domains if the entry owns the cell, or else those with
// an order.
func (e *Entry) domainStatuses() []DomainStatus {
	var list []DomainStatus
	if e.owner.cell == nil {
		for _, o := range e.orders.List() {
			list = append(list, newDomainStatus(drainer.Domain{
				Name:  o.Domain,
				State: drainer.StateDraining,
				Since: o.SeenAt,
				Order: o,
			}))
		}
		return list
	}
	for _, d := range e.owner.cell.Domains() {
		status := newDomainStatus(d)
		status.Runs, status.Runners = &d.Load.Runs, &d.Load.Runners
		list = append(list, status)
	}
	return list
}

func newDomainStatus(d drainer.Domain) DomainStatus {
	status := DomainStatus{
		Name:         d.Name,
		State:        d.State,
		SinceMillis:  d.Since.UnixMilli(),
		OrderVersion: d.Order.Version,
	}
	if d.Order.Version > 0 {
		status.OrderedMillis = d.Order.SeenAt.UnixMilli()
	}
	return status
}
