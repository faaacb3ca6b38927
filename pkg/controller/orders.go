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
