package dispatcher

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/router"
)

// pump sends waiting requests, in their turn, while any endpoint has room.
func (d *Dispatcher) pump(now time.Time, s *service) {
	for _, item := range s.queue.Hopeless(now) {
		q := d.requests[item.ID]
		d.finish(q, q.unsuccessful(framer.ReasonOverloaded))
	}
	for {
		sent := false
		for _, item := range s.queue.Turn() {
			q := d.requests[item.ID]
			e := s.router.Pick(now, q.Kind, q.Idempotent, q.address)
			if e == nil {
				continue
			}
			s.queue.Depart(now, q.Kind)
			d.send(now, q, e)
			sent = true
			break
		}
		if !sent {
			return
		}
	}
}

func (d *Dispatcher) send(now time.Time, q *request, e *router.Endpoint) {
	d.assert.Check(q.stage == StageQueued, "send-only-what-is-queued", "request", q.ID, "stage", q.stage.String())
	d.assert.Check(q.Idempotent || !q.mayHaveRun, "non-idempotent-sent-once", "request", q.ID)
	q.stage = StageSent
	q.attempt++
	q.address = e.Address
	q.incarnation = e.Incarnation
	q.sentAt = now
	q.parts = nil
	q.partBytes = 0
	d.Counts.Attempts++
	d.act(Action{
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

func (d *Dispatcher) fence(now time.Time, q *request) {
	d.Counts.Fences++
	d.act(Action{
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

// refused takes a gate's proof that an attempt was not run.
func (d *Dispatcher) refused(now time.Time, s *service, address string, f *framer.Refused) {
	q := d.current(address, f.ID, f.Attempt)
	if q == nil {
		return
	}
	d.Counts.Bounces++
	s.queue.Land(q.Kind)
	if f.Reason == framer.ReasonEndpointDown {
		s.router.Failed(now, address)
	} else {
		s.router.Returned(address)
	}
	switch f.Reason {
	case framer.ReasonExpired:
		d.finish(q, q.unsuccessful(framer.ReasonExpired))
	case framer.ReasonBusy:
		q.stage = StageQueued
		s.queue.Return(now, q.item())
	default:
		d.delay(now, q)
	}
	d.pump(now, s)
}

func (d *Dispatcher) fenced(now time.Time, s *service, address string, f *framer.Fenced) {
	q := d.current(address, f.ID, f.Attempt)
	if q == nil || q.stage != StageFencing {
		return
	}
	switch f.State {
	case framer.FenceNeverStarted:
		s.queue.Land(q.Kind)
		s.router.Returned(address)
		q.stage = StageQueued
		s.queue.Return(now, q.item())
		d.pump(now, s)
	case framer.FenceRunning, framer.FenceAnswered:
		q.stage = StageSent
	default:
		s.router.Failed(now, address)
		d.lost(now, s, q, framer.ReasonBrokenAnswer)
	}
}

// answer gathers the parts of an answer; only a whole one is handed on.
func (d *Dispatcher) answer(now time.Time, s *service, address string, f *framer.Answer) {
	q := d.current(address, f.ID, f.Attempt)
	if q == nil || f.Part != len(q.parts) {
		return
	}
	if f.Part == 0 {
		q.status = f.Status
		q.contentType = f.ContentType
	}
	q.parts = append(q.parts, f.Body)
	q.partBytes += len(f.Body)
	if q.partBytes > maxAnswerBytes {
		d.lost(now, s, q, framer.ReasonBrokenAnswer)
		return
	}
	if !f.Last {
		return
	}
	d.whole(now, s, q)
}

// whole takes a complete answer. A server error of an idempotent request is
// tried again while the budget lasts.
func (d *Dispatcher) whole(now time.Time, s *service, q *request) {
	s.queue.Learn(q.Kind, now.Sub(q.sentAt))
	if q.status < serverError {
		s.router.Succeeded(q.address, q.Kind, now.Sub(q.sentAt))
	} else {
		s.router.Failed(now, q.address)
		if q.Idempotent && d.hasTimeForRetry(now, q) && s.budget.Spend() {
			d.Counts.Retries++
			q.mayHaveRun = true
			s.queue.Land(q.Kind)
			d.delay(now, q)
			return
		}
	}
	s.queue.Land(q.Kind)
	d.finish(q, Outcome{
		Kind:        Answered,
		Status:      q.status,
		ContentType: q.contentType,
		Body:        joined(q.parts, q.partBytes),
	})
	d.pump(now, s)
}

// lost ends an attempt that may have run without giving an answer.
func (d *Dispatcher) lost(now time.Time, s *service, q *request, reason framer.Reason) {
	s.queue.Land(q.Kind)
	q.mayHaveRun = true
	switch {
	case !q.Idempotent || !d.hasTimeForRetry(now, q):
		d.finish(q, unknown(reason))
	case !s.budget.Spend():
		d.finish(q, unknown(framer.ReasonRetryBudget))
	default:
		d.Counts.Retries++
		d.delay(now, q)
	}
	d.pump(now, s)
}

func (d *Dispatcher) hasTimeForRetry(now time.Time, q *request) bool {
	return now.Add(firstBackoff + gateMargin).Before(q.Deadline)
}

// delay puts a request aside for a jittered backoff before its next turn.
func (d *Dispatcher) delay(now time.Time, q *request) {
	q.stage = StageDelayed
	q.backoff = min(longestBackoff, max(firstBackoff, 2*q.backoff))
	wait := q.backoff/2 + time.Duration(d.rnd.Int64N(int64(q.backoff/2)+1))
	d.addTimer(q, now.Add(wait), timerBackoff)
}

// current returns the request if the attempt is the one it waits for.
func (d *Dispatcher) current(address, id string, attempt int) *request {
	q := d.requests[id]
	if q == nil || q.address != address || q.attempt != attempt {
		return nil
	}
	if q.stage != StageSent && q.stage != StageFencing {
		return nil
	}
	return q
}

func joined(parts [][]byte, size int) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	whole := make([]byte, 0, size)
	for _, part := range parts {
		whole = append(whole, part...)
	}
	return whole
}
