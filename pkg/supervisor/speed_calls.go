package supervisor

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// speedRetryInterval is the time between two calls that set the same speed limit.
const speedRetryInterval = 500 * time.Millisecond

// speedCalls sets speed limits at the runner. A call without a response may be carried
// out after later ones, so a limit is sent again until a call has been accepted that no
// earlier one can follow.
type speedCalls struct {
	open     map[framer.RunRef]*openSpeedCall
	inFlight int
	// calls counts the calls to the runner.
	calls uint64
}

// openSpeedCall is a speed limit that the runner is not known to apply.
type openSpeedCall struct {
	percent int
	// number is that of the last call. overlapping is set if an earlier one was in flight
	// at the time.
	number      uint64
	overlapping bool
	inFlight    int
	// mayArriveUntil is until when a call without a response may be carried out.
	mayArriveUntil time.Time
	retryAt        time.Time
}

func newSpeedCalls() *speedCalls {
	return &speedCalls{
		open: map[framer.RunRef]*openSpeedCall{},
	}
}

// set replaces the limits of runs, which are then due at once.
func (s *speedCalls) set(now time.Time, changes []speedChange) {
	for _, change := range changes {
		o := s.open[change.ref]
		if o == nil {
			o = &openSpeedCall{}
			s.open[change.ref] = o
		}
		o.percent = change.percent
		o.retryAt = now
	}
}

// due returns the calls to send now, and forgets the limits of runs that have ended.
func (s *speedCalls) due(now time.Time, h CallHeader, present func(framer.RunRef) bool) []SetSpeedCall {
	maps.DeleteFunc(s.open, func(ref framer.RunRef, _ *openSpeedCall) bool { return !present(ref) })
	var calls []SetSpeedCall
	for _, ref := range slices.SortedFunc(maps.Keys(s.open), compareRefs) {
		o := s.open[ref]
		if now.Before(o.retryAt) || s.inFlight >= maxCallsInFlight {
			continue
		}
		s.calls++
		s.inFlight++
		o.number = s.calls
		o.overlapping = o.inFlight > 0
		o.inFlight++
		o.retryAt = now.Add(speedRetryInterval)
		calls = append(calls, SetSpeedCall{
			Header:  h,
			Ref:     ref,
			Percent: o.percent,
			Number:  o.number,
			SentAt:  now,
		})
	}
	return calls
}

// answered processes the result of a call; err is set if there was no response.
func (s *speedCalls) answered(now time.Time, call SetSpeedCall, a Answer, err error) {
	s.inFlight--
	o := s.open[call.Ref]
	if o == nil {
		return
	}
	o.inFlight--
	var notSent *NotSentError
	if err != nil && !errors.As(err, &notSent) {
		o.mayArriveUntil = now.Add(unconfirmedStartTTL)
	}
	latest := call.Number == o.number && call.Percent == o.percent
	ordered := !o.overlapping && !call.SentAt.Before(o.mayArriveUntil)
	if err == nil && a.Refusal == "" && latest && ordered {
		delete(s.open, call.Ref)
	}
}

// setSpeeds sends the speed limits that the runner is not known to apply.
func (c *Core) setSpeeds(now time.Time) {
	c.speedCalls.set(now, c.throttler.decide(now, c.running))
	c.speedCalls.set(now, c.throttler.release(c.running, c.isStopping))
	for _, call := range c.speedCalls.due(now, c.callHeader(), c.throttler.lists) {
		c.Counts.SpeedChanges++
		c.actions = append(c.actions, Action{
			SetSpeed: &call,
		})
	}
}

// SpeedSet processes the result of a call that sets a speed limit; err is set if there
// was no response.
func (c *Core) SpeedSet(now time.Time, call SetSpeedCall, a Answer, err error) {
	if call.Header.Runner == c.runner.Key {
		c.speedCalls.answered(now, call, a, err)
	}
}

// isStopping reports whether a run is to be stopped.
func (c *Core) isStopping(ref framer.RunRef) bool {
	cmd := c.commands[ref]
	return cmd != nil && cmd.phase >= phaseStopping
}
