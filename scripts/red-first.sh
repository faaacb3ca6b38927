#!/usr/bin/env bash
# Checks that the failure tests fail without the code that they cover. Each guard
# line removes that code from a scratch copy and requires that its test fails.
# Usage: scripts/red-first.sh [NAME]
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
survived=0

# guard NAME FILE SED-EXPRESSION PACKAGE TEST
guard() {
  local name=$1 file=$2 expression=$3 package=$4 test=$5
  [ -z "${only:-}" ] || [ "$only" = "$name" ] || return 0
  rm -rf "$scratch/tree"
  mkdir -p "$scratch/tree"
  cp -r go.mod go.sum main.go pkg platform "$scratch/tree"
  sed -i -E "$expression" "$scratch/tree/$file"
  if cmp -s "$file" "$scratch/tree/$file"; then
    echo "stale     $name: the expression changes nothing in $file"
    survived=1
    return 0
  fi
  if (cd "$scratch/tree" && go test -timeout 120s -count=1 -run "$test" "./$package" >"$scratch/log" 2>&1); then
    echo "survived  $name: $test passes without it"
    survived=1
  elif grep -q 'build failed' "$scratch/log"; then
    echo "broken    $name: the copy does not build"
    survived=1
  else
    echo "red       $name: $(grep -m1 -oE 'invariant [a-z-]+|assertion failed: .*' "$scratch/log" | head -c 100)"
  fi
}

only=${1:-}
simulation=pkg/experimenter
random='TestRandomFaults'
guard fence-removes-waiting-requests pkg/gatekeeper/gate.go '/if rec.state == stateWaiting \{/,/^\t\}/d' $simulation $random
guard non-idempotent-not-retried pkg/dispatcher/attempt.go 's/case !q.Idempotent \|\| /case /' $simulation $random
guard replaced-endpoint-may-have-run pkg/dispatcher/attempt.go 's/^\tq.mayHaveRun = true\n\tswitch//; /^func \(d \*Dispatcher\) handleLostAttempt/,/^\}/s/q.mayHaveRun = true//' $simulation $random
guard not-run-needs-proof pkg/dispatcher/outcome.go '/^func \(q \*request\) unsuccessful/,/^\}/s/if q.mayHaveRun/if false/' $simulation $random
guard expired-in-flight-is-unknown pkg/dispatcher/outcome.go 's/d.finish\(q, unknown\(framer.ReasonExpired\)\)/d.finish(q, notRun(framer.ReasonExpired))/' $simulation $random
guard claim-taken-is-refused pkg/dispatcher/claim.go '/case ClaimTaken:/,/d.finish/s/d.finish.*/d.enqueue(now, d.services[q.Service], q)/' $simulation $random
guard release-only-unrun pkg/dispatcher/outcome.go '/^\tcase Answered:/,/^\tcase NotRun:/s/d.Counts.Answered\+\+/d.Counts.Answered++; d.addAction(Action{Release: \&Release{ID: q.ID, Service: q.Service, CallerID: q.CallerID}})/' $simulation $random
guard slots-limit-the-gate pkg/gatekeeper/free_slots.go 's/free := g.plan.Slots - g.total/free := 99/' $simulation $random
guard leaving-gate-refuses pkg/gatekeeper/gate.go 's/if g.leaving \{/if false {/' $simulation $random
guard silent-link-is-detected pkg/connector/liveness_monitor.go 's/return m.pending != 0 .*/return false/' pkg/connector TestSilentPeerIsDetected
guard stale-attempts-are-ignored pkg/dispatcher/attempt.go 's/q.address != address \|\| q.attempt != attempt/q.address != address/' pkg/dispatcher TestOnlyCompleteAnswersAreDelivered
cell='TestCellUnderFaults'
guard cell-row-guards-commits pkg/overseer/commit.go 's/c.drop\(now\)/c.lease.Confirmed(w.firstSent); c.written(now, w)/' $simulation $cell
guard takeover-waits-for-the-horizon pkg/placer/cell.go 's/leaseEnd: c.now.Add\(leaser.OrphanHorizon \+ TaskLease\)/leaseEnd: c.now.Add(0 * leaser.OrphanHorizon)/' $simulation $cell
guard waiting-tasks-leave-the-inbox pkg/overseer/scan.go 's/^\t\tc.cell.CommitWaiting\(\)//' $simulation TestWaitingTasksDoNotHideOthers
guard each-task-is-tried-in-time pkg/placer/placing.go 's/c.resumeAt = failed.next/c.resumeAt = nil/' pkg/placer TestTaskBehindManyUnlikeTasksIsPlaced
guard trial-ends-with-its-task pkg/placer/worker.go 's/ \&\& w.tasks\[w.trial.Spec.ID\] == w.trial//' pkg/placer TestTrialEndsWithoutResult
guard long-trial-succeeds pkg/placer/reconcile.go 's/^\t\t\tw.recordRunning\(c.now, e\)//' pkg/placer TestTrialEndsWithoutResult
guard throttling-ends-with-the-service pkg/placer/interference.go 's/^\t\tw.unthrottleAll\(c.now\)//' pkg/placer TestThrottledTaskIsReleasedWhenServiceLeaves
guard interference-wait-by-own-clock pkg/placer/interference.go 's/c.now.Sub\(e.seenAt\)/c.now.Sub(e.AcceptedAt)/' pkg/placer TestInterferenceWaitIsByOwnClock
guard unknown-need-stops-no-replica pkg/placer/replicas.go 's/if !set.needKnown/if false/' pkg/placer TestReplicasOfUnknownServiceKeepRunning
guard unlisted-starts-are-withdrawn pkg/placer/reconcile.go 's/e.withdrawn = true/e.withdrawn = false/' pkg/placer TestUnlistedStartIsWithdrawn
guard cancellation-is-deleted-once pkg/placer/output.go 's/c.cancelsInFlight = c.cancels/c.cancelsInFlight = nil/' $simulation TestCancellationsKeepOwnerOfSlowTable
guard removed-worker-loses-its-tasks pkg/placer/cell.go 's/slices.Concat\(c.addresses, c.removed\)/c.addresses/' pkg/placer TestTaskOfRemovedWorkerIsPlacedAgain
guard refused-scan-is-not-spun pkg/overseer/scan.go 's/c.rescanAt = now.Add\(resendInterval\)/c.rescanAt = now/' pkg/overseer TestRefusedScanIsRepeatedAfterPause
guard ignored-starts-are-found pkg/placer/reconcile.go 's/e.withdrawn = true/e.withdrawn = false/' $simulation TestTasksRunAfterFaults
guard expiry-waits-for-the-lease pkg/placer/cell.go 's/!w.reachable \&\& now.After\(.*\) \{/!w.reachable {/' $simulation $cell
guard start-only-once-committed pkg/placer/output.go 's/!committed \|\| e.confirmed/!committed \&\& false || e.confirmed/' $simulation $cell
guard lost-response-is-not-failure pkg/overseer/commit.go '/^\tdefault:$/,/resendAt = /s/w.waiting = false/c.write = nil/' $simulation $cell
guard paused-owner-starts-nothing pkg/placer/output.go 's/ \|\| !mayStart//' pkg/placer TestNothingStartsBeforeItsRowIsWritten
guard forget-after-the-row-is-written pkg/placer/output.go 's/if kind == CommandForget \&\& .*\{/if false {/' $simulation $cell
guard allocations-limit-workers pkg/placer/placing.go 's/ \|\| !w.allocations.Fits\(e.Spec.Needs\)//' $simulation $cell
guard cancel-waits-for-the-stop pkg/placer/task.go 's/Permit\(triggerCancel, StateCancelling\)/Permit(triggerCancel, StateCancelled)/' $simulation $cell
guard lease-in-the-workers-clock pkg/placer/output.go 's/w.leaseEnd = w.clockAt.Add\(TaskLease\)/w.leaseEnd = w.clockAt/' $simulation $cell
guard only-the-same-incarnation pkg/emulator/worker.go 's/if s.Incarnation != w.report.Incarnation \{/if false {/' $simulation TestStartReachesReplacedWorker
steps='TestStepsUnderFaults'
guard unconfirmed-start-is-stopped-first pkg/supervisor/commands.go 's/if cmd.mayHaveStarted \{/if false {/' pkg/supervisor TestRepeatedStart
guard silent-runner-starts-nothing pkg/supervisor/commands.go 's#now.Sub\(c.listedAt\) <= listingTTL#true#' pkg/supervisor TestSilentRunner
guard stepped-back-runner-is-accepted pkg/supervisor/heartbeat.go 's/ .. c.rival.alone\(now, c.heartbeatAt\)$//' pkg/supervisor TestRunnerWithEarlierStartTimeIsAccepted
guard late-heartbeats-replace-no-runner pkg/supervisor/heartbeat.go 's/r.heartbeats >= minHeartbeats .. //' pkg/supervisor TestRunnerWithEarlierStartTimeIsAccepted
guard fences-expire pkg/supervisor/commands.go 's/return cmd.fence \&\& !cmd.requested/return false \&\& !cmd.requested/' pkg/supervisor TestRestartedRunnerThatRefusesStopsIsReported
guard refused-stop-is-resolved pkg/supervisor/listing.go 's/overdue := cmd.phase == phaseStopping/overdue := false/' pkg/supervisor TestRefusedStopIsResolved
guard listed-run-is-started pkg/supervisor/commands.go 's/if contains\(c.running, start.RunRef\) \{/if false {/' pkg/supervisor TestListedRunIsNotStartedAgain
guard earlier-link-is-ignored pkg/supervisor/agent.go 's/number < a.ownerNumber/false/' pkg/supervisor TestSyncOfEarlierLinkIsIgnored
guard ended-link-frees-no-earlier-one pkg/supervisor/agent.go 's/^\t\ta.owner = nil$/\t\ta.owner, a.ownerNumber = nil, 0/' pkg/supervisor TestSyncOfEarlierLinkIsIgnored
guard held-start-is-given-back pkg/supervisor/commands.go 's/if !cmd.mayHaveStarted \&\& now.Sub/if false \&\& now.Sub/' pkg/supervisor TestHeldStartIsAbandoned
guard full-listing-proves-no-absence pkg/supervisor/listing.go 's/len\(l.Finished\) >= maxListedEnds/false/' pkg/supervisor TestFullListingDoesNotResolveStop
guard unsent-start-cannot-arrive pkg/supervisor/commands.go 's/err != nil \&\& !errors.As\(err, \&notSent\)/err != nil \&\& (notSent == nil \|\| errors.As(err, \&notSent))/' pkg/supervisor TestStartThatWasNotSentIsGivenBack
guard only-failed-dials-are-unsent pkg/server/server.go 's/ \&\& op.Op == "dial"//' pkg/server TestOnlyFailedDialsAreNeverSent
guard malformed-row-hides-no-run platform/runner.go 's/^\t\t\tcontinue$/\t\t\tbreak/' platform TestMalformedRowOfListingIsSkipped
guard steps-start-once-committed pkg/scheduler/sync.go 's/ \&\& t.committedRun == t.run//' pkg/scheduler TestStartRequiresCommittedRow
guard acknowledge-once-committed pkg/scheduler/runner_listing.go 's/ \&\& s.unacked\[n\].committed\(committed\)//' pkg/scheduler TestFinishedRunIsAckedOnceCommitted
guard former-incarnation-is-stopped pkg/scheduler/lost_runner.go 's/\(!t.listed \|\| mayArrive\)/(false \&\& mayArrive)/' $simulation $steps
guard lost-runner-waits-for-its-lease pkg/scheduler/leases.go 's/maxTime\(s.leaseEnd, s.delayedLeaseEnd\)/now.Add(-time.Second)/' pkg/scheduler TestLostRunner
guard measurements-train-while-tasks-progress pkg/scheduler/report.go 's/len\(s.latencyCritical\) == 0 \|\|/true ||/' pkg/scheduler TestMeasurementsUpdateModelsWhileTasksProgress
guard prediction-error-is-limited pkg/scheduler/interference.go 's/maxResidual = .*/maxResidual = 50/' pkg/scheduler TestOutliersChangeModelLittle
guard stalled-runners-are-quarantined pkg/scheduler/progress.go 's/s.stalled = true/s.stalled = false/' pkg/scheduler TestStalledRunnerIsQuarantined
guard observation-gaps-are-not-stalls pkg/scheduler/progress.go 's/elapsed > maxListingGap/false/' pkg/scheduler TestStalledRunnerIsQuarantined
guard slow-runners-come-last pkg/scheduler/choosing.go 's/penaltySlow += 16/penaltySlow = 0/; s/penaltySlow      = 16/penaltySlow      = 0/' pkg/scheduler TestSlowRunnerIsChosenLast
guard one-burst-counts-once pkg/scheduler/quarantine.go 's/if now.Before\(s.quarantinedUntil\)/if false/' pkg/scheduler TestBurstOfFailuresQuarantinesOnce
guard long-running-tasks-do-not-extend-quarantine pkg/scheduler/quarantine.go 's/s.finiteTasks\(\) > 0/len(s.tasks) > 0/' pkg/scheduler TestQuarantinedRunnerWithLongRunningTaskIsRetried
guard quarantine-ends-a-wait pkg/scheduler/choosing.go 's/return c.chooseQuarantined\(now, w, t\)/return nil/' pkg/scheduler TestQuarantineDoesNotKeepTasksWaiting
guard quarantined-runners-are-probed-slowly pkg/scheduler/quarantined_choice.go 's/\(s.lastPlacedAt\) >= interval/(s.lastPlacedAt) >= 0*interval/' pkg/scheduler TestQuarantineDoesNotKeepTasksWaiting
guard quarantined-runners-like-scan pkg/scheduler/quarantined_choice.go 's/^\t\ta.quarantinedUntil.Compare.*//' pkg/scheduler TestIndexPlacesLikeScan
guard refused-start-goes-elsewhere pkg/scheduler/finished_run.go 's/ \&\& s.startRefusals.add\(now\)/ \&\& false/' pkg/scheduler TestRefusedStart
guard refusals-are-forgotten pkg/scheduler/start_refusals.go 's/ \&\& now.Sub\(r.lastAt\) < refusalMemory//' pkg/scheduler TestRefusedStart
guard reserve-leaves-room-that-suffices-twice pkg/scheduler/choosing.go 's/reserve = min\(reserve, needs.ProcessorMillis\)/reserve = min(reserve, reserve)/' pkg/scheduler TestReserve
guard answering-incarnation-is-current pkg/supervisor/listing.go '/c.answeredBy = /d' pkg/supervisor TestNewRunnerIncarnationWithLowerStartTime
guard long-running-tasks-probe pkg/scheduler/choosing.go 's/return c.chooseQuarantined\(now, w, t\)/return nil/' pkg/scheduler TestLongRunningTasksRunAgainAfterFaults
guard long-running-tasks-leave-refusers pkg/scheduler/finished_run.go 's/ \&\& s.startRefusals.add\(now\)/ \&\& false/' pkg/scheduler TestRefusedStart
guard long-running-tasks-use-reserve pkg/scheduler/choosing.go 's/reserve = min\(reserve, needs.ProcessorMillis\)/reserve = min(reserve, reserve)/' pkg/scheduler TestLongRunningTasksRunAgainAfterFaults
guard refusal-does-not-end-a-wait pkg/scheduler/placing.go 's/w.recordWaiting\(now, mayBeRefused\)/w.recordWaiting(now, mayBeRefused \&\& false)/' pkg/scheduler TestRefusedStart
guard current-run-is-not-unexpected pkg/scheduler/report.go '/^\ts.removeUnexpected\(status.RunRef\)$/d' pkg/scheduler TestListedRunOfLoadedJobIsNotUnexpected
guard late-failures-are-no-evidence pkg/scheduler/finished_run.go 's/ \&\& now.Sub\(t.listedSince\) >= provenWork/ \&\& false/' pkg/scheduler TestLateFailuresOfLongRunningTasksCountAgainstNoRunner
guard idle-jobs-probe pkg/scheduler/quarantined_choice.go 's/ \|\| w.job.placed == 0//' pkg/scheduler TestQuarantineDoesNotKeepTasksWaiting
guard first-listing-does-not-wait pkg/supervisor/claim.go 's/^\t\t\tPurpose: PurposeProbe,/Purpose: PurposeProbe, Wait: renewWait,/' pkg/supervisor TestNewRunnerIsReportedAtOnce
guard former-owner-may-still-grant pkg/controller/runner_leases.go 's/seenAt.Add\(leaseDuration \+ /seenAt.Add(/' pkg/controller TestFormerLeasesEndCoversLastGrant
guard former-owner-may-grant-longer-leases pkg/controller/runner_leases.go 's/return longest$/return time.Second/' pkg/controller TestFormerLeasesEndCoversLastGrant
guard restart-time-limits-leases pkg/controller/runner_leases.go 's/return min\(time.Duration\(cfg.LongestLease\), .*/return time.Duration(cfg.LongestLease)/' pkg/controller TestTasksOfLostRunnerRunAgainInTime
guard placement-extends-no-lease pkg/scheduler/placing.go 's/s.clockAt.Add\(c.maxLease/now.Add(c.maxLease/' pkg/scheduler TestPlacementDoesNotExtendLeaseOfLostRunner
guard delayed-calls-grant-leases pkg/scheduler/leases.go 's/maxTime\(s.leaseEnd, s.delayedLeaseEnd\)/s.leaseEnd/' pkg/scheduler TestLeaseOfRestartedRunner
guard higher-epoch-ends-the-wait pkg/scheduler/leases.go 's/r.ListedEpoch < s.fenceEpoch/true/' pkg/scheduler TestLeaseOfRestartedRunner
guard listing-of-an-earlier-epoch-proves-nothing pkg/scheduler/leases.go 's/ \|\| r.ListedEpoch < s.fenceEpoch//' pkg/scheduler TestLeaseOfRestartedRunner
guard unanswering-runner-gets-no-task pkg/scheduler/refusal.go 's/case s.unanswered:/case false:/' pkg/scheduler TestUnansweringRunnerGetsNoTask
guard one-lost-answer-is-not-reported pkg/supervisor/core.go 's/maxUnansweredRenewals = 2/maxUnansweredRenewals = 1/' pkg/supervisor TestUnansweringRunnerIsReportedAtOnce
guard delayed-leases-are-stated pkg/controller/runner_leases.go 's/ends = e.owner.cell.DelayedLeases.now./_ = now/' pkg/controller TestLeaseRowStatesLeasesOfDelayedCalls
guard next-owner-waits-for-delayed-leases pkg/scheduler/cell.go 's/s.delayedLeaseEnd = end$/_ = end/' pkg/scheduler TestNextOwnerWaitsForDelayedLeases
guard expired-runners-are-remembered pkg/scheduler/expiry.go 's/now.Sub\(s.leaseEnd\) > ttl/now.Sub(s.leaseEnd) > 0*ttl/' pkg/scheduler TestDelayedCallsToForgottenRunnerAreFenced
guard lease-counts-from-first-attempt pkg/controller/owner.go 's/w.sentAt = w.firstSentAt//' pkg/controller TestLeaseOfResentWriteCountsFromFirstAttempt
guard delayed-leave-notice-is-ignored pkg/supervisor/heartbeat.go 's/ \&\& c.runner.Draining \{/ {/' pkg/supervisor TestDelayedLeaveNoticeOfEarlierIncarnationIsIgnored
guard malformed-rows-prove-no-absence pkg/supervisor/listing.go 's/ \|\| len\(l.Malformed\) > 0//' pkg/supervisor TestListingWithMalformedRowsResolvesNoStop
guard replaced-incarnation-stays-replaced pkg/supervisor/heartbeat.go 's/ \|\| key == c.replaced//' pkg/supervisor TestDelayedHeartbeatOfReplacedIncarnationIsIgnored
guard unanswered-renewal-holds-starts pkg/supervisor/commands.go 's/c.unansweredRenewals == 0/true/' pkg/supervisor TestNoStartAfterUnansweredRenewal
guard repeated-start-is-fenced pkg/supervisor/commands.go 's/if start.Repeated \{/if false {/' pkg/supervisor TestRepeatedStartIsStoppedInLaterIncarnation
guard unlisted-runs-wait-for-the-longest-lease pkg/scheduler/leases.go 's/listingTTL\+maxCallTime\+MaxLease\(c.cfg.LongestLease\)/listingTTL+maxCallTime+c.maxLease()/' pkg/scheduler TestUnlistedRunWaitsForLongestLease
guard restarted-runners-come-last pkg/scheduler/choosing.go 's/penalty \+= penaltyRestarted/penalty += 0/' pkg/scheduler TestLongRunningTaskAvoidsRestartedRunner
guard raised-epoch-is-no-refusal pkg/supervisor/commands.go 's/a.Refusal == RefusalFenced \&\& /false \&\& /' pkg/supervisor TestStartFencedByRaisedEpochIsSentAgain
guard slow-store-keeps-its-owner pkg/controller/owner.go 's/return unchanged >= slowAcquireAfter/return unchanged >= acquireAfter/' pkg/controller TestMayAcquireCellOfSilentOwner
guard small-entry-yields pkg/controller/owner.go 's/lease.UnchangedFor\(now\) - yield/lease.UnchangedFor(now)/' pkg/controller TestSmallEntryYieldsToLargerOnes
guard models-fit-into-writes pkg/controller/learned_models.go 's/size > limit/size < 0/' pkg/controller TestModelsOfManyImagesAreStored
guard writes-have-few-entries pkg/controller/learned_models.go 's/min\(modelWriteRows, len\(models.Images\)\)/models.Images/' pkg/controller TestWritesHaveNoMoreEntriesThanAllowed
guard dropped-queue-keeps-its-service pkg/scheduler/job.go 's/return q.former\[name\]$/return nil/' pkg/scheduler TestTaskFollowsItsQueue
guard next-version-succeeds pkg/controller/entry.go 's/queues.Succeed\(e.queues\)//' pkg/controller TestDroppedQueueKeepsItsLastService
guard early-rows-are-read-again pkg/controller/loading.go 's/rows.epoch != o.lease.Epoch\(\)/false/' pkg/controller TestRowsReadBeforeAcquisitionAreReadAgain
guard rejected-write-is-discarded pkg/controller/owner.go 's/case errors.As\(err, \&rejected\):/case false \&\& errors.As(err, \&rejected):/' pkg/controller TestRejectedWriteBlocksNoOther
guard end-of-rejected-row-is-kept pkg/scheduler/runner_listing.go 's/p.job == nil \|\| !p.job.rejected/true/' pkg/scheduler TestEndOfRejectedRowIsNotAcked
guard rows-fit-into-the-store pkg/scheduler/placing.go 's/c.rowRoom\(w.job\) < 1/false/' pkg/scheduler TestTasksWaitRatherThanMakeTheRowTooLarge
guard commits-fit-into-the-store pkg/scheduler/commit.go 's/ \|\| i > 0 \&\& size > maxCommitBytes//' pkg/scheduler TestRowsAndCommitsFitIntoTheStore
guard unstorable-job-is-refused pkg/controller/jobs.go 's/cmp.Or\(spec.CheckSize\(\), /cmp.Or(/' pkg/controller TestJobOfTooManyTasksIsNotSubmitted
guard first-changed-first-committed pkg/scheduler/commit.go 's/cmp.Compare\(c.changed\[a\], c.changed\[b\]\)/cmp.Compare(a.spec.ID, b.spec.ID)/' pkg/scheduler TestChangedJobsAreCommittedInTurn
guard written-ends-are-acknowledged pkg/scheduler/commit.go 's/c.changed\[j\] - 1/c.committed/' pkg/scheduler TestChangedJobsAreCommittedInTurn
guard rejection-is-permanent platform/store.go 's/status >= consts.StatusBadRequest \&\& //; s/status < consts.StatusInternalServerError/false/' platform TestRejectedChangeIsToldFromUnavailableStore
guard rejection-is-passed-on pkg/relayer/wire.go 's/errors.As\(err, \&resp.Rejected\), //' pkg/relayer TestRejectionIsPassedOn
guard released-runner-is-tried-again pkg/scheduler/runner_state.go 's/s.index.improved\(s\)/s.index.worsened(s)/' pkg/scheduler TestIndexPlacesLikeScan
guard blocked-runner-is-tried-again pkg/scheduler/runner_index.go 's/^\t\t\tx.improved\(s\)//' pkg/scheduler TestIndexPlacesLikeScan
guard lateness-by-own-clock pkg/scheduler/ordering.go 's/from := maxTime\(j.seenAt,/from := maxTime(time.UnixMilli(j.spec.AcceptedAtMillis),/' pkg/scheduler TestTimeOfDayOfOtherInstancesDoesNotMakeJobLate
guard withheld-grant-is-repeated pkg/scheduler/sync.go 's/^\ts.leaseSentAt = time.Time\{\}$//' pkg/scheduler TestReportsWithoutNewsAreNotAnswered
guard left-runner-gets-no-lease pkg/scheduler/leases.go 's/!s.info.Left/true/' pkg/scheduler TestTasksOfLeftRunnerStartElsewhere
guard missing-run-is-stopped pkg/scheduler/report.go 's/^\t\tc.stopMissing\(now, s\)//' pkg/scheduler TestRunMissingFromListingsIsStopped
guard refusing-runner-gets-a-rest pkg/scheduler/finished_run.go 's/!t.stopping \&\& s.startRefusals.add\(now\)/false/' pkg/scheduler TestRefusedStartsGoElsewhere
guard withdrawn-start-is-no-refusal pkg/scheduler/finished_run.go 's/!t.stopping \&\& s.startRefusals.add/s.startRefusals.add/' pkg/scheduler TestRefusedStartsGoElsewhere
guard images-are-kept-apart pkg/scheduler/choosing.go 's/cmp.Compare\(r.rejections, other.rejections\),//' pkg/scheduler TestLatencyCriticalJobsFillFleet
guard best-effort-stays-below-targets pkg/scheduler/interference.go 's/return false/continue/' pkg/scheduler TestBestEffortPlacementKeepsTargets
guard crashes-are-counted pkg/scheduler/lost_runner.go 's/^\t+c.recordCrash\(now, old\)//' pkg/scheduler TestTaskThatCrashesRunnersIsGivenUp
guard crash-record-is-stored pkg/scheduler/task.go 's/if t.record != \(crashRecord\{\}\)/if false/' pkg/scheduler TestCrashRecordSurvivesItsOwner
guard survived-start-refutes-suspicion pkg/scheduler/crash_record.go 's/t.record.suspicion = 0//' pkg/scheduler TestSoundTaskIsNotBlamedForCrashesBesideIt
guard silence-explains-no-crash pkg/scheduler/crash.go 's/ \&\& goneAt.Sub\(t.startSentAt\) <= maxCrashDelay//' pkg/scheduler TestSoundTaskIsNotBlamedForCrashesBesideIt
guard every-crash-is-counted pkg/scheduler/crash.go 's/^\tt.crashedRun = t.run$/\tt.crashedRun = t.run; if s.reported \&\& t.survivedStart() \&\& n.explaining > 0 { return crashRecord{} }/' pkg/scheduler TestTaskThatCrashesBusyRunnersLateIsGivenUp
guard every-crash-is-counted-under-faults pkg/scheduler/crash.go 's/^\tt.crashedRun = t.run$/\tt.crashedRun = t.run; if s.reported \&\& t.survivedStart() \&\& n.explaining > 0 { return crashRecord{} }/' $simulation TestTasksThatCrashBusyRunnersLateAreGivenUp
guard survived-run-is-not-suspected pkg/scheduler/crash.go 's/ \|\| !t.mayCrashByStart\(\):/:/' pkg/scheduler TestSoundTaskIsNotBlamedForCrashesBesideIt
guard counted-crash-is-stored pkg/scheduler/loading.go 's/p.loadCountedRuns\(tasks\)//' pkg/scheduler TestCrashIsCountedOnceAcrossOwners
guard seconds-of-work-clear-no-record pkg/scheduler/crash_record.go 's/t.provesTask\(now\) \{/t.provesRunner(now) {/' pkg/scheduler TestLongRunningTaskThatCrashesRunnersLateIsGivenUp
guard many-crashes-need-quiet pkg/scheduler/trial.go 's/\(t.needsQuiet\(\) \|\| !t.survivedStart\(\)\)/!t.survivedStart()/' pkg/scheduler TestNoTaskStartsBesideOneThatLostManyRunners
guard quiet-trial-ends pkg/scheduler/trial.go 's/maxQuietTrial = 2 \* time.Second/maxQuietTrial = time.Hour/' pkg/scheduler TestNoTaskStartsBesideOneThatLostManyRunners
guard many-crashes-need-settled-runner pkg/scheduler/trial.go 's/e.unsettled = 1/e.unsettled = 0/' pkg/scheduler TestTaskThatLostManyRunnersIsTriedOnSettledRunner
guard end-of-lease-counts-as-crash pkg/scheduler/leases.go 's/^\tc.recordLapse\(now, s, lost\)//' pkg/scheduler TestEndOfLeaseCountsAsCrashUntilRefuted
guard lapse-is-no-proof-of-crash pkg/scheduler/lapse.go 's/^\t+c.lapses.add\(now, s.key.*/added := t.crashEvidence(n); t.record.crashes++; t.record.suspicion += added.suspicion/' pkg/scheduler TestTaskIsNotGivenUpForRunnersThatWereCutOff
guard lapse-is-no-proof-under-faults pkg/scheduler/lapse.go 's/^\t+c.lapses.add\(now, s.key.*/added := t.crashEvidence(n); t.record.crashes++; t.record.suspicion += added.suspicion/' $simulation TestSoundTasksSurviveCutsOfTheirRunners
guard proven-lapse-counts pkg/scheduler/lost_runner.go 's/^\tc.proveLapses\(now, s\)//' pkg/scheduler TestTaskIsGivenUpOnceLapsesAreProven
guard lapses-bound-starts pkg/scheduler/placing.go 's/ \&\& !t.awaitsProof\(\)//' pkg/scheduler TestTaskWaitsWhileItsLossesAreUnexplained
guard lapses-bound-starts-under-faults pkg/scheduler/placing.go 's/ \&\& !t.awaitsProof\(\)//' $simulation TestTasksThatCrashRunnersForVeryLongAreGivenUp
guard unexplained-losses-expire pkg/scheduler/cell.go 's/^\t\tc.expireLapses\(now\)//' pkg/scheduler TestTaskWaitsWhileItsLossesAreUnexplained
guard lapses-are-stored pkg/scheduler/task.go 's/^\tp.recordLapses\(tasks\)//' pkg/scheduler TestLapseSurvivesItsOwner
guard earlier-listing-refutes-no-lapse pkg/scheduler/lapse.go 's/ \&\& s.listedAt.After\(r.at\)//' pkg/scheduler TestLapseSurvivesItsOwner
guard leaving-runner-is-no-lapse pkg/scheduler/lapse.go 's/if s.info.Draining \|\| s.info.Left \{/if false {/' pkg/scheduler TestLeaseOfLeavingRunnerIsNoLapse
guard withdrawn-lapse-leaves-no-address pkg/scheduler/lapse.go 's/^\t\trun.task.forgetCrashAt\(r.address\)//' pkg/scheduler TestRunnerThatIsBackHasNotCrashedBefore
guard lapse-of-worker-is-no-proof pkg/placer/reconcile.go 's/^\t\tc.lapseTask\(e\)/\t\tc.loseWithWorker(e, "lapsed")/' pkg/placer TestTaskIsNotGivenUpForWorkersThatWereCutOff
guard lapses-of-workers-bound-starts pkg/placer/placing.go 's/e.awaitsProof\(\) \|\| //' pkg/placer TestTaskIsNotGivenUpForWorkersThatWereCutOff
guard occurrences-exist-when-due pkg/scheduler/occurrence.go 's/ \&\& !now.Before\(j.spec.firstDueFrom.*\) \{/ {/' pkg/scheduler TestOccurrencesTakeNoMemoryBeforeTheyAreDue
guard due-occurrences-are-added pkg/scheduler/placing.go 's/^\t\tj.addDue\(now\)//' pkg/scheduler TestOccurrencesRunWhenTheyAreDue
guard row-lists-later-occurrences pkg/scheduler/loading.go 's/^\tj.addListed\(p.Tasks\)//' pkg/scheduler TestOccurrencesRunWhenTheyAreDue
guard earliest-of-the-rest-is-due pkg/scheduler/job.go 's/return minTime\(s.dueAt\(occurrence\), .*/return s.dueAt(occurrence)/' pkg/scheduler TestOccurrencesInReverseOrder
guard steps-are-checked-one-by-one pkg/scheduler/job.go '/^func \(s \*Steps\) Add/,/^\}/{s/return err/_ = err/}' platform TestDecodingTakesMemoryForValidStepsOnly
guard steps-are-bounded-by-the-row pkg/scheduler/job.go 's/CheckRange\("steps", .*maxSteps\)/CheckRange("steps", 1, 1, 1)/' platform TestDecodingTakesMemoryForValidStepsOnly
guard labels-are-bounded platform/registry.go 's/0, maxLabels\)/0, 1 << 30)/' platform TestHeartbeatWithManyLabelsIsRejected
guard sweeps-keep-up pkg/controller/sweeper.go 's/sweepWrites = 16/sweepWrites = 1/; s/backlogInterval = .*/backlogInterval = sweepInterval/' pkg/controller TestFinishedJobsAreRemovedAsFastAsTheyCome
guard failed-sweep-is-not-repeated-soon pkg/controller/sweeper.go 's/ \&\& !s.failed \{/ {/' pkg/controller TestBacklogOfFinishedJobs
guard orphans-go-beside-changes pkg/controller/owner.go 's/len\(commit.Rows\) <= orphanRows/!changed/' pkg/controller TestOrphanedRowsAreRemovedBesideChangedJobs
guard orphans-need-all-jobs pkg/controller/owner.go 's/if o.cell != nil \&\& len\(commit.Rows\) <= orphanRows/if len(commit.Rows) <= orphanRows/' pkg/controller TestProgressIsNoOrphanBeforeAllJobsAreRead
guard reused-id-is-no-orphan pkg/controller/sweeper.go 's/if v == nil \|\| !v.hasSpec \{/if true {/' pkg/controller TestOrphanOfReusedID
guard large-row-names-runners-once pkg/scheduler/progress_row.go 's/if p.plainSize\(\) <= maxRowBytes \{/if true {/' pkg/scheduler TestLongCheckpointsFitIntoTheRow
guard few-runners-hold-many-tasks pkg/scheduler/row_size.go 's/return max\(0, plain, compact\)/_ = compact; return max(0, plain)/' pkg/scheduler TestManyTasksOnFewRunnersArePlaced
guard checkpoint-of-gang-takes-room pkg/scheduler/row_size.go 's/size \+= max\(checkpointBytes, checkpointSize\)/size += checkpointBytes/' pkg/scheduler TestFullRowHasTheCheckpointOfAGang
guard gang-has-one-checkpoint pkg/scheduler/loading.go 's/loadGangCheckpoints\(tasks\)//' pkg/scheduler TestFullRowHasTheCheckpointOfAGang
guard checkpoints-have-what-room-is-left pkg/scheduler/checkpoint_row.go 's/ \|\| len\(t.checkpoint\) > room//' pkg/scheduler TestRowFitsWhateverCheckpointsBecome
guard checkpoints-of-waiting-tasks-first pkg/scheduler/checkpoint_row.go 's/t.runner == nil \}\)/t.runner != nil })/' pkg/scheduler TestRowKeepsCheckpointsThatNothingElseTells
guard oversized-checkpoint-is-not-kept pkg/scheduler/checkpoint_row.go 's/len\(checkpoint\) > maxCheckpointBytes/false/' pkg/scheduler TestCheckpointLargerThanARowIsNotKept
guard checkpoints-hold-back-no-task pkg/scheduler/row_size.go 's/if step.Gang \&\& \(step.Checkpoints/if (step.Checkpoints/; s/size := idleTaskBytes \* step.Count/size := (idleTaskBytes + 200) * step.Count/' pkg/scheduler TestTasksOfJobLargerThanOneRowStart
guard jobs-beyond-the-memory-are-refused pkg/controller/job_memory.go 's/<= m.budget \{/<= m.budget || true {/' pkg/controller TestJobsBeyondTheMemoryAreRefused
guard job-too-large-for-the-memory pkg/controller/jobs.go 's/cmp.Or\(spec.CheckSize\(\), e.cache.memory.check\(&spec\)\)/cmp.Or(spec.CheckSize())/' pkg/controller TestJobThatCanNeverBeHeldIsInvalid
guard memory-of-removed-jobs-is-free pkg/controller/job_memory.go 's/m.held.Add\(-v.counted\)//' pkg/controller TestMemoryOfRemovedJobsIsFree
guard lapses-fit-into-the-row pkg/scheduler/lapse_row.go 's/room -= needs; room < 0/room -= needs; false/' pkg/scheduler TestLapsesFitIntoTheRow
guard listing-refutes-crash pkg/scheduler/report.go 's/c.refuteLapses\(s\)//' pkg/scheduler TestEndOfLeaseCountsAsCrashUntilRefuted
guard suspects-are-tried-alone pkg/scheduler/refusal.go 's/if s.onTrial\(now\) \{/if false {/' pkg/scheduler TestSuspectIsTriedAlone
guard suspects-avoid-restarted-runners pkg/scheduler/trial.go 's/e.restarted = 1/e.restarted = 0/' pkg/scheduler TestLongRunningSuspectAvoidsRestartedRunner
guard finite-tasks-avoid-unfenced-runners pkg/scheduler/leases.go 's/ \|\| s.fenceEpoch > 0\)/)/' pkg/scheduler TestFiniteTaskAvoidsUnfencedRunner
guard request-may-end-few-endpoints pkg/dispatcher/attempt.go 's/q.lostAttempts >= maxLostAttempts \|\| //' pkg/dispatcher TestRequestThatEndsItsEndpointsIsGivenUp
guard lost-workers-are-counted pkg/placer/reconcile.go 's/e.Crashes\+\+//' pkg/placer TestTaskThatCrashesWorkersIsGivenUp
guard capacity-follows-reports pkg/placer/reconcile.go 's/w.allocations.SetCapacity\(r.Capacity\)//' pkg/placer TestPlacementFollowsChangingCapacity
guard shrunk-worker-gets-no-start pkg/placer/output.go 's/^\tc.withdrawStarts\(w\)//' pkg/placer TestPlacementFollowsChangingCapacity
guard shrunk-runner-gets-no-start pkg/scheduler/sync.go 's/^\tc.withdrawStarts\(now, s\)//' pkg/scheduler TestStartsAreWithdrawnFromShrunkRunner
guard start-needs-recent-heartbeat pkg/supervisor/commands.go 's/now.Sub\(c.heartbeatAt\) <= c.heartbeatInterval\+maxHeartbeatDelay/true/' pkg/supervisor TestStartWaitsForCurrentCapacity
guard start-is-requested-again-after-shrink pkg/supervisor/commands.go 's/cmd.requestedAt.Sub\(c.shrunkAt\) >= shrinkHold/true/' pkg/supervisor TestStartWaitsForCurrentCapacity
guard claimed-incarnation-has-to-answer pkg/supervisor/claim.go 's/^\tclaimed.receivedAt = now$/\tclaimed.receivedAt = now\n\tc.replaceKnown(now, claimed)/' pkg/supervisor TestHeartbeatOfAnotherWriterReplacesNoRunner
guard other-answer-refutes-a-claim pkg/supervisor/claim.go 's/if otherID .. l.StartedAtMillis != call.Header.Runner.StartedAtMillis \{/if otherID {/' pkg/supervisor TestHeartbeatOfAnotherWriterReplacesNoRunner
guard description-is-not-replaced-at-once pkg/supervisor/heartbeat.go 's/if !c.replacesDescription\(now, b\) \{/if false {/' pkg/supervisor TestHeartbeatOfAnotherWriterReplacesNoRunner
guard unanswered-probe-is-sent-again pkg/supervisor/claim.go 's/^\t\tclaimed.nextProbe = now.Add\(renewBackoff\)/\t\tc.claims = nil/' pkg/supervisor TestClaimsDelayNoSoundRunner
guard claims-are-kept-beside-others pkg/supervisor/claim.go 's/^const maxClaims = 8/const maxClaims = 1/' pkg/supervisor TestClaimsDelayNoSoundRunner
guard claims-hold-starts pkg/supervisor/commands.go 's/ \&\& !c.claimedAgain\(\)//' pkg/supervisor TestNoStartWhileIncarnationIsClaimed
guard runner-without-answer-replaces-none pkg/scheduler/report.go 's/^\tif answered \{/\tif true {/' pkg/scheduler TestRunnerThatHasListedNothingReplacesNone
guard foreign-heartbeats-run-nothing-twice pkg/supervisor/claim.go 's/^\tclaimed.receivedAt = now$/\tclaimed.receivedAt = now\n\tc.replaceKnown(now, claimed)/' pkg/experimenter TestStepsUnderFaults
guard dropped-queue-keeps-its-terms pkg/scheduler/job.go 's/return q.former\[name\]$/return nil/' pkg/scheduler 'TestJobOfDroppedQueueKeepsIts(MaxFailures|Rank)'
guard unknown-queue-has-the-accepted-terms pkg/scheduler/job_changes.go 's/if j.spec.Terms != \(Terms\{\}\) \{/if false {/' pkg/scheduler TestJobOfDroppedQueueKeepsItsMaxFailures
guard accepted-terms-are-stored platform/ingress.go '/^\t\tTerms: /d' platform TestJobIsStoredWithTheTermsOfItsQueue
guard accepted-start-is-listed-at-once pkg/supervisor/commands.go 's/^\t\tc.verifyDue = true$/\t\tc.scheduleReport(now)/' pkg/supervisor TestAcceptedStartIsListedAtOnce
guard earlier-listing-is-ignored pkg/supervisor/listing.go 's/l.ClockMillis < c.listedClock/false/' pkg/supervisor TestEarlierListingChangesNothing
guard only-later-listings-resolve-stops pkg/supervisor/listing.go 's/call.Number >= cmd.verifyAfter/c.renewCalls >= cmd.verifyAfter/' pkg/supervisor TestEarlierListingChangesNothing
guard watched-run-waits-for-its-lease-only pkg/scheduler/leases.go 's/ \&\& !s.watchedSince\(now, t.ref\(\)\)//' pkg/scheduler TestUnlistedRunWaitsForItsLeaseOnlyWhileAgentReports
guard replaced-agent-proves-nothing pkg/scheduler/leases.go 's/!sentAt.Before\(s.linkedAt\)/(sentAt.Before(s.linkedAt) || true)/' pkg/scheduler TestUnlistedRunWaitsForItsLeaseOnlyWhileAgentReports
guard silent-agent-proves-nothing pkg/scheduler/leases.go 's/ \&\& now.Sub\(s.reportedAt\) <= listingTTL$//' pkg/scheduler TestUnlistedRunWaitsForItsLeaseOnlyWhileAgentReports
guard first-owner-waits-for-nobody pkg/controller/runner_leases.go 's/f.none = version == 0/f.none = version == 1/' pkg/controller TestFirstOwnerWaitsForNoFormerLeases
guard starts-fit-into-a-frame pkg/scheduler/sync.go 's/bytes > maxStartsBytes \&\& len\(starts\) > 0/false/' pkg/scheduler TestSyncOfManyLargeStartsFitsIntoFrame
guard held-starts-follow pkg/scheduler/report.go 's/if s.startsHeld \{/if false {/' pkg/scheduler TestSyncOfManyLargeStartsFitsIntoFrame
guard reserve-gives-way pkg/scheduler/choosing.go 's/ \&\& !step.BestEffort \&\& !w.starved \{/ \&\& !step.BestEffort {/' pkg/scheduler TestReserveGivesWayOnIdleRunners
guard starved-step-is-tried-again pkg/scheduler/placing.go 's/ \|\| w.starved \&\& !full.starved//' pkg/scheduler TestReserveGivesWayOnIdleRunners
guard released-runs-need-proof-of-expiry pkg/scheduler/leases.go 's/^\t\t\ts.requireExpiry\(now\)//' pkg/scheduler TestEndOfGivenUpRunIsNotAckedByEarlierListing
guard no-acknowledgement-without-proof pkg/scheduler/runner_listing.go '/^func \(s \*runnerState\) ackCommitted/,/^\}/s/if s.expiry.due/if false/' pkg/scheduler TestLostRunIsAcknowledgedOnlyOnceItsLeaseIsProvenToHaveExpired
guard no-lease-without-proof pkg/scheduler/leases.go 's/ \&\& !s.expiry.due//' pkg/scheduler TestLostRunIsAcknowledgedOnlyOnceItsLeaseIsProvenToHaveExpired
guard leases-of-the-agent-count pkg/scheduler/expiry.go 's/max\(s.grantedUntilMillis, r.LeaseUntilMillis\)/s.grantedUntilMillis/' pkg/scheduler TestLostRunIsAcknowledgedOnlyOnceItsLeaseIsProvenToHaveExpired
guard due-proof-is-remembered pkg/scheduler/expiry.go 's/ttl = expiryTTL/ttl = maxCallDelay/' pkg/scheduler TestLostRunIsAcknowledgedOnlyOnceItsLeaseIsProvenToHaveExpired
guard superseded-done-needs-proof pkg/scheduler/finished_run.go 's/^\t\tc.requireFor\(s, r, e\)//' pkg/scheduler TestEndOfGivenUpRunIsNotAckedByEarlierListing
guard leave-notice-is-no-proof pkg/supervisor/heartbeat.go 's/ \&\& c.unansweredRenewals >= maxUnansweredRenewals//' pkg/supervisor TestDelayedLeaveNoticeEndsNoDrainingIncarnation
guard readings-around-a-stop-prove-nothing pkg/leaser/settling.go 's/ \|\| clockMillis-s.lastMillis > maxReadingGapMillis//' pkg/scheduler TestReadingsAroundAnotherStopProveNothing
guard unknown-lease-is-the-longest pkg/scheduler/expiry.go 's/s.expiry.due \&\& s.grantedUntilMillis == 0/false/' pkg/scheduler TestLeaseOfFormerOwnerIsNotProvenExpiredByRestartedAgent
guard owners-wait-counts-on-the-runners-clock pkg/scheduler/expiry.go 's/if s.clockMillis > 0 \{/if false {/' pkg/scheduler TestDelayedLeaseIsNotProvenExpiredByGrantedOnes
guard no-start-without-lease pkg/scheduler/sync.go 's/granting \&\& !s.expiry.due/granting/' pkg/scheduler TestRunnerWithoutRenewalGetsNoPlacedTask
guard released-and-unplaced-needs-proof pkg/scheduler/expiry.go 's/ \|\| t.done \&\& \(t.spec\(\).mayHaveCopies\(\) \|\| e.Run == t.run\) \{/ || e.Run == t.run {/' pkg/scheduler TestEndOfGivenUpRunIsNotAckedByNextOwnerBeforeNextRun
guard agent-knows-of-the-expiry pkg/scheduler/expiry.go 's/ \|\| e.Sequence <= r.ExpiredSequence//' pkg/scheduler TestEndOfSupersededRunNeedsNoSecondExpiry
guard expired-lease-settles pkg/supervisor/lease.go 's/ \|\| c.expirySettling\(\)//' pkg/supervisor TestExpiredLeaseIsRenewedOnlyOnceTheRunnerHasNoticed
guard acknowledgement-waits-for-lease pkg/supervisor/listing.go 's/ \|\| c.lease.confirmedUntilMillis <= c.clockMillis//' pkg/supervisor TestExpiredLeaseIsRenewedOnlyOnceTheRunnerHasNoticed
guard later-incarnation-takes-runs pkg/scheduler/incarnations.go 's/sameAgent := s.info.Address != ""/sameAgent := false/' pkg/scheduler TestLaterIncarnationWithEarlierStartTimeTakesRuns
guard unread-listing-ages pkg/supervisor/listing.go 's/c.listedAt = c.madeBy\(now, l\)/c.listedAt = now/' pkg/supervisor TestListingThatWaitedUnreadIsAsOldAsItIs
guard replaced-incarnation-is-not-used pkg/supervisor/claim.go 's/return c.answeredBy != 0/return false/' pkg/supervisor TestIncarnationThatAnotherAnsweredForIsNotUsed
guard ends-are-reported-in-order pkg/supervisor/listing.go 's/cmp.Compare\(a.Sequence, b.Sequence\)/0*cmp.Compare(a.Sequence, b.Sequence)/' pkg/supervisor TestEndsAreReportedInOrder
guard replaced-incarnation-is-only-looked-at pkg/supervisor/listing.go 's/^\t\tcall.AckedSequence = 0$//; s/^\t\tcall.Header.LeaseUntilMillis = 0$//' pkg/supervisor TestIncarnationThatAnotherAnsweredForIsOnlyLookedAt
guard former-sync-is-ignored pkg/supervisor/core.go 's/!c.known \|\| s.Runner != c.runner.Key/!c.known/' pkg/supervisor TestWhatIsForFormerIncarnationChangesNothing
guard former-start-is-ignored pkg/supervisor/commands.go 's/cmd == nil \|\| call.Header.Runner != c.runner.Key/cmd == nil/' pkg/supervisor TestWhatIsForFormerIncarnationChangesNothing
guard former-listing-is-ignored pkg/supervisor/listing.go 's/if call.Header.Runner != c.runner.Key \{/if false {/' pkg/supervisor TestWhatIsForFormerIncarnationChangesNothing
guard paused-runs-get-full-speed pkg/supervisor/speed_calls.go '/c.throttler.release\(/d' pkg/supervisor TestPausedRunsGetFullSpeedOnceNothingNeedsTheirPause
guard limits-of-earlier-agent-are-unknown pkg/supervisor/throttler.go 's/case !known \&\& !t.listed:/case false:/' pkg/supervisor TestNewAgentSetsTheSpeedLimitsOfEarlierRuns
guard lost-speed-limit-is-set-again pkg/supervisor/speed_calls.go 's/if err == nil .*latest \&\& ordered \{/if latest || ordered || true {/' pkg/supervisor TestSpeedLimitIsSetAgainAfterLostCall
guard delayed-speed-call-changes-little pkg/supervisor/speed_calls.go 's/ordered := .*/ordered := true/' pkg/supervisor TestSpeedLimitIsSetAgainAfterLostCall
guard large-task-gets-a-reservation pkg/scheduler/placing.go 's/^\tc.planReservations\(now\)//' pkg/scheduler 'TestLargeTaskAmongStreamOfSmallOnesStartsAsPromised|TestGangAmongSingleTasksStartsAsPromised'
guard reservation-binds-other-tasks pkg/scheduler/choosing.go 's/ \&\& !c.reservedFromTask\(now, s, w, t\)//' pkg/scheduler 'TestLargeTaskAmongStreamOfSmallOnesStartsAsPromised'
guard urgent-tasks-pass-reservations pkg/reserver/reserver.go 's/task.Urgency < held.Urgency/false/' pkg/scheduler TestLargeTaskOfLessUrgentQueueDelaysNoUrgentOne
guard short-tasks-are-backfilled pkg/reserver/reservation.go 's/return !endsBy.IsZero\(\).*/return false/' pkg/scheduler TestTasksThatEndBeforeTheReservationAreBackfilled
guard reservations-expire pkg/reserver/reserver.go 's/if held != nil \&\& !now.Before\(held.ExpiresAt\(\)\) \{/if false {/; s/ \|\| !now.Before\(held.ExpiresAt\(\)\) \{/ {/' pkg/scheduler TestReservationExpiresIfTheRoomDoesNotBecomeFree
guard estimates-are-corrected pkg/reserver/estimates.go 's/return c.percentile\(\)$/return 1/' pkg/reserver TestEstimatesAreCorrectedByTheErrorOfFinishedRuns
guard plans-see-whole-racks pkg/scheduler/reservable_runners.go 's/^\t\t\tslices.SortFunc\(sweep.runners, compareRacks\)/\t\t\t_ = compareRacks/' pkg/scheduler TestRackLocalGangAmongManyRunnersIsReservedOnOneRack
guard small-tasks-are-packed pkg/scheduler/packing.go 's/^\treturn packed$/\treturn false \&\& packed/' pkg/scheduler TestSmallTasksLeaveTheGapsOfLargeRunnersWhole
guard other-steps-get-no-copy pkg/scheduler/copies.go 's/return s.Speculative \&\& !s.Gang \&\& !s.LongRunning \&\& !s.BestEffort/return true/' pkg/scheduler TestOtherStepsGetNoCopy
guard late-runs-get-copies pkg/scheduler/cell.go 's/^\t\tc.startCopies\(now\)//' pkg/scheduler TestStragglerInWideStepGetsCopy
guard end-of-the-other-run-changes-nothing pkg/scheduler/finished_run.go 's/^\tif t.done \{/\tif false {/' pkg/scheduler TestStragglerInWideStepGetsCopy
guard task-waits-for-its-other-run pkg/scheduler/finished_run.go 's/if t.current.runner == nil \&\& t.failures/if t.failures/' pkg/scheduler TestLastFailureOfCopyWaitsForTheOtherRun
guard last-failure-of-a-copy-counts pkg/scheduler/finished_run.go 's/^\tdefer c.failExhausted\(now, t\)//' pkg/scheduler TestLastFailureOfCopyWaitsForTheOtherRun
guard copy-leaves-a-failure pkg/scheduler/copies.go 's/t.failures\+1 < c.terms\(t.job\).MaxFailures/true/' pkg/scheduler TestFailuresOfBothRunsCount
guard uncommitted-runs-get-no-copy pkg/scheduler/copies.go 's/ \&\& t.committedRun == t.run//' pkg/scheduler TestNoCopyOfRunThatIsNotCommitted
guard copies-have-a-budget pkg/speculator/speculator.go 's/case !u.allows\(t.Millis\):/case false:/' pkg/scheduler TestManyTasksLateAtOnceStayWithinBudget
guard hung-runner-is-late pkg/speculator/speculator.go 's/^\treturn max\(projected-r.Elapsed, r.Elapsed\), true/\treturn 0, false/' pkg/scheduler TestTaskOfRunnerThatHangsGetsCopy
guard progress-shows-lateness pkg/speculator/speculator.go 's/projected >= portion/false \&\& projected >= portion/' pkg/scheduler TestSlowRunnerIsKnownByProgress
guard copies-run-on-another-instance pkg/scheduler/copies.go 's/ \|\| sameInstance\(s, t.runner\)//' pkg/scheduler TestCopyRunsElsewhere
guard copies-run-in-another-domain pkg/scheduler/copies.go 's/domain != "" \&\& domain == .*\{/domain != domain {/' pkg/scheduler TestCopyRunsElsewhere
guard copies-avoid-faulty-runners pkg/scheduler/copies.go 's/if penalty > penaltyOtherRack \{/if false {/' pkg/scheduler TestNoCopyOnRunnersWithFaults
guard copies-fit-their-runner pkg/scheduler/copies.go 's/!c.mayPlace\(now, s, \&w, second\)/!c.mayPlace(now, s, \&w, second) \&\& false/; s/^\t\tif order.value.*/\t\tif false {/' pkg/scheduler TestNoCopyWhileAllRunnersAreBusy
guard next-owner-knows-copies pkg/scheduler/task.go 's/if t.listedCopy \{/if false {/' pkg/scheduler TestNextOwnerKnowsBothRuns
guard remaining-run-takes-over pkg/scheduler/second_run.go 's/^\t\tc.replaceCurrent\(other\)/\t\tt.copy = nil/' pkg/scheduler TestInstanceOfOneRunIsLost
guard loser-is-stopped pkg/scheduler/finished_run.go 's/^\tc.stop\(t.current\)//' pkg/scheduler TestLoserIsStoppedWhileItsJobGoesOn
guard cancellation-stops-copies pkg/scheduler/job_changes.go 's/c.stopAll\(t\)/c.stop(t)/' pkg/scheduler TestCancellationStopsBothRuns
guard ack-waits-for-the-other-start pkg/scheduler/runner_listing.go 's/ \&\& !p.unsettled.mayStart\(\)//' pkg/scheduler TestEndIsAckedOnceTheCopyCannotStart
guard no-start-after-an-acknowledged-end pkg/scheduler/runner_listing.go 's/ \&\& !p.unsettled.mayStart\(\)//' $simulation TestSpeculativeStepsUnderFaults
guard no-copy-after-the-last-failure pkg/scheduler/copies.go 's/t.failures\+1 < c.terms\(t.job\).MaxFailures/true/' $simulation TestSpeculativeStepsUnderFaults
guard copies-count-in-the-row pkg/scheduler/copies.go 's/^\tif c.rowRoom\(t.job\) < copyRowRoom \{/\tif false {/; s/ \&\& c.rowRoom\(t.job\) >= copyRowRoom//' pkg/scheduler TestRowsWithCopies
guard finite-starts-wait-for-the-higher-epoch pkg/scheduler/sync.go 's/c.cfg.Epoch >= s.fenceEpoch \|\| //; s/return t.spec\(\).LongRunning$/return true/' pkg/scheduler TestDelayedAckToFormerIncarnationDropsNoEnd
guard released-runs-are-stored pkg/scheduler/loading.go '/^\tp.loadReleased\(tasks\)$/d' pkg/scheduler 'TestFailureOfGivenUpRunIsCountedOrNotAckedByNextOwner$'
guard uncounted-failure-needs-proof pkg/scheduler/expiry.go 's/ \&\& !t.failedUncounted\(e\)//' pkg/scheduler 'TestFailureOfGivenUpRunIsCountedOrNotAckedByNextOwner$'
guard released-runs-without-room-are-unknown pkg/scheduler/released_runs.go 's/t.released.upTo = t.lastRun$/_ = t/' pkg/scheduler TestReleasedRunsAreStored
guard delayed-calls-state-their-leases pkg/scheduler/report.go '/^\ts.limitDelayedLease\(\)$/d' pkg/scheduler TestTaskOfRunnerThatIsLostBeforeItIsFenced
guard former-owner-may-have-stated-later-leases pkg/scheduler/delayed_lease.go 's/former := max.*/former := 0*time.Second/' pkg/scheduler TestDelayedLeaseEndsWithWhatCallsCanState
guard former-owner-may-have-seen-other-incarnations pkg/scheduler/delayed_lease.go 's/if c.succeeds .*\{/if false {/' pkg/scheduler TestDelayedLeaseEndsWithWhatCallsCanState
guard calls-to-any-earlier-incarnation-count pkg/scheduler/delayed_lease.go 's/if now.Before\(old.delayedCallsEnd\) \{/if false {/' pkg/scheduler TestDelayedLeaseEndsWithWhatCallsCanState
guard claimed-runner-is-not-watched pkg/scheduler/leases.go 's/unclaimed := .*/unclaimed := true/' $simulation TestAcceptedStartMayHaveReachedLaterIncarnation
guard claims-are-reported pkg/supervisor/core.go '/Claimed: +c.claimedAgain\(\),$/d' $simulation TestAcceptedStartMayHaveReachedLaterIncarnation
guard given-up-starts-need-proof pkg/placer/reconcile.go '/w.requireExpiry\(c.now\)/d' pkg/placer TestWorkerWhoseStartsWereGivenUpGetsNoLease
guard next-owner-of-workers-needs-proof pkg/placer/reconcile.go '/c.requireFor\(w, t\)/d' pkg/placer TestEndOfGivenUpStartIsNotForgottenByNextOwner
guard no-forget-without-proof pkg/placer/output.go 's/if c.workers\[address\].expiry.due/if false/' pkg/placer TestEndOfGivenUpStartIsNotForgottenWithoutProof
guard drained-domain-gets-no-start pkg/scheduler/refusal.go 's/case s.domainClosed:/case false:/' pkg/scheduler TestFullDomainThatIsOrderedDrainedGetsNoStart
guard former-start-is-not-requested-again pkg/scheduler/sync.go 's/!s.domainClosed \&\& c.ordersKnown/c.ordersKnown/' pkg/scheduler TestNewOwnerOfDrainedDomainStopsNoRun
guard orders-without-rows-are-gone pkg/controller/orders.go 's/if whole \{/if false {/' pkg/controller TestOrdersAfterLostHistory
guard next-owner-knows-the-orders pkg/controller/loading.go '/o.cell.SetOrders\(/d' pkg/controller TestNextOwnerKnowsTheOrders
guard old-start-is-not-carried-out pkg/supervisor/commands.go 's/timely := .*/timely := true/' pkg/supervisor TestCutOffAgentCarriesOutNoOldStart
guard unread-listing-tells-no-time pkg/supervisor/lease.go 's/clockMillis > c.clockByNow\(now\)/true/' pkg/supervisor TestCutOffAgentCarriesOutNoOldStart
guard old-orders-start-nothing pkg/scheduler/draining.go 's/return c.cfg.DrainWithin == 0 .*/return true/' pkg/scheduler TestOwnerWithOldReadingOfOrdersStartsNothing
guard unaccepted-start-is-withdrawn pkg/scheduler/sync.go 's/!s.domainClosed \&\& publisher/publisher/' pkg/scheduler TestUnacceptedStartInDrainedDomainIsWithdrawn
guard runs-of-former-owner-go-on pkg/scheduler/draining.go 's/return requestedHere \|\| .*/return requestedHere || true/' pkg/scheduler TestNewOwnerOfDrainedDomainStopsNoRun
guard drained-capacity-is-not-idle pkg/scheduler/runner_index.go 's/ \&\& !s.domainClosed//' pkg/scheduler TestAllDomainsDrainedHoldAllWork
guard one-task-is-moved-at-a-time pkg/scheduler/moving.go 's/case t.moving \&\& !t.atWork\(now\):/case false:/' pkg/scheduler TestLongRunningTasksAreMovedOneAtATime
guard unavailable-tasks-count pkg/scheduler/moving.go 's/limit == 0 \|\| unavailable < limit/true || unavailable < limit/' pkg/scheduler TestLongRunningTasksThatMayNotMoveStay
guard room-is-held-for-moves pkg/scheduler/choosing.go 's/publisher.Subtract\(s.free\(\), s.held\(t\)\)/s.free()/' pkg/scheduler TestRoomIsHeldForTaskOnItsWay
guard cold-runner-is-loaded-in-steps pkg/scheduler/choosing.go 's/ \|\| c.tooCold\(now, s, t.spec\(\)\)//' pkg/scheduler TestColdRunnerIsLoadedInSteps
guard stopped-agent-sends-no-old-start pkg/supervisor/agent.go 's/late > maxStartDelay \{/late < 0 {/' pkg/supervisor TestStartThatWasDecidedOnLongAgoIsNotSent
guard heads-and-trailers-are-bounded pkg/server/scanner.go 's/s.part > b.HeadBytes\+len\("\\r\\n"\)/s.part < 0/' pkg/server TestScannerBoundsEachPart
guard chunk-lines-are-bounded pkg/server/scanner.go 's/if s.lineBytes > maxChunkLineBytes \{/if false {/' pkg/server TestScannerBoundsEachPart
guard cut-trailers-run-nothing pkg/server/refusal.go 's/or timeout within a request/within a request/' pkg/server TestRefusedRequestsHaveNotRun
guard answered-connection-stays-open pkg/server/conn.go 's/return c.reading \&\& c.closedFor/return c.closedFor/' pkg/server TestIdlestConnectionIsClosedForAnotherOne
guard unfinished-requests-have-a-budget pkg/server/limiter.go 's/l.held-l.leaving > l.budget \&\& !l.free\(c\)/l.held < 0/' pkg/server TestIdlestConnectionIsClosedForMemory
guard idlest-connection-is-closed-first pkg/server/limiter.go 's/a.active.Compare\(b.active\)/b.active.Compare(a.active)/' pkg/server TestIdlestConnectionIsClosedForMemory
guard connections-are-limited pkg/server/limiter.go 's/len\(l.conns\)-l.leavingConns >= l.maxConns/len(l.conns) < 0/' pkg/server TestIdlestConnectionIsClosedForAnotherOne
guard steady-clients-get-time pkg/server/bounds.go 's/ \+ timeAtMinRate\(s.raw\)//' pkg/server TestDeadlinesDependOnProgress
guard accept-survives-lack-of-descriptors pkg/server/transport.go 's/if isTemporary\(err\) \{/if false {/' pkg/server TestAcceptSurvivesLackOfDescriptors
guard collector-keeps-up pkg/server/collector.go 's/held > budget\/2:/held < 0:/' pkg/server TestCollectorIsLimitedOnlyUnderStrain
guard first-frame-is-small pkg/connector/frame_conn.go 's/case !c.greeted \&\& /case false \&\& /' pkg/connector TestUnknownPeersSendSmallFrames
guard frames-get-memory-as-they-arrive pkg/connector/frame_conn.go 's/min\(n-have, max\(maxReusedBufferBytes, have\)\)/n - have/' pkg/connector TestUnknownPeersSendSmallFrames
guard operators-limits-are-in-force platform/caller_bounds.go 's/HeadTimeout: queues.HeadTimeout,//' platform TestCallerBoundsFollowTheConfiguration
guard held-room-is-for-its-task pkg/scheduler/choosing.go 's/ \&\& t.roomOn == nil//' pkg/scheduler TestIndexPlacesLikeScan
guard size-classes-have-floors pkg/ranker/shares.go 's/!q.promoted\[class\] \&\& q.behind\(now, class\)/false/' pkg/ranker TestOverloadServesEachSizeClass
guard large-jobs-are-promoted pkg/scheduler/ordering.go 's/^\t\tshares.Promote\(now\)/\t\t_ = shares/' pkg/scheduler TestLargeJobsAreServedWhileSmallOnesOverload
guard floor-is-not-used-up pkg/ranker/shares.go 's/turn%2 == 0/true/' pkg/ranker TestStepThatFitsNowhereDoesNotUseUpTheFloor
guard overload-is-refused pkg/estimator/estimator.go 's/float64\(q.wait\) > limit\*bound/limit < 0/' pkg/ranker TestAcceptedJobsCompleteAtTwiceTheCapacity
guard refusals-have-hysteresis pkg/estimator/estimator.go 's/limit = reopenAt/limit = closeAt/' pkg/estimator TestOverloadRefusesBatchJobs
guard idle-service-refuses-nothing pkg/estimator/estimator.go 's/full \&\& rate > 0/rate > 0/; s/^\tfull := .*//' pkg/estimator TestOverloadRefusesBatchJobs
guard old-estimate-refuses-nothing pkg/estimator/report.go 's/ \|\| now.Sub\(v.AsOf\) > maxAge//' pkg/controller TestEntryKnowsHowOldAnEstimateIs
guard first-estimate-may-be-old pkg/controller/admission.go 's/AsOf:   a.seenAt/AsOf:   now/' pkg/controller TestEntryKnowsHowOldAnEstimateIs
guard committed-job-is-not-refused pkg/controller/admission.go 's/row.Version > 0 \&\& !row.Deleted/false/' pkg/controller TestOverloadedEntryRefusesOnlyUnknownJobs
guard unsettled-job-is-not-refused pkg/controller/admission.go 's/e.admission.underWay\(now, spec.ID\)/false/' pkg/controller TestOverloadedEntryRefusesOnlyUnknownJobs
guard unread-row-refuses-nothing pkg/controller/admission.go '/job not refused/,/^\t\}/s/return false, nil//' pkg/controller TestOverloadedEntryRefusesOnlyUnknownJobs
guard former-owner-estimates-nothing pkg/controller/owner.go 's/ \|\| w.acquire \|\| w.release \{/ {/' pkg/controller TestOwnerPublishesWhatRunnersCanHold
guard runners-must-be-stable pkg/estimator/runners.go 's/ \|\| now.Sub\(s.changedAt\) < stableFor//' pkg/estimator TestJobThatNoRunnerCanHoldIsRefused
guard lost-run-may-end-its-job pkg/scheduler/lost_runner.go 's/if t.runner == s \{/if true {/' pkg/scheduler TestLostRunEndsJobWithUnsentStartOnTheSameRunner
guard moves-need-placement pkg/scheduler/cell.go 's/if !mayPlace \|\| !c.ordersKnown\(now\) \{/c.moveIfDue(now)\n\tif !mayPlace {/' pkg/scheduler TestNothingIsMovedWhileNothingCanBePlaced
guard unreported-runs-are-left pkg/scheduler/draining.go 's/case len\(s.tasks\) > 0:/case false:/' pkg/scheduler TestDomainIsNotDrainedWhileRunnersWithRunsAreUnreported
guard moved-task-goes-first pkg/scheduler/placing.go 's/slices.SortStableFunc\(tasks, func\(a, b \*task\) int \{ return compareBools\(a.roomOn == nil, b.roomOn == nil\) \}\)/_ = compareBools/' pkg/scheduler TestMovedTaskIsPlacedBeforeOthersOfItsStep
guard requests-have-ranges pkg/scheduler/job.go 's/if err := s.checkNeeds\(field\); err != nil \{/if err := s.checkNeeds(field); err != nil \&\& false {/' platform TestJobsWithRequestsOutOfRangeAreRejected
[ $survived -eq 0 ] && echo "every guard is held by its test"
exit $survived
