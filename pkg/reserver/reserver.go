// Package reserver reserves room on runners for tasks and gangs that need more of it than
// a single finished run frees, so that smaller tasks do not take each gap first. It does
// no I/O.
package reserver

import (
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	// minGrace is the least time after the promised one at which a reservation expires.
	// It covers two listings of a runner and the commit of their ends.
	minGrace = time.Second
	// maxGrace is the longest such time: what is free there idles meanwhile, since nothing
	// is backfilled after the promised time.
	maxGrace = 30 * time.Second
	// minMoveGain is the least time by which another room must be earlier for a
	// reservation to move there. It must also be earlier by the remaining wait divided
	// by moveDivisor. Smaller differences are within the error of the estimates.
	minMoveGain = 250 * time.Millisecond
	moveDivisor = 4
)

// Counts are the totals of a Reserver.
type Counts struct {
	Made    int64 `json:"made"`
	Moved   int64 `json:"moved"`
	Expired int64 `json:"expired"`
	// Kept counts the reservations whose tasks started there, Dropped those whose tasks
	// started elsewhere or no longer wait, or whose runner was lost without another one.
	Kept    int64 `json:"kept"`
	Dropped int64 `json:"dropped"`
	// Backfilled counts the starts of other tasks that end before the reservation.
	Backfilled int64 `json:"backfilled"`
}

// Kind is what happened to a reservation.
type Kind string

// The kinds of changes.
const (
	Made    Kind = "made"
	Moved   Kind = "moved"
	Expired Kind = "expired"
	Kept    Kind = "kept"
	Dropped Kind = "dropped"
)

// Change is a change of a reservation.
type Change struct {
	Kind        Kind
	Reservation Reservation
}

// Config holds the settings of a Reserver.
type Config struct {
	// Limit is the largest number of reservations at a time.
	Limit int
}

// Reserver holds the reservations. A runner belongs to one of them at most.
type Reserver struct {
	cfg      Config
	byNeed   map[Key]*Reservation
	byRunner map[framer.RunnerKey]*Reservation
	// expired holds until when a need gets no reservation on a runner on which one
	// expired.
	expired map[expiredAt]time.Time
	changes []Change
	counts  Counts
}

type expiredAt struct {
	need   Key
	runner framer.RunnerKey
}

// New returns a Reserver without reservations.
func New(cfg Config) *Reserver {
	return &Reserver{
		cfg:      cfg,
		byNeed:   map[Key]*Reservation{},
		byRunner: map[framer.RunnerKey]*Reservation{},
		expired:  map[expiredAt]time.Time{},
	}
}

// Counts returns the totals.
func (r *Reserver) Counts() Counts {
	return r.counts
}

// Changes returns the changes since the last call.
func (r *Reserver) Changes() []Change {
	changes := r.changes
	r.changes = nil
	return changes
}

// For returns the reservation of a need, or nil.
func (r *Reserver) For(need Key) *Reservation {
	if len(r.byNeed) == 0 {
		return nil
	}
	return r.byNeed[need]
}

// On returns the reservation on a runner, or nil.
func (r *Reserver) On(runner framer.RunnerKey) *Reservation {
	if len(r.byRunner) == 0 {
		return nil
	}
	return r.byRunner[runner]
}

// Runners returns the runners with reservations.
func (r *Reserver) Runners() []framer.RunnerKey {
	keys := make([]framer.RunnerKey, 0, len(r.byRunner))
	for key := range r.byRunner {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareRunners)
	return keys
}

// Plan makes, moves and drops reservations, and returns them all. waiting holds all needs
// that may have one, runners those with reservations that still take tasks, and others
// that are to be considered.
func (r *Reserver) Plan(now time.Time, waiting []Need, runners []Runner) []Reservation {
	slices.SortFunc(waiting, CompareNeeds)
	for i := range runners {
		runners[i].prepare()
	}
	r.forgetExpired(now)
	former := r.byNeed
	r.byNeed = map[Key]*Reservation{}
	r.byRunner = map[framer.RunnerKey]*Reservation{}
	var list []Reservation
	for i := range waiting {
		n := &waiting[i]
		if len(r.byNeed) == r.cfg.Limit {
			break
		}
		held := former[n.Key]
		delete(former, n.Key)
		if held = r.plan(now, n, held, runners); held == nil {
			continue
		}
		r.byNeed[n.Key] = held
		for _, p := range held.Parts {
			r.byRunner[p.Runner] = held
		}
		list = append(list, *held)
	}
	for _, key := range sortedKeys(former) {
		r.drop(former[key])
	}
	return list
}

// plan returns the reservation of one need, or nil. held is the one it has.
func (r *Reserver) plan(now time.Time, n *Need, held *Reservation, runners []Runner) *Reservation {
	free := func(c *Runner) bool {
		_, expired := r.expired[expiredAt{need: n.Key, runner: c.Key}]
		return !expired && r.byRunner[c.Key] == nil
	}
	if held != nil && !now.Before(held.ExpiresAt()) {
		r.expire(now, held)
		held = nil
	}
	intact := false
	if held != nil {
		intact = r.update(now, n, held, runners, free)
	}
	best, found := earliest(now, n, runners, free)
	switch {
	case held == nil && (!found || !best.at.After(now)):
		// If there is room already, the task waits for another reason.
		return nil
	case held == nil:
		held = newReservation(now, n, best)
		r.counts.Made++
		r.record(Made, held)
	case intact && (!found || !gains(now, best.at, held.StartsAt)):
	case found:
		held = newReservation(now, n, best)
		r.counts.Moved++
		r.record(Moved, held)
	default:
		r.drop(held)
		return nil
	}
	return held
}

// update sets when the room of a reservation is free by the present runs. It reports
// whether its runners can still hold the need.
func (r *Reserver) update(now time.Time, n *Need, held *Reservation, runners []Runner, free func(*Runner) bool) bool {
	own := func(c *Runner) bool { return held.Part(c.Key) != nil && free(c) }
	found, ok := earliest(now, n, runners, own)
	if !ok {
		return false
	}
	held.Parts = found.parts
	held.StartsAt = found.at
	if found.at.Before(held.PromisedAt) {
		held.PromisedAt = found.at
	}
	return true
}

// gains reports whether a room is so much earlier that a reservation moves there.
func gains(now, at, startsAt time.Time) bool {
	return startsAt.Sub(at) >= max(minMoveGain, startsAt.Sub(now)/moveDivisor)
}

// Allows reports whether a task may be placed on a runner now. It may if no reservation is
// in force there, if the reservation is its own or that of a less urgent task, if it ends
// before the reservation starts, or if it fits beside. endsBy is zero if it has no end.
func (r *Reserver) Allows(now time.Time, runner framer.RunnerKey, task Need, endsBy time.Time) bool {
	held := r.byRunner[runner]
	if held == nil || held.Need == task.Key || task.Urgency < held.Urgency || !now.Before(held.ExpiresAt()) {
		return true
	}
	if held.backfills(endsBy) {
		return true
	}
	return publisher.Within(times(task.Needs, task.Count), held.Part(runner).Spare)
}

// Started records that a task was placed on a runner. It ends the reservation of the
// task's need.
func (r *Reserver) Started(runner framer.RunnerKey, task Need, endsBy time.Time) {
	if held := r.byNeed[task.Key]; held != nil {
		r.release(held)
		if held.Part(runner) == nil {
			r.drop(held)
			return
		}
		r.counts.Kept++
		r.record(Kept, held)
		return
	}
	held := r.byRunner[runner]
	switch {
	case held == nil:
	case held.backfills(endsBy):
		r.counts.Backfilled++
	default:
		p := held.Part(runner)
		p.Spare = publisher.Subtract(p.Spare, task.Needs)
	}
}

// release frees the runners of a reservation.
func (r *Reserver) release(held *Reservation) {
	delete(r.byNeed, held.Need)
	for _, p := range held.Parts {
		delete(r.byRunner, p.Runner)
	}
}

func (r *Reserver) drop(held *Reservation) {
	r.counts.Dropped++
	r.record(Dropped, held)
}

// expire ends a reservation whose room did not become free. For as long as it outlasted
// the promised time, the need gets none on these runners.
func (r *Reserver) expire(now time.Time, held *Reservation) {
	r.counts.Expired++
	r.record(Expired, held)
	until := now.Add(held.grace())
	for _, p := range held.Parts {
		r.expired[expiredAt{need: held.Need, runner: p.Runner}] = until
	}
}

func (r *Reserver) forgetExpired(now time.Time) {
	for key, until := range r.expired {
		if !now.Before(until) {
			delete(r.expired, key)
		}
	}
}

func (r *Reserver) record(kind Kind, held *Reservation) {
	r.changes = append(r.changes, Change{
		Kind:        kind,
		Reservation: *held,
	})
}
