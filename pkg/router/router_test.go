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

// testRouter returns a router with linked endpoints a, b, … that have many free
// slots.
func testRouter(endpoints int) *Router {
	r := New("catania", rand.New(rand.NewPCG(1, 1)))
	for i := range endpoints {
		address := string(rune('a' + i))
		r.Connect(address, "catania", 1)
		report(r, address, 1_000_000)
	}
	return r
}

// report records a load report with free slots for the kind check.
func report(r *Router, address string, freeSlots int) {
	r.Report(address, framer.Load{
		FreeSlots: []framer.KindFreeSlots{{
			Kind:      "check",
			FreeSlots: freeSlots,
		}},
	})
}

// pickCounts returns how often each endpoint is chosen in 1000 picks.
func pickCounts(r *Router, now time.Time, idempotent bool) map[string]int {
	counts := map[string]int{}
	for range 1000 {
		if e := r.Pick(now, "check", idempotent, ""); e != nil {
			counts[e.Address]++
		}
	}
	return counts
}

// failToThreshold records as many failures as it takes to pause an endpoint.
func failToThreshold(r *Router, address string) {
	for range pauseThreshold {
		r.Failed(start, address)
	}
}

func TestFreeSlotsExcludeStartsNotYetReported(t *testing.T) {
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
	assert.Assert(t, r.Pick(start, "dial", true, "") == nil, "another kind has no free slots")
}

func TestFailingEndpoint(t *testing.T) {
	t.Run("is paused", func(t *testing.T) {
		r := testRouter(4)
		failToThreshold(r, "a")
		assert.Equal(t, pickCounts(r, start, true)["a"], 0)
	})
	t.Run("gets one idempotent trial after its pause", func(t *testing.T) {
		r := testRouter(4)
		failToThreshold(r, "a")
		later := start.Add(initialPause + time.Millisecond)
		assert.Equal(t, pickCounts(r, later, false)["a"], 0)
		assert.Equal(t, pickCounts(r, later, true)["a"], 1)
	})
	t.Run("gets requests again after a successful trial", func(t *testing.T) {
		r := testRouter(4)
		failToThreshold(r, "a")
		r.Succeeded("a", "check", time.Millisecond)
		assert.Assert(t, pickCounts(r, start, false)["a"] > 100)
	})
	t.Run("is paused for longer after each further failure", func(t *testing.T) {
		r := testRouter(4)
		failToThreshold(r, "a")
		r.Failed(start, "a")
		later := start.Add(initialPause + time.Millisecond)
		assert.Equal(t, pickCounts(r, later, true)["a"], 0)
	})
	t.Run("is not paused when half of all endpoints fail", func(t *testing.T) {
		r := testRouter(4)
		failToThreshold(r, "a")
		failToThreshold(r, "b")
		assert.Assert(t, pickCounts(r, start, true)["a"] > 0)
	})
}

func TestSlowEndpointGetsFewerRequestsUntilItRecovers(t *testing.T) {
	r := testRouter(4)
	for i := range 4 {
		r.Succeeded(string(rune('a'+i)), "check", 20*time.Millisecond)
	}
	for range 50 {
		r.Succeeded("a", "check", 400*time.Millisecond)
	}
	slow := pickCounts(r, start, true)["a"]
	assert.Assert(t, slow > 0 && slow < 50, "a slow endpoint got %d of 1000", slow)
	for range 50 {
		r.Succeeded("a", "check", 20*time.Millisecond)
	}
	r.Connect("a", "catania", 1)
	report(r, "a", 1_000_000)
	assert.Assert(t, pickCounts(r, start, true)["a"] > 100)
}

func TestLessLoadedEndpointIsPreferred(t *testing.T) {
	r := testRouter(2)
	r.Report("a", framer.Load{
		Running:   1000,
		FreeSlots: []framer.KindFreeSlots{{Kind: "check", FreeSlots: 1_000_000}},
	})
	counts := pickCounts(r, start, true)
	assert.Assert(t, counts["b"] > counts["a"], "%v", counts)
}

func TestLeavingAndUnlinkedEndpointsGetNoRequests(t *testing.T) {
	r := testRouter(3)
	r.Report("a", framer.Load{
		Leaving:   true,
		FreeSlots: []framer.KindFreeSlots{{Kind: "check", FreeSlots: 8}},
	})
	r.Disconnect("b")
	counts := pickCounts(r, start, true)
	assert.Equal(t, fmt.Sprint(counts), "map[c:1000]")
}
