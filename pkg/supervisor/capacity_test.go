package supervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// heartbeatWith sends a heartbeat of the known incarnation with other processors.
func (h *coreHarness) heartbeatWith(processorMillis int64) {
	h.core.Heartbeat(h.now, Heartbeat{
		Info: framer.RunnerInfo{
			Key:             h.key,
			Service:         "polls",
			ProcessorMillis: processorMillis,
		},
		Sequence: h.core.heartbeatSequence + 1,
	})
	h.tick()
}

// Guards against starts that were requested for a larger capacity than the runner has by
// the time they are sent.
func TestStartWaitsForCurrentCapacity(t *testing.T) {
	start := framer.Sync{
		LeaseUntilMillis: 60_000,
		Starts:           starts(ref("a")),
	}
	fresh := func(t *testing.T) *coreHarness {
		h := newCoreHarness(t)
		h.answerRenewal(1000, Listing{})
		return h
	}
	t.Run("a changed capacity is reported at once", func(t *testing.T) {
		for _, millis := range []int64{16_000, 64_000} {
			h := fresh(t)
			h.advance(reportBatchDelay)
			reports := len(h.reports)
			h.heartbeatWith(millis)
			assert.Equal(t, len(h.reports), reports+1)
			assert.Equal(t, h.reports[reports].Runner.ProcessorMillis, millis)
		}
	})
	t.Run("a start that the owner requested before is not sent", func(t *testing.T) {
		h := fresh(t)
		h.heartbeatWith(16_000)
		h.sync(start)
		assert.Equal(t, h.countOpen(isStart), 0)
		h.now = h.now.Add(shrinkHold)
		h.sync(start)
		assert.Equal(t, h.countOpen(isStart), 1, "the owner requests it again")
	})
	t.Run("a runner without recent heartbeat starts nothing", func(t *testing.T) {
		h := fresh(t)
		h.now = h.now.Add(minHeartbeatInterval + maxHeartbeatDelay + time.Millisecond)
		h.tick()
		h.answerRenewal(4000, Listing{})
		h.sync(start)
		assert.Equal(t, h.countOpen(isStart), 0)
		h.heartbeatWith(32_000)
		assert.Equal(t, h.countOpen(isStart), 1)
	})
	t.Run("a runner with rare heartbeats starts runs between them", func(t *testing.T) {
		const interval = 5 * time.Second
		h := fresh(t)
		for range 4 * heartbeatSmoothing {
			h.now = h.now.Add(interval)
			h.heartbeatWith(32_000)
		}
		h.answerRenewal(81_000, Listing{})
		h.now = h.now.Add(interval)
		h.answerRenewal(86_000, Listing{})
		start := start
		start.LeaseUntilMillis = 200_000
		h.sync(start)
		assert.Equal(t, h.countOpen(isStart), 1)
	})
}
