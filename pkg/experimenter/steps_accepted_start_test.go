package experimenter

import (
	"testing"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

// Guards against a task that runs twice: a runner restarts under its id, accepts a start that
// was requested of its earlier incarnation, and its responses are lost until the owner holds
// the earlier incarnation's lease to be over. The agent reports all the while.
func TestAcceptedStartMayHaveReachedLaterIncarnation(t *testing.T) {
	for name, runTime := range map[string]time.Duration{
		"the first run is done":       3 * time.Second,
		"the first run still running": 8 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			const warmUp, lostFrom, lostFor, silence = 3 * time.Second, 100 * time.Millisecond, 8 * time.Second, 20 * time.Second
			sim := newStepsSimulation(t, 1, stepsLongestLease, 2)
			sim.runTime = func(*stepsAgent, framer.RunRef) (time.Duration, framer.FinishReason) {
				return runTime, framer.FinishDone
			}
			// The task is placed on the larger runner.
			a := sim.agents[0]
			a.info.ProcessorMillis *= 2
			sim.RunUntil(sim.Now().Add(warmUp))
			sim.logf("simulation: runner of %s restarts without runs", a.name)
			sim.replaceRunner(a)
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
				AcceptedAtMillis: sim.Now().UnixMilli(),
			}
			sim.specs[spec.ID] = spec
			sim.owner.cell.Add(sim.Now(), spec)
			sim.After(lostFrom, func() { sim.injectStop(a, faultAnswersLost, lostFor) })
			sim.RunUntil(sim.Now().Add(silence))
		})
	}
}
