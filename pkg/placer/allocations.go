package placer

import (
	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Allocations records the resources that are allocated on one worker. Their sum never
// exceeds the worker's capacity, even if the worker itself would accept more.
type Allocations struct {
	assert    *asserter.Asserter
	capacity  publisher.Resources
	allocated map[string]publisher.Resources
	sum       publisher.Resources
}

// NewAllocations returns the allocations of a worker without tasks.
func NewAllocations(assert *asserter.Asserter, capacity publisher.Resources) *Allocations {
	return &Allocations{
		assert:    assert,
		capacity:  capacity,
		allocated: map[string]publisher.Resources{},
	}
}

// Fits reports whether the amount can be allocated now.
func (l *Allocations) Fits(needs publisher.Resources) bool {
	return publisher.Within(publisher.Add(l.sum, needs), l.capacity)
}

// Allocate allocates a task's needs; a task that has an allocation already keeps it.
func (l *Allocations) Allocate(id string, needs publisher.Resources) {
	if _, ok := l.allocated[id]; ok {
		return
	}
	l.allocated[id] = needs
	l.sum = publisher.Add(l.sum, needs)
	l.assert.Check(publisher.Within(l.sum, l.capacity), "commitments-within-capacity", "task", id, "sum", l.sum, "capacity", l.capacity)
}

// Release frees a task's allocation and reports whether there was one.
func (l *Allocations) Release(id string) bool {
	needs, ok := l.allocated[id]
	if !ok {
		return false
	}
	delete(l.allocated, id)
	l.sum = publisher.Subtract(l.sum, needs)
	l.assert.Check(publisher.Within(publisher.Resources{}, l.sum), "commitments-not-negative", "task", id, "sum", l.sum)
	return true
}

// Sum returns the total of the allocations.
func (l *Allocations) Sum() publisher.Resources {
	return l.sum
}

// Capacity returns the capacity of the worker.
func (l *Allocations) Capacity() publisher.Resources {
	return l.capacity
}

// Tasks returns the number of tasks with an allocation.
func (l *Allocations) Tasks() int {
	return len(l.allocated)
}

// insufficientResource names the resource of which capacity has less than needs,
// or returns an empty string.
func insufficientResource(needs, capacity publisher.Resources) string {
	switch {
	case needs.ProcessorMillis > capacity.ProcessorMillis:
		return "processor-millis"
	case needs.MemoryBytes > capacity.MemoryBytes:
		return "memory-bytes"
	case needs.Accelerators > capacity.Accelerators:
		return "accelerators"
	default:
		return ""
	}
}
