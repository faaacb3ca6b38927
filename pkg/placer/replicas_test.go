package placer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a new owner that stops all replicas because it acquired the cell
// before it had read the document of their service.
func TestReplicasOfUnknownServiceKeepRunning(t *testing.T) {
	c := NewCell(start, "cell-1", 2, []string{"worker-000"}, fatalAsserter(t))
	replica := Task{
		Spec: Spec{
			ID:      "cell-1/replica-central-polls-0-1-1",
			Class:   ClassLatencyCritical,
			Service: "central-polls",
		},
		State:             StatePlaced,
		Worker:            "worker-000",
		WorkerIncarnation: 1,
		Start:             1,
	}
	c.Load(replica, 1)
	c.HandleReport(start, "worker-000", reportOf(1, TaskReport{ID: replica.Spec.ID, Start: 1, State: RunRunning}))
	c.Tick(start)
	task, _ := c.Task(replica.Spec.ID)
	assert.Equal(t, task.State, StateRunning)
	c.SetReplicas("central-polls", ReplicaNeed{})
	c.Tick(start)
	task, _ = c.Task(replica.Spec.ID)
	assert.Equal(t, task.State, StateCancelling)
}
