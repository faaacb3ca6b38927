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
	// minReplicaInterval is the minimum time between two tasks for one replica, so
	// that a replica that cannot run does not fill the table.
	minReplicaInterval = 3 * time.Second
	// replicaRunMillis stands for an unbounded run time.
	replicaRunMillis = math.MaxInt64 / 4
)

// ReplicaNeed is how many replicas of a service the cell must keep running, for
// which team, and what each needs.
type ReplicaNeed struct {
	Team  string
	Count int
	Needs publisher.Resources
}

// replicaSet is the need of one service and the tasks of its replicas.
type replicaSet struct {
	need ReplicaNeed
	// needKnown is set once the service's need was set. A new owner has read the
	// tasks of replicas before it may know the need.
	needKnown bool
	// tasks holds the task of each replica by its index.
	tasks map[int]*trackedTask
	// notBefore is the earliest time of the next task of each replica.
	notBefore map[int]time.Time
}

// SetReplicas sets the replicas that a service needs.
func (c *Cell) SetReplicas(service string, need ReplicaNeed) {
	set := c.replicaSet(service)
	set.need = need
	set.needKnown = true
}

func (c *Cell) replicaSet(service string) *replicaSet {
	set := c.replicas[service]
	if set == nil {
		set = &replicaSet{
			tasks:     map[int]*trackedTask{},
			notBefore: map[int]time.Time{},
		}
		c.replicas[service] = set
	}
	return set
}

// registerReplica adds a replica's task that was read from the table to the set of
// its service.
func (c *Cell) registerReplica(e *trackedTask) {
	if e.Spec.Class == ClassLatencyCritical {
		c.replicaSet(e.Spec.Service).tasks[e.Spec.Replica] = e
	}
}

// reconcileReplicas creates tasks for missing replicas and cancels the tasks of
// replicas that are no longer needed.
func (c *Cell) reconcileReplicas() {
	for _, service := range slices.Sorted(maps.Keys(c.replicas)) {
		set := c.replicas[service]
		if !set.needKnown {
			continue
		}
		for index := range set.need.Count {
			e := set.tasks[index]
			if e != nil && !e.State.Final() {
				continue
			}
			if c.now.Before(set.notBefore[index]) {
				continue
			}
			set.notBefore[index] = c.now.Add(minReplicaInterval)
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
func (c *Cell) newReplica(service string, need ReplicaNeed, index int) *trackedTask {
	c.serial++
	e := &trackedTask{
		Task: Task{
			Spec: Spec{
				// The epoch and the serial number make the id unique in the table.
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
		seenAt: c.now,
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

// fewestReplicas picks the candidate whose failure domain, then rack, then worker
// has the fewest replicas of the service, then the one with the most free
// processors.
func (s spread) fewestReplicas(fitting []Candidate) Candidate {
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
