package holder

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// phase is where an order to the runner stands.
type phase int

const (
	// phaseStarting: the runner is to start the run.
	phaseStarting phase = iota + 1
	// phaseStarted: the runner took the run.
	phaseStarted
	// phaseStopping: the runner is to stop the run.
	phaseStopping
	// phaseSettling: the runner confirmed the stop; a listing shows whether
	// the run was ever there.
	phaseSettling
	// phaseNever: the run was not started and never will be.
	phaseNever
)

// order is a run that the owner asked for or wants gone.
type order struct {
	start framer.RunStart
	phase phase
	// calling is set while a call is on its way.
	calling bool
	// unanswered is set once a start had no answer, also one that an earlier
	// agent may have sent: it may be carried out later.
	unanswered bool
	retryAt    time.Time
	// settleAfter is the number of the first hold that may settle the order.
	settleAfter uint64
	wanted      bool
	// fence marks a run that an earlier life of the runner was told to start
	// and that must not start in this one.
	fence bool
}

func (c *Core) takeOrders(now time.Time, s framer.Sync) {
	for _, o := range c.orders {
		o.wanted = false
	}
	for _, start := range s.Starts {
		o := c.orders[start.RunRef]
		if o == nil {
			o = &order{
				start:      start,
				phase:      phaseStarting,
				unanswered: start.Repeated,
			}
			c.orders[start.RunRef] = o
		}
		o.wanted = true
	}
	for _, ref := range s.Stops {
		o := c.orders[ref]
		if o == nil {
			o = &order{
				start: framer.RunStart{
					RunRef: ref,
				},
			}
			c.orders[ref] = o
		}
		o.wanted = true
		if o.phase < phaseStopping {
			o.phase = phaseStopping
			o.retryAt = now
		}
	}
	maps.DeleteFunc(c.orders, func(_ framer.RunRef, o *order) bool {
		return !o.wanted && !o.calling && (!o.fence || o.phase != phaseStopping)
	})
}

func (c *Core) sendOrders(now time.Time) {
	refs := slices.SortedFunc(maps.Keys(c.orders), compareRefs)
	for _, ref := range refs {
		o := c.orders[ref]
		if o.calling || now.Before(o.retryAt) || c.calls >= maxCalls {
			continue
		}
		switch o.phase {
		case phaseStarting:
			c.sendStart(now, o)
		case phaseStopping:
			o.calling = true
			c.calls++
			c.Counts.Stops++
			c.actions = append(c.actions, Action{
				Stop: &StopCall{
					Order: c.order(),
					Ref:   ref,
				},
			})
		default:
		}
	}
}

func (c *Core) sendStart(now time.Time, o *order) {
	if c.runner.Draining {
		c.giveUpStart(now, o)
		return
	}
	if c.clockMillis == 0 || c.leaseUntilMillis <= c.clockMillis || now.Sub(c.listedAt) > verifiedFor {
		// The owner grants a lease once it knows the runner's clock, and a
		// runner that went silent may come back as another life.
		return
	}
	o.calling = true
	c.calls++
	c.Counts.Starts++
	c.actions = append(c.actions, Action{
		Start: &StartCall{
			Order: c.order(),
			Start: o.start,
		},
	})
}

// giveUpStart makes sure that a run is not started any more.
func (c *Core) giveUpStart(now time.Time, o *order) {
	if o.unanswered {
		o.phase = phaseStopping
		return
	}
	o.phase = phaseNever
	c.reportSoon(now)
}

// StartAnswered takes the runner's answer to a start, or its silence.
func (c *Core) StartAnswered(now time.Time, call StartCall, a Answer, err error) {
	c.calls--
	o := c.orders[call.Start.RunRef]
	if err != nil {
		c.Counts.Unanswered++
		c.doubtful[call.Start.RunRef] = now
	}
	if o == nil || call.Order.Runner != c.runner.Key {
		return
	}
	o.calling = false
	if !o.wanted {
		delete(c.orders, call.Start.RunRef)
		return
	}
	if err != nil {
		o.unanswered = true
		o.retryAt = now.Add(retryPause)
		return
	}
	c.readClock(a.ClockMillis)
	if o.phase != phaseStarting {
		return
	}
	if a.Refusal == "" {
		o.phase = phaseStarted
		c.reportSoon(now)
		return
	}
	c.Counts.Refusals++
	if a.Refusal == RefusalStaleRun {
		// It was there before; whether it ended or was only forbidden shows
		// in the lists after a stop.
		o.unanswered = true
	}
	c.giveUpStart(now, o)
}

// StopAnswered takes the runner's answer to a stop, or its silence.
func (c *Core) StopAnswered(now time.Time, call StopCall, a Answer, err error) {
	c.calls--
	o := c.orders[call.Ref]
	if o == nil || call.Order.Runner != c.runner.Key {
		return
	}
	o.calling = false
	if err != nil || a.Refusal != "" {
		o.retryAt = now.Add(retryPause)
		return
	}
	c.readClock(a.ClockMillis)
	o.phase = phaseSettling
	o.settleAfter = c.holds + 1
	c.nextHold = now
}

// doubts lists the starts that may still be carried out, and drops those that
// are too old for that.
func (c *Core) doubts(now time.Time) []framer.RunRef {
	maps.DeleteFunc(c.doubtful, func(_ framer.RunRef, at time.Time) bool { return now.Sub(at) > doubtFor })
	return slices.SortedFunc(maps.Keys(c.doubtful), compareRefs)
}

// fencing tells whether a start for an earlier life may still come through.
func (c *Core) fencing() bool {
	for _, o := range c.orders {
		if o.fence && o.phase == phaseStopping {
			return true
		}
	}
	return false
}
