package dispatcher

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// fire handles a timer that is due.
func (d *Dispatcher) fire(now time.Time, q *request, t timer) {
	s := d.services[q.Service]
	switch t.kind {
	case timerDeadline:
		d.expire(now, s, q)
	case timerFence:
		if q.stage == StageFencing && q.attempt == t.attempt {
			s.router.Failed(now, q.address)
			d.handleLostAttempt(now, s, q, framer.ReasonLinkLost)
		}
	case timerBackoff:
		if q.stage == StageDelayed && q.attempt == t.attempt {
			q.stage = StageQueued
			s.queue.Requeue(now, q.item())
			d.sendQueued(now, s)
		}
	}
}

// expire finishes a request at its deadline. The outcome depends on its stage: it
// is unknown if an attempt may have run.
func (d *Dispatcher) expire(now time.Time, s *service, q *request) {
	switch q.stage {
	case StageClaiming:
		q.claimed = true
		d.finish(q, notRun(framer.ReasonStoreUnavailable))
	case StageQueued:
		s.queue.Remove(q.Kind, q.ID)
		d.finish(q, q.unsuccessful(framer.ReasonExpired))
	case StageDelayed:
		d.finish(q, q.unsuccessful(framer.ReasonExpired))
	case StageSent, StageFencing:
		s.queue.FinishAttempt(q.Kind)
		s.queue.RecordRunTime(q.Kind, now.Sub(q.sentAt))
		q.mayHaveRun = true
		s.router.Failed(now, q.address)
		d.finish(q, unknown(framer.ReasonExpired))
		d.sendQueued(now, s)
	case StageDone:
	}
}

// finish gives a request its only outcome and removes the request. A claim is
// released only if the request was not run.
func (d *Dispatcher) finish(q *request, outcome Outcome) {
	d.assert.Check(q.stage != StageDone, "one-outcome-a-request", "request", q.ID)
	d.assert.Check(outcome.Kind != NotRun || !q.mayHaveRun && q.stage != StageFencing,
		"not-run-implies-no-start", "request", q.ID)
	q.stage = StageDone
	outcome.Attempts = q.attempt
	delete(d.requests, q.ID)
	switch outcome.Kind {
	case Answered:
		d.Counts.Answered++
	case NotRun:
		d.Counts.NotRun++
		if q.claimed {
			d.addAction(Action{
				Release: &Release{
					ID:       q.ID,
					Service:  q.Service,
					CallerID: q.CallerID,
					Deadline: q.Deadline,
				},
			})
		}
	default:
		d.Counts.Unknown++
	}
	d.addAction(Action{
		Finish: &Finish{
			ID:      q.ID,
			Outcome: outcome,
		},
	})
}

// unsuccessful returns a not-run outcome if no attempt can have run, and an
// unknown one otherwise.
func (q *request) unsuccessful(reason framer.Reason) Outcome {
	if q.mayHaveRun {
		return unknown(reason)
	}
	return notRun(reason)
}

func notRun(reason framer.Reason) Outcome {
	return Outcome{
		Kind:   NotRun,
		Reason: reason,
	}
}

func unknown(reason framer.Reason) Outcome {
	return Outcome{
		Kind:   Unknown,
		Reason: reason,
	}
}
