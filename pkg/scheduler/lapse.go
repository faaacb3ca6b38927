package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// lapseTTL is how long after the end of its lease a runner is expected to be back or to be
// replaced.
const lapseTTL = 10 * time.Minute

// lapse is a run that was lost because the lease of its runner expired. The runner may have
// crashed under the run, or may only have been cut off. Until one of them is proven, the lapse
// makes its task a suspect and may delay it, but is no reason to give it up.
type lapse struct {
	task   *taskState
	runner *lapsedRunner
	// added is what a crash of the runner adds to the record of the task.
	added crashRecord
}

// lapsedRunner is an incarnation of a runner whose lease expired with runs on it.
type lapsedRunner struct {
	key     framer.RunnerKey
	address string
	// at is when the last of the runs was lost.
	at   time.Time
	runs []*lapse
}

// replacedBy reports whether a later incarnation proves that the runner has crashed: it has
// answered a call under the same id, or at the same address.
func (r *lapsedRunner) replacedBy(s *runnerState) bool {
	sameAddress := r.address != "" && r.address == s.info.Address
	restarted := r.key.ID == s.key.ID && r.key.StartedAtMillis < s.key.StartedAtMillis
	return r.key != s.key && (sameAddress || restarted)
}

// lapses are the runs that were lost with the leases of their runners while nothing proves
// how these ended.
type lapses struct {
	runners map[framer.RunnerKey]*lapsedRunner
}

func newLapses() *lapses {
	return &lapses{
		runners: map[framer.RunnerKey]*lapsedRunner{},
	}
}

// add adds a run of a task that was lost with the lease of a runner.
func (l *lapses) add(at time.Time, key framer.RunnerKey, address string, t *taskState, added crashRecord) {
	r := l.runners[key]
	if r == nil {
		r = &lapsedRunner{
			key:     key,
			address: address,
		}
		l.runners[key] = r
	}
	r.at = maxTime(r.at, at)
	run := &lapse{
		task:   t,
		runner: r,
		added:  added,
	}
	r.runs = append(r.runs, run)
	t.lapses = append(t.lapses, run)
}

// take removes a runner and returns its runs whose tasks are still to run.
func (l *lapses) take(r *lapsedRunner) []*lapse {
	delete(l.runners, r.key)
	r.prune()
	for _, run := range r.runs {
		run.task.lapses = slices.DeleteFunc(run.task.lapses, func(other *lapse) bool { return other == run })
	}
	return r.runs
}

// prune drops the runs that no longer matter: their tasks are done or given up, or were proven
// sound.
func (r *lapsedRunner) prune() {
	r.runs = slices.DeleteFunc(r.runs, func(run *lapse) bool {
		t := run.task
		return t.done || t.job.state.Final() || !slices.Contains(t.lapses, run)
	})
}

// presumedRecord is the crash record of the task if all its lapses are crashes.
func (t *taskState) presumedRecord() crashRecord {
	r := t.record
	for _, run := range t.lapses {
		r.crashes += run.added.crashes
		r.suspicion += run.added.suspicion
	}
	return r
}

// suspect reports whether the task may crash its runners.
func (t *taskState) suspect() bool {
	return t.presumedRecord().suspect()
}

// awaitsProof reports whether the task must not start before one of its lapses is proven or
// refuted: if all are crashes, too many runners have crashed under it.
func (t *taskState) awaitsProof() bool {
	return len(t.lapses) > 0 && t.presumedRecord().crashes >= maxCrashes
}

// recordLapse records the runs that are lost because the lease of their runner expired. A
// runner that announced its end did not crash.
func (c *Cell) recordLapse(now time.Time, s *runnerState, lost []*task) {
	if s.info.Draining || s.info.Left {
		return
	}
	n := s.suspects()
	recorded := 0
	for _, t := range lost {
		if !t.startSent || t.done || t.crashedRun == t.run {
			continue
		}
		c.lapses.add(now, s.key, s.info.Address, t.taskState, t.crashEvidence(n))
		recorded++
		c.delaySuspect(now, t)
		c.giveUpIfProven(now, t)
	}
	if recorded > 0 {
		c.cfg.LogEvent("runner presumed lost", "runner", s.key.ID, "born-millis", s.key.StartedAtMillis, "runs", recorded,
			"unproven", n.unproven, "explaining", n.explaining, "known", s.reported)
	}
}

// refuteLapses withdraws the lapses of a runner that has listed its runs after the end of its
// lease: it did not crash under those that it had before.
func (c *Cell) refuteLapses(s *runnerState) {
	if r := c.lapses.runners[s.key]; r != nil && s.listedAt.After(r.at) {
		c.withdrawLapses(r, "the runner is back")
	}
}

// expireLapses withdraws the lapses of runners that were neither back nor replaced within
// lapseTTL.
func (c *Cell) expireLapses(now time.Time) {
	for key, r := range c.lapses.runners {
		r.prune()
		switch {
		case len(r.runs) == 0:
			delete(c.lapses.runners, key)
		case now.Sub(r.at) > lapseTTL:
			c.withdrawLapses(r, "the runner stays away")
		default:
		}
	}
}

func (c *Cell) withdrawLapses(r *lapsedRunner, why string) {
	runs := c.lapses.take(r)
	for _, run := range runs {
		run.task.forgetCrashAt(r.address)
		c.addUnplaced(run.task.job)
		c.markChanged(run.task.job)
	}
	c.cfg.LogEvent("lapse withdrawn", "runner", r.key.ID, "born-millis", r.key.StartedAtMillis, "runs", len(runs), "why", why)
}

// proveLapses counts the lapses of the runners that s has replaced as crashes.
func (c *Cell) proveLapses(now time.Time, s *runnerState) {
	for _, key := range slices.SortedFunc(maps.Keys(c.lapses.runners), compareKeys) {
		r := c.lapses.runners[key]
		if !r.replacedBy(s) {
			continue
		}
		runs := c.lapses.take(r)
		c.cfg.LogEvent("runner crashed", "runner", r.key.ID, "born-millis", r.key.StartedAtMillis, "runs", len(runs), "lapsed", true)
		for _, run := range runs {
			t := run.task
			t.record.crashes += run.added.crashes
			t.record.suspicion += run.added.suspicion
			c.addUnplaced(t.job)
			c.markChanged(t.job)
			c.giveUpIfProven(now, t.current)
		}
	}
}
