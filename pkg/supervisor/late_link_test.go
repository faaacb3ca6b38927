package supervisor

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/connector"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Frames of a link that the owner has given up may arrive after it opened another
// one. Reports that are sent over the former link reach nobody, and the owner sends
// no sync to an agent that does not report.
func TestLateSyncOfFormerLinkDoesNotTakeReports(t *testing.T) {
	a := &Agent{
		log:  hclog.NewNullLogger(),
		core: NewCore(),
	}
	former, latest := &connector.Link{}, &connector.Link{}
	now := time.Unix(1000, 0)
	numbers := map[*connector.Link]uint64{
		former: 1,
		latest: 2,
	}
	for _, l := range []*connector.Link{former, latest, former} {
		a.syncReceived(now, l, numbers[l], framer.Sync{
			Epoch: 1,
		})
	}
	assert.Assert(t, a.owner == latest)
}
