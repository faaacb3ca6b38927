package experimenter

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
)

// CellWorker is an instance that runs tasks.
type CellWorker struct {
	Address string
	Worker  *emulator.Worker

	domain   string
	rack     string
	alive    bool
	bootedAt time.Time
}

// cellFailureDomains are the failure domains, to which workers are assigned in
// turn.
var cellFailureDomains = [...]string{"quito-norte", "quito-sur", "cumbaya"}

// workersPerRack is the number of workers of each failure domain that share a
// rack name.
const workersPerRack = 3

// boot starts an instance's worker as a new incarnation without tasks.
func (sim *CellSimulation) boot(cw *CellWorker) {
	sim.incarnation++
	worker := emulator.NewWorker(sim.incarnation, cw.domain, cw.rack, sim.cfg.Capacity)
	worker.PutCheckpoint = func(name string, progress int64) { sim.checkpoints[name] = progress }
	worker.GetCheckpoint = func(name string) int64 { return sim.checkpoints[name] }
	worker.OnStart = func(id string, _ int) { sim.recordStart(id, cw.Address) }
	worker.OnStop = func(id string, _ int) { delete(sim.Running[id], cw.Address) }
	cw.Worker = worker
	cw.alive = true
	cw.bootedAt = sim.now
	sim.Every(100*time.Millisecond, func() bool {
		if cw.Worker == worker && cw.alive {
			worker.Advance(sim.clockMillis(cw))
		}
		return cw.Worker == worker && cw.alive
	})
}

func (sim *CellSimulation) clockMillis(cw *CellWorker) int64 {
	return sim.now.Sub(cw.bootedAt).Milliseconds()
}

// KillWorker terminates an instance and the tasks that run on it.
func (sim *CellSimulation) KillWorker(cw *CellWorker) {
	cw.alive = false
	for _, addresses := range sim.Running {
		delete(addresses, cw.Address)
	}
}

// RebootWorker starts a killed instance as a new incarnation without tasks.
func (sim *CellSimulation) RebootWorker(cw *CellWorker) {
	if !cw.alive {
		sim.boot(cw)
	}
}

// addresses returns the addresses of all workers.
func (sim *CellSimulation) addresses() []string {
	var list []string
	for _, cw := range sim.Workers {
		list = append(list, cw.Address)
	}
	return list
}

func (sim *CellSimulation) workerAt(address string) *CellWorker {
	for _, cw := range sim.Workers {
		if cw.Address == address {
			return cw
		}
	}
	return nil
}

// Alive reports whether the instance has not been killed.
func (cw *CellWorker) Alive() bool {
	return cw.alive
}
