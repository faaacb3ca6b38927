package leaser

const (
	// SettleMillis is how long a runner must have continued without a lease.
	SettleMillis = 100
	// maxReadingGapMillis is the longest time between two readings of its clock that show
	// so.
	maxReadingGapMillis = 1500
)

// Settling tells from readings of a runner's clock whether the runner has noticed that its
// lease has expired: a process that was stopped may carry out the calls that wait for it
// before its timers. The zero value has no reading.
type Settling struct {
	firstMillis int64
	lastMillis  int64
}

// Read records a reading of the clock, in milliseconds, from after the end of the lease. One
// that comes too long after the last one starts anew, since the process may have been
// stopped again in between.
func (s *Settling) Read(clockMillis int64) {
	if s.firstMillis == 0 || clockMillis-s.lastMillis > maxReadingGapMillis {
		s.firstMillis = clockMillis
		s.lastMillis = clockMillis
	}
	s.lastMillis = max(s.lastMillis, clockMillis)
}

// Done reports whether the runner has noticed.
func (s *Settling) Done() bool {
	return s.lastMillis-s.firstMillis >= SettleMillis
}
