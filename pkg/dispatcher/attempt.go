package dispatcher

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/router"
)

// sendQueued sends queued requests in queue order while any endpoint has a free
// slot. It first refuses those that can't meet their deadline.
func (d *Dispatcher) sendQueued(now time.Time, s *service) {
	for _, item := range s.queue.RemoveInfeasible(now) {
		q := d.requests[item.ID]
		d.finish(q, q.unsuccessful(framer.ReasonOverloaded))
	}
	for {
		sent := false
		for _, item := range s.queue.NextOfEachKind() {
			q := d.requests[item.ID]
			e := s.router.Pick(now, q.Kind, q.Idempotent, q.address)
			if e == nil {
				continue
			}
			s.queue.Dispatch(now, q.Kind)
			d.send(now, q, e)
			sent = true
			break
		}
		if !sent {
			return
		}
	}
}

// send starts the next attempt of a queued request at an endpoint.
func (d *Dispatcher) send(now time.Time, q *request, e *router.Endpoint) {
	d.assert.Check(q.stage == StageQueued, "send-only-what-is-queued", "request", q.ID, "stage", q.stage.String())
	d.assert.Check(q.Idempotent || !q.mayHaveRun, "non-idempotent-sent-once", "request", q.ID)
	q.stage = StageSent
	q.attempt++
	q.address = e.Address
	q.incarnation = e.Incarnation
	q.sentAt = now
	q.answerParts = nil
	q.answerBytes = 0
	d.Counts.Attempts++
	d.addAction(Action{
		Send: &Send{
			Address: e.Address,
			Frame: framer.Frame{
				Start: &framer.Start{
					ID:          q.ID,
					Attempt:     q.attempt,
					Kind:        q.Kind,
					Idempotent:  q.Idempotent,
					Remaining:   max(0, q.Deadline.Sub(now)-gateMargin),
					Age:         now.Sub(q.AcceptedAt),
					ContentType: q.ContentType,
					Body:        q.Body,
				},
			},
		},
	})
}

// fence asks the gate whether an attempt has started, and to reject it from then
// on if it has not.
func (d *Dispatcher) fence(now time.Time, q *request) {
	d.Counts.Fences++
	d.addAction(Action{
		Send: &Send{
			Address: q.address,
			Frame: framer.Frame{
				Fence: &framer.Fence{
					ID:        q.ID,
					Attempt:   q.attempt,
					RetainFor: max(0, q.Deadline.Sub(now)) + fenceMargin,
				},
			},
		},
	})
}

// handleRefused handles a gate's confirmation that an attempt was not run.
func (d *Dispatcher) handleRefused(now time.Time, s *service, address string, f *framer.Refused) {
	q := d.currentAttempt(address, f.ID, f.Attempt)
	if q == nil {
		return
	}
	d.Counts.Rejected++
	s.queue.FinishAttempt(q.Kind)
	if f.Reason == framer.ReasonEndpointDown {
		s.router.Failed(now, address)
	} else {
		s.router.NotStarted(address)
	}
	switch f.Reason {
	case framer.ReasonExpired:
		d.finish(q, q.unsuccessful(framer.ReasonExpired))
	case framer.ReasonBusy:
		q.stage = StageQueued
		s.queue.Requeue(now, q.item())
	default:
		d.delay(now, q)
	}
	d.sendQueued(now, s)
}

// handleFenced handles a gate's reply to a fence. An attempt that never started
// is queued again; one that is running or answered is still waited for.
func (d *Dispatcher) handleFenced(now time.Time, s *service, address string, f *framer.Fenced) {
	q := d.currentAttempt(address, f.ID, f.Attempt)
	if q == nil || q.stage != StageFencing {
		return
	}
	switch f.State {
	case framer.FenceNeverStarted:
		s.queue.FinishAttempt(q.Kind)
		s.router.NotStarted(address)
		q.stage = StageQueued
		s.queue.Requeue(now, q.item())
		d.sendQueued(now, s)
	case framer.FenceRunning, framer.FenceAnswered:
		q.stage = StageSent
	default:
		s.router.Failed(now, address)
		d.handleLostAttempt(now, s, q, framer.ReasonBrokenAnswer)
	}
}

// handleAnswer collects the parts of an answer. Only a complete answer is
// delivered to the caller.
func (d *Dispatcher) handleAnswer(now time.Time, s *service, address string, f *framer.Answer) {
	q := d.currentAttempt(address, f.ID, f.Attempt)
	if q == nil || f.Part != len(q.answerParts) {
		return
	}
	if f.Part == 0 {
		q.status = f.Status
		q.contentType = f.ContentType
	}
	q.answerParts = append(q.answerParts, f.Body)
	q.answerBytes += len(f.Body)
	if q.answerBytes > maxAnswerBytes {
		d.handleLostAttempt(now, s, q, framer.ReasonBrokenAnswer)
		return
	}
	if !f.Last {
		return
	}
	d.handleCompleteAnswer(now, s, q)
}

// handleCompleteAnswer handles a complete answer. An idempotent request that got
// a server error is retried while time and the retry budget allow it.
func (d *Dispatcher) handleCompleteAnswer(now time.Time, s *service, q *request) {
	s.queue.RecordRunTime(q.Kind, now.Sub(q.sentAt))
	if q.status < firstServerErrorStatus {
		s.router.Succeeded(q.address, q.Kind, now.Sub(q.sentAt))
	} else {
		s.router.Failed(now, q.address)
		if q.Idempotent && d.hasTimeForRetry(now, q) && s.budget.Spend() {
			d.Counts.Retries++
			q.mayHaveRun = true
			s.queue.FinishAttempt(q.Kind)
			d.delay(now, q)
			return
		}
	}
	s.queue.FinishAttempt(q.Kind)
	d.finish(q, Outcome{
		Kind:        Answered,
		Status:      q.status,
		ContentType: q.contentType,
		Body:        joinParts(q.answerParts, q.answerBytes),
	})
	d.sendQueued(now, s)
}

// handleLostAttempt ends an attempt that gave no usable answer but may have run.
// The request is retried if it is idempotent and its lost attempts, time and the
// retry budget allow it; otherwise its outcome is unknown.
func (d *Dispatcher) handleLostAttempt(now time.Time, s *service, q *request, reason framer.Reason) {
	s.queue.FinishAttempt(q.Kind)
	q.mayHaveRun = true
	q.lostAttempts++
	switch {
	case !q.Idempotent || q.lostAttempts >= maxLostAttempts || !d.hasTimeForRetry(now, q):
		d.finish(q, unknown(reason))
	case !s.budget.Spend():
		d.finish(q, unknown(framer.ReasonRetryBudget))
	default:
		d.Counts.Retries++
		d.delay(now, q)
	}
	d.sendQueued(now, s)
}

// hasTimeForRetry reports whether the remaining time exceeds the initial backoff
// and the gate's margin.
func (d *Dispatcher) hasTimeForRetry(now time.Time, q *request) bool {
	return now.Add(initialBackoff + gateMargin).Before(q.Deadline)
}

// delay keeps a request out of the queue for a backoff with jitter.
func (d *Dispatcher) delay(now time.Time, q *request) {
	q.stage = StageDelayed
	q.backoff = min(maxBackoff, max(initialBackoff, 2*q.backoff))
	wait := q.backoff/2 + time.Duration(d.rnd.Int64N(int64(q.backoff/2)+1))
	d.addTimer(q, now.Add(wait), timerBackoff)
}

// currentAttempt returns the request if the attempt is the one in flight, or
// nil. Frames of an earlier attempt are thus ignored.
func (d *Dispatcher) currentAttempt(address, id string, attempt int) *request {
	q := d.requests[id]
	if q == nil || q.address != address || q.attempt != attempt {
		return nil
	}
	if q.stage != StageSent && q.stage != StageFencing {
		return nil
	}
	return q
}

// joinParts concatenates the parts of an answer of size bytes in total.
func joinParts(parts [][]byte, size int) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	all := make([]byte, 0, size)
	for _, part := range parts {
		all = append(all, part...)
	}
	return all
}
