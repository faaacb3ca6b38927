package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/admitter"
	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func testDispatcher(t testing.TB) *Dispatcher {
	d := New(Settings{
		FailureDomain: "catania",
		RetryRatio:    0.1,
		RetryBurst:    5,
	}, rand.New(rand.NewPCG(1, 1)), asserter.New(func(name string, pairs ...any) {
		t.Fatalf("invariant %s broken: %v", name, pairs)
	}))
	d.Install(start, "reader", []admitter.Rule{{
		Kind:      "check",
		Urgency:   9,
		MaxQueued: 200_000,
		RunTime:   20 * time.Millisecond,
	}})
	return d
}

// connectEndpoint links an endpoint with free slots for the kind check.
func connectEndpoint(d *Dispatcher, address string, freeSlots int) {
	d.Connect(start, "reader", address, "catania", 1)
	d.Receive(start, address, loadFrame(0, freeSlots))
}

func loadFrame(startsReceived uint64, freeSlots int) framer.Frame {
	return framer.Frame{
		Load: &framer.Load{
			Slots:          8,
			StartsReceived: startsReceived,
			FreeSlots: []framer.KindFreeSlots{{
				Kind:      "check",
				FreeSlots: freeSlots,
			}},
		},
	}
}

func testRequest(i int) Request {
	return Request{
		ID:         fmt.Sprintf("r%d", i),
		Service:    "reader",
		Kind:       "check",
		Idempotent: true,
		AcceptedAt: start,
		Deadline:   start.Add(2 * time.Second),
	}
}

// sentStarts returns the start frames among the actions.
func sentStarts(actions []Action) []framer.Start {
	var list []framer.Start
	for _, a := range actions {
		if a.Send != nil && a.Send.Frame.Start != nil {
			list = append(list, *a.Send.Frame.Start)
		}
	}
	return list
}

// outcome returns the outcome of the first request that the actions finish.
func outcome(t *testing.T, actions []Action) Outcome {
	t.Helper()
	for _, a := range actions {
		if a.Finish != nil {
			return a.Finish.Outcome
		}
	}
	t.Fatal("no outcome")
	return Outcome{}
}

func answer(s framer.Start, part int, last bool, body string) framer.Frame {
	return framer.Frame{
		Answer: &framer.Answer{
			ID:      s.ID,
			Attempt: s.Attempt,
			Part:    part,
			Last:    last,
			Status:  200,
			Body:    []byte(body),
		},
	}
}

func TestOnlyCompleteAnswersAreDelivered(t *testing.T) {
	t.Run("parts are joined in order", func(t *testing.T) {
		d := testDispatcher(t)
		connectEndpoint(d, "a", 1)
		s := sentStarts(d.Submit(start, testRequest(1)))[0]
		assert.Equal(t, len(d.Receive(start, "a", answer(s, 0, false, "complete "))), 0)
		o := outcome(t, d.Receive(start, "a", answer(s, 1, true, "answer")))
		assert.Equal(t, string(o.Body), "complete answer")
	})
	t.Run("a missing part is not skipped", func(t *testing.T) {
		d := testDispatcher(t)
		connectEndpoint(d, "a", 1)
		s := sentStarts(d.Submit(start, testRequest(1)))[0]
		d.Receive(start, "a", answer(s, 0, false, "complete "))
		assert.Equal(t, len(d.Receive(start, "a", answer(s, 2, true, "x"))), 0)
	})
	t.Run("a late part of an earlier attempt is not mixed in", func(t *testing.T) {
		d := testDispatcher(t)
		connectEndpoint(d, "a", 1)
		first := sentStarts(d.Submit(start, testRequest(1)))[0]
		d.Receive(start, "a", answer(first, 0, false, "old "))
		d.Receive(start, "a", framer.Frame{Failed: &framer.Failed{ID: first.ID, Attempt: first.Attempt, Reason: framer.ReasonBrokenAnswer}})
		d.Receive(start, "a", loadFrame(1, 1))
		later := start.Add(100 * time.Millisecond)
		second := sentStarts(d.Tick(later))[0]
		assert.Equal(t, second.Attempt, 2)
		assert.Equal(t, len(d.Receive(later, "a", answer(first, 0, true, "old"))), 0)
		o := outcome(t, d.Receive(later, "a", answer(second, 0, true, "new")))
		assert.Equal(t, string(o.Body), "new")
	})
	t.Run("a repeated answer does not finish another request", func(t *testing.T) {
		d := testDispatcher(t)
		connectEndpoint(d, "a", 2)
		first := sentStarts(d.Submit(start, testRequest(1)))[0]
		d.Submit(start, testRequest(2))
		d.Receive(start, "a", answer(first, 0, true, "one"))
		assert.Equal(t, len(d.Receive(start, "a", answer(first, 0, true, "one"))), 0)
		assert.Assert(t, d.HasRequest("r2"))
	})
}

func TestQueueOrderIsKeptAcrossRetries(t *testing.T) {
	d := testDispatcher(t)
	connectEndpoint(d, "a", 1)
	first := sentStarts(d.Submit(start, testRequest(1)))[0]
	for i := 2; i <= 5; i++ {
		r := testRequest(i)
		r.AcceptedAt = start.Add(time.Duration(i) * time.Millisecond)
		d.Submit(r.AcceptedAt, r)
	}
	later := start.Add(10 * time.Millisecond)
	d.Receive(later, "a", framer.Frame{Refused: &framer.Refused{ID: first.ID, Attempt: 1, Reason: framer.ReasonBusy}})
	var order []string
	for received := uint64(1); received < 6; received++ {
		sent := sentStarts(d.Receive(later, "a", loadFrame(received, 1)))
		assert.Equal(t, len(sent), 1)
		order = append(order, sent[0].ID)
	}
	assert.DeepEqual(t, order, []string{"r1", "r2", "r3", "r4", "r5"})
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	d := testDispatcher(t)
	connectEndpoint(d, "a", 1_000_000)
	now := start
	const requests = 2000
	sent := 0
	handle := func(actions []Action) {
		for len(actions) > 0 {
			batch := sentStarts(actions)
			sent += len(batch)
			actions = nil
			for _, s := range batch {
				frame := answer(s, 0, true, "")
				frame.Answer.Status = 500
				actions = append(actions, d.Receive(now, "a", frame)...)
			}
		}
	}
	for i := range requests {
		now = now.Add(time.Millisecond)
		r := testRequest(i)
		r.AcceptedAt = now
		r.Deadline = now.Add(2 * time.Second)
		handle(d.Submit(now, r))
		handle(d.Tick(now))
	}
	for range 3000 {
		now = now.Add(time.Millisecond)
		handle(d.Tick(now))
	}
	assert.Equal(t, d.InFlight(), 0)
	maxAttempts := requests + int(0.1*requests) + 5
	assert.Assert(t, sent > requests && sent <= maxAttempts, "%d attempts for %d requests, at most %d are allowed", sent, requests, maxAttempts)
}

func TestNonIdempotentRequests(t *testing.T) {
	dial := testRequest(1)
	dial.Idempotent = false
	t.Run("a lost link gives an unknown outcome at the deadline", func(t *testing.T) {
		d := testDispatcher(t)
		connectEndpoint(d, "a", 1)
		connectEndpoint(d, "b", 1)
		s := d.Submit(start, dial)
		address := s[0].Send.Address
		d.Disconnect(start, address)
		assert.Equal(t, len(sentStarts(d.Tick(start.Add(time.Second)))), 0)
		assert.Equal(t, outcome(t, d.Tick(start.Add(2*time.Second))).Kind, Unknown)
	})
	t.Run("an attempt that the gate confirms as never started is sent to another endpoint", func(t *testing.T) {
		d := testDispatcher(t)
		connectEndpoint(d, "a", 1)
		s := d.Submit(start, dial)
		d.Disconnect(start, "a")
		connectEndpoint(d, "b", 1)
		actions := d.Connect(start, "reader", "a", "catania", 1)
		assert.Assert(t, actions[0].Send.Frame.Fence != nil)
		actions = d.Receive(start, "a", framer.Frame{Fenced: &framer.Fenced{
			ID:      dial.ID,
			Attempt: s[0].Send.Frame.Start.Attempt,
			State:   framer.FenceNeverStarted,
		}})
		assert.Equal(t, actions[0].Send.Address, "b")
	})
	t.Run("a replaced endpoint gives an unknown outcome", func(t *testing.T) {
		d := testDispatcher(t)
		connectEndpoint(d, "a", 1)
		d.Submit(start, dial)
		d.Disconnect(start, "a")
		o := outcome(t, d.Connect(start, "reader", "a", "catania", 2))
		assert.Equal(t, o.Kind, Unknown)
		assert.Equal(t, o.Reason, framer.ReasonEndpointReplaced)
	})
}

func TestRequestsThatWouldMissTheirDeadlineAreRefusedEarly(t *testing.T) {
	d := testDispatcher(t)
	connectEndpoint(d, "a", 1)
	now := start
	refused := 0
	for i := range 400 {
		r := testRequest(i)
		r.AcceptedAt = now
		r.Deadline = now.Add(2 * time.Second)
		for _, a := range d.Submit(now, r) {
			if a.Finish != nil {
				assert.Equal(t, a.Finish.Outcome.Kind, NotRun)
				assert.Equal(t, a.Finish.Outcome.Reason, framer.ReasonOverloaded)
				assert.Assert(t, a.Finish.Outcome.RetryAfter > 0)
				refused++
			}
		}
		if i%5 == 0 {
			// The endpoint serves one request in 50 ms.
			d.Receive(now, "a", loadFrame(uint64(i/5+1), 1))
		}
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, refused > 150, "only %d refused early", refused)
}

func TestTimersOfFinishedRequestsArePruned(t *testing.T) {
	d := testDispatcher(t)
	connectEndpoint(d, "a", 1_000_000)
	for i := range 20_000 {
		r := testRequest(i)
		r.Deadline = start.Add(24 * time.Hour)
		s := sentStarts(d.Submit(start, r))[0]
		d.Receive(start, "a", answer(s, 0, true, "done"))
	}
	assert.Equal(t, d.InFlight(), 0)
	assert.Assert(t, len(d.timers) <= 2*pruneThreshold, "%d timers are kept", len(d.timers))
}

// BenchmarkQueuedRequest measures the memory of one queued request, in bytes.
func BenchmarkQueuedRequest(b *testing.B) {
	const requests = 50_000
	for b.Loop() {
		d := testDispatcher(b)
		d.Connect(start, "reader", "a", "catania", 1)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range requests {
			d.Submit(start, testRequest(i))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/requests, "bytes/request")
		runtime.KeepAlive(d)
	}
}
