package supervisor

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const testTarget = 20.0

// throttlerHarness drives a throttler with one latency-critical run and two
// best-effort runs, of which "heavy" interferes most.
type throttlerHarness struct {
	throttler *throttler
	now       time.Time
}

func newThrottlerHarness() *throttlerHarness {
	th := newThrottler()
	th.record(nil, false)
	th.setSharing([]framer.Sharing{
		{
			RunRef:       ref("serving"),
			TargetMillis: testTarget,
		},
		{
			RunRef:       ref("heavy"),
			Interference: 0.8,
		},
		{
			RunRef:       ref("light"),
			Interference: 0.06,
		},
	})
	return &throttlerHarness{
		throttler: th,
		now:       time.Unix(1000, 0),
	}
}

// measureTail records a tail latency and returns the new speed limits by task.
func (h *throttlerHarness) measureTail(tailMillis float64) map[string]int {
	running := []framer.RunStatus{
		{
			RunRef:      ref("serving"),
			Measurement: tailMillis,
		},
		{
			RunRef: ref("heavy"),
		},
		{
			RunRef: ref("light"),
		},
	}
	h.now = h.now.Add(adjustInterval)
	h.throttler.record(running, false)
	h.throttler.measure(h.now, running)
	speeds := map[string]int{}
	for _, change := range h.throttler.decide(h.now, running) {
		speeds[change.ref.Task] = change.percent
	}
	return speeds
}

func TestSpeedLimits(t *testing.T) {
	t.Run("stay while the latency-critical run is below its target", func(t *testing.T) {
		assert.DeepEqual(t, newThrottlerHarness().measureTail(testTarget/2), map[string]int{})
	})
	t.Run("of the run with the most interference are cut first", func(t *testing.T) {
		h := newThrottlerHarness()
		assert.DeepEqual(t, h.measureTail(2*testTarget), map[string]int{"heavy": fullSpeedPercent / speedCutDivisor})
	})
	t.Run("of the other runs are cut while the target is still exceeded", func(t *testing.T) {
		h := newThrottlerHarness()
		h.measureTail(2 * testTarget)
		speeds := h.measureTail(2 * testTarget)
		assert.Equal(t, speeds["light"], 0, "its interference is still less than half as much")
		assert.Equal(t, speeds["heavy"], fullSpeedPercent/speedCutDivisor/speedCutDivisor)
		assert.Equal(t, h.measureTail(2 * testTarget)["light"], fullSpeedPercent/speedCutDivisor)
	})
	t.Run("are all zero within 2.5 s whatever the learned interference", func(t *testing.T) {
		h := newThrottlerHarness()
		for range 5 {
			h.measureTail(2 * testTarget)
		}
		for ref := range h.throttler.interference {
			assert.Equal(t, h.throttler.speeds[ref], 0, ref.Task)
		}
	})
	t.Run("rise at once as far as the target allows by the learned interference", func(t *testing.T) {
		h := newThrottlerHarness()
		h.measureTail(2 * testTarget)
		room := math.Log(raiseBelowShare / 0.5)
		step := int(room / 0.8 * fullSpeedPercent)
		assert.DeepEqual(t, h.measureTail(testTarget/2), map[string]int{"heavy": fullSpeedPercent/speedCutDivisor + step})
		assert.DeepEqual(t, h.measureTail(testTarget/4), map[string]int{"heavy": fullSpeedPercent})
	})
	t.Run("rise in small steps while little room is left below the target", func(t *testing.T) {
		h := newThrottlerHarness()
		h.measureTail(2 * testTarget)
		assert.DeepEqual(t, h.measureTail(0.74*testTarget), map[string]int{"heavy": fullSpeedPercent/speedCutDivisor + speedStepPercent})
	})
	t.Run("change no more often than measurements do", func(t *testing.T) {
		h := newThrottlerHarness()
		h.measureTail(2 * testTarget)
		h.now = h.now.Add(-adjustInterval)
		assert.DeepEqual(t, h.measureTail(2*testTarget), map[string]int{})
	})
}
