package supervisor

import (
	"testing"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// coreHarness drives a core as an agent does. The tests script the responses of
// the runner.
type coreHarness struct {
	t    *testing.T
	core *Core
	now  time.Time
	key  framer.RunnerKey
	// open lists the actions without a response so far.
	open []Action
	// reports lists all reports so far.
	reports []framer.Report
}

func newCoreHarness(t *testing.T) *coreHarness {
	t.Helper()
	h := &coreHarness{
		t:    t,
		core: NewCore(),
		now:  time.Unix(1000, 0),
	}
	h.heartbeat("i-1", 5000, false)
	return h
}

func (h *coreHarness) heartbeat(id string, startedAt int64, draining bool) {
	h.key = framer.RunnerKey{
		ID:              id,
		StartedAtMillis: startedAt,
	}
	info := framer.RunnerInfo{
		Key:             h.key,
		Service:         "polls",
		ProcessorMillis: 32000,
		Draining:        draining,
	}
	h.core.Heartbeat(h.now, Heartbeat{
		Info:     info,
		Sequence: h.core.heartbeatSequence + 1,
	})
	h.tick()
}

// restart lets a later incarnation of the runner send its first heartbeat and answer the probe that
// follows, by a clock of 10 ms.
func (h *coreHarness) restart(startedAt int64) {
	h.t.Helper()
	h.heartbeat("i-1", startedAt, false)
	h.answerProbe(Listing{
		ClockMillis:     10,
		StartedAtMillis: startedAt,
	}, nil)
}

// answerProbe answers the open probe of a claimed incarnation.
func (h *coreHarness) answerProbe(l Listing, err error) {
	h.t.Helper()
	h.core.LeaseRenewed(h.now, *h.takeAction(isProbe).Renew, l, err)
	h.tick()
}

// tick collects the actions that the core returns.
func (h *coreHarness) tick() {
	actions, _ := h.core.Tick(h.now)
	for _, a := range actions {
		if a.Report != nil {
			h.reports = append(h.reports, *a.Report)
			continue
		}
		h.open = append(h.open, a)
	}
}

func (h *coreHarness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.tick()
}

func (h *coreHarness) sync(s framer.Sync) {
	s.Runner = h.key
	if s.Epoch == 0 {
		s.Epoch = 1
	}
	h.core.SyncReceived(h.now, s)
	h.tick()
}

// takeAction removes and returns the first open action that match accepts.
func (h *coreHarness) takeAction(match func(Action) bool) Action {
	h.t.Helper()
	for i, a := range h.open {
		if match(a) {
			h.open = append(h.open[:i], h.open[i+1:]...)
			return a
		}
	}
	h.t.Fatalf("no such action among %d", len(h.open))
	return Action{}
}

func isRenewal(a Action) bool { return a.Renew != nil }
func isProbe(a Action) bool   { return a.Renew != nil && a.Renew.Purpose == PurposeProbe }
func isStart(a Action) bool   { return a.Start != nil }
func isStop(a Action) bool    { return a.Stop != nil }

// answerRenewal answers the open lease renewal with a listing.
func (h *coreHarness) answerRenewal(clock int64, l Listing) {
	h.t.Helper()
	call := *h.takeAction(isRenewal).Renew
	l.ClockMillis = clock
	l.StartedAtMillis = h.key.StartedAtMillis
	h.core.LeaseRenewed(h.now, call, l, nil)
	h.tick()
}

func (h *coreHarness) countOpen(match func(Action) bool) int {
	n := 0
	for _, a := range h.open {
		if match(a) {
			n++
		}
	}
	return n
}

// reportedNeverStarted reports whether a report lists the run as never started.
func (h *coreHarness) reportedNeverStarted(ref framer.RunRef) bool {
	h.advance(reportInterval)
	for _, r := range h.reports {
		for _, e := range r.Finished {
			if e.RunRef == ref && e.Reason == framer.FinishNeverStarted {
				return true
			}
		}
	}
	return false
}

// ref returns a reference to the first run of a task.
func ref(task string) framer.RunRef {
	return framer.RunRef{
		Task: task,
		Run:  1,
	}
}

func starts(refs ...framer.RunRef) []framer.RunStart {
	var list []framer.RunStart
	for _, r := range refs {
		list = append(list, framer.RunStart{
			RunRef: r,
		})
	}
	return list
}

// newStartingHarness returns the harness of a core that is requested to start runs.
func newStartingHarness(t *testing.T, refs ...framer.RunRef) *coreHarness {
	t.Helper()
	h := newCoreHarness(t)
	h.answerRenewal(1000, Listing{})
	h.sync(framer.Sync{
		Starts:           starts(refs...),
		LeaseUntilMillis: 7000,
	})
	return h
}

// refuseStops refuses all stops for a time.
func (h *coreHarness) refuseStops(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.advance(retryBackoff) {
		for h.countOpen(isStop) > 0 {
			h.core.StopAnswered(h.now, *h.takeAction(isStop).Stop, Answer{
				Refusal: RefusalUnhealthy,
			}, nil)
		}
	}
}
