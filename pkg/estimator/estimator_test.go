package estimator

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// busyService is a service of 100 busy processors that is observed for a time, with a
// batch backlog that takes it a number of seconds.
type busyService struct {
	*Service
	now time.Time
}

func newBusyService() *busyService {
	s := &busyService{
		Service: NewService(),
		now:     start,
	}
	s.Arrived(start, "batch", 2, 1000, 12*time.Second)
	s.Arrived(start, "urgent", 0, 0, 2*time.Second)
	return s
}

func (s *busyService) observe(allocated int64, backlog time.Duration) *View {
	for range 20 {
		s.now = s.now.Add(200 * time.Millisecond)
		s.Observe(s.now, allocated, allocated, 100_000, []Backlog{
			{
				Queue:   "batch",
				Urgency: 2,
				Work:    100_000 * backlog.Milliseconds(),
			},
			{
				Queue: "urgent",
			},
		})
	}
	return &View{
		Report: Report{
			Queues: s.Reports(s.now),
		},
		AsOf: s.now,
	}
}

func batchJob(id string) *Job {
	return &Job{
		ID:    id,
		Queue: "batch",
		Waits: true,
	}
}

func assertRefused(t *testing.T, v *View, now time.Time, j *Job, want bool) {
	t.Helper()
	assert.Equal(t, v.Refuse(now, j) != nil, want)
}

// Guards against refusals that oscillate, that hit other queues, or that an estimate
// does not justify.
func TestOverloadRefusesBatchJobs(t *testing.T) {
	s := newBusyService()
	for _, step := range []struct {
		backlog time.Duration
		refused bool
	}{
		{5 * time.Second, false},
		{7 * time.Second, true},
		{5800 * time.Millisecond, true},
		{5 * time.Second, false},
		{5800 * time.Millisecond, false},
	} {
		v := s.observe(100_000, step.backlog)
		assertRefused(t, v, s.now, batchJob("a"), step.refused)
	}
	v := s.observe(100_000, 30*time.Second)
	urgent := batchJob("a")
	urgent.Queue = "urgent"
	assertRefused(t, v, s.now, urgent, false)
	scheduled := batchJob("a")
	scheduled.Waits = false
	assertRefused(t, v, s.now, scheduled, false)
	assertRefused(t, s.observe(60_000, 30*time.Second), s.now, batchJob("a"), false)
}

// Guards against refusals by an estimate that nobody stands for any more, or that a new
// owner made before it had observed anything.
func TestUnknownOrOldEstimateRefusesNothing(t *testing.T) {
	s := newBusyService()
	v := s.observe(100_000, 30*time.Second)
	assertRefused(t, v, v.AsOf.Add(maxAge), batchJob("a"), true)
	assertRefused(t, v, v.AsOf.Add(maxAge+1), batchJob("a"), false)
	assertRefused(t, &View{Report: v.Report}, s.now, batchJob("a"), false)
	assertRefused(t, nil, s.now, batchJob("a"), false)
	s = newBusyService()
	s.Observe(start, 100_000, 100_000, 100_000, []Backlog{{
		Queue:   "batch",
		Urgency: 2,
		Work:    1 << 40,
	}})
	assert.Equal(t, len(s.Reports(start.Add(warmUp-1))), 0)
	assert.Equal(t, len(s.Reports(start.Add(warmUp))), 1)
}

// Guards against callers that retry before the backlog allows their job, or all at the
// same moment.
func TestRefusedCallersRetryOnceTheBacklogAllows(t *testing.T) {
	s := newBusyService()
	v := s.observe(100_000, 30*time.Second)
	drained := 30*time.Second - time.Duration(reopenAt*12*float64(time.Second))
	times := map[time.Duration]bool{}
	for n := range 50 {
		after := v.Refuse(s.now, batchJob(strconv.Itoa(n))).RetryAfter
		assert.Assert(t, after > drained-time.Second && after < 2*drained+time.Second, "%s", after)
		times[after.Truncate(time.Second)] = true
	}
	assert.Assert(t, len(times) > 5)
}

// The estimates of callers may miss; the wait must follow what is completed.
func TestWaitFollowsTheMeasuredError(t *testing.T) {
	s := newBusyService()
	for range 100 {
		s.Completed(s.now, 20_000_000, 10_000_000)
	}
	s.observe(100_000, 10*time.Second)
	wait := s.queues["batch"].wait
	assert.Assert(t, wait > 4*time.Second && wait < 6*time.Second, "%s", wait)
}

// Guards against jobs that wait for a runner that the service does not have, and against
// refusals while its runners change or once a larger one has joined.
func TestJobThatNoRunnerCanHoldIsRefused(t *testing.T) {
	var set RunnerSet
	observe := func(at time.Duration, processors int64) *View {
		now := start.Add(at)
		set.Begin("polls")
		set.Add(processors, 100, 0, []string{"a"})
		set.Add(8000, 200, 1, []string{"b"})
		set.End(now)
		v := &View{
			AsOf: now,
		}
		if runners, ok := set.Stable(now); ok {
			v.Report.Runners = []Runners{runners}
		}
		return v
	}
	refused := func(v *View, n Need) bool {
		return v.Refuse(v.AsOf, &Job{
			ID:      "j",
			Service: "polls",
			Needs:   []Need{n},
		}) != nil
	}
	large := Need{
		ProcessorMillis: 20_000,
	}
	assert.Assert(t, !refused(observe(0, 16_000), large))
	v := observe(stableFor, 16_000)
	assert.Assert(t, refused(v, large))
	assert.Equal(t, v.Refuse(v.AsOf, &Job{Service: "polls", Needs: []Need{large}}).Reason, ReasonNoRunner)
	assert.Assert(t, refused(v, Need{Label: "c"}))
	assert.Assert(t, refused(v, Need{Accelerators: 2}))
	assert.Assert(t, !refused(v, Need{ProcessorMillis: 16_000, MemoryBytes: 200, Accelerators: 1, Label: "a"}))
	assert.Assert(t, !refused(observe(stableFor+time.Second, 32_000), large), "a larger runner joined")
	assert.Assert(t, !refused(observe(3*stableFor, 32_000), large))
}
