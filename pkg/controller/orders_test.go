package controller

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/drainer"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// decodeTestOrder decodes rows named drain/DOMAIN.
func decodeTestOrder(row storer.PartitionedRow) (drainer.Order, bool) {
	domain, ok := strings.CutPrefix(row.Key.Name, "drain/")
	return drainer.Order{
		Domain:  domain,
		Version: row.Version,
	}, ok
}

func orderRow(name string, version uint64) storer.PartitionedRow {
	row := storer.PartitionedRow{
		Version: version,
		Value:   []byte("{}"),
	}
	row.Key.Name = name
	return row
}

// domainsOf returns the domains that are ordered drained, as the cell knows them.
func domainsOf(e *Entry) string {
	var names []string
	for _, d := range e.owner.cell.Domains() {
		if d.State == drainer.StateDraining || d.State == drainer.StateDrained {
			names = append(names, d.Name)
		}
	}
	return strings.Join(names, " ")
}

// The owner is lost right after the order: the next one knows the order from its own watch,
// whether it read it before it acquired the cell or after.
func TestNextOwnerKnowsTheOrders(t *testing.T) {
	h := newOwnerHarness(t)
	h.entry.deps.DecodeOrder = decodeTestOrder
	h.loseCell()
	h.entry.ordersChanged(h.now, []storer.PartitionedRow{orderRow("drain/east", 7), orderRow("config", 8)}, false)
	h.acquireCell()
	h.entry.cellLoaded(h.now, cellRows{
		epoch: h.entry.owner.lease.Epoch(),
	}, nil)
	assert.Equal(t, domainsOf(h.entry), "east")
	h.entry.ordersChanged(h.now, []storer.PartitionedRow{orderRow("drain/west", 9)}, false)
	assert.Equal(t, domainsOf(h.entry), "east west")
	gone := orderRow("drain/east", 10)
	gone.Deleted = true
	h.entry.ordersChanged(h.now, []storer.PartitionedRow{gone}, false)
	assert.Equal(t, domainsOf(h.entry), "west")
	h.entry.updateMetrics()
	assert.Equal(t, h.entry.Metrics().Domains[0].State, drainer.StateReturning)
}

// The store drops its history while an order is deleted and another one is written: the
// reread drops the one and takes the other, and the next watch continues from there.
func TestOrdersAfterLostHistory(t *testing.T) {
	h := newOwnerHarness(t)
	h.entry.deps.DecodeOrder = decodeTestOrder
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	scans := [][]storer.PartitionedRow{
		{orderRow("drain/east", 3), orderRow("drain/north", 4)},
		{orderRow("drain/west", 9), orderRow("drain/north", 4)},
	}
	watches := 0
	now := time.Unix(10_000, 0)
	var readAt []time.Time
	w := &tableWatcher{
		log:        hclog.NewNullLogger(),
		now:        func() time.Time { return now },
		timeout:    orderWatchTimeout,
		partitions: []string{""},
		delay:      func() time.Duration { return 0 },
		store: storer.RowStore{
			Scan: func(context.Context, string, string, string) (storer.Page, error) {
				if len(scans) == 0 {
					cancel()
					return storer.Page{}, errors.New("no more")
				}
				page := storer.Page{
					Version: 10,
					Rows:    scans[0],
				}
				scans = scans[1:]
				return page, nil
			},
			Watch: func(_ context.Context, _ string, _ uint64, wait time.Duration) (storer.Page, error) {
				watches++
				now = now.Add(wait)
				if watches%2 == 1 {
					return storer.Page{}, nil
				}
				return storer.Page{}, &storer.CompactedError{}
			},
		},
		apply: func(rows []storer.PartitionedRow, whole bool) {
			h.entry.ordersChanged(h.now, rows, whole)
		},
		readAsOf:  func(at time.Time) { readAt = append(readAt, at) },
		onContact: func(bool) {},
	}
	w.run(ctx)
	assert.Equal(t, domainsOf(h.entry), "north west")
	first := time.Unix(10_000, 0)
	assert.DeepEqual(t, readAt[:3], []time.Time{first, first.Add(orderWatchTimeout), first.Add(2 * orderWatchTimeout)})
}

// What a reply shows of the time after the request: a watch that was delayed until its timeout
// shows that nothing changed until then, and one with rows only what was there when it was sent.
func TestReadingOfOrdersIsAsOldAsItIs(t *testing.T) {
	at := time.Unix(10_000, 0)
	const timeout = time.Second
	assert.Equal(t, watchedUntil(at, at.Add(3*timeout), timeout, false), at.Add(timeout))
	assert.Equal(t, watchedUntil(at, at.Add(3*timeout), timeout, true), at)
	assert.Equal(t, watchedUntil(at, at.Add(timeout/2), timeout, false), at)
}
