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
	// known is set once the job's own row was seen.
	known     bool
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
	return v.known && !v.spec.Tombstone && v.state() == scheduler.StateQueued
}

// mirror holds an entry's view of the rows of jobs and progress. It belongs to
// the control goroutine.
type mirror struct {
	log  hclog.Logger
	jobs map[string]*jobView
	// lease is the newest row of the cell.
	lease storer.PartitionedRow
}

func newMirror(log hclog.Logger) *mirror {
	return &mirror{
		log:  log,
		jobs: map[string]*jobView{},
	}
}

func (m *mirror) view(id string) *jobView {
	v := m.jobs[id]
	if v == nil {
		v = &jobView{}
		m.jobs[id] = v
	}
	return v
}

// applyJob takes a row of the table of jobs and returns the id of the job that
// it concerns, or nothing if the row tells nothing new.
func (m *mirror) applyJob(row storer.PartitionedRow) string {
	if row.Deleted {
		m.forgetJob(row.Key.Name)
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
	if v := m.jobs[row.Key.Name]; v != nil && v.known {
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

func (m *mirror) addJob(spec scheduler.Spec) {
	v := m.view(spec.ID)
	v.spec = spec
	v.known = true
}

// applyCell takes a row of the cell.
func (m *mirror) applyCell(row storer.PartitionedRow) {
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
		if !v.known {
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

func (m *mirror) setProgress(id string, p scheduler.Progress, version uint64) {
	v := m.view(id)
	v.progress = p
	v.progressVersion = version
}

// pending counts the jobs of a queue for which no task has started.
func (m *mirror) pending(queue string) int {
	n := 0
	for _, v := range m.jobs {
		if v.spec.Queue == queue && v.pending() {
			n++
		}
	}
	return n
}
