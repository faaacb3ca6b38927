package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/drainer"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Guards against long-running tasks that are stopped for a move while the store is unavailable:
// they cannot start elsewhere.
func TestNothingIsMovedWhileNothingCanBePlaced(t *testing.T) {
	h := newMovesHarness(t, 1)
	h.cell.SetOrders(h.now, []drainer.Order{
		{
			Domain:  "east",
			Version: 1,
		},
	})
	for range 20 {
		h.now = h.now.Add(domainInterval)
		h.cell.Tick(h.now, false)
	}
	assert.Equal(t, h.cell.Counts.Moved, int64(0))
	h.report("east")
	h.report("west")
	h.cell.Tick(h.now, true)
	assert.Equal(t, h.cell.Counts.Moved, int64(1))
}

// Guards against an operator who takes a domain away while runs are left there: a new owner
// does not know the domain of a runner until its agent has reported it.
func TestDomainIsNotDrainedWhileRunnersWithRunsAreUnreported(t *testing.T) {
	h := newDomainsHarness(t, "west")
	h.cell.cfg.FormerLeasesEnd = h.now.Add(testLease)
	spec := Spec{
		ID:    "j",
		Queue: "checks",
		Steps: []Step{newStep(1, 500)},
	}
	h.cell.Load(h.now, spec, Progress{
		State: StateRunning,
		Tasks: []TaskProgress{
			{
				Run:                   1,
				RunnerID:              "i-east",
				RunnerStartedAtMillis: 1000,
			},
		},
	})
	h.order("east")
	h.advance(time.Second)
	assert.Equal(t, h.cell.Domains()[0].State, drainer.StateDraining)
}

// Guards against room that is held for a moved task and used by nobody: another task of its
// step waits, comes first in the step, and cannot use that room.
func TestMovedTaskIsPlacedBeforeOthersOfItsStep(t *testing.T) {
	tasks := newJob(time.Unix(10_000, 0), Spec{
		ID:    "j",
		Steps: []Step{newStep(3, 500)},
	}).tasks()
	tasks[1].roomOn = newRunnerState(framer.RunnerKey{}, time.Time{}, newRunnerIndex(), &syncQueue{})
	order := heldRoomFirst(tasks)
	assert.Equal(t, order[0], tasks[1])
	assert.Equal(t, order[1], tasks[0])
	assert.Equal(t, order[2], tasks[2])
}
