package holder

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

var errSilent = errors.New("no answer")

// bed drives a core like an agent does, with a runner that tests script.
type bed struct {
	t    *testing.T
	core *Core
	now  time.Time
	key  framer.RunnerKey
	// open are the actions that were not answered yet.
	open []Action
	// reports are all reports so far.
	reports []framer.Report
}

func newBed(t *testing.T) *bed {
	t.Helper()
	b := &bed{
		t:    t,
		core: NewCore(),
		now:  time.Unix(1000, 0),
	}
	b.beat("i-1", 5000, false)
	return b
}

func (b *bed) beat(id string, born int64, draining bool) {
	b.key = framer.RunnerKey{
		ID:              id,
		StartedAtMillis: born,
	}
	info := framer.RunnerInfo{
		Key:             b.key,
		Service:         "polls",
		ProcessorMillis: 32000,
		Draining:        draining,
	}
	b.core.Heartbeat(b.now, Heartbeat{
		Info:     info,
		Sequence: b.core.sequence + 1,
	})
	b.tick()
}

// tick collects what the core wants done.
func (b *bed) tick() {
	actions, _ := b.core.Tick(b.now)
	for _, a := range actions {
		if a.Report != nil {
			b.reports = append(b.reports, *a.Report)
			continue
		}
		b.open = append(b.open, a)
	}
}

func (b *bed) pass(d time.Duration) {
	b.now = b.now.Add(d)
	b.tick()
}

func (b *bed) sync(s framer.Sync) {
	s.Runner = b.key
	if s.Epoch == 0 {
		s.Epoch = 1
	}
	b.core.Synced(b.now, s)
	b.tick()
}

// take removes and returns the first open action that match accepts.
func (b *bed) take(match func(Action) bool) Action {
	b.t.Helper()
	for i, a := range b.open {
		if match(a) {
			b.open = append(b.open[:i], b.open[i+1:]...)
			return a
		}
	}
	b.t.Fatalf("no such action among %d", len(b.open))
	return Action{}
}

func isHold(a Action) bool  { return a.Hold != nil }
func isStart(a Action) bool { return a.Start != nil }
func isStop(a Action) bool  { return a.Stop != nil }

// listed answers the open hold with a listing.
func (b *bed) listed(clock int64, l Listing) {
	b.t.Helper()
	call := *b.take(isHold).Hold
	l.ClockMillis = clock
	l.StartedAtMillis = b.key.StartedAtMillis
	b.core.LeaseRenewed(b.now, call, l, nil)
	b.tick()
}

func (b *bed) count(match func(Action) bool) int {
	n := 0
	for _, a := range b.open {
		if match(a) {
			n++
		}
	}
	return n
}

// saidNever tells whether a report said that a run never started.
func (b *bed) saidNever(ref framer.RunRef) bool {
	b.pass(reportInterval)
	for _, r := range b.reports {
		for _, e := range r.Finished {
			if e.RunRef == ref && e.Reason == framer.FinishNeverStarted {
				return true
			}
		}
	}
	return false
}

// ref is a task's first run.
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

func TestStartThatAnEarlierAgentMayHaveMade(t *testing.T) {
	one := ref("a.0.0.0")
	repeated := starts(one)
	repeated[0].Repeated = true

	t.Run("is not given up while there is no lease yet", func(t *testing.T) {
		b := newBed(t)
		b.sync(framer.Sync{
			Starts: repeated,
		})
		assert.Assert(t, !b.saidNever(one))
	})
	t.Run("is stopped and looked for before it is given up", func(t *testing.T) {
		b := newBed(t)
		b.listed(1000, Listing{})
		b.beat("i-1", 5000, true)
		b.sync(framer.Sync{
			Starts:           repeated,
			LeaseUntilMillis: 7000,
		})
		assert.Assert(t, !b.saidNever(one))
		call := *b.take(isStop).Stop
		b.core.StopAnswered(b.now, call, Answer{}, nil)
		b.tick()
		assert.Assert(t, !b.saidNever(one), "a listing from before the stop proves nothing")
		b.listed(1500, Listing{})
		assert.Assert(t, !b.saidNever(one), "the hold was sent before the stop was answered")
		b.listed(1600, Listing{})
		assert.Assert(t, b.saidNever(one))
	})
	t.Run("is found running", func(t *testing.T) {
		b := newBed(t)
		b.sync(framer.Sync{
			Starts:           repeated,
			LeaseUntilMillis: 7000,
		})
		b.listed(1000, Listing{
			Running: []framer.RunStatus{{
				RunRef: one,
			}},
		})
		assert.Assert(t, !b.saidNever(one))
		assert.DeepEqual(t, b.reports[len(b.reports)-1].Started, []framer.RunRef{one})
	})
}

func TestStartWithoutAnswer(t *testing.T) {
	one := ref("a.0.0.0")
	b := newBed(t)
	b.listed(1000, Listing{})
	b.sync(framer.Sync{
		Starts:           starts(one),
		LeaseUntilMillis: 7000,
	})
	b.core.StartAnswered(b.now, *b.take(isStart).Start, Answer{}, errSilent)
	b.pass(retryPause)
	assert.Equal(t, b.count(isStart), 1, "it is sent again")
	b.core.StartAnswered(b.now, *b.take(isStart).Start, Answer{
		Refusal: RefusalLeaseExpired,
	}, nil)
	assert.Assert(t, !b.saidNever(one), "the first copy may still be carried out")
	assert.Equal(t, b.count(isStop), 1)
}

func TestStartRefusedAtOnce(t *testing.T) {
	one := ref("a.0.0.0")
	b := newBed(t)
	b.listed(1000, Listing{})
	b.sync(framer.Sync{
		Starts:           starts(one),
		LeaseUntilMillis: 7000,
	})
	b.core.StartAnswered(b.now, *b.take(isStart).Start, Answer{
		Refusal: RefusalNoCapacity,
	}, nil)
	assert.Assert(t, b.saidNever(one))
}

func TestStartThatIsNotWantedAnyMoreIsNotRepeated(t *testing.T) {
	b := newBed(t)
	b.listed(1000, Listing{})
	b.sync(framer.Sync{
		Starts:           starts(ref("a.0.0.0")),
		LeaseUntilMillis: 7000,
	})
	call := *b.take(isStart).Start
	b.sync(framer.Sync{
		LeaseUntilMillis: 7500,
	})
	b.core.StartAnswered(b.now, call, Answer{}, errSilent)
	b.pass(retryPause)
	assert.Equal(t, b.count(isStart), 0)
}

func TestFormerOwnerIsRefused(t *testing.T) {
	b := newBed(t)
	assert.Assert(t, b.core.Synced(b.now, framer.Sync{
		Epoch: 4,
	}))
	assert.Assert(t, !b.core.Synced(b.now, framer.Sync{
		Epoch:  3,
		Runner: b.key,
		Starts: starts(ref("a.0.0.0")),
	}))
	b.tick()
	assert.Equal(t, b.count(isStart), 0)
}

func TestNewLifeOfTheRunner(t *testing.T) {
	one := ref("a.0.0.0")
	b := newBed(t)
	b.listed(90_000, Listing{
		Running: []framer.RunStatus{{
			RunRef: one,
		}},
	})
	old := *b.take(isHold).Hold
	b.beat("i-1", 6000, false)
	t.Run("an answer of the old life is passed over", func(t *testing.T) {
		b.core.LeaseRenewed(b.now, old, Listing{
			ClockMillis:     91_000,
			StartedAtMillis: 5000,
		}, nil)
		assert.Equal(t, b.core.clockMillis, int64(0))
	})
	t.Run("a late beat of the old life changes nothing", func(t *testing.T) {
		late := Heartbeat{
			Sequence: 900,
		}
		late.Info.Key = framer.RunnerKey{
			ID:              "i-1",
			StartedAtMillis: 5000,
		}
		assert.Assert(t, !b.core.Heartbeat(b.now, late))
	})
	t.Run("nothing is said to run", func(t *testing.T) {
		b.pass(reportInterval)
		assert.Equal(t, len(b.reports[len(b.reports)-1].Running), 0)
	})
}

func TestEndsAreReportedUntilTheyAreOnRecord(t *testing.T) {
	end := framer.FinishedRun{
		RunRef:   ref("a.0.0.0"),
		Sequence: 1,
		Reason:   framer.FinishDone,
	}
	b := newBed(t)
	b.listed(1000, Listing{
		Finished: []framer.FinishedRun{end},
	})
	b.pass(reportInterval)
	assert.DeepEqual(t, b.reports[len(b.reports)-1].Finished, []framer.FinishedRun{end})
	b.sync(framer.Sync{
		AckedSequence: 1,
	})
	b.pass(holdPause)
	b.listed(1200, Listing{
		Finished: []framer.FinishedRun{end},
	})
	b.pass(reportInterval)
	assert.Equal(t, len(b.reports[len(b.reports)-1].Finished), 0)
}

func TestRunnerThatIsSilentIsToldToStartNothing(t *testing.T) {
	b := newBed(t)
	b.listed(1000, Listing{})
	b.core.LeaseRenewed(b.now, *b.take(isHold).Hold, Listing{}, errSilent)
	b.pass(2 * time.Second)
	b.sync(framer.Sync{
		Starts:           starts(ref("a.0.0.0")),
		LeaseUntilMillis: 7000,
	})
	assert.Equal(t, b.count(isStart), 0, "another life may have taken its place")
	b.listed(3000, Listing{})
	b.tick()
	assert.Equal(t, b.count(isStart), 1)
}

func TestOwnerHearsOfARunnerAtOnce(t *testing.T) {
	b := newBed(t)
	assert.Equal(t, b.take(isHold).Hold.Wait, time.Duration(0), "the first listing waits for nothing")
	b.open = append(b.open, Action{
		Hold: &RenewCall{
			Order: b.core.order(),
		},
	})
	b.listed(100, Listing{})
	b.pass(reportInterval)
	b.pass(300 * time.Millisecond)
	b.core.Reconnected(b.now)
	b.tick()
	last := b.reports[len(b.reports)-1]
	assert.Assert(t, last.Listed)
	assert.Equal(t, last.ListingAgeMillis, (reportInterval + 300*time.Millisecond).Milliseconds(), "also for an owner that missed the report of it")
	t.Run("and once more in its next life", func(t *testing.T) {
		b.take(isHold)
		b.beat("i-2", 6000, false)
		b.core.LeaseRenewed(b.now, RenewCall{}, Listing{}, nil)
		b.tick()
		assert.Assert(t, !b.reports[len(b.reports)-1].Listed)
		assert.Equal(t, b.take(isHold).Hold.Wait, time.Duration(0))
	})
}
