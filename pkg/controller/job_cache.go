package controller

import (
	"strings"

	"github.com/hashicorp/go-hclog"

	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// jobView is what an entry knows of a job from the store's rows.
type jobView struct {
	spec scheduler.Spec
	// hasSpec is set once the job's own row was seen.
	hasSpec   bool
	cancelled bool
	progress  scheduler.Progress
	// progressVersion is the version of the progress row; nought if there is
	// none.
	progressVersion uint64
}

// state is what callers see of the job.
func (v *jobView) state() scheduler.State {
	switch {
	case v.spec.Tombstone:
		return scheduler.StateCancelled
	case v.progressVersion > 0 && v.progress.State.Final():
		return v.progress.State
	case v.cancelled:
		return scheduler.StateCancelled
	case v.progressVersion > 0 && v.progress.Begun:
		return scheduler.StateRunning
	default:
		return scheduler.StateQueued
	}
}

// pending tells whether the job is accepted and no task of it has started.
func (v *jobView) pending() bool {
	return v.hasSpec && !v.spec.Tombstone && v.state() == scheduler.StateQueued
}

// jobCache holds an entry's view of the rows of jobs and progress. It belongs to
// the control goroutine.
type jobCache struct {
	log  hclog.Logger
	jobs map[string]*jobView
	// lease is the newest row of the cell.
	lease storer.PartitionedRow
}

func newJobCache(log hclog.Logger) *jobCache {
	return &jobCache{
		log:  log,
		jobs: map[string]*jobView{},
	}
}

func (m *jobCache) view(id string) *jobView {
	v := m.jobs[id]
	if v == nil {
		v = &jobView{}
		m.jobs[id] = v
	}
	return v
}

// applyJob takes a row of the table of jobs and returns the id of the job that
// it concerns, or nothing if the row tells nothing new.
func (m *jobCache) applyJob(row storer.PartitionedRow) string {
	if row.Deleted {
		m.removeJob(row.Key.Name)
		return ""
	}
	if id, ok := cancelledID(row.Key.Name); ok {
		v := m.view(id)
		if v.cancelled {
			return ""
		}
		v.cancelled = true
		return id
	}
	if v := m.jobs[row.Key.Name]; v != nil && v.hasSpec {
		return ""
	}
	spec, err := decodeSpec(row)
	if err != nil {
		m.log.Error("job row passed over", "error", err)
		return ""
	}
	m.addJob(spec)
	return spec.ID
}

func (m *jobCache) addJob(spec scheduler.Spec) {
	v := m.view(spec.ID)
	v.spec = spec
	v.hasSpec = true
}

// applyCell takes a row of the cell.
func (m *jobCache) applyCell(row storer.PartitionedRow) {
	if row.Key.Name == leaseName {
		if row.Version > m.lease.Version {
			m.lease = row
		}
		return
	}
	id, ok := strings.CutPrefix(row.Key.Name, progressPrefix)
	if !ok {
		return
	}
	v := m.view(id)
	if row.Deleted {
		if !v.hasSpec {
			delete(m.jobs, id)
		}
		return
	}
	if row.Version <= v.progressVersion {
		return
	}
	p, err := decodeProgress(row)
	if err != nil {
		m.log.Error("progress row passed over", "error", err)
		return
	}
	m.setProgress(id, p, row.Version)
}

func (m *jobCache) setProgress(id string, p scheduler.Progress, version uint64) {
	v := m.view(id)
	v.progress = p
	v.progressVersion = version
}

// pending counts the jobs of a queue for which no task has started.
func (m *jobCache) pending(queue string) int {
	n := 0
	for _, v := range m.jobs {
		if v.spec.Queue == queue && v.pending() {
			n++
		}
	}
	return n
}
