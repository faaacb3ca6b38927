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

// replicasRunning counts the running replicas by failure domain.
func replicasRunning(w *CellWorld) (int, map[string]int) {
	total, byDomain := 0, map[string]int{}
	for id, places := range w.Running {
		if !strings.Contains(id, "/replica-") {
			continue
		}
		for address := range places {
			total++
			byDomain[w.worker(address).domain]++
		}
	}
	return total, byDomain
}

func setReplicas(w *CellWorld, count int) {
	for _, o := range w.Owners {
		o.Core.SetReplicas("central-polls", placer.ReplicaNeed{
			Team:  "condor",
			Count: count,
			Needs: publisher.Resources{
				ProcessorMillis: 4000,
				MemoryBytes:     8 << 30,
			},
		})
	}
}

// TestReplicasAreKept holds a service's replicas at their count through the
// loss of an instance, of a failure domain, and of the cell's owner.
func TestReplicasAreKept(t *testing.T) {
	w := NewCellWorld(CellConfig{
		Seed:           1,
		Owners:         2,
		Workers:        9,
		Capacity:       testCapacity,
		Assert:         fatalAsserter(t, 1),
		CommitInterval: overseer.DefaultCommitInterval,
	})
	restored := func(t *testing.T, count int, since time.Time) {
		t.Helper()
		for {
			total, _ := replicasRunning(w)
			if total == count {
				t.Logf("%d replicas after %s", total, w.Now().Sub(since))
				return
			}
			assert.Assert(t, w.Now().Sub(since) <= urgentLimit, "%d of %d run", total, count)
			w.RunUntil(w.Now().Add(20 * time.Millisecond))
		}
	}
	setReplicas(w, 6)
	restored(t, 6, w.Now())
	t.Run("spread over failure domains", func(t *testing.T) {
		_, byDomain := replicasRunning(w)
		for _, domain := range cellDomains {
			assert.Equal(t, byDomain[domain], 2, "%v", byDomain)
		}
	})
	w.RunUntil(w.Now().Add(5 * time.Second))
	t.Run("an instance is lost", func(t *testing.T) {
		for _, cw := range w.Workers {
			if cw.Worker.Running() > 0 {
				w.KillWorker(cw)
				break
			}
		}
		restored(t, 6, w.Now())
	})
	w.RunUntil(w.Now().Add(5 * time.Second))
	t.Run("a failure domain is lost", func(t *testing.T) {
		for _, cw := range w.Workers {
			if cw.domain == "quito-sur" {
				w.KillWorker(cw)
			}
		}
		restored(t, 6, w.Now())
	})
	w.RunUntil(w.Now().Add(5 * time.Second))
	t.Run("the owner dies", func(t *testing.T) {
		starts := len(w.Starts)
		for _, o := range w.Owners {
			if o.Core.Cell() != nil {
				o.Kill()
			}
		}
		w.RunUntil(w.Now().Add(15 * time.Second))
		total, _ := replicasRunning(w)
		assert.Equal(t, total, 6)
		assert.Equal(t, len(w.Starts), starts, "the change of owner started replicas anew")
	})
	t.Run("the count is lowered", func(t *testing.T) {
		setReplicas(w, 2)
		w.RunUntil(w.Now().Add(3 * time.Second))
		total, _ := replicasRunning(w)
		assert.Equal(t, total, 2)
	})
	assert.Equal(t, len(w.Doubled), 0)
}
