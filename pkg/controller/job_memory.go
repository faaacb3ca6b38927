package controller

import (
	"cmp"
	"sync/atomic"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/estimator"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

const (
	// defaultMemoryBytes is the memory of the smallest instance of an entry.
	defaultMemoryBytes = 184_000_000
	// jobMemoryShare is the part of an entry's memory that jobs may take: one of so many.
	jobMemoryShare = 2
	// jobBytes is what a job takes in an entry beside its payload, its steps and its tasks,
	// stepBytes what a step and taskBytes what a task that is not over takes in the owner,
	// which any entry may become.
	jobBytes  = 2500
	stepBytes = 300
	taskBytes = 1000
	// memoryRetryAfter is when a job may find room that found none: after the next sweep.
	memoryRetryAfter = sweepInterval
	// refusedForMemory is the reason of such a refusal.
	refusedForMemory = "memory"
)

// jobMemory counts what the jobs take that an entry holds, and bounds it.
type jobMemory struct {
	budget int64
	held   atomic.Int64
}

func newJobMemory(memoryBytes int64) *jobMemory {
	return &jobMemory{
		budget: cmp.Or(memoryBytes, defaultMemoryBytes) / jobMemoryShare,
	}
}

// check returns a *publisher.FieldError if the job could not be held if it were the only one.
func (m *jobMemory) check(spec *scheduler.Spec) error {
	return publisher.CheckRange("bytes in memory", memoryOf(spec, 1), 0, m.budget)
}

// refuse returns why a job cannot be held now, or nil if it can.
func (m *jobMemory) refuse(spec *scheduler.Spec) *estimator.Refusal {
	if m.held.Load()+memoryOf(spec, 1) <= m.budget {
		return nil
	}
	return &estimator.Refusal{
		Reason:     refusedForMemory,
		RetryAfter: memoryRetryAfter,
	}
}

// reserve counts a job that is being committed, and returns the function that ends that.
func (m *jobMemory) reserve(spec *scheduler.Spec) (done func()) {
	bytes := memoryOf(spec, 1)
	m.held.Add(bytes)
	return func() { m.held.Add(-bytes) }
}

// update counts a view anew that has changed.
func (m *jobMemory) update(v *jobView) {
	bytes := v.memory()
	m.held.Add(bytes - v.counted)
	v.counted = bytes
}

// remove ends the count of a view that is dropped.
func (m *jobMemory) remove(v *jobView) {
	m.held.Add(-v.counted)
	v.counted = 0
}

// memory returns about what the job takes in an entry that owns the cell.
func (v *jobView) memory() int64 {
	if !v.hasSpec || v.progressVersion > 0 && v.progress.State.Final() {
		return jobBytes + int64(len(v.spec.Payload)) + stepBytes*int64(len(v.spec.Steps))
	}
	occurrences := 1
	if perOccurrence := v.spec.TasksPerOccurrence(); perOccurrence > 0 {
		occurrences = max(1, len(v.progress.Tasks)/perOccurrence)
	}
	return memoryOf(&v.spec, occurrences)
}

// memoryOf returns about what a job takes of which so many occurrences are due.
func memoryOf(spec *scheduler.Spec, occurrences int) int64 {
	return jobBytes + int64(len(spec.Payload)) + stepBytes*int64(len(spec.Steps)) +
		taskBytes*int64(spec.TasksPerOccurrence())*int64(occurrences)
}

// refusal returns why a job is not to be accepted now, or nil if it may be.
func (e *Entry) refusal(now time.Time, spec *scheduler.Spec) *estimator.Refusal {
	if r := e.cache.memory.refuse(spec); r != nil {
		return r
	}
	return e.admission.view.Load().Refuse(now, estimatedJob(spec))
}
