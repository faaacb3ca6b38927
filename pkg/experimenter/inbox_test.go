package experimenter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Guards against tasks and cancellations that the owner never reads, because as
// many tasks as one scan returns wait before them in the inbox.
func TestWaitingTasksDoNotHideOthers(t *testing.T) {
	sim := newTestCellSimulation(t, 1)
	for _, o := range sim.Owners {
		o.Core.SetQuota("condor", publisher.Resources{
			ProcessorMillis: 1000,
			MemoryBytes:     4 << 30,
		})
	}
	for i := range 1200 {
		mustSubmit(t, sim, smallJob(fmt.Sprintf("a-%04d", i), 3, 3_600_000))
		sim.RunUntil(sim.Now().Add(20 * time.Millisecond))
	}
	other := smallJob("z-other", 9, 3_600_000)
	other.Team = "lisciva"
	mustSubmit(t, sim, other)
	jobs := overseer.NewJobs(sim.Platform.Table())
	assert.NilError(t, jobs.Cancel(context.Background(), "cell-1/a-1199"))
	sim.RunUntil(sim.Now().Add(maxStartLatency))
	assert.Equal(t, sim.Starts[other.ID], 1, "the task of the other team did not start")
	task, err := jobs.Get(context.Background(), "cell-1/a-1199")
	assert.NilError(t, err)
	assert.Equal(t, task.State, placer.StateCancelled)
}
