package scheduler

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
)

// expiryTTL is how long a lost runner is remembered whose lease was not proven to have
// expired.
const expiryTTL = 10 * time.Minute

// expiry is the proof, by the runner's own clock, that its lease has expired. It is needed
// once runs were released because of that: one of them may turn out to have finished, and
// neither its acknowledgement nor another lease may reach the runner before that lease has
// expired there. The zero value needs no proof.
type expiry struct {
	// due is set while the proof is needed, proven once it was given.
	due    bool
	proven bool
	// settling has the readings of the clock from after the end of the lease.
	settling leaser.Settling
}

// prove processes a reading of the runner's clock, and reports whether it completes the
// proof. untilMillis is the latest end of a lease that is known.
func (e *expiry) prove(clockMillis, untilMillis int64) bool {
	if !e.due || clockMillis <= untilMillis {
		return false
	}
	e.settling.Read(clockMillis)
	e.proven = e.settling.Done()
	e.due = !e.proven
	return e.proven
}

// requireExpiry requires the proof, since runs were released because the lease has expired
// by this process's clock: so much later than the last reading must the runner's clock be.
func (s *runnerState) requireExpiry(now time.Time) {
	if s.clockMillis > 0 {
		s.grantedUntilMillis = max(s.grantedUntilMillis, s.clockMillis+now.Sub(s.clockAt).Milliseconds())
	}
	s.expiry = expiry{
		due: true,
	}
}

// requireFor requires the proof for a finished run that is not its task's current one: if the
// run was done and the task runs or is to run again, or if the run failed and that was not
// counted. Such a run was released before the runner reported its end, perhaps by a former
// owner. The agent may know that the lease has expired since the end.
func (c *Cell) requireFor(s *runnerState, r framer.Report, e framer.FinishedRun) {
	t := c.taskByName(e.Task)
	if t == nil || t.spec().LongRunning || t.done && (t.spec().mayHaveCopies() || e.Run == t.run) {
		return
	}
	if e.Reason != framer.FinishDone && !t.failedUncounted(e) {
		return
	}
	if s.expiry.due || s.expiry.proven || e.Sequence <= r.ExpiredSequence {
		return
	}
	s.expiry.due = true
}

// proveExpiry processes the reading of the runner's clock in a report. The agent may know
// of a lease that this owner did not grant. If neither knows of any, that of a former owner
// lasts no longer than the longest one.
func (c *Cell) proveExpiry(s *runnerState, r framer.Report) {
	s.grantedUntilMillis = max(s.grantedUntilMillis, r.LeaseUntilMillis)
	if s.expiry.due && s.grantedUntilMillis == 0 {
		s.grantedUntilMillis = r.ClockMillis + c.cfg.LongestLease.Milliseconds()
	}
	if !s.expiry.prove(r.ClockMillis, s.grantedUntilMillis) {
		return
	}
	c.cfg.LogEvent("lease proven to have expired", "runner", s.key.ID, "born-millis", s.key.StartedAtMillis,
		"lease-until-millis", s.grantedUntilMillis, "clock-millis", r.ClockMillis)
	s.index.improved(s)
	s.needsSync()
}

// forgettable reports whether a runner without tasks that no agent reports may be dropped:
// no delayed call can reach an incarnation that starts under its id, and no proof is due.
func (s *runnerState) forgettable(now time.Time) bool {
	ttl := maxCallDelay
	if s.expiry.due {
		ttl = expiryTTL
	}
	return s.agent == "" && len(s.tasks) == 0 && now.Sub(s.leaseEnd) > ttl
}
