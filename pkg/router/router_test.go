package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// testRouter links endpoints a, b, … with much room.
func testRouter(endpoints int) *Router {
	r := New("catania", rand.New(rand.NewPCG(1, 1)))
	for i := range endpoints {
		address := string(rune('a' + i))
		r.Connect(address, "catania", 1)
		report(r, address, 1_000_000)
	}
	return r
}

func report(r *Router, address string, room int) {
	r.Report(address, framer.Load{
		FreeSlots: []framer.KindFreeSlots{{
			Kind:      "check",
			FreeSlots: room,
		}},
	})
}

// shares tells how often each endpoint is picked.
func shares(r *Router, now time.Time, idempotent bool) map[string]int {
	counts := map[string]int{}
	for range 1000 {
		if e := r.Pick(now, "check", idempotent, ""); e != nil {
			counts[e.Address]++
		}
	}
	return counts
}

func fail(r *Router, address string) {
	for range failuresToPause {
		r.Failed(start, address)
	}
}

func TestRoomCountsStartsThatTheReportHasNotSeen(t *testing.T) {
	r := testRouter(1)
	report(r, "a", 2)
	assert.Assert(t, r.Pick(start, "check", true, "") != nil)
	assert.Assert(t, r.Pick(start, "check", true, "") != nil)
	assert.Assert(t, r.Pick(start, "check", true, "") == nil)
	r.Report("a", framer.Load{
		StartsReceived: 2,
		FreeSlots:      []framer.KindFreeSlots{{Kind: "check", FreeSlots: 1}},
	})
	assert.Assert(t, r.Pick(start, "check", true, "") != nil)
	assert.Assert(t, r.Pick(start, "dial", true, "") == nil, "another kind has no room")
}

func TestFailingEndpoint(t *testing.T) {
	t.Run("is paused", func(t *testing.T) {
		r := testRouter(4)
		fail(r, "a")
		assert.Equal(t, shares(r, start, true)["a"], 0)
	})
	t.Run("gets one idempotent trial after its pause", func(t *testing.T) {
		r := testRouter(4)
		fail(r, "a")
		later := start.Add(firstPause + time.Millisecond)
		assert.Equal(t, shares(r, later, false)["a"], 0)
		assert.Equal(t, shares(r, later, true)["a"], 1)
	})
	t.Run("is back after a trial that succeeds", func(t *testing.T) {
		r := testRouter(4)
		fail(r, "a")
		r.Succeeded("a", "check", time.Millisecond)
		assert.Assert(t, shares(r, start, false)["a"] > 100)
	})
	t.Run("is paused for longer each time", func(t *testing.T) {
		r := testRouter(4)
		fail(r, "a")
		r.Failed(start, "a")
		later := start.Add(firstPause + time.Millisecond)
		assert.Equal(t, shares(r, later, true)["a"], 0)
	})
	t.Run("is not paused when half of all fail", func(t *testing.T) {
		r := testRouter(4)
		fail(r, "a")
		fail(r, "b")
		assert.Assert(t, shares(r, start, true)["a"] > 0)
	})
}

func TestSlowEndpointLosesShareAndWinsItBack(t *testing.T) {
	r := testRouter(4)
	for i := range 4 {
		r.Succeeded(string(rune('a'+i)), "check", 20*time.Millisecond)
	}
	for range 50 {
		r.Succeeded("a", "check", 400*time.Millisecond)
	}
	slow := shares(r, start, true)["a"]
	assert.Assert(t, slow > 0 && slow < 50, "a slow endpoint got %d of 1000", slow)
	for range 50 {
		r.Succeeded("a", "check", 20*time.Millisecond)
	}
	r.Connect("a", "catania", 1)
	report(r, "a", 1_000_000)
	assert.Assert(t, shares(r, start, true)["a"] > 100)
}

func TestLighterLoadIsPreferred(t *testing.T) {
	r := testRouter(2)
	r.Report("a", framer.Load{
		Running:   1000,
		FreeSlots: []framer.KindFreeSlots{{Kind: "check", FreeSlots: 1_000_000}},
	})
	counts := shares(r, start, true)
	assert.Assert(t, counts["b"] > counts["a"], "%v", counts)
}

func TestLeavingAndUnlinkedEndpointsGetNothing(t *testing.T) {
	r := testRouter(3)
	r.Report("a", framer.Load{
		Leaving:   true,
		FreeSlots: []framer.KindFreeSlots{{Kind: "check", FreeSlots: 8}},
	})
	r.Disconnect("b")
	counts := shares(r, start, true)
	assert.Equal(t, fmt.Sprint(counts), "map[c:1000]")
}
