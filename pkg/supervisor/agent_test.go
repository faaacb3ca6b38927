package supervisor

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/clocker"
	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/connector"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// A sync that was sent before an owner opened its link again must not bring back a
// start that the agent has given back: the task may run elsewhere by now.
func TestSyncOfEarlierLinkIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	key := framer.RunnerKey{
		ID:              "i-1",
		StartedAtMillis: 5000,
	}
	newAgent := func() *Agent {
		a := NewAgent(configurer.Fleet{}, Dependencies{
			Log:   hclog.NewNullLogger(),
			Clock: clocker.New(),
		})
		a.core.Heartbeat(now, Heartbeat{
			Info: framer.RunnerInfo{
				Key: key,
			},
			Sequence: 1,
		})
		a.core.LeaseRenewed(now, RenewCall{
			Header: CallHeader{
				Runner: key,
			},
			Purpose: PurposeProbe,
		}, Listing{
			StartedAtMillis: key.StartedAtMillis,
		}, nil)
		return a
	}
	sync := func(epoch uint64, refs ...framer.RunRef) framer.Sync {
		return framer.Sync{
			Epoch:  epoch,
			Runner: key,
			Starts: starts(refs...),
		}
	}
	earlier, later := &connector.Link{}, &connector.Link{}
	one := ref("a.0.0.0")
	t.Run("of the same owner", func(t *testing.T) {
		a := newAgent()
		a.syncReceived(now, earlier, 1, sync(7, one))
		a.syncReceived(now, later, 2, sync(7))
		a.syncReceived(now, earlier, 1, sync(7, one))
		assert.Equal(t, len(a.core.commands), 0)
		assert.Assert(t, a.owner == later)
	})
	t.Run("of the same owner, once its later link has ended as well", func(t *testing.T) {
		a := newAgent()
		a.syncReceived(now, earlier, 1, sync(7, one))
		a.syncReceived(now, later, 2, sync(7))
		a.linkEnded(later)
		a.syncReceived(now, earlier, 1, sync(7, one))
		assert.Equal(t, len(a.core.commands), 0)
		assert.Assert(t, a.owner == nil)
	})
	t.Run("but not if it is of a newer owner", func(t *testing.T) {
		a := newAgent()
		a.syncReceived(now, later, 2, sync(7))
		a.syncReceived(now, earlier, 1, sync(8, one))
		assert.Equal(t, len(a.core.commands), 1)
		assert.Assert(t, a.owner == earlier)
	})
}
