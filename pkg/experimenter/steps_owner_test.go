package experimenter

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/controller"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

// stepsOwner is the process that owns the cell.
type stepsOwner struct {
	cell       *scheduler.Cell
	epoch      uint64
	committing bool
	stopped    bool
	// validUntil is the time until which the owner may act.
	validUntil time.Time
}

// replaceOwner creates a new owner after a delay. Until then the former owner is
// no longer ticked, but still receives reports and completes its commit, as an
// owner can until its lease expires.
func (sim *stepsSimulation) replaceOwner(after time.Duration) {
	former := sim.owner
	sim.owner = nil
	sim.After(after, func() {
		if former != nil {
			former.stopped = true
		}
		sim.epoch++
		sim.owners++
		o := &stepsOwner{
			epoch:      sim.epoch,
			validUntil: sim.Now().Add(time.Hour),
		}
		o.cell = scheduler.NewCell(scheduler.Config{
			Epoch:           sim.epoch,
			Assert:          fatalAsserter(sim.t, sim.seed),
			LogEvent:        func(message string, pairs ...any) { sim.logf("cell: %s %v", message, pairs) },
			Lease:           sim.lease,
			LongestLease:    sim.longestLease,
			FormerLeasesEnd: sim.formerLeasesEnd(),
			DelayedLeases:   sim.delayedLeases(former),
			MaxReservations: sim.maxReservations,
			DrainWithin:     sim.drainWithin(),
		})
		o.cell.SetQueues(sim.queues)
		sim.tellOrders(o)
		for _, id := range slices.Sorted(maps.Keys(sim.specs)) {
			spec := sim.specs[id]
			if p, ok := sim.progress[id]; ok {
				o.cell.Load(sim.Now(), spec, p)
			} else {
				o.cell.Add(sim.Now(), spec)
			}
			if _, ok := sim.cancelled[id]; ok {
				o.cell.Cancel(sim.Now(), id)
			}
		}
		sim.logf("simulation: owner of epoch %d starts", sim.epoch)
		sim.owner = o
	})
}

// grantedLease returns the lease that owners grant on a platform whose runners
// accept leases up to longest.
func grantedLease(longest time.Duration) time.Duration {
	return controller.RunnerLease(configurer.Fleet{
		LongestLease:  publisher.Duration(longest),
		RestartWithin: configurer.FleetDefaults().RestartWithin,
	})
}

// formerLeasesEnd returns when the last lease expires that an owner which is
// replaced now can have granted.
func (sim *stepsSimulation) formerLeasesEnd() time.Time {
	return sim.Now().Add(sim.ownerLease + scheduler.MaxLease(sim.lease))
}

// delayedLeases returns what the former owner knew of leases that delayed calls can
// have granted.
func (sim *stepsSimulation) delayedLeases(former *stepsOwner) map[string]time.Time {
	if former == nil {
		return nil
	}
	return former.cell.DelayedLeases(sim.Now())
}

// tickOwner connects agents, ticks the cell, sends changed syncs to agents and
// commits.
func (sim *stepsSimulation) tickOwner(o *stepsOwner) {
	valid := sim.Now().Before(o.validUntil)
	for _, a := range sim.agents {
		if a.owner != o && !a.partitioned && !a.inbox.stopped {
			sim.disconnect(a)
			a.owner = o
			a.links++
			sim.send(a, o, valid)
		}
	}
	o.cell.Tick(sim.Now(), valid)
	for _, name := range o.cell.Dirty() {
		for _, a := range sim.agents {
			if a.name == name && a.owner == o {
				sim.send(a, o, valid)
			}
		}
	}
	sim.commit(o)
}

func (sim *stepsSimulation) send(a *stepsAgent, o *stepsOwner, valid bool) {
	s := o.cell.Sync(sim.Now(), a.name, valid)
	incarnation, link := a.incarnation, a.links
	delay := time.Duration(1+sim.rnd.IntN(5)) * time.Millisecond
	sim.After(delay, func() {
		if !a.partitioned && a.incarnation == incarnation && a.owner == o {
			a.inbox.deliver(link, func() { sim.syncReceived(a, link, s) })
		}
	})
}

// commit writes the changed progress rows to the store, with a higher epoch if the
// cell requires one, unless a newer owner has taken over. It retries every 100 ms
// while the store is down.
func (sim *stepsSimulation) commit(o *stepsOwner) {
	if o.committing {
		return
	}
	commit, ok := o.cell.Commit()
	raise := o.cell.EpochRaiseDue()
	if !ok && !raise {
		return
	}
	o.committing = true
	var write func()
	write = func() {
		if o.stopped || o.epoch != sim.epoch {
			return
		}
		if sim.storeDown {
			sim.After(100*time.Millisecond, write)
			return
		}
		for _, row := range commit.Rows {
			sim.progress[row.ID] = row.Progress
		}
		if raise {
			sim.epoch++
			o.epoch = sim.epoch
		}
		sim.After(8*time.Millisecond, func() {
			if o.stopped {
				return
			}
			o.committing = false
			o.cell.SetEpoch(o.epoch)
			o.cell.Committed(commit)
		})
	}
	sim.After(8*time.Millisecond, write)
}
