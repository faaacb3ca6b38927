package experimenter

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/supervisor"
)

const (
	stepsLease           = 6 * time.Second
	stepsMaxFailures     = 3
	stepsProcessorMillis = 8000
)

var errNoAnswer = errors.New("no answer")

// stepsSimulation runs the production code of a cell and of the agents' cores
// against fake runners in virtual time, and checks the guarantees at each event.
type stepsSimulation struct {
	*Clock
	t    *testing.T
	seed uint64
	rnd  *rand.Rand
	log  []string

	// The store's state: specs, cancellations and progress by job, and the
	// owner's epoch.
	specs     map[string]scheduler.Spec
	cancelled map[string]time.Time
	progress  map[string]scheduler.Progress
	epoch     uint64
	storeDown bool

	owner  *stepsOwner
	agents []*stepsAgent
	queues *scheduler.Queues

	// State of the checks, by task: the runner that runs it, its acknowledged
	// failures, and whether a finished run with reason "done" was acknowledged.
	// allocatedMillis is the processor time in use on each runner.
	runningOn        map[string]*emulator.StepRunner
	failures         map[string]int
	acknowledgedDone map[string]bool
	allocatedMillis  map[*emulator.StepRunner]int64
}

// stepsOwner is the process that owns the cell.
type stepsOwner struct {
	cell       *scheduler.Cell
	epoch      uint64
	committing bool
	stopped    bool
	// validUntil is the time until which the owner may act.
	validUntil time.Time
}

// stepsAgent is an agent with its runner and its link to the owner.
type stepsAgent struct {
	name   string
	core   *supervisor.Core
	runner *emulator.StepRunner
	// incarnation counts the restarts of the agent's process; responses to an
	// earlier incarnation are dropped.
	incarnation       int
	sequence          int64
	partitioned       bool
	runnerUnreachable bool
	// lossRate is the share of calls to the runner that get no response and are
	// executed late.
	lossRate float64
	owner    *stepsOwner
	// firstHeartbeatAt is the time of the first heartbeat of the runner's
	// present incarnation.
	firstHeartbeatAt time.Time
}

func newStepsSimulation(t *testing.T, seed uint64, agents int) *stepsSimulation {
	sim := &stepsSimulation{
		Clock:            NewClock(),
		t:                t,
		seed:             seed,
		rnd:              rand.New(rand.NewPCG(seed, 77)),
		specs:            map[string]scheduler.Spec{},
		cancelled:        map[string]time.Time{},
		progress:         map[string]scheduler.Progress{},
		runningOn:        map[string]*emulator.StepRunner{},
		failures:         map[string]int{},
		acknowledgedDone: map[string]bool{},
		allocatedMillis:  map[*emulator.StepRunner]int64{},
	}
	sim.queues = &scheduler.Queues{
		Version: 1,
		List: []scheduler.Queue{{
			Name:          "q",
			Service:       "s",
			MaxFailures:   stepsMaxFailures,
			Stretch:       2,
			TargetLatency: time.Second,
		}},
	}
	for i := range agents {
		a := &stepsAgent{
			name: fmt.Sprintf("agent-%d", i),
			core: supervisor.NewCore(),
		}
		sim.agents = append(sim.agents, a)
		sim.replaceRunner(a)
		sim.Every(time.Second, func() bool {
			sim.heartbeat(a)
			return true
		})
		sim.Every(10*time.Millisecond, func() bool {
			sim.tickAgent(a)
			return true
		})
	}
	sim.Every(20*time.Millisecond, func() bool {
		if sim.owner != nil {
			sim.tickOwner(sim.owner)
		}
		return true
	})
	sim.replaceOwner(0)
	return sim
}

func (sim *stepsSimulation) logf(format string, args ...any) {
	sim.log = append(sim.log, sim.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// fatalf prints the log lines that concern a task and fails the test.
func (sim *stepsSimulation) fatalf(task, format string, args ...any) {
	sim.t.Helper()
	id, _, _ := strings.Cut(task, ".")
	for _, line := range sim.log {
		if strings.Contains(line, task) || !strings.Contains(line, ".") || strings.Contains(line, id+" ") || strings.Contains(line, "simulation") {
			sim.t.Log(line)
		}
	}
	sim.t.Fatalf("seed %d at %s: "+format, append([]any{sim.seed, sim.Now().Format("15:04:05.000")}, args...)...)
}

// replaceRunner replaces an agent's runner by a new incarnation without runs.
func (sim *stepsSimulation) replaceRunner(a *stepsAgent) {
	if a.runner != nil {
		for task, on := range sim.runningOn {
			if on == a.runner {
				delete(sim.runningOn, task)
			}
		}
	}
	r := emulator.NewStepRunner(sim.Now(), "runner-of-"+a.name)
	r.RunTime = func(framer.RunRef) (time.Duration, framer.FinishReason) {
		reason := framer.FinishDone
		if sim.rnd.Float64() < 0.1 {
			reason = framer.FinishFailed
		}
		return time.Duration(200+sim.rnd.IntN(4000)) * time.Millisecond, reason
	}
	r.OnStart = func(ref framer.RunRef) { sim.runStarted(r, ref) }
	r.OnFinish = func(e framer.FinishedRun) { sim.runFinished(r, e) }
	r.OnAcknowledged = func(e framer.FinishedRun, leaseExpired bool) { sim.runAcknowledged(e, leaseExpired) }
	a.runner = r
	a.sequence = 0
	a.firstHeartbeatAt = sim.Now().Add(time.Hour)
}

func (sim *stepsSimulation) runStarted(r *emulator.StepRunner, ref framer.RunRef) {
	sim.logf("%s run %d starts on %v", ref.Task, ref.Run, r.Key)
	if other := sim.runningOn[ref.Task]; other != nil {
		sim.fatalf(ref.Task, "%s runs on %v and on %v", ref.Task, other.Key, r.Key)
	}
	if sim.acknowledgedDone[ref.Task] {
		sim.fatalf(ref.Task, "%s starts after its completion was acknowledged", ref.Task)
	}
	if sim.failures[ref.Task] >= stepsMaxFailures {
		sim.fatalf(ref.Task, "%s starts after %d failures", ref.Task, sim.failures[ref.Task])
	}
	id, _, _ := strings.Cut(ref.Task, ".")
	spec, ok := sim.specs[id]
	if !ok {
		sim.fatalf(ref.Task, "%s was never submitted", ref.Task)
	}
	sim.runningOn[ref.Task] = r
	sim.allocatedMillis[r] += spec.Steps[0].Needs.ProcessorMillis
	if sim.allocatedMillis[r] > stepsProcessorMillis {
		sim.fatalf(ref.Task, "%v has %d of %d processor millis allocated", r.Key, sim.allocatedMillis[r], stepsProcessorMillis)
	}
}

func (sim *stepsSimulation) runFinished(r *emulator.StepRunner, e framer.FinishedRun) {
	sim.logf("%s run %d finished on %v: %s", e.Task, e.Run, r.Key, e.Reason)
	id, _, _ := strings.Cut(e.Task, ".")
	sim.allocatedMillis[r] -= sim.specs[id].Steps[0].Needs.ProcessorMillis
	if sim.runningOn[e.Task] == r {
		delete(sim.runningOn, e.Task)
	}
}

// runAcknowledged records a finished run that the runner deletes because it was
// acknowledged, and that is therefore committed. It ignores runs that finished
// before the runner's lease last expired.
func (sim *stepsSimulation) runAcknowledged(e framer.FinishedRun, leaseExpired bool) {
	sim.logf("%s run %d deleted by the runner: %s, expired %v", e.Task, e.Run, e.Reason, leaseExpired)
	if leaseExpired {
		return
	}
	if e.Reason == framer.FinishFailed {
		sim.failures[e.Task]++
	}
	if e.Reason == framer.FinishDone {
		sim.acknowledgedDone[e.Task] = true
	}
}

func (sim *stepsSimulation) heartbeat(a *stepsAgent) {
	if a.runnerUnreachable {
		return
	}
	a.sequence++
	if known, _ := a.core.Runner(); known.Key != a.runner.Key {
		a.firstHeartbeatAt = sim.Now()
	}
	a.core.Heartbeat(sim.Now(), supervisor.Heartbeat{
		Info: framer.RunnerInfo{
			Key:             a.runner.Key,
			Service:         "s",
			ProcessorMillis: stepsProcessorMillis,
			MemoryBytes:     1 << 40,
		},
		Sequence: a.sequence,
	})
}

// tickAgent advances the runner's tasks and performs the actions of the agent's
// core.
func (sim *stepsSimulation) tickAgent(a *stepsAgent) {
	a.runner.Advance(sim.Now())
	actions, _ := a.core.Tick(sim.Now())
	for _, action := range actions {
		sim.perform(a, action)
	}
}

// callRunner executes a call on the runner that is present when the call arrives,
// and passes the response to the agent's process if it is still the incarnation
// that made the call.
func callRunner[T any](sim *stepsSimulation, a *stepsAgent, execute func(r *emulator.StepRunner) T, answer func(T, error)) {
	incarnation := a.incarnation
	reply := func(value T, err error) {
		if a.incarnation == incarnation {
			answer(value, err)
		}
	}
	delay := time.Duration(1+sim.rnd.IntN(4)) * time.Millisecond
	if a.runnerUnreachable {
		var zero T
		sim.After(400*time.Millisecond, func() { reply(zero, errNoAnswer) })
		return
	}
	if sim.rnd.Float64() < a.lossRate {
		var zero T
		sentTo, epoch := a.runner.Key, sim.epoch
		sim.After(delay+time.Duration(sim.rnd.IntN(8000))*time.Millisecond, func() {
			if sim.shouldExecuteLate(a, sentTo, incarnation, epoch) {
				execute(a.runner)
			}
		})
		sim.After(400*time.Millisecond, func() { reply(zero, errNoAnswer) })
		return
	}
	sim.After(delay, func() {
		value := execute(a.runner)
		sim.After(time.Millisecond, func() { reply(value, nil) })
	})
}

// shouldExecuteLate reports whether a delayed call is executed. The system cannot
// prevent that a later incarnation of the runner executes the call before the
// agent has seen that incarnation, or after both the agent's process and the
// owner that had a record of the call were replaced. The simulation drops the
// call in these cases, and also up to 1 s after the incarnation's first heartbeat
// or while the runner is unreachable.
func (sim *stepsSimulation) shouldExecuteLate(a *stepsAgent, sentTo framer.RunnerKey, incarnation int, epoch uint64) bool {
	if a.runner.Key == sentTo {
		return true
	}
	return sim.Now().Sub(a.firstHeartbeatAt) > time.Second && !a.runnerUnreachable && (a.incarnation == incarnation || sim.epoch == epoch)
}

func (sim *stepsSimulation) perform(a *stepsAgent, action supervisor.Action) {
	switch {
	case action.Report != nil:
		sim.deliverReport(a, *action.Report)
	case action.Renew != nil:
		call := *action.Renew
		callRunner(sim, a, func(r *emulator.StepRunner) supervisor.Listing {
			if r.Key != call.Header.Runner {
				// Nothing can prevent that a later incarnation applies a delayed
				// acknowledgement of finished runs to its own. The simulation
				// drops the call.
				return supervisor.Listing{
					Refusal: supervisor.RefusalWrongIncarnation,
				}
			}
			return r.RenewLease(sim.Now(), call.Header, call.AckedSequence)
		}, func(l supervisor.Listing, err error) {
			sim.After(call.Wait/10, func() { a.core.LeaseRenewed(sim.Now(), call, l, err) })
		})
	case action.Start != nil:
		call := *action.Start
		sim.logf("%s run %d: start request sent by %s to %v", call.Start.Task, call.Start.Run, a.name, call.Header.Runner)
		callRunner(sim, a, func(r *emulator.StepRunner) supervisor.Answer {
			return r.Start(sim.Now(), call.Header, call.Start)
		}, func(answer supervisor.Answer, err error) { a.core.StartAnswered(sim.Now(), call, answer, err) })
	case action.Stop != nil:
		call := *action.Stop
		sim.logf("%s run %d: stop request sent by %s to %v", call.Ref.Task, call.Ref.Run, a.name, call.Header.Runner)
		callRunner(sim, a, func(r *emulator.StepRunner) supervisor.Answer {
			return r.Stop(sim.Now(), call.Header, call.Ref)
		}, func(answer supervisor.Answer, err error) { a.core.StopAnswered(sim.Now(), call, answer, err) })
	}
}

// deliverReport sends a report to the owner that the agent is connected to.
func (sim *stepsSimulation) deliverReport(a *stepsAgent, r framer.Report) {
	o := a.owner
	if o == nil || a.partitioned {
		return
	}
	incarnation := a.incarnation
	sim.After(2*time.Millisecond, func() {
		if a.partitioned || o.stopped || a.incarnation != incarnation || a.owner != o {
			return
		}
		o.cell.HandleReport(sim.Now(), a.name, r)
	})
}

// restartAgent replaces an agent's process by a new one without state.
func (sim *stepsSimulation) restartAgent(a *stepsAgent) {
	sim.logf("simulation: %s restarts", a.name)
	a.incarnation++
	a.core = supervisor.NewCore()
	sim.disconnect(a)
}

func (sim *stepsSimulation) disconnect(a *stepsAgent) {
	if a.owner != nil && !a.owner.stopped {
		a.owner.cell.AgentDisconnected(a.name)
	}
	a.owner = nil
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
		o := &stepsOwner{
			epoch:      sim.epoch,
			validUntil: sim.Now().Add(time.Hour),
		}
		o.cell = scheduler.NewCell(scheduler.Config{
			Epoch:           sim.epoch,
			Assert:          fatalAsserter(sim.t, sim.seed),
			LogEvent:        func(message string, pairs ...any) { sim.logf("cell: %s %v", message, pairs) },
			Lease:           stepsLease,
			FormerLeasesEnd: sim.Now().Add(stepsLease + stepsLease*3/100 + 500*time.Millisecond),
		})
		o.cell.SetQueues(sim.queues)
		for id, spec := range sim.specs {
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

// tickOwner connects agents, ticks the cell, sends changed syncs to agents and
// commits.
func (sim *stepsSimulation) tickOwner(o *stepsOwner) {
	valid := sim.Now().Before(o.validUntil)
	for _, a := range sim.agents {
		if a.owner != o && !a.partitioned {
			sim.disconnect(a)
			a.owner = o
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
	incarnation := a.incarnation
	delay := time.Duration(1+sim.rnd.IntN(5)) * time.Millisecond
	sim.After(delay, func() {
		if !a.partitioned && a.incarnation == incarnation && a.owner == o {
			a.core.SyncReceived(sim.Now(), s)
		}
	})
}

// commit writes the changed progress rows to the store, unless a newer owner has
// taken over. It retries every 100 ms while the store is down.
func (sim *stepsSimulation) commit(o *stepsOwner) {
	if o.committing {
		return
	}
	commit, ok := o.cell.Commit()
	if !ok {
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
		sim.After(8*time.Millisecond, func() {
			if o.stopped {
				return
			}
			o.committing = false
			o.cell.Committed(commit)
		})
	}
	sim.After(8*time.Millisecond, write)
}

// submit stores a random job and adds it to the owner's cell. One job in ten is
// cancelled later.
func (sim *stepsSimulation) submit(n int) {
	steps := []scheduler.Step{{
		Count:          1 + sim.rnd.IntN(4),
		EstimateMillis: 1000,
	}}
	if sim.rnd.IntN(2) == 0 {
		steps = append(steps, scheduler.Step{
			Count: 1 + sim.rnd.IntN(3),
			After: []int{0},
		})
	}
	needs := publisher.Resources{
		ProcessorMillis: 500 + sim.rnd.Int64N(2000),
	}
	for i := range steps {
		steps[i].Needs = needs
	}
	spec := scheduler.Spec{
		ID:               fmt.Sprintf("job%d", n),
		Queue:            "q",
		Service:          "s",
		Steps:            steps,
		AcceptedAtMillis: sim.Now().UnixMilli(),
	}
	sim.specs[spec.ID] = spec
	if sim.owner != nil {
		sim.owner.cell.Add(sim.Now(), spec)
	}
	if sim.rnd.IntN(10) == 0 {
		sim.After(time.Duration(sim.rnd.IntN(3000))*time.Millisecond, func() {
			sim.cancelled[spec.ID] = sim.Now()
			sim.logf("%s is cancelled", spec.ID)
			if sim.owner != nil {
				sim.owner.cell.Cancel(sim.Now(), spec.ID)
			}
		})
	}
}

// injectFault injects a random fault.
func (sim *stepsSimulation) injectFault() {
	a := sim.agents[sim.rnd.IntN(len(sim.agents))]
	d := time.Duration(200+sim.rnd.IntN(9000)) * time.Millisecond
	switch sim.rnd.IntN(7) {
	case 0:
		sim.restartAgent(a)
	case 1:
		sim.logf("simulation: runner of %s restarts without runs", a.name)
		a.runnerUnreachable = true
		sim.replaceRunner(a)
		sim.After(d/4, func() { a.runnerUnreachable = false })
	case 2:
		sim.logf("simulation: %s is disconnected for %s", a.name, d)
		a.partitioned = true
		sim.disconnect(a)
		sim.After(d, func() { a.partitioned = false })
	case 3:
		sim.logf("simulation: runner of %s is unreachable for %s", a.name, d)
		a.runnerUnreachable = true
		sim.After(d, func() { a.runnerUnreachable = false })
	case 4:
		sim.logf("simulation: calls of %s are executed late for %s", a.name, d)
		a.lossRate = 0.4
		sim.After(d, func() { a.lossRate = 0 })
	case 5:
		if sim.owner != nil {
			sim.logf("simulation: the owner fails")
			sim.replaceOwner(time.Duration(sim.rnd.IntN(4000)) * time.Millisecond)
		}
	case 6:
		sim.logf("simulation: the store is unavailable for %s", d)
		sim.storeDown = true
		sim.After(d, func() { sim.storeDown = false })
	}
}

// regressionSeeds returns seeds that failed in the past, with the fault that each
// of them found.
func regressionSeeds() []uint64 {
	if os.Getenv("BILBERRYWALK_SEED") != "" {
		return nil
	}
	return []uint64{
		// A command to an earlier incarnation of a runner was executed by a later
		// one, after the task had moved to another runner.
		18, 19,
		// A run that had been listed before appeared again in a later incarnation.
		11,
		// A start command was sent to a runner that had been silent and was back.
		83,
	}
}

// TestStepsUnderFaults runs jobs of several steps with random faults and checks
// that no task runs twice at once or after its completion was acknowledged, no
// runner exceeds its capacity, and every job finishes.
func TestStepsUnderFaults(t *testing.T) {
	for _, seed := range append(seeds(8), regressionSeeds()...) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			sim := newStepsSimulation(t, seed, 5)
			faultsUntil := sim.Now().Add(90 * time.Second)
			n := 0
			sim.Every(300*time.Millisecond, func() bool {
				n++
				sim.submit(n)
				return sim.Now().Before(faultsUntil)
			})
			sim.Every(1500*time.Millisecond, func() bool {
				sim.injectFault()
				return sim.Now().Before(faultsUntil)
			})
			sim.RunUntil(faultsUntil.Add(90 * time.Second))
			for id := range sim.specs {
				state := sim.progress[id].State
				if !state.Final() {
					sim.fatalf(id+".", "%s is %s at the end", id, state)
				}
			}
			assert.Assert(t, len(sim.specs) > 200)
		})
	}
}
