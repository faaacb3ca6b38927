package experimenter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/drainer"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

const (
	drainWithin    = 5 * time.Second
	drainedDomains = 3
)

// draining simulates operators who order failure domains drained. The zero value does not.
type draining struct {
	rnd *rand.Rand
	// orderedAt is when the store confirmed the orders in force.
	orderedAt map[string]time.Time
	version   uint64
	// read are the orders that the entries have read, complete as of readAt. They read
	// nothing until unreadUntil.
	read        drainer.Orders
	readAt      time.Time
	unreadUntil time.Time
}

// startDraining spreads the agents over failure domains and lets operators order some drained
// until a time.
func (sim *stepsSimulation) startDraining(until time.Time) {
	sim.draining = draining{
		rnd:       rand.New(rand.NewPCG(sim.seed, 80)),
		orderedAt: map[string]time.Time{},
	}
	d := &sim.draining
	for i, a := range sim.agents {
		a.info.FailureDomain = fmt.Sprintf("domain-%d", i%drainedDomains)
	}
	sim.Every(4*time.Second, func() bool {
		domain := fmt.Sprintf("domain-%d", d.rnd.IntN(drainedDomains))
		_, ordered := d.orderedAt[domain]
		d.version++
		if ordered {
			delete(d.orderedAt, domain)
		} else {
			d.orderedAt[domain] = sim.Now()
		}
		sim.logf("simulation: %s ordered drained: %v", domain, !ordered)
		return sim.Now().Before(until)
	})
	sim.Every(7*time.Second, func() bool {
		d.unreadUntil = sim.Now().Add(time.Duration(d.rnd.IntN(8000)) * time.Millisecond)
		return sim.Now().Before(until)
	})
	sim.Every(100*time.Millisecond, func() bool {
		sim.readOrders()
		return true
	})
	sim.After(until.Add(5*time.Second).Sub(sim.Now()), func() { clear(d.orderedAt) })
}

// readOrders lets the entries read the orders.
func (sim *stepsSimulation) readOrders() {
	d := &sim.draining
	if sim.storeDown || sim.Now().Before(d.unreadUntil) {
		return
	}
	d.readAt = sim.Now()
	var read []drainer.Order
	for domain, at := range d.orderedAt {
		order := drainer.Order{
			Domain:  domain,
			Version: uint64(at.UnixNano()),
		}
		read = append(read, order)
		d.read.Apply(sim.Now(), order, false)
	}
	d.read.Keep(read)
	if sim.owner != nil {
		sim.tellOrders(sim.owner)
	}
}

// tellOrders hands an owner what the entries have read.
func (sim *stepsSimulation) tellOrders(o *stepsOwner) {
	if sim.draining.rnd != nil {
		o.cell.OrdersRead(sim.draining.readAt)
		o.cell.SetOrders(sim.Now(), sim.draining.read.List())
	}
}

// drainWithin returns the bound that owners keep; zero without orders.
func (sim *stepsSimulation) drainWithin() time.Duration {
	if sim.draining.rnd == nil {
		return 0
	}
	return drainWithin
}

// checkDrained fails the test if a start is requested of a runner whose failure domain was
// ordered drained longer than the bound ago.
func (sim *stepsSimulation) checkDrained(a *stepsAgent, ref framer.RunRef) {
	at, ordered := sim.draining.orderedAt[a.info.FailureDomain]
	if ordered && sim.Now().Sub(at) > drainWithin {
		sim.fatalf(ref.Task, "%s run %d is started in %s, which was ordered drained at %s", ref.Task, ref.Run,
			a.info.FailureDomain, at.Format("15:04:05.000"))
	}
}

// submitLasting stores a job of long-running tasks, which is cancelled at the end.
func (sim *stepsSimulation) submitLasting(id string, until time.Time) {
	spec := scheduler.Spec{
		ID:      id,
		Queue:   "q",
		Service: "s",
		Steps: []scheduler.Step{{
			Count:          3,
			LongRunning:    true,
			MaxUnavailable: 1,
			Needs: publisher.Resources{
				ProcessorMillis: 500,
			},
		}},
		AcceptedAtMillis: sim.Now().UnixMilli(),
	}
	sim.specs[id] = spec
	sim.After(until.Sub(sim.Now()), func() {
		sim.cancelled[id] = sim.Now()
		if sim.owner != nil {
			sim.owner.cell.Cancel(sim.Now(), id)
		}
	})
}

// TestDrainingUnderFaults orders failure domains drained and withdraws the orders at random
// times, while agents, runners, owners and the store fail: no agent requests a start in a
// domain later than the bound after its order, and every job finishes once the orders are gone.
func TestDrainingUnderFaults(t *testing.T) {
	for _, seed := range seeds(6) {
		for name, processes := range map[string]stoppedProcesses{
			"processes lost":    {},
			"processes stopped": {kinds: []int{faultAgentStops, faultInstanceStops, faultAnswersLost}},
		} {
			t.Run(fmt.Sprintf("seed-%d %s", seed, name), func(t *testing.T) { testDraining(t, seed, processes) })
		}
	}
}

func testDraining(t *testing.T, seed uint64, processes stoppedProcesses) {
	sim := newStoppedSimulation(t, seed, stepsLongestLease, 6, processes)
	faultsUntil := sim.Now().Add(60 * time.Second)
	sim.startDraining(faultsUntil)
	runTime := sim.runTime
	sim.runTime = func(a *stepsAgent, ref framer.RunRef) (time.Duration, framer.FinishReason) {
		if sim.step(ref.Task).LongRunning {
			return time.Hour, framer.FinishDone
		}
		return runTime(a, ref)
	}
	sim.submitLasting("lasting", faultsUntil)
	n, moved, withdrawn := 0, int64(0), int64(0)
	sim.Every(300*time.Millisecond, func() bool {
		n++
		sim.submit(n)
		if sim.owner != nil {
			moved = max(moved, sim.owner.cell.Counts.Moved)
			withdrawn = max(withdrawn, sim.owner.cell.Counts.Withdrawn)
		}
		return sim.Now().Before(faultsUntil)
	})
	sim.Every(2500*time.Millisecond, func() bool {
		if len(processes.kinds) > 0 {
			sim.injectOneOf(processes.kinds...)
		} else {
			sim.injectFault()
		}
		return sim.Now().Before(faultsUntil)
	})
	sim.RunUntil(faultsUntil.Add(90 * time.Second))
	for id := range sim.specs {
		if state := sim.progress[id].State; !state.Final() {
			sim.fatalf(id+".", "%s is %s at the end", id, state)
		}
	}
	t.Logf("%d jobs; one owner moved %d tasks, one withdrew %d starts", len(sim.specs), moved, withdrawn)
	assert.Assert(t, len(sim.specs) > 150)
}
