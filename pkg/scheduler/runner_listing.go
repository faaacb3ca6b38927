package scheduler

import (
	"maps"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// pendingFinish is the sequence number of a finished run and the change that
// records it.
type pendingFinish struct {
	sequence int64
	change   uint64
	// job is the job of the run, or nil if the cell does not have it.
	job *job
	// unsettled is the other run of the task while it may still start.
	unsettled unsettledRun
}

// committed reports whether the row that records the finished run is committed, and no
// other run of its task can start.
func (p *pendingFinish) committed(change uint64) bool {
	return p.change <= change && (p.job == nil || !p.job.rejected) && !p.unsettled.mayStart()
}

// recordListing records when the runner made the listing in a report, and
// reports whether the listing is new.
func (s *runnerState) recordListing(now time.Time, r framer.Report) bool {
	if !r.Listed {
		return false
	}
	at := now.Add(-time.Duration(r.ListingAgeMillis) * time.Millisecond)
	isNew := at.Sub(s.listedAt) > listingJitter
	if isNew {
		s.unansweredAt = time.Time{}
		s.listings++
	}
	s.listedAt = maxTime(s.listedAt, at)
	s.listedSinceLink = s.listedSinceLink || !s.linkedAt.IsZero() && at.Sub(s.linkedAt) > maxCallTime
	return isNew
}

// recordStartSent records that the start of a run was requested. Expired
// entries are removed.
func (s *runnerState) recordStartSent(now time.Time, ref framer.RunRef) {
	if _, ok := s.startsSent[ref]; ok {
		return
	}
	maps.DeleteFunc(s.startsSent, func(_ framer.RunRef, at time.Time) bool { return now.Sub(at) > maxCallDelay })
	s.startsSent[ref] = now
}

// startMayArrive reports whether a start request for a run may still be
// executed.
func (s *runnerState) startMayArrive(now time.Time, ref framer.RunRef) bool {
	at, ok := s.startsSent[ref]
	return ok && now.Sub(at) <= maxCallDelay
}

// recordFinished records that a finished run was processed, and the change that
// must be committed before it is acknowledged.
func (s *runnerState) recordFinished(sequence int64, change uint64, j *job, unsettled unsettledRun) {
	if sequence > s.recordedSequence {
		s.recordedSequence = sequence
		s.unacked = append(s.unacked, pendingFinish{
			sequence: sequence,
			change:   change,
			job:      j,

			unsettled: unsettled,
		})
	}
}

// ackCommitted advances the acknowledged sequence to the last finished run that
// is covered by committed changes. None is acknowledged while a proof is due that the
// runner's lease has expired.
func (s *runnerState) ackCommitted(committed uint64) {
	if s.expiry.due {
		return
	}
	n := 0
	for n < len(s.unacked) && s.unacked[n].committed(committed) {
		s.ackedSequence = s.unacked[n].sequence
		n++
	}
	if n > 0 {
		s.unacked = s.unacked[n:]
		s.needsSync()
	}
}
