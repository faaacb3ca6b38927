package reserver

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Run is a run in progress.
type Run struct {
	// EndsBy is the time by which the run ends; it is zero if it has no end.
	EndsBy time.Time
	Needs  publisher.Resources
}

// Runner is a runner that takes tasks at present.
type Runner struct {
	Key     framer.RunnerKey
	Service string
	// Rack names the rack; it is the same for all runners of one.
	Rack            string
	ProcessorMillis int64
	// Free is what can be allocated now.
	Free publisher.Resources
	Runs []Run
	// most is what is free once all runs that end have ended.
	most publisher.Resources
}

// prepare orders the runs by their ends.
func (r *Runner) prepare() {
	slices.SortFunc(r.Runs, func(a, b Run) int { return a.EndsBy.Compare(b.EndsBy) })
	r.most = r.Free
	for _, run := range r.Runs {
		if !run.EndsBy.IsZero() {
			r.most = publisher.Add(r.most, run.Needs)
		}
	}
}

// Part is what a reservation holds on one runner.
type Part struct {
	Runner framer.RunnerKey
	// Tasks is how many tasks of the need the runner is to hold.
	Tasks int
	// Spare is what other tasks may use beside them from the start of the reservation.
	Spare publisher.Resources
}

// room is where and when a need can be placed.
type room struct {
	at    time.Time
	parts []Part
}

// opening is a time from which a runner can hold more tasks of a need.
type opening struct {
	at     time.Time
	runner int
	tasks  int
}

// earliest returns the earliest room for a need on the runners that usable accepts.
// A rack-local need is given the room of one rack if any rack will have enough, and
// otherwise none if OneRackOnly is set.
func earliest(now time.Time, n *Need, runners []Runner, usable func(*Runner) bool) (room, bool) {
	if !n.RackLocal {
		return earliestOn(now, n, runners, usable)
	}
	racks := map[string]struct{}{}
	var best room
	found := false
	for i := range runners {
		rack := runners[i].Rack
		if _, seen := racks[rack]; seen {
			continue
		}
		racks[rack] = struct{}{}
		inRack := func(r *Runner) bool { return r.Rack == rack && usable(r) }
		if r, ok := earliestOn(now, n, runners, inRack); ok && (!found || r.at.Before(best.at)) {
			best, found = r, true
		}
	}
	if found || n.OneRackOnly {
		return best, found
	}
	return earliestOn(now, n, runners, usable)
}

// earliestOn is like earliest, without regard to racks.
func earliestOn(now time.Time, n *Need, runners []Runner, usable func(*Runner) bool) (room, bool) {
	var able []int
	tasks := 0
	for i := range runners {
		if r := &runners[i]; n.accepts(r) && usable(r) {
			if most := n.tasksIn(n.usable(r, r.most)); most > 0 {
				able = append(able, i)
				tasks += most
			}
		}
	}
	if tasks < n.Count {
		return room{}, false
	}
	var openings []opening
	for _, i := range able {
		openings = n.appendOpenings(now, openings, runners, i)
	}
	slices.SortFunc(openings, func(a, b opening) int { return a.at.Compare(b.at) })
	tasks = 0
	for i, o := range openings {
		tasks += o.tasks
		if tasks >= n.Count && (i+1 == len(openings) || openings[i+1].at.After(o.at)) {
			return room{
				at:    o.at,
				parts: n.parts(o.at, runners, openings[:i+1]),
			}, true
		}
	}
	return room{}, false
}

// appendOpenings appends the times at which a runner can hold more tasks of the need.
func (n *Need) appendOpenings(now time.Time, openings []opening, runners []Runner, i int) []opening {
	r := &runners[i]
	free := n.usable(r, r.Free)
	held := n.tasksIn(free)
	if held > 0 {
		openings = append(openings, opening{
			at:     now,
			runner: i,
			tasks:  held,
		})
	}
	for _, run := range r.Runs {
		if held >= n.Count {
			break
		}
		if run.EndsBy.IsZero() {
			continue
		}
		free = publisher.Add(free, run.Needs)
		if more := n.tasksIn(free) - held; more > 0 {
			held += more
			openings = append(openings, opening{
				at:     run.EndsBy,
				runner: i,
				tasks:  more,
			})
		}
	}
	return openings
}

// parts divides the need between the runners with openings by a time: first those that
// hold the most of its tasks, then those that have the least left beside them.
func (n *Need) parts(at time.Time, runners []Runner, openings []opening) []Part {
	var parts []Part
	seen := map[int]struct{}{}
	for _, o := range openings {
		if _, ok := seen[o.runner]; ok {
			continue
		}
		seen[o.runner] = struct{}{}
		r := &runners[o.runner]
		free := n.usable(r, r.freeAt(at))
		parts = append(parts, Part{
			Runner: r.Key,
			Tasks:  n.tasksIn(free),
			Spare:  free,
		})
	}
	slices.SortFunc(parts, func(a, b Part) int {
		return cmp.Or(
			cmp.Compare(b.Tasks, a.Tasks),
			cmp.Compare(a.Spare.ProcessorMillis, b.Spare.ProcessorMillis),
			cmp.Compare(a.Spare.MemoryBytes, b.Spare.MemoryBytes),
			compareRunners(a.Runner, b.Runner),
		)
	})
	left := n.Count
	for i := range parts {
		p := &parts[i]
		p.Tasks = min(p.Tasks, left)
		left -= p.Tasks
		p.Spare = publisher.Subtract(p.Spare, times(n.Needs, p.Tasks))
		if left == 0 {
			return parts[:i+1]
		}
	}
	return parts
}

// freeAt returns what is free at a time if no task is placed until then.
func (r *Runner) freeAt(at time.Time) publisher.Resources {
	free := r.Free
	for _, run := range r.Runs {
		if !run.EndsBy.IsZero() && !run.EndsBy.After(at) {
			free = publisher.Add(free, run.Needs)
		}
	}
	return free
}

// usable returns the part of a runner's free resources that the need may use.
func (n *Need) usable(r *Runner, free publisher.Resources) publisher.Resources {
	free.ProcessorMillis -= min(n.KeepMost, r.ProcessorMillis*n.KeepPercent/100)
	return free
}

// tasksIn returns how many tasks of the need fit into free resources.
func (n *Need) tasksIn(free publisher.Resources) int {
	tasks := min(
		quotient(free.ProcessorMillis, n.Needs.ProcessorMillis),
		quotient(free.MemoryBytes, n.Needs.MemoryBytes),
		quotient(free.Accelerators, n.Needs.Accelerators),
		int64(n.Count),
	)
	if n.MaxPerRunner > 0 {
		tasks = min(tasks, int64(n.MaxPerRunner))
	}
	return int(max(0, tasks))
}

func quotient(free, needs int64) int64 {
	switch {
	case needs > 0:
		return free / needs
	case free < 0:
		return 0
	default:
		return math.MaxInt64
	}
}

func times(needs publisher.Resources, n int) publisher.Resources {
	return publisher.Resources{
		ProcessorMillis: needs.ProcessorMillis * int64(n),
		MemoryBytes:     needs.MemoryBytes * int64(n),
		Accelerators:    needs.Accelerators * int64(n),
	}
}

func compareRunners(a, b framer.RunnerKey) int {
	return cmp.Or(
		cmp.Compare(a.ID, b.ID),
		cmp.Compare(a.StartedAtMillis, b.StartedAtMillis),
	)
}

// Earliest returns when and where the runners have room for a need first by the runs in
// progress; without any, parts is empty.
func Earliest(now time.Time, n Need, runners []Runner) (at time.Time, parts []Part) {
	for i := range runners {
		runners[i].prepare()
	}
	found, _ := earliest(now, &n, runners, func(*Runner) bool { return true })
	return found.at, found.parts
}
