package placer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	// replicaUrgency places replicas before any batch task.
	replicaUrgency = 10
	// replicaPause is the least time between two tasks for one replica, so
	// that one that can't run does not fill the table.
	replicaPause = 3 * time.Second
	// replicaRunMillis marks a task that has no end.
	replicaRunMillis = math.MaxInt64 / 4
)

// ReplicaNeed is how many replicas of a service the cell must keep running.
type ReplicaNeed struct {
	Team  string
	Count int
	Needs publisher.Resources
}

// replicaSet is the need of one service and the tasks that meet it.
type replicaSet struct {
	need ReplicaNeed
	// tasks holds the task of each replica by its index.
	tasks map[int]*tracked
	// notBefore is when a replica may get its next task.
	notBefore map[int]time.Time
}

// SetReplicas puts a service's need in force.
func (c *Cell) SetReplicas(service string, need ReplicaNeed) {
	set := c.replicaSet(service)
	set.need = need
}

func (c *Cell) replicaSet(service string) *replicaSet {
	set := c.replicas[service]
	if set == nil {
		set = &replicaSet{
			tasks:     map[int]*tracked{},
			notBefore: map[int]time.Time{},
		}
		c.replicas[service] = set
	}
	return set
}

// adopt takes a replica's task that was read from the table.
func (c *Cell) adopt(e *tracked) {
	if e.Spec.Class == ClassLatencyCritical {
		c.replicaSet(e.Spec.Service).tasks[e.Spec.Replica] = e
	}
}

// keepReplicas creates tasks for replicas that are missing and cancels those
// that are no longer needed.
func (c *Cell) keepReplicas() {
	for _, service := range slices.Sorted(maps.Keys(c.replicas)) {
		set := c.replicas[service]
		for index := range set.need.Count {
			e := set.tasks[index]
			if e != nil && !e.State.Final() {
				continue
			}
			if c.now.Before(set.notBefore[index]) {
				continue
			}
			set.notBefore[index] = c.now.Add(replicaPause)
			set.tasks[index] = c.newReplica(service, set.need, index)
		}
		for _, index := range slices.Sorted(maps.Keys(set.tasks)) {
			if index >= set.need.Count {
				c.cancel(set.tasks[index].Spec.ID)
				delete(set.tasks, index)
			}
		}
	}
}

// newReplica puts a replica's next task in the queue.
func (c *Cell) newReplica(service string, need ReplicaNeed, index int) *tracked {
	c.serial++
	e := &tracked{
		Task: Task{
			Spec: Spec{
				// The epoch and the serial make the id new in the table.
				ID:            fmt.Sprintf("%s/replica-%s-%d-%d-%d", c.name, service, index, c.epoch, c.serial),
				Team:          need.Team,
				Service:       service,
				Class:         ClassLatencyCritical,
				Replica:       index,
				Urgency:       replicaUrgency,
				Needs:         need.Needs,
				RunTimeMillis: replicaRunMillis,
			},
			State:      StateAccepted,
			AcceptedAt: c.now,
		},
	}
	c.tasks[e.Spec.ID] = e
	c.changed[e.Spec.ID] = e
	if !c.failUnfit(e) {
		c.enqueue(e)
	}
	return e
}

// spread counts the replicas of a service by failure domain, rack and worker.
type spread struct {
	domains map[string]int
	racks   map[string]int
	workers map[string]int
}

func (c *Cell) spreadOf(service string) spread {
	s := spread{
		domains: map[string]int{},
		racks:   map[string]int{},
		workers: map[string]int{},
	}
	for _, e := range c.replicas[service].tasks {
		w := c.workers[e.Worker]
		if w == nil || e.State.Final() {
			continue
		}
		s.domains[w.failureDomain]++
		s.racks[w.failureDomain+"/"+w.rack]++
		s.workers[w.address]++
	}
	return s
}

// leastShared takes the candidate whose failure domain, then rack, then worker
// holds the fewest replicas of the service, then the emptiest.
func (s spread) leastShared(fitting []Candidate) Candidate {
	return slices.MinFunc(fitting, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(s.domains[a.FailureDomain], s.domains[b.FailureDomain]),
			cmp.Compare(s.racks[a.FailureDomain+"/"+a.Rack], s.racks[b.FailureDomain+"/"+b.Rack]),
			cmp.Compare(s.workers[a.Address], s.workers[b.Address]),
			cmp.Compare(b.Free.ProcessorMillis, a.Free.ProcessorMillis),
			cmp.Compare(a.Address, b.Address),
		)
	})
}
