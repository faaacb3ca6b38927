package drainer

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A domain passes through its states as its runs end, its order is withdrawn and its runners
// get warm; an order in the meantime begins again.
func TestStatesOfDomainThatIsDrainedAndReturns(t *testing.T) {
	now := time.Unix(10_000, 0)
	var log []string
	d := New(Config{
		LogEvent: func(message string, _ ...any) { log = append(log, strings.TrimPrefix(message, "failure domain ")) },
	})
	see := func(runs, cold int) {
		now = now.Add(returnTime)
		d.Observe(now, map[string]Load{
			"east": {
				Runs:    runs,
				Runners: 2,
				Cold:    cold,
			},
		})
	}
	ordered := func(versions ...uint64) {
		var orders []Order
		for _, v := range versions {
			orders = append(orders, Order{
				Domain:  "east",
				Version: v,
			})
		}
		d.SetOrders(now, orders)
	}
	see(3, 0)
	assert.Assert(t, d.Accepts("east"))
	ordered(1)
	assert.Assert(t, !d.Accepts("east"))
	assert.Assert(t, d.Accepts("west"))
	see(3, 0)
	ordered(1)
	see(0, 0)
	assert.Equal(t, d.Snapshot()[0].State, StateDrained)
	// A start that was carried out late.
	see(1, 0)
	ordered()
	assert.Assert(t, d.Accepts("east"))
	see(0, 2)
	ordered(2)
	see(0, 2)
	ordered()
	see(5, 1)
	see(5, 0)
	assert.DeepEqual(t, log, []string{"draining", "drained", "draining", "returning", "draining", "drained", "returning", "active"})
}

// A domain without runners, or one that does not exist, may be ordered drained.
func TestDomainWithoutRunnersIsDrained(t *testing.T) {
	now := time.Unix(10_000, 0)
	d := New(Config{})
	d.SetOrders(now, []Order{{
		Domain:  "nowhere",
		Version: 1,
	}})
	d.Observe(now, nil)
	assert.Equal(t, d.Snapshot()[0].State, StateDrained)
	d.SetOrders(now, nil)
	now = now.Add(returnTime)
	d.Observe(now, nil)
	d.Observe(now, nil)
	assert.Equal(t, len(d.Snapshot()), 0)
}
