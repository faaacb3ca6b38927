package drainer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is the state of a failure domain.
type State string

// The states.
const (
	// StateActive: no order is in force, and no runner is cold because of a former one.
	StateActive State = "active"
	// StateDraining: ordered drained, and runs are left.
	StateDraining State = "draining"
	// StateDrained: ordered drained, and nothing runs there.
	StateDrained State = "drained"
	// StateReturning: the order was withdrawn, and runners are still cold.
	StateReturning State = "returning"
)

// returnTime is how long a domain counts as returning at least, so that its first
// heartbeats after the withdrawal can say whether its runners are cold.
const returnTime = 2 * time.Second

// Config holds the dependencies of a Drainer.
type Config struct {
	// LogEvent logs a change of state as a constant message with key/value pairs.
	// It may be nil.
	LogEvent func(message string, pairs ...any)
}

// Load is what a failure domain holds.
type Load struct {
	// Runs counts the runs there, Runners the runners, and Cold those that are not warm
	// yet.
	Runs    int
	Runners int
	Cold    int
}

// Domain is the state of a failure domain.
type Domain struct {
	Name  string
	State State
	// Since is when the domain entered the state, as far as this process knows.
	Since time.Time
	// Order is the last order for it; its Version is zero if there was none.
	Order Order
	Load  Load
}

// Drainer holds the state of each failure domain with runners or an order.
// It is not safe for concurrent use.
type Drainer struct {
	cfg     Config
	domains map[string]*Domain
}

// New returns a Drainer without orders.
func New(cfg Config) *Drainer {
	if cfg.LogEvent == nil {
		cfg.LogEvent = func(string, ...any) {}
	}
	return &Drainer{
		cfg:     cfg,
		domains: map[string]*Domain{},
	}
}

// SetOrders replaces the orders in force. A domain that was ordered anew is draining
// from the start, whatever it did before.
func (d *Drainer) SetOrders(now time.Time, orders []Order) {
	for _, order := range orders {
		known := d.domains[order.Domain]
		if known != nil && known.ordered() && known.Order.Version == order.Version {
			continue
		}
		if known == nil {
			known = &Domain{
				Name: order.Domain,
			}
			d.domains[order.Domain] = known
		}
		known.Order = order
		if !known.ordered() {
			d.enter(now, known, StateDraining)
		}
	}
	for _, known := range d.sorted() {
		ordered := slices.ContainsFunc(orders, func(o Order) bool { return o.Domain == known.Name })
		if known.ordered() && !ordered {
			d.enter(now, known, StateReturning)
		}
	}
}

// Accepts reports whether runs may be started in a failure domain.
func (d *Drainer) Accepts(domain string) bool {
	known := d.domains[domain]
	return known == nil || !known.ordered()
}

// Observe moves the domains to the states that follow from what they hold.
func (d *Drainer) Observe(now time.Time, loads map[string]Load) {
	for name := range loads {
		if d.domains[name] == nil {
			d.domains[name] = &Domain{
				Name:  name,
				State: StateActive,
				Since: now,
			}
		}
	}
	for _, known := range d.sorted() {
		load, found := loads[known.Name]
		known.Load = load
		switch known.State {
		case StateDraining:
			if load.Runs == 0 {
				d.enter(now, known, StateDrained)
			}
		case StateDrained:
			if load.Runs > 0 {
				d.enter(now, known, StateDraining)
			}
		case StateReturning:
			if load.Cold == 0 && now.Sub(known.Since) >= returnTime {
				d.enter(now, known, StateActive)
			}
		default:
			if !found {
				delete(d.domains, known.Name)
			}
		}
	}
}

// Snapshot returns all domains, sorted by name.
func (d *Drainer) Snapshot() []Domain {
	var list []Domain
	for _, known := range d.sorted() {
		list = append(list, *known)
	}
	return list
}

// enter records and logs that a domain enters a state.
func (d *Drainer) enter(now time.Time, known *Domain, state State) {
	known.State = state
	known.Since = now
	d.cfg.LogEvent("failure domain "+string(state), "domain", known.Name, "order-version", known.Order.Version, "runs", known.Load.Runs)
}

func (d *Drainer) sorted() []*Domain {
	return slices.SortedFunc(maps.Values(d.domains), func(a, b *Domain) int { return cmp.Compare(a.Name, b.Name) })
}

// ordered reports whether an order for the domain is in force.
func (d *Domain) ordered() bool {
	return d.State == StateDraining || d.State == StateDrained
}
