package emulator

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

// maxWorkerBody is the largest request body in bytes that the stand-in worker
// accepts.
const maxWorkerBody = 4 << 20

// StaleEpochError reports a call with epoch Epoch to a worker that has already
// been called by a newer owner, with epoch Highest.
type StaleEpochError struct {
	Epoch, Highest uint64
}

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("epoch %d is stale; %d has been seen", e.Epoch, e.Highest)
}

// run is one start of a task on a worker, in progress or finished.
type run struct {
	command placer.Command
	state   placer.RunState
	// progress is the work done by progressAt, in milliseconds of run time at
	// full speed; progressAt is a time of the worker's clock in milliseconds.
	progress   int64
	progressAt int64
	throttled  bool
	// slowdowns are the measured slowdowns of a service, oldest first.
	slowdowns []slowdown
}

// slowdown is the measured slowdown of a service at a time of the worker's
// clock.
type slowdown struct {
	atMillis int64
	value    float64
}

// throttledSpeed is the speed of a throttled task as a fraction of full speed.
// Its interference is scaled by the same factor.
const throttledSpeed = 0.3

func (r *run) speed() float64 {
	if r.throttled {
		return throttledSpeed
	}
	return 1
}

// updateProgress adds the work done up to a time of the worker's clock.
func (r *run) updateProgress(clockMillis int64) {
	r.progress += int64(float64(clockMillis-r.progressAt) * r.speed())
	r.progressAt = clockMillis
}

// Worker is a stand-in for an instance that runs tasks. It starts tasks
// without checking its capacity, and stops all of them when its lease expires.
type Worker struct {
	// OnStart and OnStop are called whenever a task starts and ends.
	OnStart func(id string, start int)
	OnStop  func(id string, start int)
	// FailAll makes every task fail as soon as it starts.
	FailAll bool
	// IgnoreStarts makes the worker ignore requests to start tasks. It still reports
	// and executes other commands.
	IgnoreStarts bool
	// SlowdownModel returns the slowdown of a service that is co-located with
	// batch tasks, given the sum of their speeds by kind. If it is nil, no
	// slowdown is measured.
	SlowdownModel func(service string, speedByKind map[string]float64) float64
	// PutCheckpoint stores the progress of a task, in milliseconds, under the
	// name of its checkpoint, and GetCheckpoint returns it.
	PutCheckpoint func(name string, progress int64)
	GetCheckpoint func(name string) int64

	mu         sync.Mutex
	report     placer.Report
	epoch      uint64
	leaseUntil int64
	runs       map[string]*run
	// highestStopped is the highest start of each task that has been stopped.
	// A stop command can arrive before the start command that it revokes, and
	// that start is then ignored.
	highestStopped map[string]int
}

// NewWorker returns a worker without tasks. It keeps checkpoints in memory.
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
		runs:           map[string]*run{},
		highestStopped: map[string]int{},
	}
}

// Sync extends the lease, executes commands at a time of the worker's clock, and
// returns a report. It returns a StaleEpochError for a former owner. For
// another incarnation it neither extends the lease nor executes commands, and it
// ignores commands whose lease has already expired.
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
			w.execute(clockMillis, command)
		}
	}
	return w.reportAt(clockMillis), nil
}

// SetCapacity changes the capacity that the worker reports from now on. What runs goes
// on.
func (w *Worker) SetCapacity(capacity publisher.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report.Capacity = capacity
}

// Advance moves the worker's clock forward: tasks finish, and an expired lease
// stops the running ones.
func (w *Worker) Advance(clockMillis int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(clockMillis)
}

// Running returns the number of running tasks.
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

// Allocated returns the sum of the declared needs of the running tasks.
func (w *Worker) Allocated() publisher.Resources {
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
		finishAt := r.progressAt + int64(float64(r.command.RunMillis-r.progress)/r.speed())
		if finishAt <= min(clockMillis, w.leaseUntil) {
			w.finish(r, placer.RunDone)
		}
	}
	if clockMillis <= w.leaseUntil {
		return
	}
	for _, r := range w.runs {
		if r.state == placer.RunRunning {
			w.finish(r, placer.RunStopped)
		}
	}
}

// slowdownLagMillis is the minimum age of a slowdown when it is reported.
const slowdownLagMillis = 4000

// MeasureSlowdowns records and returns the current slowdown of each running
// service. It returns nil if slowdowns are not measured.
func (w *Worker) MeasureSlowdowns(clockMillis int64) []float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.SlowdownModel == nil {
		return nil
	}
	speedByKind := map[string]float64{}
	for _, r := range w.runs {
		if r.state == placer.RunRunning && r.command.Class == placer.ClassBatch {
			speedByKind[r.command.TaskKind] += r.speed()
		}
	}
	var values []float64
	for _, id := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[id]
		if r.state != placer.RunRunning || r.command.Class != placer.ClassLatencyCritical {
			continue
		}
		value := w.SlowdownModel(r.command.Service, speedByKind)
		values = append(values, value)
		r.slowdowns = append(r.slowdowns, slowdown{
			atMillis: clockMillis,
			value:    value,
		})
		for len(r.slowdowns) > 1 && r.slowdowns[1].atMillis <= clockMillis-slowdownLagMillis {
			r.slowdowns = r.slowdowns[1:]
		}
	}
	return values
}

// slowdownBefore returns the latest slowdown measured at or before a time, or 0
// if there is none.
func (r *run) slowdownBefore(clockMillis int64) float64 {
	value := 0.0
	for _, s := range r.slowdowns {
		if s.atMillis <= clockMillis {
			value = s.value
		}
	}
	return value
}

func (w *Worker) execute(clockMillis int64, c placer.Command) {
	r := w.runs[c.ID]
	switch c.Kind {
	case placer.CommandStart:
		w.start(clockMillis, c)
	case placer.CommandStop:
		w.stop(c)
	case placer.CommandEvict:
		if r != nil && r.command.Start == c.Start && r.state == placer.RunRunning {
			r.updateProgress(clockMillis)
			w.checkpoint(r)
			w.finish(r, placer.RunStopped)
		}
	case placer.CommandForget:
		if r != nil && r.command.Start == c.Start && r.state != placer.RunRunning {
			delete(w.runs, c.ID)
		}
	case placer.CommandThrottle, placer.CommandUnthrottle:
		if r != nil && r.command.Start == c.Start && r.state == placer.RunRunning {
			r.updateProgress(clockMillis)
			r.throttled = c.Kind == placer.CommandThrottle
		}
	}
}

func (w *Worker) start(clockMillis int64, c placer.Command) {
	previous := w.runs[c.ID]
	if w.IgnoreStarts || previous != nil && previous.command.Start >= c.Start || w.highestStopped[c.ID] >= c.Start {
		return
	}
	if previous != nil && previous.state == placer.RunRunning {
		w.finish(previous, placer.RunStopped)
	}
	r := &run{
		command:    c,
		state:      placer.RunRunning,
		progressAt: clockMillis,
	}
	if c.Checkpoint != "" {
		r.progress = w.GetCheckpoint(c.Checkpoint)
	}
	w.runs[c.ID] = r
	w.OnStart(c.ID, c.Start)
	if w.FailAll {
		w.finish(r, placer.RunFailed)
	}
}

func (w *Worker) stop(c placer.Command) {
	w.highestStopped[c.ID] = max(w.highestStopped[c.ID], c.Start)
	r := w.runs[c.ID]
	if r == nil {
		w.runs[c.ID] = &run{
			command: c,
			state:   placer.RunStopped,
		}
		return
	}
	if r.command.Start <= c.Start && r.state == placer.RunRunning {
		w.finish(r, placer.RunStopped)
	}
}

func (w *Worker) checkpoint(r *run) {
	name := fmt.Sprintf("checkpoint/%s/%d", r.command.ID, r.command.Start)
	w.PutCheckpoint(name, r.progress)
	r.command.Checkpoint = name
}

func (w *Worker) finish(r *run, state placer.RunState) {
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

// Server returns the HTTP server of the worker. The worker's clock starts at 0
// when Server is called.
func (w *Worker) Server(address string) *hertz.Hertz {
	h := server.New(address, maxWorkerBody)
	started := time.Now()
	h.POST("/sync", func(_ context.Context, c *app.RequestContext) {
		var s placer.Sync
		if err := json.Unmarshal(c.Request.Body(), &s); err != nil {
			server.WriteError(c, consts.StatusBadRequest, err)
			return
		}
		report, err := w.Sync(time.Since(started).Milliseconds(), s)
		if err != nil {
			server.WriteError(c, consts.StatusConflict, err)
			return
		}
		c.JSON(consts.StatusOK, report)
	})
	h.GET("/healthz", server.Health)
	return h
}

// BatchSpeed returns the number of processors that running batch tasks use. A
// throttled task counts at its reduced speed.
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
