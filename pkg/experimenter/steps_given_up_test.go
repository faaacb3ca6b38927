package experimenter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

// givenUpRun plays the run of one task that ends as done soon after its owner last heard
// of its runner. The owner gives it up when the lease is over, and starts it elsewhere.
type givenUpRun struct {
	*stepsSimulation
	// agent is that of the run, silentAt when its silence begins.
	agent    *stepsAgent
	silentAt time.Time
}

const givenUpTask = "once.0.0.0"

// newGivenUpRun starts the run, which ends endsAfter the beginning of the silence.
func newGivenUpRun(t *testing.T, lapse emulator.LapseReading, endsAfter time.Duration) *givenUpRun {
	t.Helper()
	const warmUp, started = 3 * time.Second, time.Second
	g := &givenUpRun{
		stepsSimulation: newStoppedSimulation(t, 1, stepsLease, 2, stoppedProcesses{
			lapse: lapse,
		}),
	}
	g.runTime = func(_ *stepsAgent, ref framer.RunRef) (time.Duration, framer.FinishReason) {
		if ref.Run == 1 {
			return started + endsAfter, framer.FinishDone
		}
		return started, framer.FinishDone
	}
	g.RunUntil(g.Now().Add(warmUp))
	spec := scheduler.Spec{
		ID:      "once",
		Queue:   "q",
		Service: "s",
		Steps: []scheduler.Step{{
			Count: 1,
			Needs: publisher.Resources{
				ProcessorMillis: 500,
			},
			EstimateMillis: 1000,
		}},
		AcceptedAtMillis: g.Now().UnixMilli(),
	}
	g.specs[spec.ID] = spec
	g.owner.cell.Add(g.Now(), spec)
	g.RunUntil(g.Now().Add(started))
	for _, a := range g.agents {
		if g.runningOn[givenUpTask] == a.runner {
			g.agent = a
		}
	}
	assert.Assert(t, g.agent != nil, "the run has not started")
	g.silentAt = g.Now()
	return g
}

// at schedules f for a time after the beginning of the silence.
func (g *givenUpRun) at(after time.Duration, f func()) {
	g.At(g.silentAt.Add(after), f)
}

// play plays until the silence is long over. The simulation checks the acknowledgement.
func (g *givenUpRun) play() {
	const silence = 20 * time.Second
	g.RunUntil(g.silentAt.Add(silence))
	assert.Equal(g.t, len(g.history(givenUpTask).starts), 2)
	assert.Equal(g.t, g.progress["once"].State, scheduler.StateCompleted)
}

// stopAgentFor stops the agent's process as the silence begins.
func (g *givenUpRun) stopAgentFor(d time.Duration) {
	g.agent.inbox.stopped = true
	g.at(linkTimeout, func() { g.disconnect(g.agent) })
	g.at(d, func() { g.continueAgent(g.agent) })
}

// cutFromOwnerFor cuts the agent off from the owner as the silence begins.
func (g *givenUpRun) cutFromOwnerFor(d time.Duration) {
	g.agent.partitioned = true
	g.disconnect(g.agent)
	g.at(d, func() { g.agent.partitioned = false })
}

// stopRunnerBetween stops the runner's process, whose timers fire 1 ms after it
// continues.
func (g *givenUpRun) stopRunnerBetween(from, to time.Duration) {
	g.at(from, func() {
		g.agent.runner.Freeze(g.Now())
		g.agent.runnerInbox.stopped = true
	})
	g.at(to, func() { g.continueRunner(g.agent) })
}

// Guards against a task that runs again although its end as done counts: the agent was
// stopped for 8 s just before the end, and acknowledges it after the run was given up.
func TestEndOfGivenUpRunAfterAgentStops(t *testing.T) {
	for _, lapse := range []emulator.LapseReading{emulator.LapseByClock, emulator.LapseOnCall, emulator.LapseAfterCalls} {
		g := newGivenUpRun(t, lapse, 100*time.Millisecond)
		g.stopAgentFor(8 * time.Second)
		g.play()
	}
}

// Guards against the same while the runner's process is stopped across the end of its
// lease: the agent, which was cut off from the owner, reports a listing made before that.
func TestEndOfGivenUpRunWhileRunnerIsStopped(t *testing.T) {
	for _, lapse := range []emulator.LapseReading{emulator.LapseByClock, emulator.LapseOnCall} {
		g := newGivenUpRun(t, lapse, 4*time.Second)
		g.cutFromOwnerFor(7 * time.Second)
		g.stopRunnerBetween(4800*time.Millisecond, 8*time.Second)
		g.play()
	}
}

// Guards against a second run of a task that is done: the owner grants a lease by a
// reading of the runner's clock from before the given-up lease was over. The call waits in
// the socket of the stopped runner, and extends that lease before it is found expired.
func TestGivenUpLeaseIsNotExtendedByCallThatWaited(t *testing.T) {
	g := newGivenUpRun(t, emulator.LapseAfterCalls, 4*time.Second)
	g.cutFromOwnerFor(7 * time.Second)
	g.stopRunnerBetween(4800*time.Millisecond, 8*time.Second)
	g.play()
}

// Guards against a second run of a task that is done: its runner ran nothing when the
// lease was over, takes that for no expiry, and the end of the given-up run is
// acknowledged.
func TestEndOfGivenUpRunIsNotAcknowledgedIfNothingRan(t *testing.T) {
	g := newGivenUpRun(t, emulator.LapseOfRuns, 100*time.Millisecond)
	g.stopAgentFor(8 * time.Second)
	g.play()
}
