package experimenter

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// replicaNeeds is what one replica of the tests needs.
var replicaNeeds = publisher.Resources{
	ProcessorMillis: 4000,
	MemoryBytes:     8 << 30,
}

// countRunningReplicas returns the number of running replicas, in total and by
// failure domain.
func countRunningReplicas(sim *CellSimulation) (int, map[string]int) {
	total, byDomain := 0, map[string]int{}
	for id, addresses := range sim.Running {
		if !strings.Contains(id, "/replica-") {
			continue
		}
		for address := range addresses {
			total++
			byDomain[sim.workerAt(address).domain]++
		}
	}
	return total, byDomain
}

func setReplicas(sim *CellSimulation, count int) {
	for _, o := range sim.Owners {
		o.Core.SetReplicas("central-polls", placer.ReplicaNeed{
			Team:  "condor",
			Count: count,
			Needs: replicaNeeds,
		})
	}
}

// TestReplicaCountIsRestored checks that a service's replicas return to their
// count after the loss of an instance and of a failure domain, and that the loss
// of the cell's owner starts none again.
func TestReplicaCountIsRestored(t *testing.T) {
	sim := NewCellSimulation(CellConfig{
		Seed:           1,
		Owners:         2,
		Workers:        9,
		Capacity:       testCapacity,
		Assert:         fatalAsserter(t, 1),
		CommitInterval: overseer.DefaultCommitInterval,
	})
	waitForReplicas := func(t *testing.T, count int, since time.Time) {
		t.Helper()
		for {
			total, _ := countRunningReplicas(sim)
			if total == count {
				t.Logf("%d replicas after %s", total, sim.Now().Sub(since))
				return
			}
			assert.Assert(t, sim.Now().Sub(since) <= maxStartLatency, "%d of %d run", total, count)
			sim.RunUntil(sim.Now().Add(20 * time.Millisecond))
		}
	}
	setReplicas(sim, 6)
	waitForReplicas(t, 6, sim.Now())
	t.Run("spread over failure domains", func(t *testing.T) {
		_, byDomain := countRunningReplicas(sim)
		for _, domain := range cellFailureDomains {
			assert.Equal(t, byDomain[domain], 2, "%v", byDomain)
		}
	})
	sim.RunUntil(sim.Now().Add(5 * time.Second))
	t.Run("an instance is lost", func(t *testing.T) {
		for _, cw := range sim.Workers {
			if cw.Worker.Running() > 0 {
				sim.KillWorker(cw)
				break
			}
		}
		waitForReplicas(t, 6, sim.Now())
	})
	sim.RunUntil(sim.Now().Add(5 * time.Second))
	t.Run("a failure domain is lost", func(t *testing.T) {
		for _, cw := range sim.Workers {
			if cw.domain == "quito-sur" {
				sim.KillWorker(cw)
			}
		}
		waitForReplicas(t, 6, sim.Now())
	})
	sim.RunUntil(sim.Now().Add(5 * time.Second))
	t.Run("the owner is killed", func(t *testing.T) {
		starts := len(sim.Starts)
		for _, o := range sim.Owners {
			if o.Core.Cell() != nil {
				o.Kill()
			}
		}
		sim.RunUntil(sim.Now().Add(15 * time.Second))
		total, _ := countRunningReplicas(sim)
		assert.Equal(t, total, 6)
		assert.Equal(t, len(sim.Starts), starts, "the change of owner started new replicas")
	})
	t.Run("the count is lowered", func(t *testing.T) {
		setReplicas(sim, 2)
		sim.RunUntil(sim.Now().Add(3 * time.Second))
		total, _ := countRunningReplicas(sim)
		assert.Equal(t, total, 2)
	})
	assert.Equal(t, len(sim.DoubleRuns), 0)
}
