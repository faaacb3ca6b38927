package scheduler

import "time"

const (
	// minRefusalBackoff and maxRefusalBackoff bound the time for which a runner
	// that refused a start gets no task. It doubles with each further refusal.
	minRefusalBackoff = 250 * time.Millisecond
	maxRefusalBackoff = time.Second
	// refusalMemory is how long a runner that refused a start is chosen last.
	refusalMemory = 5 * time.Second
)

// startRefusals records that a runner refused starts, without a reason that the
// owner could know of: it has less room than reported, or it is unhealthy.
type startRefusals struct {
	lastAt time.Time
	// backoff is how long the runner gets no task, from the first refusal since
	// the last backoff; it is zero once the runner accepted a start.
	backoff time.Duration
	until   time.Time
}

// add records a refusal, and reports whether a backoff begins. Several refusals
// during one backoff count once.
func (r *startRefusals) add(now time.Time) bool {
	r.lastAt = now
	if now.Before(r.until) {
		return false
	}
	r.backoff = min(maxRefusalBackoff, max(minRefusalBackoff, 2*r.backoff))
	r.until = now.Add(r.backoff)
	return true
}

// accepted records that the runner accepted a start.
func (r *startRefusals) accepted() {
	r.backoff = 0
}

// backingOff reports whether the runner gets no task now.
func (r *startRefusals) backingOff(now time.Time) bool {
	return now.Before(r.until)
}

// recent reports whether the runner is to be chosen last.
func (r *startRefusals) recent(now time.Time) bool {
	return !r.lastAt.IsZero() && now.Sub(r.lastAt) < refusalMemory
}
