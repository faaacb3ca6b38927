package placer

import (
	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Allocations records the resources that are allocated on one worker. No allocation
// lets their sum exceed the worker's capacity, even if the worker itself would accept
// more; the capacity may shrink below it later.
type Allocations struct {
	assert   *asserter.Asserter
	capacity publisher.Resources
	// largest is the largest amount of each resource that the worker has had.
	largest   publisher.Resources
	allocated map[string]publisher.Resources
	sum       publisher.Resources
}

// NewAllocations returns the allocations of a worker without tasks.
func NewAllocations(assert *asserter.Asserter, capacity publisher.Resources) *Allocations {
	return &Allocations{
		assert:    assert,
		capacity:  capacity,
		largest:   capacity,
		allocated: map[string]publisher.Resources{},
	}
}

// Fits reports whether the amount can be allocated now.
func (a *Allocations) Fits(needs publisher.Resources) bool {
	return publisher.Within(publisher.Add(a.sum, needs), a.capacity)
}

// SetCapacity records that the worker's capacity has changed.
func (a *Allocations) SetCapacity(capacity publisher.Resources) {
	a.capacity = capacity
	a.largest = publisher.Max(a.largest, capacity)
}

// Adopt allocates the needs of a task that was placed before; a task that has an
// allocation already keeps it. The worker may have shrunk since.
func (a *Allocations) Adopt(id string, needs publisher.Resources) {
	if _, ok := a.allocated[id]; ok {
		return
	}
	a.allocated[id] = needs
	a.sum = publisher.Add(a.sum, needs)
}

// Allocate is like Adopt, for a task that is placed now and must fit.
func (a *Allocations) Allocate(id string, needs publisher.Resources) {
	a.Adopt(id, needs)
	a.assert.Check(publisher.Within(a.sum, a.capacity), "commitments-within-capacity", "task", id, "sum", a.sum, "capacity", a.capacity)
}

// Release frees a task's allocation and reports whether there was one.
func (a *Allocations) Release(id string) bool {
	needs, ok := a.allocated[id]
	if !ok {
		return false
	}
	delete(a.allocated, id)
	a.sum = publisher.Subtract(a.sum, needs)
	a.assert.Check(publisher.Within(publisher.Resources{}, a.sum), "commitments-not-negative", "task", id, "sum", a.sum)
	return true
}

// Sum returns the total of the allocations.
func (a *Allocations) Sum() publisher.Resources {
	return a.sum
}

// Capacity returns the capacity of the worker.
func (a *Allocations) Capacity() publisher.Resources {
	return a.capacity
}

// Largest returns the largest amount of each resource that the worker has had.
func (a *Allocations) Largest() publisher.Resources {
	return a.largest
}

// Tasks returns the number of tasks with an allocation.
func (a *Allocations) Tasks() int {
	return len(a.allocated)
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
