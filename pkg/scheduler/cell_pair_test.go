package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/drainer"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// cellPair gives two cells the same random inputs. One places tasks by the
// index, the other by scans.
type cellPair struct {
	t       *testing.T
	rnd     *rand.Rand
	now     time.Time
	indexed *Cell
	scanned *Cell
	// runners holds what each agent reports next.
	runners map[string]*framer.Report
	// failing holds the agents on whose runners all runs fail.
	failing map[string]bool
	jobs    int
	// alike is set if all tasks need the same and there are no gangs.
	alike bool
}

func newCellPair(t *testing.T, seed uint64, runners, reservations int) *cellPair {
	p := &cellPair{
		t:       t,
		rnd:     rand.New(rand.NewPCG(seed, 3)),
		now:     time.Unix(10_000, 0),
		runners: map[string]*framer.Report{},
		failing: map[string]bool{},
	}
	cfg := Config{
		Epoch:           1,
		Assert:          strictAsserter(t),
		Lease:           testLease,
		FormerLeasesEnd: p.now,
		MaxReservations: reservations,
		ColdRuns:        2,
	}
	p.indexed, p.scanned = NewCell(cfg), NewCell(cfg)
	p.both(func(c *Cell) { c.SetQueues(testQueues()) })
	for i := range runners {
		p.addRunner(fmt.Sprintf("a%02d", i), i)
	}
	return p
}

func (p *cellPair) both(f func(c *Cell)) {
	f(p.indexed)
	f(p.scanned)
}

func (p *cellPair) addRunner(agent string, i int) {
	p.runners[agent] = &framer.Report{
		Epoch: 1,
		Runner: framer.RunnerInfo{
			Address: agent,
			Key: framer.RunnerKey{
				ID:              "i-" + agent,
				StartedAtMillis: p.now.UnixMilli(),
			},
			Service:         "polls",
			FailureDomain:   fmt.Sprintf("domain-%d", i%3),
			ProcessorMillis: int64(8_000 + 4_000*(i%3)),
			MemoryBytes:     16 * gigabyte,
			Labels:          []string{fmt.Sprintf("kind-%d", i%2), fmt.Sprintf("rack-%d", i/4)},
		},
		ClockMillis: 1000,
	}
}

// step changes one thing, lets all agents report that are not silent, and ticks.
func (p *cellPair) step() {
	p.now = p.now.Add(placementInterval + time.Duration(p.rnd.IntN(150))*time.Millisecond)
	agents := slices.Sorted(maps.Keys(p.runners))
	agent := agents[p.rnd.IntN(len(agents))]
	r := p.runners[agent]
	switch p.rnd.IntN(18) {
	case 0:
		p.both(func(c *Cell) { c.AgentDisconnected(agent) })
	case 1:
		r.Runner.Draining = !r.Runner.Draining
	case 2:
		r.Runner.Key.StartedAtMillis = p.now.UnixMilli()
		r.Running, r.Finished, r.ClockMillis = nil, nil, 1000
	case 3:
		r.Running = append(r.Running, framer.RunStatus{
			RunRef: runRef("j1/0/0/0", 99),
		})
	case 4:
		queues := testQueues()
		queues.List[1].Terms.Urgency = p.rnd.IntN(3)
		p.both(func(c *Cell) { c.SetQueues(queues) })
	case 5:
		id := fmt.Sprintf("j%03d", p.rnd.IntN(p.jobs+1))
		p.both(func(c *Cell) { c.Cancel(p.now, id) })
	case 6:
		p.failing[agent] = !p.failing[agent]
	case 7, 8:
		p.orderRandom()
	case 9:
		r.Runner.ColdMillis = p.rnd.Int64N(4000)
	default:
		p.addJob()
	}
	for _, agent := range agents {
		if p.rnd.IntN(3) > 0 {
			p.report(agent)
		}
	}
	p.tick()
}

// orderRandom orders some of the failure domains drained.
func (p *cellPair) orderRandom() {
	var orders []drainer.Order
	for i := range 3 {
		if p.rnd.IntN(3) == 0 {
			orders = append(orders, drainer.Order{
				Domain:  fmt.Sprintf("domain-%d", i),
				Version: uint64(p.jobs),
			})
		}
	}
	p.both(func(c *Cell) { c.SetOrders(p.now, orders) })
}

func (p *cellPair) addJob() {
	p.jobs++
	spec := Spec{
		ID:               fmt.Sprintf("j%03d", p.jobs),
		Queue:            []string{"checks", "reviews"}[p.rnd.IntN(2)],
		Service:          "polls",
		AcceptedAtMillis: p.now.UnixMilli(),
	}
	for i := range 1 + p.rnd.IntN(2) {
		step := newStep(1+p.rnd.IntN(6), 500+500*p.rnd.IntN(8))
		if i > 0 {
			step.After = []int{i - 1}
		}
		step.Needs.MemoryBytes = int64(1+p.rnd.IntN(4)) * gigabyte
		p.vary(&step)
		if p.alike {
			step.Gang = false
			step.BestEffort = false
			step.Needs = newStep(1, 1500).Needs
		}
		spec.Steps = append(spec.Steps, step)
	}
	p.both(func(c *Cell) { c.Add(p.now, spec) })
}

// vary gives a step one of the properties that placement looks at.
func (p *cellPair) vary(step *Step) {
	step.Image = fmt.Sprintf("image-%d", p.rnd.IntN(3))
	switch p.rnd.IntN(9) {
	case 0:
		step.Gang = true
		step.RackLocal = p.rnd.IntN(2) == 0
	case 1:
		step.Requires = "kind-1"
	case 2:
		step.DataRack = "rack-1"
	case 3:
		step.AntiAffinity = 1
	case 4, 5:
		step.BestEffort = true
	case 6:
		step.LongRunning = true
		step.TargetMillis = 20
	default:
	}
}

// report reports an agent's runs after some of them progressed or finished, and
// starts those that the owner requests.
func (p *cellPair) report(agent string) {
	r := p.runners[agent]
	r.ClockMillis += 100
	r.Listed = true
	running := r.Running[:0:0]
	for _, status := range r.Running {
		status.Percent = min(fullPercent, status.Percent+p.rnd.IntN(20))
		status.Measurement = p.rnd.Float64() * 30
		if p.rnd.IntN(12) > 0 {
			running = append(running, status)
			continue
		}
		reason := []framer.FinishReason{framer.FinishDone, framer.FinishDone, framer.FinishFailed, framer.FinishStopped}[p.rnd.IntN(4)]
		if p.failing[agent] {
			reason = framer.FinishFailed
		}
		r.Finished = append(r.Finished, framer.FinishedRun{
			RunRef:   status.RunRef,
			Sequence: int64(len(r.Finished) + 1),
			Reason:   reason,
		})
	}
	r.Running = running
	p.both(func(c *Cell) { c.HandleReport(p.now, agent, *r) })
	sync := p.indexed.Sync(p.now, agent, true)
	assert.DeepEqual(p.t, len(p.scanned.Sync(p.now, agent, true).Starts), len(sync.Starts))
	for _, start := range sync.Starts {
		if p.rnd.IntN(10) == 0 {
			r.Finished = append(r.Finished, framer.FinishedRun{
				RunRef: start.RunRef,
				Reason: framer.FinishNeverStarted,
			})
			continue
		}
		r.Running = append(r.Running, framer.RunStatus{
			RunRef: start.RunRef,
		})
	}
	for _, ref := range sync.Stops {
		r.Running = slices.DeleteFunc(r.Running, func(status framer.RunStatus) bool {
			if status.RunRef != ref {
				return false
			}
			r.Finished = append(r.Finished, framer.FinishedRun{
				RunRef:   ref,
				Sequence: int64(len(r.Finished) + 1),
				Reason:   framer.FinishStopped,
			})
			return true
		})
	}
}

func (p *cellPair) tick() {
	p.indexed.Tick(p.now, true)
	p.scanned.Tick(p.now, false)
	p.scanned.moveIfDue(p.now)
	placeByScan(p.scanned, p.now)
	p.both(func(c *Cell) {
		for {
			commit, ok := c.Commit()
			if !ok {
				return
			}
			c.Committed(commit)
		}
	})
}

// placements lists the runner and the run of each task that is placed.
func placements(c *Cell) []string {
	var list []string
	for _, j := range c.jobs {
		for _, t := range j.tasks() {
			if t.runner != nil {
				list = append(list, fmt.Sprintf("%s.%d on %v", t.name(), t.run, t.runner.key))
			}
		}
	}
	slices.Sort(list)
	return list
}

// The index only saves work: it places every task where a look at all runners
// would have placed it.
func TestIndexPlacesLikeScan(t *testing.T) {
	const seeds, reservingSeeds, steps = 40, 16, 250
	for seed := range uint64(seeds + reservingSeeds) {
		reservations := 0
		if seed >= seeds {
			reservations = testReservations
		}
		t.Run(fmt.Sprintf("seed %d, reservations %d", seed, reservations), func(t *testing.T) {
			p := newCellPair(t, seed, 4+int(seed)%9, reservations)
			placed := 0
			for n := range steps {
				p.step()
				got, want := placements(p.indexed), placements(p.scanned)
				assert.DeepEqual(t, got, want)
				assert.Equal(t, p.indexed.Counts, p.scanned.Counts, "step %d", n)
				placed += len(got)
			}
			assert.Equal(t, p.indexed.Counts.Reservations.Made > 0, reservations > 0)
			assert.Assert(t, placed > steps, "the inputs must place tasks")
		})
	}
}

// Reservations change nothing while no large task waits.
func TestNothingChangesWhileNoLargeTaskWaits(t *testing.T) {
	const seeds, steps = 8, 250
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			p := newCellPair(t, seed, 3, 0)
			p.alike = true
			p.indexed.reservations = newReservations(testReservations)
			for range steps {
				p.step()
				assert.DeepEqual(t, placements(p.indexed), placements(p.scanned))
			}
			assert.Equal(t, p.indexed.Counts, p.scanned.Counts)
		})
	}
}
