package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// LapseReading is when a runner counts its lease as expired. Runs in progress end with
// the lease in all cases.
type LapseReading int

const (
	// LapseByClock is as soon as the runner's clock is past the end of the lease.
	LapseByClock LapseReading = iota + 1
	// LapseOnCall is, while nothing runs, only when the next call arrives.
	LapseOnCall
	// LapseAfterCalls is once the timers fire, so after a process that was stopped has
	// executed the calls that waited. These may extend the lease.
	LapseAfterCalls
	// LapseOfRuns is only if something runs.
	LapseOfRuns
)

// Advance finishes the runs whose run time is over, whose stop takes effect or
// whose lease has expired. It does nothing while the process is stopped or its timers
// have not fired.
func (r *StepRunner) Advance(now time.Time) {
	r.advance(now, false)
}

// advance does the same; called is set if it precedes a call.
func (r *StepRunner) advance(now time.Time, called bool) {
	if r.Frozen(now) {
		return
	}
	lapseFirst := r.lapseFirst
	r.lapseFirst = false
	running := len(r.runs) > 0
	if !lapseFirst {
		r.endRuns(now)
	}
	if r.Expired(now) {
		r.expire(running, called)
	}
	r.endRuns(now)
}

// endRuns finishes the runs whose run time is over or whose stop takes effect.
func (r *StepRunner) endRuns(now time.Time) {
	for _, task := range slices.Sorted(maps.Keys(r.runs)) {
		run := r.runs[task]
		switch {
		case r.hungSince.IsZero() && !run.endAt.After(now) && (run.stopAt.IsZero() || run.endAt.Before(run.stopAt)):
			r.finish(run, run.reason)
		case !run.stopAt.IsZero() && !run.stopAt.After(now):
			r.finish(run, framer.FinishStopped)
		}
	}
}

// expire ends all runs and, depending on the reading, records that the lease expired.
// running is set if there were runs until now.
func (r *StepRunner) expire(running, called bool) {
	for _, task := range slices.Sorted(maps.Keys(r.runs)) {
		r.finish(r.runs[task], framer.FinishLeaseExpired)
	}
	if !running && (r.Lapse == LapseOfRuns || r.Lapse == LapseOnCall && !called) {
		return
	}
	r.expiredSequence = r.lastSequence
	if !r.lapsed {
		r.lapsed = true
		r.OnLapse()
	}
}

// Expired reports whether the runner's clock is past the end of the lease.
func (r *StepRunner) Expired(now time.Time) bool {
	return r.clockMillis(now) > r.leaseEnd
}

// Freeze stops the process: it does nothing until Thaw, and the caller must hold back
// the calls to it.
func (r *StepRunner) Freeze(now time.Time) {
	r.frozenSince = now
}

// Thaw lets a stopped process continue. The timers that fell due meanwhile fire after
// delay, that of the lease first if lapseFirst is set. Only LapseAfterCalls executes
// calls before that.
func (r *StepRunner) Thaw(now time.Time, delay time.Duration, lapseFirst bool) {
	r.frozenSince = time.Time{}
	r.timersAt = now.Add(delay)
	r.lapseFirst = lapseFirst
}

// Frozen reports whether the process is stopped, or its timers have not fired since then.
func (r *StepRunner) Frozen(now time.Time) bool {
	return !r.frozenSince.IsZero() || r.Lapse == LapseAfterCalls && now.Before(r.timersAt)
}

// Running reports whether a run of a task is in progress.
func (r *StepRunner) Running(task string) bool {
	return r.runs[task] != nil
}
