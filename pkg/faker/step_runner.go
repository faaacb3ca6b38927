package faker

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/holder"
)

// stepRun is one run of a task on a stand-in runner.
type stepRun struct {
	ref   framer.RunRef
	endAt time.Time
	kind  framer.FinishReason
	// stopAt is when a stop takes effect; nought while none was asked for.
	stopAt time.Time
}

// StepRunner is a stand-in for one life of a runner that runs tasks of steps.
// It is told the time, so that it serves in virtual time too.
type StepRunner struct {
	// Key names this life.
	Key framer.RunnerKey
	// RunTime tells how long a run takes and how it ends.
	RunTime func(ref framer.RunRef) (time.Duration, framer.FinishReason)
	// OnStart and OnEnd are called for each start and end of a run.
	OnStart func(ref framer.RunRef)
	OnEnd   func(end framer.FinishedRun)
	// OnSeen is called for each end that is forgotten, with whether the
	// lease lapsed since that end.
	OnSeen func(end framer.FinishedRun, lapsed bool)
	// LongestLease bounds each lease, and StopTime is how long a stop takes.
	LongestLease time.Duration
	StopTime     time.Duration

	bornAt   time.Time
	epoch    uint64
	leaseEnd int64
	runs     map[string]*stepRun
	// highest is the highest run of each task that was started, ended or
	// stopped here.
	highest map[string]int
	ended   []framer.FinishedRun
	number  int64
	// lapsedUpTo is the number of the last end before a lapse of the lease.
	lapsedUpTo int64
}

// NewStepRunner returns a runner that starts its life now.
func NewStepRunner(now time.Time, id string) *StepRunner {
	return &StepRunner{
		Key: framer.RunnerKey{
			ID:              id,
			StartedAtMillis: now.UnixMilli(),
		},
		RunTime: func(framer.RunRef) (time.Duration, framer.FinishReason) {
			return time.Second, framer.FinishDone
		},
		OnStart:      func(framer.RunRef) {},
		OnEnd:        func(framer.FinishedRun) {},
		OnSeen:       func(framer.FinishedRun, bool) {},
		LongestLease: 6 * time.Second,
		StopTime:     400 * time.Millisecond,
		bornAt:       now,
		runs:         map[string]*stepRun{},
		highest:      map[string]int{},
	}
}

// clock is the runner's own clock, which starts near nought.
func (r *StepRunner) clock(now time.Time) int64 {
	return now.Sub(r.bornAt).Milliseconds() + 1
}

// Advance lets runs end whose time has come.
func (r *StepRunner) Advance(now time.Time) {
	lapsed := r.clock(now) > r.leaseEnd
	for _, task := range slices.Sorted(maps.Keys(r.runs)) {
		run := r.runs[task]
		switch {
		case !run.endAt.After(now) && (run.stopAt.IsZero() || run.endAt.Before(run.stopAt)):
			r.end(run, run.kind)
		case !run.stopAt.IsZero() && !run.stopAt.After(now):
			r.end(run, framer.FinishStopped)
		case lapsed:
			r.end(run, framer.FinishLeaseExpired)
		}
	}
	if lapsed {
		r.lapsedUpTo = r.number
	}
}

func (r *StepRunner) end(run *stepRun, kind framer.FinishReason) {
	delete(r.runs, run.ref.Task)
	r.number++
	end := framer.FinishedRun{
		RunRef:   run.ref,
		Sequence: r.number,
		Reason:   kind,
	}
	r.ended = append(r.ended, end)
	r.OnEnd(end)
}

// renew takes an epoch and a lease; it refuses a former epoch.
func (r *StepRunner) renew(now time.Time, o holder.CallHeader) holder.Refusal {
	r.Advance(now)
	if o.Runner.ID != r.Key.ID {
		return holder.RefusalWrongIncarnation
	}
	if o.Epoch < r.epoch {
		return holder.RefusalFenced
	}
	r.epoch = o.Epoch
	longest := r.clock(now) + r.LongestLease.Milliseconds()
	r.leaseEnd = max(r.leaseEnd, min(o.LeaseUntilMillis, longest))
	return ""
}

// Start starts a run.
func (r *StepRunner) Start(now time.Time, o holder.CallHeader, start framer.RunStart) holder.Answer {
	refusal := r.renew(now, o)
	if refusal == "" {
		refusal = r.admit(now, o, start.RunRef)
	}
	return holder.Answer{
		Refusal:     refusal,
		ClockMillis: r.clock(now),
	}
}

func (r *StepRunner) admit(now time.Time, o holder.CallHeader, ref framer.RunRef) holder.Refusal {
	if run := r.runs[ref.Task]; run != nil && run.ref == ref {
		return ""
	}
	if ref.Run <= r.highest[ref.Task] {
		return holder.RefusalStaleRun
	}
	if o.LeaseUntilMillis <= r.clock(now) {
		return holder.RefusalLeaseExpired
	}
	d, kind := r.RunTime(ref)
	r.highest[ref.Task] = ref.Run
	r.runs[ref.Task] = &stepRun{
		ref:   ref,
		endAt: now.Add(d),
		kind:  kind,
	}
	r.OnStart(ref)
	return ""
}

// Stop stops a run, or makes sure that it never starts.
func (r *StepRunner) Stop(now time.Time, o holder.CallHeader, ref framer.RunRef) holder.Answer {
	o.LeaseUntilMillis = 0
	refusal := r.renew(now, o)
	if refusal == "" {
		r.highest[ref.Task] = max(r.highest[ref.Task], ref.Run)
		if run := r.runs[ref.Task]; run != nil && run.ref == ref && run.stopAt.IsZero() {
			run.stopAt = now.Add(r.StopTime)
		}
	}
	return holder.Answer{
		Refusal:     refusal,
		ClockMillis: r.clock(now),
	}
}

// Hold renews the lease, forgets ends and lists the rest.
func (r *StepRunner) Hold(now time.Time, o holder.CallHeader, endsSeen int64) holder.Listing {
	l := holder.Listing{
		Refusal:         r.renew(now, o),
		ClockMillis:     r.clock(now),
		StartedAtMillis: r.Key.StartedAtMillis,
	}
	if l.Refusal != "" {
		return l
	}
	for len(r.ended) > 0 && r.ended[0].Sequence <= endsSeen {
		r.OnSeen(r.ended[0], r.ended[0].Sequence <= r.lapsedUpTo)
		r.ended = r.ended[1:]
	}
	l.Finished = slices.Clone(r.ended)
	for _, task := range slices.Sorted(maps.Keys(r.runs)) {
		l.Running = append(l.Running, framer.RunStatus{
			RunRef:  r.runs[task].ref,
			Percent: 100,
		})
	}
	return l
}

// String lists what runs, for failures of tests.
func (r *StepRunner) String() string {
	return fmt.Sprintf("%s/%d: %s", r.Key.ID, r.Key.StartedAtMillis, strings.Join(slices.Sorted(maps.Keys(r.runs)), " "))
}
