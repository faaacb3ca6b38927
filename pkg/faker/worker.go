package faker

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/server"
)

// maxWorkerBody bounds a call to the stand-in worker.
const maxWorkerBody = 4 << 20

// StaleEpochError says that a newer owner has spoken to the worker.
type StaleEpochError struct {
	Epoch, Highest uint64
}

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("epoch %d is stale; %d has been seen", e.Epoch, e.Highest)
}

// run is one start of a task on a worker.
type run struct {
	command placer.Command
	state   placer.RunState
	// progress is the work done until since, both in milliseconds.
	progress  int64
	since     int64
	throttled bool
	// slowdowns are a service's measured slowdowns, oldest first.
	slowdowns []slowdown
}

// slowdown is a service's slowdown at a time of the worker's clock.
type slowdown struct {
	atMillis int64
	value    float64
}

// throttledSpeed is how fast a throttled task runs, and how much of its
// interference it keeps.
const throttledSpeed = 0.3

func (r *run) speed() float64 {
	if r.throttled {
		return throttledSpeed
	}
	return 1
}

// settle books the work done until a time.
func (r *run) settle(clockMillis int64) {
	r.progress += int64(float64(clockMillis-r.since) * r.speed())
	r.since = clockMillis
}

// Worker is a stand-in for an instance that runs tasks. It starts what it is
// given, whether it fits or not, and stops everything when its lease lapses.
type Worker struct {
	// OnStart and OnStop are called for each start and end of a task.
	OnStart func(id string, start int)
	OnStop  func(id string, start int)
	// FailAll makes every task fail as soon as it starts.
	FailAll bool
	// Interfere tells how much a service is slowed by the weights of the
	// kinds of batch tasks beside it; nil means that it is not measured.
	Interfere func(service string, kinds map[string]float64) float64
	// PutCheckpoint keeps a checkpoint's progress under a name, and
	// GetCheckpoint reads it back.
	PutCheckpoint func(name string, progress int64)
	GetCheckpoint func(name string) int64

	mu         sync.Mutex
	report     placer.Report
	epoch      uint64
	leaseUntil int64
	runs       map[string]*run
	// stopped remembers starts that were stopped before they arrived.
	stopped map[string]int
}

// NewWorker returns a worker without tasks.
func NewWorker(incarnation uint64, failureDomain, rack string, capacity publisher.Resources) *Worker {
	checkpoints := map[string]int64{}
	return &Worker{
		OnStart:       func(string, int) {},
		OnStop:        func(string, int) {},
		PutCheckpoint: func(name string, progress int64) { checkpoints[name] = progress },
		GetCheckpoint: func(name string) int64 { return checkpoints[name] },
		report: placer.Report{
			Incarnation:   incarnation,
			FailureDomain: failureDomain,
			Rack:          rack,
			Capacity:      capacity,
		},
		runs:    map[string]*run{},
		stopped: map[string]int{},
	}
}

// Sync takes a lease and commands at a time of the worker's clock, and
// reports.
func (w *Worker) Sync(clockMillis int64, s placer.Sync) (placer.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.Epoch < w.epoch {
		return placer.Report{}, &StaleEpochError{
			Epoch:   s.Epoch,
			Highest: w.epoch,
		}
	}
	w.epoch = s.Epoch
	w.advance(clockMillis)
	if s.Incarnation != w.report.Incarnation {
		return w.reportAt(clockMillis), nil
	}
	w.leaseUntil = max(w.leaseUntil, s.LeaseUntilMillis)
	if s.LeaseUntilMillis > clockMillis {
		for _, command := range s.Commands {
			w.obey(clockMillis, command)
		}
	}
	return w.reportAt(clockMillis), nil
}

// Advance moves the worker's clock: tasks finish, and a lapsed lease stops
// those that run.
func (w *Worker) Advance(clockMillis int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(clockMillis)
}

// Running returns how many tasks run.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, r := range w.runs {
		if r.state == placer.RunRunning {
			n++
		}
	}
	return n
}

// Load returns what the running tasks were declared to need.
func (w *Worker) Load() publisher.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sum publisher.Resources
	for _, r := range w.runs {
		if r.state == placer.RunRunning {
			sum.ProcessorMillis += r.command.Needs.ProcessorMillis
			sum.MemoryBytes += r.command.Needs.MemoryBytes
			sum.Accelerators += r.command.Needs.Accelerators
		}
	}
	return sum
}

func (w *Worker) advance(clockMillis int64) {
	for _, r := range w.runs {
		if r.state != placer.RunRunning {
			continue
		}
		doneAt := r.since + int64(float64(r.command.RunMillis-r.progress)/r.speed())
		if doneAt <= min(clockMillis, w.leaseUntil) {
			w.end(r, placer.RunDone)
		}
	}
	if clockMillis <= w.leaseUntil {
		return
	}
	for _, r := range w.runs {
		if r.state == placer.RunRunning {
			w.end(r, placer.RunStopped)
		}
	}
}

// slowdownLagMillis is how old a reported slowdown is.
const slowdownLagMillis = 4000

// Measure notes the slowdown of each service that runs now.
func (w *Worker) Measure(clockMillis int64) []float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.Interfere == nil {
		return nil
	}
	kinds := map[string]float64{}
	for _, r := range w.runs {
		if r.state == placer.RunRunning && r.command.Class == placer.ClassBatch {
			kinds[r.command.TaskKind] += r.speed()
		}
	}
	var all []float64
	for _, id := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[id]
		if r.state != placer.RunRunning || r.command.Class != placer.ClassLatencyCritical {
			continue
		}
		value := w.Interfere(r.command.Service, kinds)
		all = append(all, value)
		r.slowdowns = append(r.slowdowns, slowdown{
			atMillis: clockMillis,
			value:    value,
		})
		for len(r.slowdowns) > 1 && r.slowdowns[1].atMillis <= clockMillis-slowdownLagMillis {
			r.slowdowns = r.slowdowns[1:]
		}
	}
	return all
}

// slowdownBefore returns the newest slowdown that is no younger than a time.
func (r *run) slowdownBefore(clockMillis int64) float64 {
	value := 0.0
	for _, s := range r.slowdowns {
		if s.atMillis <= clockMillis {
			value = s.value
		}
	}
	return value
}

func (w *Worker) obey(clockMillis int64, c placer.Command) {
	r := w.runs[c.ID]
	switch c.Kind {
	case placer.CommandStart:
		w.start(clockMillis, c)
	case placer.CommandStop:
		w.stop(c)
	case placer.CommandEvict:
		if r != nil && r.command.Start == c.Start && r.state == placer.RunRunning {
			r.settle(clockMillis)
			w.checkpoint(r)
			w.end(r, placer.RunStopped)
		}
	case placer.CommandForget:
		if r != nil && r.command.Start == c.Start && r.state != placer.RunRunning {
			delete(w.runs, c.ID)
		}
	case placer.CommandThrottle, placer.CommandRelease:
		if r != nil && r.command.Start == c.Start && r.state == placer.RunRunning {
			r.settle(clockMillis)
			r.throttled = c.Kind == placer.CommandThrottle
		}
	}
}

func (w *Worker) start(clockMillis int64, c placer.Command) {
	old := w.runs[c.ID]
	if old != nil && old.command.Start >= c.Start || w.stopped[c.ID] >= c.Start {
		return
	}
	if old != nil && old.state == placer.RunRunning {
		w.end(old, placer.RunStopped)
	}
	r := &run{
		command: c,
		state:   placer.RunRunning,
		since:   clockMillis,
	}
	if c.Checkpoint != "" {
		r.progress = w.GetCheckpoint(c.Checkpoint)
	}
	w.runs[c.ID] = r
	w.OnStart(c.ID, c.Start)
	if w.FailAll {
		w.end(r, placer.RunFailed)
	}
}

func (w *Worker) stop(c placer.Command) {
	w.stopped[c.ID] = max(w.stopped[c.ID], c.Start)
	r := w.runs[c.ID]
	if r == nil {
		w.runs[c.ID] = &run{
			command: c,
			state:   placer.RunStopped,
		}
		return
	}
	if r.command.Start <= c.Start && r.state == placer.RunRunning {
		w.end(r, placer.RunStopped)
	}
}

func (w *Worker) checkpoint(r *run) {
	name := fmt.Sprintf("checkpoint/%s/%d", r.command.ID, r.command.Start)
	w.PutCheckpoint(name, r.progress)
	r.command.Checkpoint = name
}

func (w *Worker) end(r *run, state placer.RunState) {
	r.state = state
	w.OnStop(r.command.ID, r.command.Start)
}

func (w *Worker) reportAt(clockMillis int64) placer.Report {
	report := w.report
	report.ClockMillis = clockMillis
	report.Tasks = nil
	for _, id := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[id]
		task := placer.TaskReport{
			ID:    id,
			Start: r.command.Start,
			State: r.state,
			Usage: r.command.Needs,
		}
		if r.state == placer.RunStopped {
			task.Checkpoint = r.command.Checkpoint
		}
		task.Throttled = r.throttled
		task.Slowdown = r.slowdownBefore(clockMillis - slowdownLagMillis)
		report.Tasks = append(report.Tasks, task)
	}
	slices.SortFunc(report.Tasks, func(a, b placer.TaskReport) int { return cmp.Compare(a.ID, b.ID) })
	return report
}

// Server returns the HTTP server of the worker.
func (w *Worker) Server(address string) *hertz.Hertz {
	h := server.New(address, maxWorkerBody)
	started := time.Now()
	h.POST("/sync", func(_ context.Context, c *app.RequestContext) {
		var s placer.Sync
		if err := json.Unmarshal(c.Request.Body(), &s); err != nil {
			server.Refuse(c, consts.StatusBadRequest, err)
			return
		}
		report, err := w.Sync(time.Since(started).Milliseconds(), s)
		if err != nil {
			server.Refuse(c, consts.StatusConflict, err)
			return
		}
		c.JSON(consts.StatusOK, report)
	})
	h.GET("/healthz", server.Health)
	return h
}

// BatchSpeed returns the processors at work on batch tasks, less what is held
// back.
func (w *Worker) BatchSpeed() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := 0.0
	for _, r := range w.runs {
		if r.state == placer.RunRunning && r.command.Class == placer.ClassBatch {
			sum += r.speed() * float64(r.command.Needs.ProcessorMillis) / 1000
		}
	}
	return sum
}
