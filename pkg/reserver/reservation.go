package reserver

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Key identifies a need: a step of an occurrence of a job.
type Key struct {
	Job        string
	Occurrence int
	Step       int
}

// Need is what a waiting task or gang needs.
type Need struct {
	Key     Key
	Service string
	// Urgency is the rank of the queue; zero is the most urgent.
	Urgency int
	// Since is since when no runner could hold it.
	Since time.Time
	// Needs is what each of Count tasks needs.
	Needs publisher.Resources
	Count int
	// RackLocal means that the tasks run slower on more than one rack.
	RackLocal bool
	// OneRackOnly means that a rack-local need is given no room on several racks, since
	// a plan sees a part of the runners and the others may have a rack.
	OneRackOnly bool
	// MaxPerRunner is the largest number of the tasks on one runner; zero means no
	// limit.
	MaxPerRunner int
	// KeepPercent is the percentage of a runner's processors that the need must leave
	// free, KeepMost the limit of that in thousandths of a processor.
	KeepPercent int64
	KeepMost    int64
	// Barred holds the runners that the need cannot use.
	Barred map[framer.RunnerKey]struct{}
}

// NoLimit is a KeepMost without effect.
const NoLimit = math.MaxInt64

// accepts reports whether the need may use a runner.
func (n *Need) accepts(r *Runner) bool {
	_, barred := n.Barred[r.Key]
	return !barred && r.Service == n.Service
}

// Reservation is room that is kept for a need.
type Reservation struct {
	Need    Key
	Urgency int
	Parts   []Part
	MadeAt  time.Time
	// PromisedAt is when the room was to be free by the runs in progress when the
	// reservation was made or moved. StartsAt is the same by the present ones.
	PromisedAt time.Time
	StartsAt   time.Time
}

// ExpiresAt returns when the reservation expires.
func (r *Reservation) ExpiresAt() time.Time {
	return r.PromisedAt.Add(r.grace())
}

// grace returns how long after the promised time the reservation expires: as long as that
// was after it was made, since estimates are off by up to a factor of two, within bounds.
func (r *Reservation) grace() time.Duration {
	return min(maxGrace, max(minGrace, r.PromisedAt.Sub(r.MadeAt)))
}

// BackfillUntil returns the time by which other tasks on the runners must end. Once the
// promised time is past, nothing more is started there.
func (r *Reservation) BackfillUntil() time.Time {
	if r.StartsAt.Before(r.PromisedAt) {
		return r.StartsAt
	}
	return r.PromisedAt
}

// Part returns what is reserved on a runner, or nil.
func (r *Reservation) Part(runner framer.RunnerKey) *Part {
	for i := range r.Parts {
		if r.Parts[i].Runner == runner {
			return &r.Parts[i]
		}
	}
	return nil
}

func newReservation(now time.Time, n *Need, at room) *Reservation {
	return &Reservation{
		Need:       n.Key,
		Urgency:    n.Urgency,
		Parts:      at.parts,
		MadeAt:     now,
		PromisedAt: at.at,
		StartsAt:   at.at,
	}
}

func (r *Reservation) backfills(endsBy time.Time) bool {
	return !endsBy.IsZero() && !endsBy.After(r.BackfillUntil())
}

// CompareNeeds orders needs: the most urgent first, then those that have waited longest.
func CompareNeeds(a, b Need) int {
	return cmp.Or(
		cmp.Compare(a.Urgency, b.Urgency),
		a.Since.Compare(b.Since),
		compareKeys(a.Key, b.Key),
	)
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step),
	)
}

func sortedKeys(reservations map[Key]*Reservation) []Key {
	keys := make([]Key, 0, len(reservations))
	for key := range reservations {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}
