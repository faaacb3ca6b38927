// Package drainer decides which failure domains take new runs. Operators order a
// domain drained and withdraw the order again. Orders holds the orders in force, and
// Drainer the state of each domain that follows from them. It does no I/O.
package drainer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Order is an operator's order to drain a failure domain.
type Order struct {
	Domain string
	// Version is the version of the order's row, SeenAt when this process read
	// that version first.
	Version uint64
	SeenAt  time.Time
}

// Orders are the orders in force, as far as a process has read them. The zero value
// holds none.
type Orders struct {
	byDomain map[string]Order
}

// Apply records that an order was written, or withdrawn if removed is set. It reports
// whether that changes anything.
func (o *Orders) Apply(now time.Time, order Order, removed bool) bool {
	known, ok := o.byDomain[order.Domain]
	switch {
	case removed:
		delete(o.byDomain, order.Domain)
		return ok
	case ok && known.Version == order.Version:
		return false
	default:
		if o.byDomain == nil {
			o.byDomain = map[string]Order{}
		}
		order.SeenAt = now
		o.byDomain[order.Domain] = order
		return true
	}
}

// Keep drops the orders that are not among those of a complete reading, and reports
// whether there were any.
func (o *Orders) Keep(read []Order) bool {
	before := len(o.byDomain)
	maps.DeleteFunc(o.byDomain, func(domain string, _ Order) bool {
		return !slices.ContainsFunc(read, func(r Order) bool { return r.Domain == domain })
	})
	return len(o.byDomain) != before
}

// List returns the orders in force, sorted by domain.
func (o *Orders) List() []Order {
	return slices.SortedFunc(maps.Values(o.byDomain), func(a, b Order) int { return cmp.Compare(a.Domain, b.Domain) })
}
