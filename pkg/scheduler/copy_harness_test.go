package scheduler

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// copyHarness drives a cell whose runners start and stop what they are asked to.
type copyHarness struct {
	*cellHarness
	// silent holds the agents that are lost, mute those whose runners ignore syncs.
	silent map[string]bool
	mute   map[string]bool
	// started holds the agent that started each run.
	started map[framer.RunRef]string
	// rows holds the last progress that was committed of each job.
	rows map[string]Progress
}

func newCopyHarness(t *testing.T, agents ...string) *copyHarness {
	t.Helper()
	h := &copyHarness{
		cellHarness: newCellHarness(t, agents...),
		silent:      map[string]bool{},
		mute:        map[string]bool{},
		started:     map[framer.RunRef]string{},
		rows:        map[string]Progress{},
	}
	queues := testQueues()
	queues.List[0].Terms.MaxFailures = 3
	h.cell.SetQueues(queues)
	return h
}

// pass lets time pass in steps of 100 ms.
func (h *copyHarness) pass(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(step) {
		h.cell.Tick(h.now, true)
		for {
			commit, ok := h.cell.Commit()
			if !ok {
				break
			}
			for _, row := range commit.Rows {
				h.rows[row.ID] = row.Progress
			}
			h.cell.Committed(commit)
		}
		for agent, r := range h.runners {
			r.ClockMillis += step.Milliseconds()
			if !h.silent[agent] {
				h.exchange(agent)
			}
		}
	}
}

// exchange sends an agent a sync and handles its report.
func (h *copyHarness) exchange(agent string) {
	r := h.runners[agent]
	sync := h.cell.Sync(h.now, agent, true)
	if h.mute[agent] {
		h.report(agent)
		return
	}
	for _, start := range sync.Starts {
		if !containsRun(r.Running, start.RunRef) {
			h.started[start.RunRef] = agent
			r.Running = append(r.Running, framer.RunStatus{
				RunRef:  start.RunRef,
				Percent: fullPercent,
			})
		}
	}
	for _, ref := range sync.Stops {
		if containsRun(r.Running, ref) {
			h.finish(agent, ref, framer.FinishStopped)
		}
	}
	h.report(agent)
}

// end ends a run where it was started.
func (h *copyHarness) end(ref framer.RunRef, reason framer.FinishReason) {
	h.t.Helper()
	assert.Assert(h.t, h.started[ref] != "", "%v never started", ref)
	h.finish(h.started[ref], ref, reason)
}

// setProgress sets the percentages of all runs on an agent's runner.
func (h *copyHarness) setProgress(agent string, percent int) {
	for i := range h.runners[agent].Running {
		h.runners[agent].Running[i].Percent = percent
	}
}

func speculativeStep(count, processorMillis int) Step {
	step := newStep(count, processorMillis)
	step.Speculative = true
	return step
}

// startPair starts a job of one task whose first run is late, so that it gets a copy.
func (h *copyHarness) startPair() (first, second framer.RunRef) {
	h.t.Helper()
	h.add("j", "checks", speculativeStep(1, 1000))
	h.pass(4 * time.Second)
	first, second = runRef("j.0.0.0", 1), runRef("j.0.0.0", 2)
	assert.Assert(h.t, h.started[first] != "" && h.started[second] != "", "started: %v", h.started)
	assert.Assert(h.t, h.started[first] != h.started[second])
	return first, second
}

func (h *copyHarness) assertCounts(started, won, lost int64) {
	h.t.Helper()
	n := h.cell.Counts
	assert.DeepEqual(h.t, []int64{n.CopiesStarted, n.CopiesWon, n.CopiesLost}, []int64{started, won, lost})
}

// replaceOwner replaces the cell by one that knows only the committed rows.
func (h *copyHarness) replaceOwner(spec Spec) {
	h.cell = nextOwner(h.t, h.now.Add(testLease))
	queues := testQueues()
	queues.List[0].Terms.MaxFailures = 3
	h.cell.SetQueues(queues)
	data, err := cbor.Marshal(h.rows[spec.ID])
	assert.NilError(h.t, err)
	var p Progress
	assert.NilError(h.t, cbor.Unmarshal(data, &p))
	h.cell.Load(h.now, spec, p)
}
