package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	testLease = 6 * time.Second
	gigabyte  = 1 << 30
)

// cellHarness drives a cell with scripted agents.
type cellHarness struct {
	t    *testing.T
	cell *Cell
	now  time.Time
	// runners holds the report of each agent, by the agent's address.
	runners map[string]*framer.Report
}

func newCellHarness(t *testing.T, agents ...string) *cellHarness {
	t.Helper()
	h := &cellHarness{
		t:       t,
		now:     time.Unix(10_000, 0),
		runners: map[string]*framer.Report{},
	}
	h.cell = NewCell(Config{
		Epoch:           1,
		Assert:          strictAsserter(t),
		Lease:           testLease,
		FormerLeasesEnd: h.now,
	})
	h.cell.SetQueues(testQueues())
	for i, agent := range agents {
		h.runners[agent] = &framer.Report{
			Epoch: 1,
			Runner: framer.RunnerInfo{
				Key: framer.RunnerKey{
					ID:              "i-" + agent,
					StartedAtMillis: 1000,
				},
				Service:         "polls",
				ProcessorMillis: 32_000,
				MemoryBytes:     128 * gigabyte,
				Labels:          []string{"a", fmt.Sprintf("rack-%d", i)},
			},
			ClockMillis: 1000,
		}
		h.report(agent)
	}
	return h
}

func strictAsserter(t *testing.T) *asserter.Asserter {
	t.Helper()
	return asserter.New(func(name string, pairs ...any) {
		t.Fatalf("invariant %s broken: %v", name, pairs)
	})
}

func testQueues() *Queues {
	return &Queues{
		Version: 1,
		List: []Queue{
			{
				Name:    "checks",
				Service: "polls",
				Terms: Terms{
					MaxFailures:   2,
					Stretch:       1.5,
					TargetLatency: 250 * time.Millisecond,
				},
			},
			{
				Name:    "reviews",
				Service: "polls",
				Terms: Terms{
					Urgency:       2,
					MaxFailures:   2,
					Stretch:       2,
					TargetLatency: time.Second,
				},
			},
		},
	}
}

// report sends an agent's report with an advanced clock.
func (h *cellHarness) report(agent string) {
	r := h.runners[agent]
	r.ClockMillis += 10
	r.Listed = true
	h.cell.HandleReport(h.now, agent, *r)
}

// advance advances the time in steps of 100 ms, with reports of all agents.
func (h *cellHarness) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(step)
		for agent, r := range h.runners {
			r.ClockMillis += step.Milliseconds()
			h.report(agent)
			h.cell.Sync(h.now, agent, true)
		}
		h.tickUntilIdle()
	}
}

// nextOwner returns the cell of the next owner, which knows nothing yet. The leases of the
// former one end at leasesEnd.
func nextOwner(t *testing.T, leasesEnd time.Time) *Cell {
	t.Helper()
	return NewCell(Config{
		Epoch:           2,
		Assert:          strictAsserter(t),
		Lease:           testLease,
		FormerLeasesEnd: leasesEnd,
	})
}

// tickUntilIdle ticks the cell and commits its changes until there are none.
func (h *cellHarness) tickUntilIdle() {
	for {
		h.cell.Tick(h.now, true)
		commit, ok := h.cell.Commit()
		if !ok {
			return
		}
		h.cell.Committed(commit)
	}
}

// acceptStarts returns the runs that an agent is requested to start, and
// reports them as running.
func (h *cellHarness) acceptStarts(agent string) []framer.RunRef {
	var refs []framer.RunRef
	for _, s := range h.cell.Sync(h.now, agent, true).Starts {
		refs = append(refs, s.RunRef)
		h.runners[agent].Running = append(h.runners[agent].Running, framer.RunStatus{
			RunRef:  s.RunRef,
			Percent: 100,
		})
	}
	h.report(agent)
	return refs
}

func (h *cellHarness) acceptAllStarts() []framer.RunRef {
	var refs []framer.RunRef
	for agent := range h.runners {
		refs = append(refs, h.acceptStarts(agent)...)
	}
	return refs
}

// finish finishes a run on an agent's runner.
func (h *cellHarness) finish(agent string, ref framer.RunRef, reason framer.FinishReason) {
	r := h.runners[agent]
	for i, status := range r.Running {
		if status.RunRef == ref {
			r.Running = append(r.Running[:i:i], r.Running[i+1:]...)
			break
		}
	}
	sequence := int64(1)
	for _, e := range r.Finished {
		sequence = max(sequence, e.Sequence+1)
	}
	r.Finished = append(r.Finished, framer.FinishedRun{
		RunRef:   ref,
		Sequence: sequence,
		Reason:   reason,
	})
	h.report(agent)
}

func (h *cellHarness) add(id, queue string, steps ...Step) {
	h.cell.Add(h.now, Spec{
		ID:               id,
		Queue:            queue,
		Service:          "polls",
		Steps:            steps,
		AcceptedAtMillis: h.now.UnixMilli(),
	})
}

func (h *cellHarness) state(id string) State {
	return h.cell.jobs[id].state
}

func newStep(count, processorMillis int) Step {
	return Step{
		Count: count,
		Needs: publisher.Resources{
			ProcessorMillis: int64(processorMillis),
			MemoryBytes:     gigabyte,
		},
		EstimateMillis: 1000,
	}
}

func runRef(task string, n int) framer.RunRef {
	return framer.RunRef{
		Task: task,
		Run:  n,
	}
}
