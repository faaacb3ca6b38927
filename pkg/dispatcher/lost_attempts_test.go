package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// A request that ends each endpoint that runs it must not be retried at one endpoint
// after another until its deadline.
func TestRequestThatEndsItsEndpointsIsGivenUp(t *testing.T) {
	const endpoints = 8
	d := testDispatcher(t)
	for i := range endpoints {
		connectEndpoint(d, fmt.Sprintf("e%d", i), 1)
	}
	r := testRequest(1)
	r.Deadline = start.Add(20 * time.Second)
	actions := d.Submit(start, r)
	now, ended := start, 0
	for d.HasRequest(r.ID) {
		for range sentStarts(actions) {
			ended++
			assert.Assert(t, ended <= maxLostAttempts, "%d endpoints ended under the request", ended)
			address := d.requests[r.ID].address
			d.Disconnect(now, address)
			actions = d.Connect(now, "reader", address, "catania", 2)
		}
		if d.HasRequest(r.ID) {
			now = now.Add(10 * time.Millisecond)
			actions = d.Tick(now)
		}
	}
	o := outcome(t, actions)
	assert.Equal(t, o.Kind, Unknown)
	assert.Equal(t, o.Reason, framer.ReasonEndpointReplaced)
	assert.Equal(t, ended, maxLostAttempts)
}
