package scheduler

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/drainer"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// newDomainsHarness returns a cell with one runner of 32 processors in each of the named
// failure domains. The agents have the names of the domains.
func newDomainsHarness(t *testing.T, domains ...string) *cellHarness {
	t.Helper()
	h := newCellHarness(t, domains...)
	for _, domain := range domains {
		h.runners[domain].Runner.FailureDomain = domain
		h.report(domain)
	}
	return h
}

// order orders exactly these failure domains drained.
func (h *cellHarness) order(domains ...string) {
	var orders []drainer.Order
	for i, domain := range domains {
		orders = append(orders, drainer.Order{
			Domain:  domain,
			Version: uint64(i + 1),
		})
	}
	h.cell.SetOrders(h.now, orders)
	h.tickUntilIdle()
}

// placedOn returns how many tasks are placed on an agent's runner.
func (h *cellHarness) placedOn(agent string) int {
	return len(h.cell.agents[agent].tasks)
}

// finishAll finishes all runs of an agent's runner as done, or as stopped if that is asked.
func (h *cellHarness) finishAll(agent string, reason framer.FinishReason) {
	for _, r := range slices.Clone(h.runners[agent].Running) {
		h.finish(agent, r.RunRef, reason)
	}
}

// Guards against starts in a drained domain, against stops of what runs there and ends by
// itself, and against waiting tasks that do not go elsewhere. The domain is full when the
// order comes, and the others are nearly full.
func TestFullDomainThatIsOrderedDrainedGetsNoStart(t *testing.T) {
	h := newDomainsHarness(t, "east", "west")
	h.add("first", "checks", newStep(60, 1000))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptAllStarts()), 60)
	h.order("east")
	h.add("second", "checks", newStep(10, 1000))
	h.advance(3 * time.Second)
	assert.Equal(t, h.placedOn("east"), 30, "what runs there goes on")
	h.finishAll("east", framer.FinishDone)
	h.advance(time.Second)
	assert.Equal(t, h.placedOn("east"), 0)
	assert.Equal(t, h.placedOn("west"), 32)
	assert.Equal(t, h.cell.Domains()[0].State, drainer.StateDrained)
	h.order()
	h.advance(time.Second)
	assert.Equal(t, h.placedOn("east"), 8, "a domain that returns takes what waits")
}

// Guards against a start that stays requested although the order came before the agent's
// answer.
func TestUnacceptedStartInDrainedDomainIsWithdrawn(t *testing.T) {
	for _, sent := range []bool{false, true} {
		t.Run("sent "+strconv.FormatBool(sent), func(t *testing.T) {
			h := newDomainsHarness(t, "east")
			h.add("j", "checks", newStep(1, 1000))
			h.tickUntilIdle()
			if sent {
				assert.Equal(t, len(h.cell.Sync(h.now, "east", true).Starts), 1)
			}
			h.order("east")
			sync := h.cell.Sync(h.now, "east", true)
			assert.Equal(t, len(sync.Starts), 0)
			if sent {
				assert.DeepEqual(t, sync.Stops, []framer.RunRef{runRef("j.0.0.0", 1)})
			}
			assert.Assert(t, sync.LeaseUntilMillis > 0, "what runs there goes on")
		})
	}
}

// A new owner does not know which of the starts of a former one were accepted: it requests
// none of them, and stops only those that a later listing lacks.
func TestNewOwnerOfDrainedDomainStopsNoRun(t *testing.T) {
	h := newDomainsHarness(t, "east")
	spec := Spec{
		ID:      "j",
		Queue:   "checks",
		Service: "polls",
		Steps:   []Step{newStep(2, 1000)},
	}
	progress := Progress{
		State: StateRunning,
		Tasks: slices.Repeat([]TaskProgress{{
			Run:                   1,
			RunnerID:              "i-east",
			RunnerStartedAtMillis: 1000,
		}}, 2),
	}
	h.order("east")
	h.cell.Load(h.now, spec, progress)
	assert.Equal(t, len(h.cell.Sync(h.now, "east", true).Starts), 0)
	assert.Equal(t, len(h.cell.Sync(h.now, "east", true).Stops), 0)
	h.runners["east"].Running = []framer.RunStatus{{
		RunRef: runRef("j.0.0.0", 1),
	}}
	h.advance(2 * time.Second)
	assert.DeepEqual(t, h.cell.Sync(h.now, "east", true).Stops, []framer.RunRef{runRef("j.0.0.1", 1)})
}

// Guards against starts on a runner that registers after its domain was ordered drained.
func TestRunnerThatRegistersInDrainedDomainGetsNoStart(t *testing.T) {
	h := newDomainsHarness(t)
	h.order("east")
	h.add("j", "checks", newStep(1, 1000))
	added := newDomainsHarness(t, "east")
	h.runners["east"] = added.runners["east"]
	h.advance(3 * time.Second)
	assert.Equal(t, h.placedOn("east"), 0)
	assert.Equal(t, h.cell.Waits().ByCause[causeDomainDraining], int64(1))
	h.order()
	h.advance(200 * time.Millisecond)
	assert.Equal(t, h.placedOn("east"), 1)
}

// With all domains ordered drained, all work waits until an order is withdrawn. A job that
// waits must not count the idle capacity there, and no quarantined runner is probed there.
func TestAllDomainsDrainedHoldAllWork(t *testing.T) {
	h := newDomainsHarness(t, "east", "west")
	h.quarantineAll(time.Second)
	h.order("east", "west")
	gang := newStep(2, 1000)
	gang.Gang = true
	h.add("gang", "reviews", gang)
	h.add("watch", "reviews", longRunningStep(1, 1000))
	h.advance(10 * time.Second)
	assert.Equal(t, h.placedOn("east")+h.placedOn("west"), 0)
	assert.Assert(t, !h.cell.mostlyIdle("polls"))
	h.order("east")
	h.advance(4 * time.Second)
	assert.Equal(t, h.placedOn("east"), 0)
	assert.Equal(t, h.placedOn("west"), 3)
}

// Domains are drained in turn, and an order is withdrawn halfway: each takes starts again as
// soon as its own order is gone.
func TestDomainsDrainedInTurn(t *testing.T) {
	h := newDomainsHarness(t, "east", "west")
	for i, drained := range []string{"east", "west", "east"} {
		h.order(drained)
		h.add("j"+strconv.Itoa(i), "checks", newStep(4, 1000))
		h.advance(time.Second)
		other := map[string]string{"east": "west", "west": "east"}[drained]
		for _, ref := range h.acceptStarts(other) {
			h.finish(other, ref, framer.FinishDone)
		}
		assert.Equal(t, len(h.runners[drained].Running), 0)
		h.advance(time.Second)
		assert.Equal(t, h.placedOn(drained), 0)
	}
}

// An owner that cannot read the orders starts nothing once its reading is old, and goes on
// renewing leases.
func TestOwnerWithOldReadingOfOrdersStartsNothing(t *testing.T) {
	h := newDomainsHarness(t, "east")
	h.cell.cfg.DrainWithin = 5 * time.Second
	h.cell.OrdersRead(h.now)
	h.add("j", "checks", newStep(1, 1000))
	h.tickUntilIdle()
	sync := h.cell.Sync(h.now, "east", true)
	assert.Equal(t, len(sync.Starts), 1)
	s := h.cell.agents["east"]
	assert.Equal(t, sync.StartsUntilMillis, s.clockMillis+1500, "the agent has until then")
	h.now = h.now.Add(2501 * time.Millisecond)
	h.report("east")
	h.add("k", "checks", newStep(1, 1000))
	h.tickUntilIdle()
	sync = h.cell.Sync(h.now, "east", true)
	assert.Equal(t, len(sync.Starts), 0)
	assert.Assert(t, sync.LeaseUntilMillis > 0)
	assert.Equal(t, h.placedOn("east"), 1)
	h.cell.OrdersRead(h.now)
	h.tickUntilIdle()
	assert.Equal(t, len(h.cell.Sync(h.now, "east", true).Starts), 2)
}

// newMovesHarness returns a cell that has a long-running step of three tasks in a domain,
// and room elsewhere.
func newMovesHarness(t *testing.T, maxUnavailable int) *cellHarness {
	h := newDomainsHarness(t, "east")
	step := longRunningStep(3, 1000)
	step.MaxUnavailable = maxUnavailable
	h.add("watch", "checks", step)
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("east")), 3)
	west := newDomainsHarness(t, "west")
	h.runners["west"] = west.runners["west"]
	h.report("west")
	return h
}

// Guards against moves of several tasks of a step at a time: the next one is moved once the
// last one is at work.
func TestLongRunningTasksAreMovedOneAtATime(t *testing.T) {
	for _, maxUnavailable := range []int{0, 1, 2} {
		t.Run(strconv.Itoa(maxUnavailable), func(t *testing.T) { testMovesOneAtATime(t, maxUnavailable) })
	}
}

func testMovesOneAtATime(t *testing.T, maxUnavailable int) {
	h := newMovesHarness(t, maxUnavailable)
	h.order("east")
	for moved := 1; moved <= 3; moved++ {
		h.advance(time.Second)
		stops := h.cell.Sync(h.now, "east", true).Stops
		assert.Equal(t, len(stops), 1)
		h.finish("east", stops[0], framer.FinishStopped)
		h.tickUntilIdle()
		// Its next run is there, and not at work yet.
		for _, start := range h.cell.Sync(h.now, "west", true).Starts {
			h.runners["west"].Running = append(h.runners["west"].Running, framer.RunStatus{
				RunRef: start.RunRef,
			})
		}
		h.advance(3 * time.Second)
		assert.Equal(t, len(h.cell.Sync(h.now, "east", true).Stops), 0)
		for i := range h.runners["west"].Running {
			h.runners["west"].Running[i].Percent = 100
		}
	}
	h.advance(time.Second)
	assert.Equal(t, h.placedOn("west"), 3)
	assert.Equal(t, h.cell.Counts.Moved, int64(3))
}

// Guards against moves of tasks of which one is down for another reason, or for which there
// is no room elsewhere.
func TestLongRunningTasksThatMayNotMoveStay(t *testing.T) {
	t.Run("as many as allowed are unavailable", func(t *testing.T) {
		h := newMovesHarness(t, 1)
		h.runners["east"].Running[0].Percent = 0
		h.finish("east", h.runners["east"].Running[1].RunRef, framer.FinishFailed)
		h.order("east")
		h.advance(5 * time.Second)
		assert.Equal(t, h.cell.Counts.Moved, int64(0))
	})
	t.Run("no other runner has room", func(t *testing.T) {
		h := newMovesHarness(t, 1)
		h.add("full", "checks", newStep(61, 1000))
		h.tickUntilIdle()
		h.acceptAllStarts()
		h.order("east")
		h.advance(5 * time.Second)
		assert.Equal(t, h.cell.Counts.Moved, int64(0))
	})
	t.Run("gangs are not split", func(t *testing.T) {
		h := newDomainsHarness(t, "east", "west")
		gang := longRunningStep(2, 20_000)
		gang.Gang = true
		h.add("gang", "checks", gang)
		h.tickUntilIdle()
		h.acceptAllStarts()
		h.order("east")
		h.advance(5 * time.Second)
		assert.Equal(t, h.cell.Counts.Moved, int64(0))
	})
}

// Guards against a moved task that waits because another one got the room held for it.
func TestRoomIsHeldForTaskOnItsWay(t *testing.T) {
	h := newMovesHarness(t, 1)
	h.order("east")
	h.advance(300 * time.Millisecond)
	assert.Equal(t, h.cell.Counts.Moved, int64(1))
	h.add("full", "checks", newStep(40, 1000))
	h.tickUntilIdle()
	assert.Equal(t, h.placedOn("west"), 31)
	h.cell.Cancel(h.now, "watch")
	h.advance(300 * time.Millisecond)
	assert.Equal(t, h.placedOn("west"), 32)
}

// Guards against a cold runner that gets its whole load at once.
func TestColdRunnerIsLoadedInSteps(t *testing.T) {
	h := newDomainsHarness(t, "east")
	h.cell.cfg.ColdRuns = 2
	cold := func(left time.Duration) {
		h.runners["east"].Runner.ColdMillis = left.Milliseconds()
		h.report("east")
	}
	cold(8 * time.Second)
	h.add("j", "checks", newStep(40, 1000))
	h.tickUntilIdle()
	for passed, placed := range []int{8, 8, 8, 16, 16, 16, 24, 24, 32} {
		cold(time.Duration(8-passed) * time.Second)
		h.tickUntilIdle()
		assert.Equal(t, h.placedOn("east"), placed, "after %d s", passed)
		h.now = h.now.Add(time.Second)
	}
}
