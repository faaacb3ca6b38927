package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/supervisor"
)

// stepRun is a run in progress on a stand-in runner.
type stepRun struct {
	ref       framer.RunRef
	startedAt time.Time
	endAt     time.Time
	reason    framer.FinishReason
	// stopAt is the time at which a requested stop takes effect; zero if no
	// stop was requested.
	stopAt time.Time
}

// StepRunner is a stand-in for one incarnation of a runner that runs tasks of
// steps. Its methods take the present time, so it also works in virtual time.
type StepRunner struct {
	// Key identifies this incarnation.
	Key framer.RunnerKey
	// RunTime returns the duration of a run and the reason with which it
	// finishes.
	RunTime func(ref framer.RunRef) (time.Duration, framer.FinishReason)
	// OnStart is called whenever a run starts.
	OnStart func(ref framer.RunRef)
	// OnFinish is called whenever a run finishes.
	OnFinish func(finished framer.FinishedRun)
	// OnAcknowledged is called for each finished run that is dropped from the
	// listing after its acknowledgement. expired reports whether the lease has
	// expired since the run finished.
	OnAcknowledged func(finished framer.FinishedRun, expired bool)
	// MaxLease is the longest lease that the runner grants; a longer one is
	// shortened to it.
	MaxLease time.Duration
	// StopDuration is the duration of a stop.
	StopDuration time.Duration
	// MaxListed is the largest number of finished runs in a listing.
	MaxListed int
	// SlowPercent is by how much the runner's clock is slow.
	SlowPercent int64
	// Lapse is when the lease counts as expired.
	Lapse LapseReading
	// OnLapse is called whenever the lease expires.
	OnLapse func()
	// ReportProgress makes the runner list how much of its run time each run has
	// completed; otherwise all runs are listed as complete.
	ReportProgress bool

	startedAt time.Time
	// hungSince is since when the runs make no progress; zero if they do.
	hungSince time.Time
	// frozenSince is since when the process is stopped; zero if it runs.
	// timersAt is when the timers fire that fell due meanwhile, lapseFirst whether
	// the lease's timer is the first of them, and lapsed whether the lease is known
	// to have expired.
	frozenSince time.Time
	timersAt    time.Time
	lapseFirst  bool
	lapsed      bool
	epoch       uint64
	leaseEnd    int64
	runs        map[string]*stepRun
	// highestRun is the highest run of each task that was started, finished or
	// stopped here.
	highestRun   map[string]int
	finished     []framer.FinishedRun
	lastSequence int64
	// expiredSequence is the sequence number of the last run that had finished
	// when the lease was last found expired.
	expiredSequence int64
}

// defaultMaxListed is the number of finished runs in the largest listing.
const defaultMaxListed = 500

// NewStepRunner returns a runner whose incarnation starts now. By default each
// run takes 1 s and succeeds.
func NewStepRunner(now time.Time, id string) *StepRunner {
	return &StepRunner{
		Key: framer.RunnerKey{
			ID:              id,
			StartedAtMillis: now.UnixMilli(),
		},
		RunTime: func(framer.RunRef) (time.Duration, framer.FinishReason) {
			return time.Second, framer.FinishDone
		},
		OnStart:        func(framer.RunRef) {},
		OnFinish:       func(framer.FinishedRun) {},
		OnAcknowledged: func(framer.FinishedRun, bool) {},
		MaxLease:       6 * time.Second,
		StopDuration:   400 * time.Millisecond,
		MaxListed:      defaultMaxListed,
		Lapse:          LapseByClock,
		OnLapse:        func() {},
		startedAt:      now,
		runs:           map[string]*stepRun{},
		highestRun:     map[string]int{},
	}
}

// clockMillis returns the time of the runner's own clock, which starts at 1 ms.
func (r *StepRunner) clockMillis(now time.Time) int64 {
	return now.Sub(r.startedAt).Milliseconds()*(100-r.SlowPercent)/100 + 1
}

func (r *StepRunner) finish(run *stepRun, reason framer.FinishReason) {
	delete(r.runs, run.ref.Task)
	r.lastSequence++
	finished := framer.FinishedRun{
		RunRef:   run.ref,
		Sequence: r.lastSequence,
		Reason:   reason,
	}
	r.finished = append(r.finished, finished)
	r.OnFinish(finished)
}

// renew adopts the owner's epoch and extends the lease, to at most MaxLease from
// now. It rejects a call for another runner or from a former epoch.
func (r *StepRunner) renew(now time.Time, h supervisor.CallHeader) supervisor.Refusal {
	r.advance(now, true)
	if h.Runner.ID != r.Key.ID {
		return supervisor.RefusalWrongIncarnation
	}
	if h.Epoch < r.epoch {
		return supervisor.RefusalFenced
	}
	r.epoch = h.Epoch
	maxEnd := r.clockMillis(now) + r.MaxLease.Milliseconds()
	r.leaseEnd = max(r.leaseEnd, min(h.LeaseUntilMillis, maxEnd))
	r.lapsed = r.lapsed && r.Expired(now)
	return ""
}

// Hang makes all runs stop making progress until Resume is called.
func (r *StepRunner) Hang(now time.Time) {
	r.hungSince = now
}

// Resume lets the runs of a hung runner continue.
func (r *StepRunner) Resume(now time.Time) {
	for _, run := range r.runs {
		hung := now.Sub(maxTime(r.hungSince, run.startedAt))
		run.startedAt = run.startedAt.Add(hung)
		run.endAt = run.endAt.Add(hung)
	}
	r.hungSince = time.Time{}
}

// percent returns the share of its run time that a run has completed.
func (r *StepRunner) percent(now time.Time, run *stepRun) int {
	if !r.ReportProgress {
		return 100
	}
	if !r.hungSince.IsZero() {
		now = maxTime(r.hungSince, run.startedAt)
	}
	return int(min(100, 100*now.Sub(run.startedAt)/max(1, run.endAt.Sub(run.startedAt))))
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Start renews the lease and starts a run. Starting a run that is already in
// progress is accepted and has no effect.
func (r *StepRunner) Start(now time.Time, h supervisor.CallHeader, start framer.RunStart) supervisor.Answer {
	refusal := r.renew(now, h)
	if refusal == "" {
		refusal = r.admit(now, h, start.RunRef)
	}
	return supervisor.Answer{
		Refusal:     refusal,
		ClockMillis: r.clockMillis(now),
	}
}

func (r *StepRunner) admit(now time.Time, h supervisor.CallHeader, ref framer.RunRef) supervisor.Refusal {
	if run := r.runs[ref.Task]; run != nil && run.ref == ref {
		return ""
	}
	if ref.Run <= r.highestRun[ref.Task] {
		return supervisor.RefusalStaleRun
	}
	if h.LeaseUntilMillis <= r.clockMillis(now) {
		return supervisor.RefusalLeaseExpired
	}
	d, reason := r.RunTime(ref)
	r.highestRun[ref.Task] = ref.Run
	r.runs[ref.Task] = &stepRun{
		ref:       ref,
		startedAt: now,
		endAt:     now.Add(d),
		reason:    reason,
	}
	r.OnStart(ref)
	return ""
}

// Stop requests that a run be stopped, and ensures that it never starts if it
// has not started yet. It does not extend the lease.
func (r *StepRunner) Stop(now time.Time, h supervisor.CallHeader, ref framer.RunRef) supervisor.Answer {
	h.LeaseUntilMillis = 0
	refusal := r.renew(now, h)
	if refusal == "" {
		r.highestRun[ref.Task] = max(r.highestRun[ref.Task], ref.Run)
		if run := r.runs[ref.Task]; run != nil && run.ref == ref && run.stopAt.IsZero() {
			run.stopAt = now.Add(r.StopDuration)
		}
	}
	return supervisor.Answer{
		Refusal:     refusal,
		ClockMillis: r.clockMillis(now),
	}
}

// RenewLease renews the lease, drops the finished runs up to the acknowledged
// sequence number, and lists the other finished runs and those in progress.
func (r *StepRunner) RenewLease(now time.Time, h supervisor.CallHeader, ackedSequence int64) supervisor.Listing {
	l := supervisor.Listing{
		Refusal:         r.renew(now, h),
		ClockMillis:     r.clockMillis(now),
		StartedAtMillis: r.Key.StartedAtMillis,
	}
	if l.Refusal != "" {
		return l
	}
	for len(r.finished) > 0 && r.finished[0].Sequence <= ackedSequence {
		r.OnAcknowledged(r.finished[0], r.finished[0].Sequence <= r.expiredSequence)
		r.finished = r.finished[1:]
	}
	l.Finished = slices.Clone(r.finished[:min(len(r.finished), r.MaxListed)])
	for _, task := range slices.Sorted(maps.Keys(r.runs)) {
		l.Running = append(l.Running, framer.RunStatus{
			RunRef:  r.runs[task].ref,
			Percent: r.percent(now, r.runs[task]),
		})
	}
	return l
}

// String lists the tasks in progress for messages of failed tests.
func (r *StepRunner) String() string {
	return fmt.Sprintf("%s/%d: %s", r.Key.ID, r.Key.StartedAtMillis, strings.Join(slices.Sorted(maps.Keys(r.runs)), " "))
}
