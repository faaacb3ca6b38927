package speculator

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const usual = time.Second

// Guards against copies of runs that are on time, and against late runs that get none.
func TestLateRuns(t *testing.T) {
	for _, test := range []struct {
		name string
		run  Run
		late bool
	}{
		{"a usual run", Run{Elapsed: 900 * time.Millisecond, Percent: 85, ReportedAfter: 900 * time.Millisecond, Usual: usual}, false},
		{"a run on a runner of 1.5 times the speed of this one", Run{Elapsed: time.Second, Percent: 60, ReportedAfter: time.Second, Usual: usual}, false},
		{"a straggler of 7 times the duration", Run{Elapsed: 600 * time.Millisecond, Percent: 8, ReportedAfter: 560 * time.Millisecond, Usual: usual}, true},
		{"a straggler whose progress is no evidence yet", Run{Elapsed: 600 * time.Millisecond, Percent: 1, ReportedAfter: 200 * time.Millisecond, Usual: usual}, false},
		{"a run that reports no progress", Run{Elapsed: 1600 * time.Millisecond, Usual: usual}, false},
		{"a run that reports no progress for long", Run{Elapsed: 1700 * time.Millisecond, Usual: usual}, true},
		{"a run that hangs near its end", Run{Elapsed: 1700 * time.Millisecond, Percent: 95, ReportedAfter: 1700 * time.Millisecond, Usual: usual}, true},
		{"a run of unknown duration", Run{Elapsed: time.Minute}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, late := Remaining(test.run)
			assert.Equal(t, late, test.late)
		})
	}
}

// Guards against usual durations that a single straggler or a wrong estimate sets.
func TestUsualDuration(t *testing.T) {
	var step History
	var errors Errors
	assert.Equal(t, Usual(nil, nil, time.Second), 2*time.Second)
	for _, d := range []time.Duration{3, 3, 21} {
		errors.Add(d*time.Second, time.Second)
	}
	assert.Equal(t, Usual(&step, &errors, time.Second), 3*time.Second)
	for range maxSamples {
		step.Add(time.Second)
	}
	for range maxSamples / 3 {
		step.Add(7 * time.Second)
	}
	assert.Equal(t, Usual(&step, &errors, time.Second), time.Second)
}

// planned returns the tasks that get a copy, and those that the budget refuses.
func planned(capacity, copies int64, fits func(int) bool, candidates ...Candidate[int]) (started, refused []int) {
	p := Planner[int]{
		Usage: func(string) Usage {
			return Usage{
				CapacityMillis: capacity,
				CopiesMillis:   copies,
			}
		},
		Compare: cmp.Compare[int],
		Group:   func(i int) any { return i },
		Start: func(i int) bool {
			if fits(i) {
				started = append(started, i)
			}
			return fits(i)
		},
		Refused: func(i int) { refused = append(refused, i) },
	}
	p.Plan(candidates)
	return started, refused
}

func lateCandidates(n int) []Candidate[int] {
	var list []Candidate[int]
	for i := range n {
		list = append(list, Candidate[int]{
			Task: i,
			Run: Run{
				Elapsed: 2*usual + time.Duration(i)*time.Millisecond,
				Usual:   usual,
			},
			Millis: 1000,
		})
	}
	return list
}

func anyFits(int) bool { return true }

// Guards against copies that take more than their share when many tasks are late.
func TestManyTasksLateAtOnceKeepTheBudget(t *testing.T) {
	started, refused := planned(100_000, 0, anyFits, lateCandidates(10)...)
	assert.DeepEqual(t, started, []int{9, 8, 7})
	assert.Equal(t, len(refused), 7)
}

// Guards against a small service whose share is less than one task.
func TestSmallServiceMayHaveOneCopy(t *testing.T) {
	started, refused := planned(8000, 0, anyFits, lateCandidates(2)...)
	assert.DeepEqual(t, started, []int{1})
	assert.DeepEqual(t, refused, []int{0})
	started, _ = planned(8000, 1000, anyFits, lateCandidates(1)...)
	assert.Equal(t, len(started), 0)
}

// Guards against a task that no runner can hold and that keeps the others from a copy.
func TestTaskThatFitsNowhereDelaysNoOther(t *testing.T) {
	started, _ := planned(100_000, 0, func(i int) bool { return i != 2 }, lateCandidates(3)...)
	assert.DeepEqual(t, started, []int{1, 0})
}

// Guards against the order of lateness alone, which puts batch jobs before urgent ones.
func TestUrgentTasksPrecedeLaterOnes(t *testing.T) {
	list := lateCandidates(2)
	list[1].Urgency = 2
	started, _ := planned(8000, 0, anyFits, list...)
	assert.DeepEqual(t, started, []int{0})
}

// Guards against a search for each late task while all runners are busy.
func TestAllRunnersBusyBoundsTheSearches(t *testing.T) {
	searches := 0
	planned(1_000_000, 0, func(int) bool { searches++; return false }, lateCandidates(100)...)
	// The function is asked twice for each search.
	assert.Assert(t, searches <= 2*MaxSearches)
}

// BenchmarkPlan measures the decision with ten running tasks on each runner, of which one in
// a hundred is late.
func BenchmarkPlan(b *testing.B) {
	for _, runners := range []int{30, 300, 1000} {
		list := lateCandidates(10 * runners)
		for i := range list {
			if i%100 > 0 {
				list[i].Run.Elapsed = usual / 2
			}
		}
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				planned(int64(runners)*32_000, 0, anyFits, list...)
			}
		})
	}
}
