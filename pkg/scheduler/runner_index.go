package scheduler

import (
	"cmp"
	"container/list"
	"slices"
	"sort"
	"time"
)

// runnerIndex keeps the runners of each service in the order in which placement
// considers them, and records which runners may have become able to hold more.
// Changes are collected and applied by refresh.
type runnerIndex struct {
	services map[string]*serviceIndex
	// stale lists the runners that changed since the last refresh.
	stale []*runnerState
	// blocked lists the runners that took no tasks when placement last
	// considered them.
	blocked []*runnerState
	// change numbers the improvements of runners.
	change uint64
}

// serviceIndex holds the runners of one service.
type serviceIndex struct {
	name string
	// byIdle orders runners by idle processors, byPacked by those and the
	// processors of latency-critical tasks.
	byIdle   ranking
	byPacked ranking
	// improved lists the runners, the one that improved last at the front.
	improved *list.List
	// allocatedMillis and capacityMillis are the processors of the runners that
	// have an agent and whose failure domain takes tasks, in thousandths of one.
	allocatedMillis int64
	capacityMillis  int64
	// sizes sums up the finite tasks on the runners.
	sizes runSizes
}

// indexPosition is what the index recorded of a runner at the last refresh.
type indexPosition struct {
	service  *serviceIndex
	idle     int64
	packed   int64
	improved *list.Element
	// improvedAt is the change at which the runner last improved.
	improvedAt      uint64
	allocatedMillis int64
	capacityMillis  int64
	sizes           runSizes

	stale bool
	// mayHoldMore is set if the runner improved since the last refresh.
	mayHoldMore bool
	blocked     bool
	removed     bool
}

func newRunnerIndex() *runnerIndex {
	return &runnerIndex{
		services: map[string]*serviceIndex{},
	}
}

// service returns the index of a service and creates it if it is missing.
func (x *runnerIndex) service(name string) *serviceIndex {
	v := x.services[name]
	if v == nil {
		v = &serviceIndex{
			name: name,
			byIdle: ranking{
				value: func(p *indexPosition) int64 { return p.idle },
			},
			byPacked: ranking{
				value: func(p *indexPosition) int64 { return p.packed },
			},
			improved: list.New(),
		}
		x.services[name] = v
	}
	return v
}

// worsened records that a runner can hold less than before.
func (x *runnerIndex) worsened(s *runnerState) {
	if !s.position.stale {
		s.position.stale = true
		x.stale = append(x.stale, s)
	}
}

// improved records that a runner may be able to hold more than before.
func (x *runnerIndex) improved(s *runnerState) {
	s.position.mayHoldMore = true
	x.worsened(s)
}

// remove drops a runner.
func (x *runnerIndex) remove(s *runnerState) {
	s.position.removed = true
	x.worsened(s)
}

// block records that a runner takes no tasks at present.
func (x *runnerIndex) block(s *runnerState) {
	if !s.position.blocked {
		s.position.blocked = true
		x.blocked = append(x.blocked, s)
	}
}

// unblock records the blocked runners that take tasks again as improved.
func (x *runnerIndex) unblock(now time.Time) {
	blocked := x.blocked[:0]
	for _, s := range x.blocked {
		switch {
		case s.position.removed:
		case s.schedulable(now):
			s.position.blocked = false
			x.improved(s)
		default:
			blocked = append(blocked, s)
		}
	}
	clear(x.blocked[len(blocked):])
	x.blocked = blocked
}

// refresh applies the changes since the last refresh.
func (x *runnerIndex) refresh() {
	for _, s := range x.stale {
		p := &s.position
		x.withdraw(s)
		p.stale = false
		if !p.removed {
			x.insert(s)
		}
	}
	clear(x.stale)
	x.stale = x.stale[:0]
}

// withdraw takes a runner out of the index of its service, except out of the
// list of improvements if it stays in the service.
func (x *runnerIndex) withdraw(s *runnerState) {
	p := &s.position
	v := p.service
	if v == nil {
		return
	}
	v.byIdle.remove(s)
	v.byPacked.remove(s)
	v.allocatedMillis -= p.allocatedMillis
	v.capacityMillis -= p.capacityMillis
	v.sizes.add(p.sizes, -1)
	if p.removed || x.services[s.info.Service] != v {
		v.improved.Remove(p.improved)
		p.improved = nil
		p.service = nil
	}
}

// insert puts a runner into the index of its service.
func (x *runnerIndex) insert(s *runnerState) {
	p := &s.position
	v := x.service(s.info.Service)
	p.service = v
	p.idle = s.idleMillis()
	p.packed = s.idleMillis() + s.latencyCriticalMillis
	p.allocatedMillis, p.capacityMillis = 0, 0
	if s.agent != "" && !s.domainClosed {
		p.allocatedMillis = s.allocated.ProcessorMillis
		p.capacityMillis = s.info.ProcessorMillis
	}
	v.byIdle.insert(s)
	v.byPacked.insert(s)
	v.allocatedMillis += p.allocatedMillis
	v.capacityMillis += p.capacityMillis
	p.sizes = s.sizes
	v.sizes.add(p.sizes, 1)
	if p.improved == nil {
		p.improved = v.improved.PushFront(s)
		p.mayHoldMore = true
	}
	if p.mayHoldMore {
		p.mayHoldMore = false
		x.change++
		p.improvedAt = x.change
		v.improved.MoveToFront(p.improved)
	}
}

// ranking lists runners by descending value, then by key.
type ranking struct {
	runners []*runnerState
	value   func(p *indexPosition) int64
}

func (r *ranking) compare(a, b *runnerState) int {
	if order := cmp.Compare(r.value(&b.position), r.value(&a.position)); order != 0 {
		return order
	}
	return compareKeys(a.key, b.key)
}

// find returns the first place whose runner does not precede s.
func (r *ranking) find(s *runnerState) int {
	return sort.Search(len(r.runners), func(i int) bool { return r.compare(r.runners[i], s) >= 0 })
}

func (r *ranking) insert(s *runnerState) {
	r.runners = slices.Insert(r.runners, r.find(s), s)
}

func (r *ranking) remove(s *runnerState) {
	i := r.find(s)
	r.runners = slices.Delete(r.runners, i, i+1)
}
