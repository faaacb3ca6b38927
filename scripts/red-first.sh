#!/usr/bin/env bash
# Shows that the failure tests fail without the code they are meant for: each
# line takes one guard out of a scratch copy and demands that its test fails.
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
world=pkg/experimenter
random='TestRandomFaults'
guard fence-takes-waiting-out pkg/gatekeeper/gate.go '/if rec.state == stateWaiting \{/,/^\t\}/d' $world $random
guard non-idempotent-not-retried pkg/dispatcher/attempt.go 's/case !q.Idempotent \|\| /case /' $world $random
guard replaced-is-not-proof pkg/dispatcher/attempt.go 's/^\tq.mayHaveRun = true\n\tswitch//; /^func \(d \*Dispatcher\) lost/,/^\}/s/q.mayHaveRun = true//' $world $random
guard not-run-needs-proof pkg/dispatcher/outcome.go '/^func \(q \*request\) unsuccessful/,/^\}/s/if q.mayHaveRun/if false/' $world $random
guard expired-in-flight-is-unknown pkg/dispatcher/outcome.go 's/d.finish\(q, unknown\(framer.ReasonExpired\)\)/d.finish(q, notRun(framer.ReasonExpired))/' $world $random
guard claim-taken-is-refused pkg/dispatcher/dispatcher.go '/case ClaimTaken:/,/d.finish/s/d.finish.*/d.enqueue(now, d.services[q.Service], q)/' $world $random
guard release-only-unrun pkg/dispatcher/outcome.go '/^\tcase Answered:/,/^\tcase NotRun:/s/d.Counts.Answered\+\+/d.Counts.Answered++; d.act(Action{Release: \&Release{ID: q.ID, Service: q.Service, CallerID: q.CallerID}})/' $world $random
guard slots-bound-the-gate pkg/gatekeeper/room.go 's/free := g.plan.Slots - g.total/free := 99/' $world $random
guard leaving-gate-refuses pkg/gatekeeper/gate.go 's/if g.leaving \{/if false {/' $world $random
guard silence-is-seen pkg/linker/watch.go 's/return w.pending != 0 .*/return false/' pkg/linker TestSilenceIsFound
guard whole-answers-only pkg/dispatcher/attempt.go 's/q.address != address \|\| q.attempt != attempt/q.address != address/' pkg/dispatcher TestAnswersAreWholeOrNotAtAll
cell='TestCellUnderFaults'
guard cell-row-guards-commits pkg/overseer/commit.go 's/c.drop\(now\)/c.lease.Confirmed(w.firstSent); c.written(now, w)/' $world $cell
guard takeover-waits-the-horizon pkg/placer/cell.go 's/leaseEnd: now.Add\(leaser.OrphanHorizon \+ TaskLease\)/leaseEnd: now.Add(0 * leaser.OrphanHorizon)/' $world $cell
guard lapse-waits-the-lease pkg/placer/cell.go 's/!w.reachable \&\& now.After\(.*\) \{/!w.reachable {/' $world $cell
guard start-only-committed pkg/placer/output.go 's/!committed \|\| e.confirmed/!committed \&\& false || e.confirmed/' $world $cell
guard lost-answer-is-not-failure pkg/overseer/commit.go '/^\tdefault:$/,/resendAt = /s/w.waiting = false/c.write = nil/' $world $cell
guard paused-owner-starts-nothing pkg/placer/output.go 's/ \|\| !mayStart//' pkg/placer TestNothingStartsBeforeItsRowIsWritten
guard forget-after-the-row pkg/placer/output.go 's/if kind == CommandForget \&\& .*\{/if false {/' $world $cell
guard ledger-bounds-workers pkg/placer/placing.go 's/ \|\| !w.ledger.Fits\(e.Spec.Needs\)//' $world $cell
guard cancel-waits-for-the-stop pkg/placer/task.go 's/Permit\(triggerCancel, StateCancelling\)/Permit(triggerCancel, StateCancelled)/' $world $cell
guard lease-in-the-workers-clock pkg/placer/output.go 's/w.leaseEnd = w.clockAt.Add\(TaskLease\)/w.leaseEnd = w.clockAt/' $world $cell
guard only-the-same-incarnation pkg/faker/worker.go 's/if s.Incarnation != w.report.Incarnation \{/if false {/' $world TestStartReachesReplacedWorker
steps='TestStepsUnderFaults'
guard settle-before-never pkg/holder/orders.go 's/if o.unanswered \{/if false {/' pkg/holder TestStartThatAnEarlierAgentMayHaveMade
guard silent-runner-starts-nothing pkg/holder/orders.go 's/ \|\| now.Sub\(c.listedAt\) > verifiedFor//' pkg/holder TestRunnerThatIsSilent
guard steps-start-once-on-record pkg/scheduler/sync.go 's/ \&\& t.committedRun == t.run//' pkg/scheduler TestStartsAreOnRecordFirst
guard ends-seen-once-on-record pkg/scheduler/site.go 's/ \&\& s.ends\[n\].change <= committed//' pkg/scheduler TestEndsAreSeenOnceOnRecord
guard former-life-is-stopped pkg/scheduler/report.go 's/\(!t.listed \|\| old.heldUp\(now, t.ref\(\)\)\)/false/' $world $steps
guard lost-runner-waits-its-lease pkg/scheduler/cell.go 's/len\(s.tasks\) > 0 \&\& now.After\(s.leaseEnd\)/s.agent == ""/' pkg/scheduler TestLostRunner
guard progress-is-no-pace pkg/scheduler/report.go 's/len\(s.serving\) == 0 \|\|/true ||/' pkg/scheduler TestFiguresTeachWhileTasksProgress
guard a-miss-teaches-within-bounds pkg/scheduler/interference.go 's/mostMiss = .*/mostMiss = 50/' pkg/scheduler TestASlowRunnerTeachesLittle
guard still-runners-are-set-aside pkg/scheduler/progress.go 's/s.still = true/s.still = false/' pkg/scheduler TestRunnerOnWhichRunsStandStill
guard gaps-are-not-stillness pkg/scheduler/progress.go 's/passed > longestGap/false/' pkg/scheduler TestRunnerOnWhichRunsStandStill
guard slow-runners-come-last pkg/scheduler/placing.go 's/penaltySlow += 16/penaltySlow = 0/; s/penaltySlow      = 16/penaltySlow      = 0/' pkg/scheduler TestSlowRunnerComesLast
guard one-burst-counts-once pkg/scheduler/site.go 's/if now.Before\(s.setAsideUntil\)/if false/' pkg/scheduler TestOneBurstOfFailures
guard lasting-tasks-keep-none-aside pkg/scheduler/site.go 's/s.passing\(\) == 0/len(s.tasks) == 0/' pkg/scheduler TestRunnerThatServes
guard first-listing-waits-for-nothing pkg/holder/listing.go 's/c.listedAt.IsZero\(\)/false/' pkg/holder TestOwnerHears
guard former-owner-may-still-grant pkg/controller/owner.go 's/takenAt.Add\(ownFor \+ /takenAt.Add(/' pkg/controller TestLeasesOfAFormerOwner
guard slow-store-keeps-its-owner pkg/controller/owner.go 's/return !slow \|\| /return /; s/!byAnother \|\| lease.UnchangedFor\(now\) >= slowTakeAfter/true || byAnother/' pkg/controller TestCellOfAnOwner
guard fillers-stay-below-targets pkg/scheduler/interference.go 's/return false/continue/' pkg/scheduler TestFillersGoWhere
[ $survived -eq 0 ] && echo "every guard is held by its test"
exit $survived
