package supervisor

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

var errNoAnswer = errors.New("no answer")

func TestRepeatedStart(t *testing.T) {
	one := ref("a.0.0.0")
	repeated := starts(one)
	repeated[0].Repeated = true

	t.Run("is not abandoned before a lease is granted", func(t *testing.T) {
		h := newCoreHarness(t)
		h.answerRenewal(1000, Listing{})
		h.sync(framer.Sync{
			Starts: repeated,
		})
		assert.Assert(t, !h.reportedNeverStarted(one))
	})
	t.Run("is stopped and verified by a listing before it is reported as never started", func(t *testing.T) {
		h := newCoreHarness(t)
		h.answerRenewal(1000, Listing{})
		h.heartbeat("i-1", 5000, true)
		h.sync(framer.Sync{
			Starts:           repeated,
			LeaseUntilMillis: 7000,
		})
		assert.Assert(t, !h.reportedNeverStarted(one))
		call := *h.takeAction(isStop).Stop
		h.core.StopAnswered(h.now, call, Answer{}, nil)
		h.tick()
		assert.Assert(t, !h.reportedNeverStarted(one), "a listing from before the stop does not resolve the start")
		h.answerRenewal(1500, Listing{})
		assert.Assert(t, !h.reportedNeverStarted(one), "the renewal was sent before the stop was confirmed")
		h.answerRenewal(1600, Listing{})
		assert.Assert(t, h.reportedNeverStarted(one))
	})
	t.Run("is reported as started if a listing contains it", func(t *testing.T) {
		h := newCoreHarness(t)
		h.answerRenewal(900, Listing{})
		h.sync(framer.Sync{
			Starts:           repeated,
			LeaseUntilMillis: 7000,
		})
		h.answerRenewal(1000, Listing{
			Running: []framer.RunStatus{{
				RunRef: one,
			}},
		})
		assert.Assert(t, !h.reportedNeverStarted(one))
		assert.DeepEqual(t, h.reports[len(h.reports)-1].Started, []framer.RunRef{one})
	})
}

func TestStartWithoutResponse(t *testing.T) {
	one := ref("a.0.0.0")
	h := newStartingHarness(t, one)
	h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{}, errNoAnswer)
	h.advance(retryBackoff)
	assert.Equal(t, h.countOpen(isStart), 1, "the start is sent again")
	h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{
		Refusal: RefusalLeaseExpired,
	}, nil)
	assert.Assert(t, !h.reportedNeverStarted(one), "the first call may still be carried out")
	assert.Equal(t, h.countOpen(isStop), 1)
}

func TestRefusedStartIsReportedAsNeverStarted(t *testing.T) {
	one := ref("a.0.0.0")
	h := newStartingHarness(t, one)
	h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{
		Refusal: RefusalNoCapacity,
	}, nil)
	assert.Assert(t, h.reportedNeverStarted(one))
}

func TestWithdrawnStartIsNotRetried(t *testing.T) {
	h := newStartingHarness(t, ref("a.0.0.0"))
	call := *h.takeAction(isStart).Start
	h.sync(framer.Sync{
		LeaseUntilMillis: 7500,
	})
	h.core.StartAnswered(h.now, call, Answer{}, errNoAnswer)
	h.advance(retryBackoff)
	assert.Equal(t, h.countOpen(isStart), 0)
}

func TestSyncOfFormerOwnerIsRejected(t *testing.T) {
	h := newCoreHarness(t)
	assert.Assert(t, h.core.SyncReceived(h.now, framer.Sync{
		Epoch: 4,
	}))
	assert.Assert(t, !h.core.SyncReceived(h.now, framer.Sync{
		Epoch:  3,
		Runner: h.key,
		Starts: starts(ref("a.0.0.0")),
	}))
	h.tick()
	assert.Equal(t, h.countOpen(isStart), 0)
}

func TestFinishedRunsAreReportedUntilAcknowledged(t *testing.T) {
	finished := framer.FinishedRun{
		RunRef:   ref("a.0.0.0"),
		Sequence: 1,
		Reason:   framer.FinishDone,
	}
	h := newCoreHarness(t)
	h.answerRenewal(1000, Listing{
		Finished: []framer.FinishedRun{finished},
	})
	h.advance(reportInterval)
	assert.DeepEqual(t, h.reports[len(h.reports)-1].Finished, []framer.FinishedRun{finished})
	h.sync(framer.Sync{
		AckedSequence: 1,
	})
	h.advance(renewBackoff)
	h.answerRenewal(1200, Listing{
		Finished: []framer.FinishedRun{finished},
	})
	h.advance(reportInterval)
	assert.Equal(t, len(h.reports[len(h.reports)-1].Finished), 0)
}

func TestSilentRunnerGetsNoStart(t *testing.T) {
	assertStartsOnceListed := func(t *testing.T, h *coreHarness) {
		t.Helper()
		h.advance(2 * time.Second)
		h.sync(framer.Sync{
			Starts:           starts(ref("a.0.0.0")),
			LeaseUntilMillis: 7000,
		})
		assert.Equal(t, h.countOpen(isStart), 0, "another incarnation may have replaced the runner")
		h.answerRenewal(3000, Listing{})
		h.tick()
		assert.Equal(t, h.countOpen(isStart), 1)
	}
	t.Run("a request for a listing failed", func(t *testing.T) {
		h := newCoreHarness(t)
		h.answerRenewal(1000, Listing{})
		h.core.LeaseRenewed(h.now, *h.takeAction(isRenewal).Renew, Listing{}, errNoAnswer)
		assertStartsOnceListed(t, h)
	})
	t.Run("a request for a listing is open for long", func(t *testing.T) {
		h := newCoreHarness(t)
		h.answerRenewal(1000, Listing{})
		assertStartsOnceListed(t, h)
	})
}

func TestNewRunnerIsReportedAtOnce(t *testing.T) {
	h := newCoreHarness(t)
	probe := *h.takeAction(isProbe).Renew
	assert.Equal(t, probe.Wait, time.Duration(0), "the first listing does not wait")
	h.core.LeaseRenewed(h.now, probe, Listing{
		ClockMillis:     100,
		StartedAtMillis: 5000,
	}, nil)
	h.tick()
	assert.Equal(t, len(h.reports), 1)
	h.advance(reportInterval)
	h.advance(300 * time.Millisecond)
	h.core.Reconnected(h.now)
	h.tick()
	last := h.reports[len(h.reports)-1]
	assert.Assert(t, last.Listed)
	assert.Equal(t, last.ListingAgeMillis, (reportInterval + 300*time.Millisecond).Milliseconds(), "the listing is also reported to an owner that missed the first report")
	t.Run("and again for the next incarnation", func(t *testing.T) {
		h.takeAction(isRenewal)
		reported := len(h.reports)
		h.heartbeat("i-2", 6000, false)
		probe := *h.takeAction(isProbe).Renew
		assert.Equal(t, probe.Wait, time.Duration(0))
		h.core.LeaseRenewed(h.now, probe, Listing{
			ClockMillis:     10,
			StartedAtMillis: 6000,
		}, nil)
		h.tick()
		assert.Equal(t, len(h.reports), reported+1)
		last := h.reports[len(h.reports)-1]
		assert.Equal(t, last.Runner.Key, h.key)
		assert.Equal(t, last.ClockMillis, int64(10), "no listing of the earlier incarnation is reported")
	})
}

// A run that was placed on a runner just before the runner went silent must not
// wait there for the runner's lease: the agent never requested its start.
func TestHeldStartIsAbandoned(t *testing.T) {
	one := ref("a.0.0.0")
	silentRunner := func(t *testing.T, list []framer.RunStart) *coreHarness {
		t.Helper()
		h := newCoreHarness(t)
		h.answerRenewal(1000, Listing{})
		h.advance(listingTTL + time.Millisecond)
		h.sync(framer.Sync{
			Starts:           list,
			LeaseUntilMillis: 11_000,
		})
		return h
	}
	t.Run("a start that was never sent is reported as never started", func(t *testing.T) {
		h := silentRunner(t, starts(one))
		h.advance(maxStartHold)
		assert.Assert(t, h.reportedNeverStarted(one))
		assert.Equal(t, h.countOpen(isStart), 0)
	})
	t.Run("the runner may answer again soon", func(t *testing.T) {
		h := silentRunner(t, starts(one))
		h.advance(maxStartHold / 2)
		h.answerRenewal(3000, Listing{})
		assert.Equal(t, h.countOpen(isStart), 1)
	})
	t.Run("a start that may have been sent is not reported", func(t *testing.T) {
		repeated := starts(one)
		repeated[0].Repeated = true
		h := silentRunner(t, repeated)
		h.advance(5 * time.Second)
		assert.Assert(t, !h.reportedNeverStarted(one))
	})
	t.Run("a start that was abandoned is not sent later", func(t *testing.T) {
		h := silentRunner(t, starts(one))
		h.advance(maxStartHold)
		h.answerRenewal(3000, Listing{})
		assert.Equal(t, h.countOpen(isStart), 0)
	})
}

// A start call that never reached the runner, since the runner is gone, cannot be
// carried out later: nothing has to wait for the lease.
func TestStartThatWasNotSentIsGivenBack(t *testing.T) {
	one := ref("a.0.0.0")
	h := newStartingHarness(t, one)
	for range 60 {
		if h.countOpen(isStart) > 0 {
			h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{}, errors.Wrap(&NotSentError{
				Cause: "connection refused",
			}, "starting a run"))
		}
		h.advance(retryBackoff)
	}
	assert.Assert(t, h.reportedNeverStarted(one))
	assert.Equal(t, len(h.core.recentUnconfirmedStarts(h.now)), 0, "no later incarnation can carry it out")
}

// A runner lists its ends in portions. A run whose end is in a later portion must
// not count as never started, since it would start a second time.
func TestFullListingDoesNotResolveStop(t *testing.T) {
	one := ref("a.0.0.0")
	h := newCoreHarness(t)
	h.answerRenewal(1000, Listing{})
	h.sync(framer.Sync{
		Stops:            []framer.RunRef{one},
		LeaseUntilMillis: 7000,
	})
	h.core.StopAnswered(h.now, *h.takeAction(isStop).Stop, Answer{}, nil)
	h.tick()
	var full Listing
	for i := range maxListedEnds {
		full.Finished = append(full.Finished, framer.FinishedRun{
			RunRef:   ref(fmt.Sprintf("b.0.0.%d", i)),
			Sequence: int64(i + 1),
			Reason:   framer.FinishDone,
		})
	}
	for range 3 {
		h.advance(renewBackoff)
		h.answerRenewal(1500, full)
	}
	assert.Assert(t, !h.reportedNeverStarted(one))
	h.answerRenewal(1600, Listing{})
	assert.Assert(t, h.reportedNeverStarted(one))
}

// A run whose stop the runner refuses must not count as stopping for ever: its task
// would never start again.
func TestRefusedStopIsResolved(t *testing.T) {
	one := ref("a.0.0.0")
	stopping := func(t *testing.T, refused time.Duration) *coreHarness {
		t.Helper()
		h := newStartingHarness(t, one)
		h.core.StartAnswered(h.now, *h.takeAction(isStart).Start, Answer{}, errNoAnswer)
		h.sync(framer.Sync{
			Stops:            []framer.RunRef{one},
			LeaseUntilMillis: 12_000,
		})
		h.refuseStops(refused)
		return h
	}
	t.Run("once no start can arrive any more, by a listing without the run", func(t *testing.T) {
		h := stopping(t, unconfirmedStartTTL+time.Second)
		h.answerRenewal(17_000, Listing{})
		assert.Assert(t, h.reportedNeverStarted(one))
		h.core.StopAnswered(h.now, *h.takeAction(isStop).Stop, Answer{}, nil)
		assert.Equal(t, h.core.commands[one].phase, phaseNeverStarted, "a late answer changes nothing")
	})
	t.Run("not before", func(t *testing.T) {
		h := stopping(t, unconfirmedStartTTL-time.Second)
		h.answerRenewal(15_000, Listing{})
		assert.Assert(t, !h.reportedNeverStarted(one))
	})
	t.Run("not while the run is listed", func(t *testing.T) {
		h := stopping(t, unconfirmedStartTTL+time.Second)
		h.answerRenewal(17_000, Listing{
			Running: []framer.RunStatus{{
				RunRef: one,
			}},
		})
		assert.Assert(t, !h.reportedNeverStarted(one))
	})
}

// A new owner requests all starts again. A run that its draining runner lists must
// not be stopped for that: it may still finish there.
func TestListedRunIsNotStartedAgain(t *testing.T) {
	one := ref("a.0.0.0")
	repeated := starts(one)
	repeated[0].Repeated = true
	for name, draining := range map[string]bool{"on a draining runner": true, "on another": false} {
		t.Run(name, func(t *testing.T) {
			h := newCoreHarness(t)
			h.answerRenewal(1000, Listing{
				Running: []framer.RunStatus{{
					RunRef: one,
				}},
			})
			h.heartbeat("i-1", 5000, draining)
			h.sync(framer.Sync{
				Epoch:            2,
				Starts:           repeated,
				LeaseUntilMillis: 7000,
			})
			h.advance(reportInterval)
			assert.Equal(t, h.countOpen(isStop), 0)
			assert.Equal(t, h.countOpen(isStart), 0)
			assert.DeepEqual(t, h.reports[len(h.reports)-1].Started, []framer.RunRef{one})
		})
	}
}
