package gatekeeper

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func testPlan() Plan {
	return Plan{
		Version: 1,
		Slots:   4,
		Rules: []Rule{
			{
				Kind:         "check",
				FloorSlots:   2,
				CeilingSlots: 4,
				RunTime:      20 * time.Millisecond,
				LendLimit:    100 * time.Millisecond,
				Standby:      2,
			},
			{
				Kind:         "review",
				CeilingSlots: 4,
				RunTime:      time.Second,
			},
		},
	}
}

func testGate(t *testing.T) *Gate {
	g := New(asserter.New(func(name string, pairs ...any) { t.Fatalf("invariant %s broken: %v", name, pairs) }))
	g.Install(start, testPlan())
	g.Connect("entry")
	return g
}

func request(id, kind string) framer.Start {
	return framer.Start{
		ID:        id,
		Attempt:   1,
		Kind:      kind,
		Remaining: 2 * time.Second,
	}
}

func fence(id string) framer.Fence {
	return framer.Fence{
		ID:        id,
		Attempt:   1,
		RetainFor: time.Minute,
	}
}

// startedIDs returns the ids of the requests that the actions start.
func startedIDs(actions []Action) []string {
	var ids []string
	for _, a := range actions {
		if a.Run != nil {
			ids = append(ids, a.Run.Start.ID)
		}
	}
	return ids
}

// firstRefusal returns the reason of the first refusal, or "".
func firstRefusal(actions []Action) framer.Reason {
	for _, a := range actions {
		if a.Send != nil && a.Send.Frame.Refused != nil {
			return a.Send.Frame.Refused.Reason
		}
	}
	return ""
}

func firstFenceState(actions []Action) framer.FenceState {
	for _, a := range actions {
		if a.Send != nil && a.Send.Frame.Fenced != nil {
			return a.Send.Frame.Fenced.State
		}
	}
	return ""
}

func TestLongRequestsLeaveTheFloorFree(t *testing.T) {
	g := testGate(t)
	assert.Equal(t, len(startedIDs(g.Start(start, "entry", request("r1", "review")))), 1)
	assert.Equal(t, len(startedIDs(g.Start(start, "entry", request("r2", "review")))), 1)
	assert.Equal(t, firstRefusal(g.Start(start, "entry", request("r3", "review"))), framer.ReasonBusy)
	assert.Equal(t, len(startedIDs(g.Start(start, "entry", request("c1", "check")))), 1)
	assert.Equal(t, len(startedIDs(g.Start(start, "entry", request("c2", "check")))), 1)
}

func TestFloorIsLentToShortRequests(t *testing.T) {
	g := testGate(t)
	plan := testPlan()
	plan.Version = 2
	plan.Rules[1].RunTime = 50 * time.Millisecond
	g.Install(start, plan)
	for i := range 4 {
		assert.Equal(t, len(startedIDs(g.Start(start, "entry", request(fmt.Sprint(i), "review")))), 1)
	}
}

func TestFence(t *testing.T) {
	t.Run("a request that has not arrived does not start later", func(t *testing.T) {
		g := testGate(t)
		assert.Equal(t, firstFenceState(g.Fence(start, "entry", fence("r1"))), framer.FenceNeverStarted)
		assert.Equal(t, firstRefusal(g.Start(start, "entry", request("r1", "check"))), framer.ReasonFenced)
	})
	t.Run("a higher attempt may start", func(t *testing.T) {
		g := testGate(t)
		g.Fence(start, "entry", fence("r1"))
		again := request("r1", "check")
		again.Attempt = 2
		assert.DeepEqual(t, startedIDs(g.Start(start, "entry", again)), []string{"r1"})
	})
	t.Run("a waiting request is removed", func(t *testing.T) {
		g := testGate(t)
		for i := range 5 {
			g.Start(start, "entry", request(fmt.Sprintf("c%d", i), "check"))
		}
		assert.Equal(t, firstFenceState(g.Fence(start, "entry", fence("c4"))), framer.FenceNeverStarted)
		actions := g.Finished(start, "c0", Result{Status: 200})
		assert.Equal(t, len(startedIDs(actions)), 0)
	})
	t.Run("a running request is reported as running", func(t *testing.T) {
		g := testGate(t)
		g.Start(start, "entry", request("r1", "check"))
		assert.Equal(t, firstFenceState(g.Fence(start, "entry", fence("r1"))), framer.FenceRunning)
	})
	t.Run("a retained response is sent again in full", func(t *testing.T) {
		g := testGate(t)
		g.Start(start, "entry", request("r1", "check"))
		body := make([]byte, 3*maxAnswerPartBytes+1)
		g.Finished(start, "r1", Result{
			Status: 200,
			Body:   body,
		})
		actions := g.Fence(start, "entry", fence("r1"))
		assert.Equal(t, firstFenceState(actions), framer.FenceAnswered)
		size := 0
		for _, a := range actions[1:] {
			size += len(a.Send.Frame.Answer.Body)
		}
		assert.Equal(t, size, len(body))
		assert.Assert(t, actions[len(actions)-1].Send.Frame.Answer.Last)
	})
	t.Run("an evicted response is reported as failed, never as not started", func(t *testing.T) {
		g := testGate(t)
		for i := range 3 {
			id := fmt.Sprintf("c%d", i)
			g.Start(start, "entry", request(id, "check"))
			g.Finished(start, id, Result{
				Status: 200,
				Body:   make([]byte, maxKeptAnswerBytes/2),
			})
		}
		assert.Equal(t, firstFenceState(g.Fence(start, "entry", fence("c0"))), framer.FenceFailed)
		assert.Assert(t, g.keptAnswerBytes <= maxKeptAnswerBytes)
	})
	t.Run("a request to an endpoint that was down is reported as never started", func(t *testing.T) {
		g := testGate(t)
		g.Start(start, "entry", request("r1", "check"))
		actions := g.Finished(start, "r1", Result{
			NotStarted: framer.ReasonEndpointDown,
		})
		assert.Equal(t, firstRefusal(actions), framer.ReasonEndpointDown)
		assert.Equal(t, firstFenceState(g.Fence(start, "entry", fence("r1"))), framer.FenceNeverStarted)
	})
}

func TestRepeatedAttemptRunsOnce(t *testing.T) {
	g := testGate(t)
	assert.Equal(t, len(startedIDs(g.Start(start, "entry", request("r1", "check")))), 1)
	assert.Equal(t, len(startedIDs(g.Start(start, "other", request("r1", "check")))), 0)
	g.Finished(start, "r1", Result{Status: 200})
	assert.Equal(t, len(startedIDs(g.Start(start, "entry", request("r1", "check")))), 0)
}

func TestLeaving(t *testing.T) {
	g := testGate(t)
	for i := range 6 {
		g.Start(start, "entry", request(fmt.Sprintf("c%d", i), "check"))
	}
	actions := g.Leave()
	refused := 0
	for _, a := range actions {
		if a.Send.Frame.Refused != nil {
			assert.Equal(t, a.Send.Frame.Refused.Reason, framer.ReasonLeaving)
			refused++
		}
	}
	assert.Equal(t, refused, 2)
	assert.Equal(t, firstRefusal(g.Start(start, "entry", request("late", "check"))), framer.ReasonLeaving)
	assert.Assert(t, !g.Idle())
	for i := range 4 {
		g.Finished(start, fmt.Sprintf("c%d", i), Result{Status: 200})
	}
	assert.Assert(t, g.Idle())
}

func TestWaitingRequestExpires(t *testing.T) {
	g := testGate(t)
	for i := range 5 {
		g.Start(start, "entry", request(fmt.Sprintf("c%d", i), "check"))
	}
	assert.Equal(t, firstRefusal(g.Tick(start.Add(3*time.Second))), framer.ReasonExpired)
}

func TestIDsAreEvictedAfterTheirDeadline(t *testing.T) {
	g := testGate(t)
	g.Start(start, "entry", request("r1", "check"))
	g.Finished(start, "r1", Result{Status: 200, Body: []byte("x")})
	g.Tick(start.Add(2*time.Second + idRetentionMargin))
	assert.Equal(t, g.TrackedIDs(), 1)
	g.Tick(start.Add(4*time.Second + idRetentionMargin))
	assert.Equal(t, g.TrackedIDs(), 0)
	assert.Equal(t, g.keptAnswerBytes, 0)
}

func TestOlderPlansAreIgnored(t *testing.T) {
	g := testGate(t)
	old := testPlan()
	old.Slots = 99
	g.Install(start, old)
	assert.Equal(t, g.plan.Slots, 4)
}

func TestOldestWaitingRequestStartsFirst(t *testing.T) {
	g := testGate(t)
	for i := range 4 {
		g.Start(start, "entry", request(fmt.Sprintf("c%d", i), "check"))
	}
	young, old := request("young", "check"), request("old", "check")
	young.Age = time.Millisecond
	old.Age = time.Second
	g.Start(start, "entry", young)
	g.Start(start, "entry", old)
	assert.DeepEqual(t, startedIDs(g.Finished(start, "c0", Result{Status: 200})), []string{"old"})
}
