package scheduler

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// expirySettleMillis is how long, by its own clock, a runner must have continued
	// without a lease before it is granted another one: a process that was stopped
	// notices the end of its lease late.
	expirySettleMillis = 100
	// expiryTTL is how long a lost runner is remembered whose lease was not proven to have
	// expired.
	expiryTTL = 10 * time.Minute
)

// expiry is the proof, by the runner's own clock, that its lease has expired. It is needed
// once runs were released because of that: one of them may turn out to have finished, and
// neither its acknowledgement nor another lease may reach the runner before that lease has
// expired there. The zero value needs no proof.
type expiry struct {
	// due is set while the proof is needed, proven once it was given.
	due    bool
	proven bool
	// readMillis is the first reading of the clock after the end of the lease, or 0.
	readMillis int64
}

// require records that runs were released because the lease has expired.
func (e *expiry) require() {
	*e = expiry{
		due: true,
	}
}

// prove processes a reading of the runner's clock, and reports whether it completes the
// proof. untilMillis is the latest end of a lease that is known.
func (e *expiry) prove(clockMillis, untilMillis int64) bool {
	if !e.due || clockMillis <= untilMillis {
		return false
	}
	if e.readMillis == 0 {
		e.readMillis = clockMillis
	}
	e.proven = clockMillis-e.readMillis >= expirySettleMillis
	e.due = !e.proven
	return e.proven
}

// requireFor requires the proof for a finished run that is not its task's current one, if the
// task has started again although the run was done. The run was released without the
// runner's word, perhaps by a former owner.
func (c *Cell) requireFor(s *runnerState, e framer.FinishedRun) {
	t := c.taskByName(e.Task)
	if t == nil || e.Reason != framer.FinishDone || e.Run >= t.run || t.spec().LongRunning || t.spec().Gang {
		return
	}
	if !s.expiry.due && !s.expiry.proven {
		s.expiry.require()
	}
}

// proveExpiry processes the reading of the runner's clock in a report. The agent may know
// of a lease that this owner did not grant.
func (c *Cell) proveExpiry(s *runnerState, r framer.Report) {
	s.grantedUntilMillis = max(s.grantedUntilMillis, r.LeaseUntilMillis)
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
