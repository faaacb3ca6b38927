package scheduler

import "time"

const (
	// maxMissing is how long a run that its runner accepted or listed may be
	// missing from the listings, minMissingListings from how many of them. Its
	// end is listed much sooner, unless the runner has forgotten it.
	maxMissing         = 1500 * time.Millisecond
	minMissingListings = 3
)

// missing counts the latest listings of a runner that contain neither a run nor
// its end. The zero value means that there are none.
type missing struct {
	since    time.Time
	listings int
}

// stopMissing stops the runs that a runner accepted or listed but that are
// missing from its listings. The answer to the stop shows whether they are gone.
func (c *Cell) stopMissing(now time.Time, s *runnerState) {
	for t := range s.tasks {
		if !t.confirmed || t.stopping || t.listedIn == s.listings {
			t.missing = missing{}
			continue
		}
		if t.missing.listings == 0 {
			t.missing.since = now
		}
		t.missing.listings++
		if t.missing.listings >= minMissingListings && now.Sub(t.missing.since) >= maxMissing {
			c.cfg.LogEvent("run missing", "task", t.name(), "run", t.run, "runner", s.key.ID, "listed", t.listed)
			c.stop(t)
		}
	}
}
