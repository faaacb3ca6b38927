package overseer

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// acquiringCore returns a core that has acquired its cell and reads the tasks, and
// its scan.
func acquiringCore(t *testing.T) (*Core, ScanRows) {
	t.Helper()
	c := NewCore(Config{
		Self:           "owner",
		Cell:           "cell-1",
		Workers:        []string{"worker-000"},
		Assert:         asserter.New(func(name string, _ ...any) { t.Fatalf("invariant %s broken", name) }),
		CommitInterval: DefaultCommitInterval,
		Retention:      DefaultRetention,
	})
	c.Tick(start)
	actions := c.RowRead(start, storer.Row{}, nil)
	assert.Equal(t, len(actions), 1)
	actions = c.Written(start, actions[0].Write.Transaction.ID, nil)
	assert.Equal(t, len(actions), 1)
	return c, *actions[0].Scan
}

// Guards against a new owner that scans the tasks without a pause while the table
// refuses the scan at once.
func TestRefusedScanIsRepeatedAfterPause(t *testing.T) {
	c, scan := acquiringCore(t)
	assert.Equal(t, len(c.Scanned(start, scan, nil, errors.New("too many calls"))), 0)
	assert.Equal(t, countScans(c.Tick(start.Add(resendInterval-time.Millisecond))), 0)
	assert.Equal(t, countScans(c.Tick(start.Add(resendInterval))), 1)
	assert.Equal(t, countScans(c.Tick(start.Add(2*resendInterval))), 0, "a scan is in flight")
	c.Scanned(start.Add(2*resendInterval), scan, nil, nil)
	assert.Assert(t, c.Cell() != nil)
}

func countScans(actions []Action) int {
	n := 0
	for _, action := range actions {
		if action.Scan != nil {
			n++
		}
	}
	return n
}
