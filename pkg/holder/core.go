package holder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// holdWait is how long a runner may keep a call while nothing ends there,
	// and idleHoldWait the same when nothing runs.
	holdWait     = 500 * time.Millisecond
	idleHoldWait = time.Second
	// holdPause separates calls while an end waits for the owner's word.
	holdPause = 100 * time.Millisecond
	// retryPause is the wait before a call without an answer is made again.
	retryPause = 50 * time.Millisecond
	// reportInterval is the longest time between two reports.
	reportInterval = 500 * time.Millisecond
	// reportPause gathers news that come close together.
	reportPause = 3 * time.Millisecond
	// doubtFor is how long an order without an answer may still be carried
	// out.
	doubtFor = 15 * time.Second
	// verifiedFor is how long a listing shows which life of the runner is
	// there.
	verifiedFor = 1500 * time.Millisecond
	// maxCalls bounds the orders that are on their way to the runner at once.
	maxCalls = 16
)

// Action is one outward act; exactly one field is set.
type Action struct {
	Hold   *RenewCall
	Start  *StartCall
	Stop   *StopCall
	Pace   *SetSpeedCall
	Report *framer.Report
}

// RenewCall asks for a renewal and a listing; answer with LeaseRenewed.
type RenewCall struct {
	Order    CallHeader
	EndsSeen int64
	Wait     time.Duration
}

// StartCall asks for the start of a run; answer with StartAnswered.
type StartCall struct {
	Order CallHeader
	Start framer.RunStart
}

// StopCall asks for the stop of a run; answer with StopAnswered.
type StopCall struct {
	Order CallHeader
	Ref   framer.RunRef
}

// SetSpeedCall sets the pace of a run.
type SetSpeedCall struct {
	Order   CallHeader
	Ref     framer.RunRef
	Percent int
}

// Core decides for one agent. It belongs to one goroutine and does no I/O.
type Core struct {
	runner   framer.RunnerInfo
	known    bool
	sequence int64
	// clockMillis is the runner's clock as last read.
	clockMillis int64
	// listedAt is when this life of the runner last listed its runs.
	listedAt time.Time

	epoch            uint64
	leaseUntilMillis int64
	endsSeen         int64
	// endsTold is the number that the runner is known to have been told.
	endsTold int64
	orders   map[framer.RunRef]*order
	// doubtful holds the starts that had no answer, and when that was: they
	// may be carried out later, even by a later life of the runner.
	doubtful map[framer.RunRef]time.Time
	calls    int
	running  []framer.RunStatus
	ended    []framer.FinishedRun
	pacer    *pacer

	holding    bool
	holds      uint64
	nextHold   time.Time
	nextReport time.Time
	actions    []Action

	// Counts are totals since the start.
	Counts Counts
}

// Counts are totals of an agent.
type Counts struct {
	Starts             int64 `json:"starts"`
	Refusals           int64 `json:"refusals"`
	Unanswered         int64 `json:"unanswered"`
	Stops              int64 `json:"stops"`
	LeaseRenewals      int64 `json:"holds"`
	SpeedChanges       int64 `json:"paces"`
	RunnerIncarnations int64 `json:"runner-lives"`
}

// NewCore returns the core of an agent that knows no runner yet.
func NewCore() *Core {
	return &Core{
		orders:   map[framer.RunRef]*order{},
		doubtful: map[framer.RunRef]time.Time{},
		pacer:    newPacer(),
	}
}

// Runner returns what the runner last said of itself.
func (c *Core) Runner() (framer.RunnerInfo, bool) {
	return c.runner, c.known
}

// Epoch returns the highest epoch heard of.
func (c *Core) Epoch() uint64 {
	return c.epoch
}

// Heartbeat takes what the runner says of itself. It tells whether the beat counts:
// one of an earlier life, or one that was overtaken, changes nothing.
func (c *Core) Heartbeat(now time.Time, b Heartbeat) bool {
	key := b.Info.Key
	if c.known && key.StartedAtMillis < c.runner.Key.StartedAtMillis {
		return false
	}
	sameLife := c.known && key == c.runner.Key
	if sameLife && b.Sequence <= c.sequence {
		return false
	}
	if !sameLife {
		c.newLife(now, key.ID == c.runner.Key.ID)
	}
	changed := !sameLife || b.Info.Draining != c.runner.Draining
	c.known = true
	c.runner = b.Info
	c.sequence = b.Sequence
	if changed {
		c.nextReport = now
	}
	return true
}

// Left notes that the runner said goodbye.
func (c *Core) Left(now time.Time, id string) {
	if c.known && c.runner.Key.ID == id {
		c.runner.Left = true
		c.runner.Draining = true
		c.nextReport = now
	}
}

// newLife forgets what was true of an earlier life of the runner. Starts that
// had no answer may reach a life under the same id, so they are stopped there
// before anything is reported of it.
func (c *Core) newLife(now time.Time, sameID bool) {
	fences := c.doubts(now)
	if !sameID {
		fences = nil
	}
	c.Counts.RunnerIncarnations++
	c.clockMillis = 0
	c.listedAt = time.Time{}
	c.endsSeen = 0
	c.endsTold = 0
	c.leaseUntilMillis = 0
	c.running = nil
	c.ended = nil
	c.orders = map[framer.RunRef]*order{}
	c.pacer = newPacer()
	c.nextHold = time.Time{}
	for _, ref := range fences {
		c.orders[ref] = &order{
			start: framer.RunStart{
				RunRef: ref,
			},
			phase: phaseStopping,
			fence: true,
		}
	}
}

// Synced takes the owner's word. It tells whether the sender is the newest
// owner heard of.
func (c *Core) Synced(now time.Time, s framer.Sync) bool {
	if s.Epoch < c.epoch {
		return false
	}
	if s.Epoch > c.epoch {
		c.epoch = s.Epoch
		c.nextHold = now
		c.nextReport = now
	}
	if !c.known || s.Runner != c.runner.Key {
		return true
	}
	c.leaseUntilMillis = max(c.leaseUntilMillis, s.LeaseUntilMillis)
	if s.AckedSequence > c.endsSeen {
		c.endsSeen = s.AckedSequence
		c.nextHold = now
	}
	c.takeOrders(now, s)
	c.pacer.share(s.Sharing)
	return true
}

// Tick returns what is to be done now, and how long it may wait for the next.
func (c *Core) Tick(now time.Time) ([]Action, time.Duration) {
	c.sendOrders(now)
	c.hold(now)
	c.pace(now)
	if c.known && !now.Before(c.nextReport) && !c.fencing() {
		c.report(now)
	}
	actions := c.actions
	c.actions = nil
	return actions, c.wake(now)
}

// wake is how long the core may be left alone.
func (c *Core) wake(now time.Time) time.Duration {
	next := c.nextReport
	if !c.holding && c.nextHold.Before(next) {
		next = c.nextHold
	}
	for _, o := range c.orders {
		open := o.phase == phaseStopping || o.phase == phaseStarting && c.leaseUntilMillis > c.clockMillis
		if open && !o.calling && o.retryAt.Before(next) {
			next = o.retryAt
		}
	}
	return min(reportInterval, max(minimumWake, next.Sub(now)))
}

// minimumWake keeps the control goroutine from spinning.
const minimumWake = 2 * time.Millisecond

func (c *Core) order() CallHeader {
	return CallHeader{
		Runner:           c.runner.Key,
		Epoch:            c.epoch,
		LeaseUntilMillis: c.leaseUntilMillis,
	}
}

func (c *Core) pace(now time.Time) {
	for _, p := range c.pacer.decide(now, c.running) {
		c.Counts.SpeedChanges++
		c.actions = append(c.actions, Action{
			Pace: &SetSpeedCall{
				Order:   c.order(),
				Ref:     p.ref,
				Percent: p.percent,
			},
		})
	}
}

// reportSoon asks for a report that also tells what follows closely.
func (c *Core) reportSoon(now time.Time) {
	if soon := now.Add(reportPause); soon.Before(c.nextReport) {
		c.nextReport = soon
	}
}

// report tells the owner all that it may not know yet.
func (c *Core) report(now time.Time) {
	c.nextReport = now.Add(reportInterval)
	r := &framer.Report{
		Epoch:       c.epoch,
		Runner:      c.runner,
		ClockMillis: c.clockMillis,
		Listed:      !c.listedAt.IsZero(),
		Running:     slices.Clone(c.running),
		Finished:    slices.Clone(c.ended),
	}
	if r.Listed {
		r.ListingAgeMillis = now.Sub(c.listedAt).Milliseconds()
	}
	for _, ref := range slices.SortedFunc(maps.Keys(c.orders), compareRefs) {
		switch c.orders[ref].phase {
		case phaseStarted:
			r.Started = append(r.Started, ref)
		case phaseNever:
			r.Finished = append(r.Finished, framer.FinishedRun{
				RunRef: ref,
				Reason: framer.FinishNeverStarted,
			})
		default:
		}
	}
	c.actions = append(c.actions, Action{
		Report: r,
	})
}

func compareRefs(a, b framer.RunRef) int {
	return cmp.Or(
		cmp.Compare(a.Task, b.Task),
		cmp.Compare(a.Run, b.Run),
	)
}

// Reconnected notes that a new link to the owner is up, which has not heard
// the last report.
func (c *Core) Reconnected(now time.Time) {
	c.nextReport = now
}
