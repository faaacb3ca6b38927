package controller

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

const (
	// platformLease is the longest lease that the platform of the play permits.
	platformLease = 10 * time.Second
	playStep      = 10 * time.Millisecond
	reportEvery   = 500 * time.Millisecond
	submitEvery   = 200 * time.Millisecond
	shortRunTime  = 500 * time.Millisecond
	watchID       = "watch"
)

// playedRunner is a runner with its agent.
type playedRunner struct {
	info      framer.RunnerInfo
	startedAt time.Time
	listedAt  time.Time
	running   []playedRun
	finished  []framer.FinishedRun
	sequence  int64
	lost      bool
	// epoch is the highest epoch received, listedEpoch the one of the last
	// listing.
	epoch       uint64
	listedEpoch uint64
}

// playedRun is a run in progress; one without an end lasts.
type playedRun struct {
	ref   framer.RunRef
	endAt time.Time
}

// advance finishes the short runs that are over.
func (r *playedRunner) advance(now time.Time) {
	r.running = slices.DeleteFunc(r.running, func(run playedRun) bool {
		over := !run.endAt.IsZero() && !now.Before(run.endAt)
		if over {
			r.sequence++
			r.finished = append(r.finished, framer.FinishedRun{
				RunRef:   run.ref,
				Sequence: r.sequence,
				Reason:   framer.FinishDone,
			})
		}
		return over
	})
}

// stop records that a run that is not here will never start.
func (r *playedRunner) stop(ref framer.RunRef) {
	isRef := func(f framer.FinishedRun) bool { return f.RunRef == ref }
	if !slices.ContainsFunc(r.finished, isRef) {
		r.finished = append(r.finished, framer.FinishedRun{
			RunRef: ref,
			Reason: framer.FinishNeverStarted,
		})
	}
}

func (r *playedRunner) statuses() []framer.RunStatus {
	var list []framer.RunStatus
	for _, run := range r.running {
		list = append(list, framer.RunStatus{
			RunRef: run.ref,
		})
	}
	return list
}

// cellPlay plays a cell, as an entry configures it, and its runners in virtual
// time.
type cellPlay struct {
	t       *testing.T
	now     time.Time
	entry   *Entry
	cell    *scheduler.Cell
	runners map[string]*playedRunner
	jobs    int
	// processorMillis holds the capacity of each runner. The task is placed on
	// the larger one.
	processorMillis map[string]int64
	// progress is what is committed, specs the jobs.
	progress map[string]scheduler.Progress
	specs    map[string]scheduler.Spec
}

func newCellPlay(t *testing.T) *cellPlay {
	p := &cellPlay{
		t:        t,
		now:      time.Unix(1000, 0),
		runners:  map[string]*playedRunner{},
		progress: map[string]scheduler.Progress{},
		specs:    map[string]scheduler.Spec{},
		processorMillis: map[string]int64{
			"a": 48_000,
			"b": 32_000,
		},
	}
	p.acquire(p.now, 0)
	for name := range p.processorMillis {
		p.runners[name] = &playedRunner{}
		p.restartRunner(name)
	}
	return p
}

// acquire makes another entry the owner, which last saw the lease row of the
// former owner change at a given time.
func (p *cellPlay) acquire(changedAt time.Time, formerEpoch uint64) {
	e := &Entry{
		cfg: configurer.Fleet{
			Link:          self,
			LongestLease:  publisher.Duration(platformLease),
			RestartWithin: configurer.FleetDefaults().RestartWithin,
		},
		log:    hclog.NewNullLogger(),
		assert: asserter.New(func(name string, pairs ...any) { p.t.Fatalf("invariant %s broken: %v", name, pairs) }),
		cache:  newJobCache(hclog.NewNullLogger(), 0),
	}
	e.owner.lease = leaser.NewWith(self, leaser.Terms{
		Duration:     leaseDuration,
		AcquireAfter: acquireAfter,
	})
	e.cache.lease = leaseRowOf(leaseRow{
		Lease: leaser.Row{
			Owner: other,
			Epoch: formerEpoch,
		},
		RunnerLeaseMillis: e.longestInForce(p.now).Milliseconds(),
	})
	e.observeLease(changedAt)
	e.owner.formerLeasesEnd = e.owner.former.leasesEnd(e.owner.lease.SeenAt(), platformLease)
	e.owner.lease.ConfirmedAtVersion(p.now, 6)
	p.entry = e
	p.cell = scheduler.NewCell(e.cellConfig())
	p.cell.SetQueues(&scheduler.Queues{
		Version: 1,
		List: []scheduler.Queue{{
			Name:    "q",
			Service: "s",
			Terms: scheduler.Terms{
				MaxFailures: 2,
				Stretch:     2,
			},
		}},
	})
	for id, spec := range p.specs {
		if progress, ok := p.progress[id]; ok {
			p.cell.Load(p.now, spec, progress)
		} else {
			p.cell.Add(p.now, spec)
		}
	}
}

// restartRunner replaces a runner by a new incarnation with the same id.
func (p *cellPlay) restartRunner(name string) {
	r := p.runners[name]
	r.info = framer.RunnerInfo{
		Address: "10.0.1.1:" + name,
		Key: framer.RunnerKey{
			ID:              name,
			StartedAtMillis: p.now.UnixMilli(),
		},
		Service:         "s",
		ProcessorMillis: p.processorMillis[name],
		MemoryBytes:     1 << 37,
	}
	r.startedAt = p.now
	r.running = nil
	r.finished = nil
	r.sequence = 0
}

func (p *cellPlay) submit(id string, longRunning bool) {
	spec := scheduler.Spec{
		ID:      id,
		Queue:   "q",
		Service: "s",
		Steps: []scheduler.Step{{
			Count:          1,
			LongRunning:    longRunning,
			EstimateMillis: 500,
			Needs: publisher.Resources{
				ProcessorMillis: 500,
				MemoryBytes:     1 << 30,
			},
		}},
	}
	p.specs[id] = spec
	p.cell.Add(p.now, spec)
}

// playFor plays for a duration, with a short job every submitEvery.
func (p *cellPlay) playFor(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(playStep) {
		if p.now.UnixMilli()%submitEvery.Milliseconds() == 0 {
			p.jobs++
			p.submit("short"+strconv.Itoa(p.jobs), false)
		}
		if p.now.UnixMilli()%reportEvery.Milliseconds() == 0 {
			p.report()
		}
		p.cell.Tick(p.now, true)
		if commit, changed := p.cell.Commit(); changed {
			for _, row := range commit.Rows {
				p.progress[row.ID] = row.Progress
			}
			p.cell.Committed(commit)
		}
		if p.cell.EpochRaiseDue() {
			p.cell.SetEpoch(p.cell.Epoch() + 1)
		}
		for _, agent := range p.cell.Dirty() {
			p.sync(agent)
		}
	}
}

func (p *cellPlay) report() {
	for name, r := range p.runners {
		if !r.lost {
			r.advance(p.now)
			r.listedAt = p.now
			r.listedEpoch = r.epoch
		}
		p.cell.HandleReport(p.now, name, framer.Report{
			Runner:           r.info,
			ClockMillis:      r.listedAt.Sub(r.startedAt).Milliseconds() + 1,
			Listed:           true,
			ListingAgeMillis: p.now.Sub(r.listedAt).Milliseconds(),
			ListedEpoch:      r.listedEpoch,
			Running:          r.statuses(),
			Finished:         slices.Clone(r.finished),
		})
	}
}

func (p *cellPlay) sync(name string) {
	r := p.runners[name]
	message := p.cell.Sync(p.now, name, true)
	r.epoch = message.Epoch
	if r.lost {
		return
	}
	r.finished = slices.DeleteFunc(r.finished, func(f framer.FinishedRun) bool {
		return f.Reason == framer.FinishNeverStarted || f.Sequence <= message.AckedSequence
	})
	for _, ref := range message.Stops {
		r.stop(ref)
	}
	for _, start := range message.Starts {
		run := playedRun{
			ref: start.RunRef,
		}
		if !p.specs[strings.Split(start.Task, ".")[0]].Steps[0].LongRunning {
			run.endAt = p.now.Add(shortRunTime)
		}
		if !slices.ContainsFunc(r.running, func(other playedRun) bool { return other.ref == run.ref }) {
			r.running = append(r.running, run)
		}
	}
}

// watchedOn returns the runner that runs the long-running task; "" if none does.
func (p *cellPlay) watchedOn() string {
	for name, r := range p.runners {
		for _, run := range r.running {
			if run.ref.Task == watchID+".0.0.0" && !r.lost {
				return name
			}
		}
	}
	return ""
}
