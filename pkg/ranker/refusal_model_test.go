package ranker

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/estimator"
)

// reportInterval is the time after which an entry knows of the next report.
const reportInterval = 400 * time.Millisecond

// gate refuses the jobs of a model like an entry, by reports of the owner, whose backlog
// is too high by a factor.
type gate struct {
	factor  float64
	service *estimator.Service
	view    estimator.View
	jobs    int
	// accepted and refused count the batch jobs by size class, changes how often
	// refusals of batch jobs began or ended.
	accepted, refused [ClassCount]int
	urgentRefused     int
	changes           int
	refusing          bool
	// busy and observed give the mean share of the capacity in use.
	busy, observed int64
}

func newGate(factor float64) *gate {
	return &gate{
		factor:  factor,
		service: estimator.NewService(),
	}
}

// observe passes on what the owner knows, and what an entry reads of it.
func (g *gate) observe(now time.Time, m *model) {
	backlogs := []estimator.Backlog{
		{
			Queue: queueNames[0],
		},
		{
			Queue:   queueNames[2],
			Urgency: 2,
		},
	}
	for _, j := range m.waiting {
		seen := j.job(now)
		s := &j.steps[j.step]
		waiting := seen.Remaining - int64(s.running)*s.millis*s.estimate.Milliseconds()
		backlogs[j.urgency/2].Work += int64(g.factor * float64(waiting))
	}
	busy := modelCapacity - m.free
	g.service.Observe(now, busy, busy, modelCapacity, backlogs)
	g.busy += busy
	g.observed++
	if now.Sub(g.view.AsOf) >= reportInterval {
		g.view = estimator.View{
			Report: estimator.Report{
				Queues: g.service.Reports(now),
			},
			AsOf: now,
		}
	}
}

// admits reports whether an entry accepts a job.
func (g *gate) admits(now time.Time, j *modelJob) bool {
	g.jobs++
	refused := g.view.Refuse(now, &estimator.Job{
		ID:    strconv.Itoa(g.jobs),
		Queue: queueNames[j.urgency],
		Waits: true,
	}) != nil
	switch class := j.queue.Sizes.Class(j.work); {
	case j.urgency == 0 && refused:
		g.urgentRefused++
	case j.urgency == 0:
	case refused:
		g.refused[class]++
	default:
		g.accepted[class]++
	}
	if j.urgency > 0 && refused != g.refusing {
		g.refusing = refused
		g.changes++
	}
	if !refused {
		g.service.Arrived(now, queueNames[j.urgency], j.urgency, j.work, LateFactor*j.objective)
	}
	return !refused
}

func (g *gate) acceptedShare(classes ...Class) float64 {
	accepted, all := 0, 0
	for _, c := range classes {
		accepted += g.accepted[c]
		all += g.accepted[c] + g.refused[c]
	}
	return float64(accepted) / float64(all)
}

// Guards against refusals of what could be served.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	for _, factor := range []float64{1, 2} {
		for seed := range uint64(4) {
			g := newGate(factor)
			play(seed, 0.9, rankedOrder, g)
			assert.Equal(t, g.refused, [ClassCount]int{}, "seed %d, backlog %.0f times too high", seed, factor)
			assert.Equal(t, g.urgentRefused, 0)
		}
	}
}

// Guards against jobs that are accepted though they cannot complete in time, capacity
// that refusals leave idle, and sizes that are refused more than others.
func TestAcceptedJobsCompleteAtTwiceTheCapacity(t *testing.T) {
	for _, factor := range []float64{1, 2, 0.5} {
		g := newGate(factor)
		r := play(1, 2, rankedOrder, g).result()
		r.log(t, 2, "with refusals")
		busy := float64(g.busy) / float64(g.observed*modelCapacity)
		t.Logf("factor %.1f: accepted %.2f (%.2f, %.2f, %.2f), busy %.2f, %d changes", factor,
			g.acceptedShare(Rest, Large, Largest), g.acceptedShare(Rest), g.acceptedShare(Large), g.acceptedShare(Largest), busy, g.changes)
		assert.Equal(t, g.urgentRefused, 0)
		assert.Assert(t, busy > 0.95)
		assert.Assert(t, g.acceptedShare(Largest) >= g.acceptedShare(Rest, Large, Largest)/2)
		for class := range ClassCount {
			whole := r.servedShare(Rest, Large, Largest)
			assert.Assert(t, r.servedShare(class) >= whole/2, "%s", class)
		}
		if factor >= 1 {
			assert.Assert(t, r.servedShare(Rest, Large, Largest) >= 0.95, "accepted jobs complete")
		}
		assert.Assert(t, g.changes < 2*int(modelTime/time.Second), "refusals begin and end %d times", g.changes)
	}
}
