package commander

import (
	"fmt"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/receiver"
)

// findOwner returns the index of the given entry that owns the cell.
func (s *system) findOwner(entries ...int) (int, error) {
	for _, i := range entries {
		var cells []receiver.CellBody
		if s.clientOf(i).Get(s.t.Context(), "/v1/cells", &cells) == nil && len(cells) == 1 && cells[0].Own {
			return i, nil
		}
	}
	return 0, fmt.Errorf("none of the entries %v owns the cell", entries)
}

// waitForOwner waits until one of the given entries owns the cell and returns its
// index.
func (s *system) waitForOwner(entries ...int) int {
	s.t.Helper()
	owner := 0
	s.waitFor(func() error {
		var err error
		owner, err = s.findOwner(entries...)
		return err
	})
	return owner
}

// TestFrozenOwnerLosesCell stops the cell's owner with SIGSTOP beyond its lease
// while tasks run. Another entry must take over the cell without stopping any of
// them. The former owner must not act on its expired lease when it resumes, and
// every task must have been started exactly once.
func TestFrozenOwnerLosesCell(t *testing.T) {
	s := startSystem(t)
	owner := s.waitForOwner(0, 1, 2)
	const jobs = 4
	s.submitJobs(jobs, 12_000)
	s.waitFor(func() error { return checkJobsInState(s, placer.StatePlaced, jobs) })
	s.signal(fmt.Sprintf("entry-%d", owner), syscall.SIGSTOP)
	others := []int{(owner + 1) % 3, (owner + 2) % 3}
	s.waitForOwner(others...)
	s.signal(fmt.Sprintf("entry-%d", owner), syscall.SIGCONT)
	s.waitFor(func() error {
		if _, err := s.findOwner(owner); err == nil {
			return fmt.Errorf("the former owner still reports that it owns the cell")
		}
		return nil
	})
	s.waitFor(func() error { return checkJobsInState(s, placer.StateDone, jobs) })
	for _, task := range s.jobs() {
		assert.Equal(t, task.Start, 1, "%s was started %d times", task.Spec.ID, task.Start)
	}
}

// jobs returns the batch jobs as listed by the first entry that replies.
func (s *system) jobs() []placer.Task {
	var tasks []placer.Task
	for i := range s.entries {
		if s.clientOf(i).Get(s.t.Context(), "/v1/jobs?class=batch", &tasks) == nil {
			break
		}
	}
	return tasks
}

// checkJobsInState returns an error if fewer than n jobs are in the state.
func checkJobsInState(s *system, state placer.State, n int) error {
	found := 0
	for _, task := range s.jobs() {
		if task.State == state {
			found++
		}
	}
	if found < n {
		return fmt.Errorf("%d of %d jobs are %s", found, n, state)
	}
	return nil
}
