package commander

import (
	"fmt"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/receiver"
)

// ownerAmong returns which of the given entries owns the cell.
func (s *system) ownerAmong(entries ...int) (int, error) {
	for _, i := range entries {
		var cells []receiver.CellBody
		if s.at(i).Get(s.t.Context(), "/v1/cells", &cells) == nil && len(cells) == 1 && cells[0].Own {
			return i, nil
		}
	}
	return 0, fmt.Errorf("none of the entries %v owns the cell", entries)
}

// owned waits until one of the given entries owns the cell.
func (s *system) owned(entries ...int) int {
	s.t.Helper()
	owner := 0
	s.until(func() error {
		var err error
		owner, err = s.ownerAmong(entries...)
		return err
	})
	return owner
}

// TestFrozenOwner freezes the cell's owner past its lease while tasks run. One
// of the others takes over and stops none of them; the former owner wakes, does
// nothing with its old lease, and every task has been started once.
func TestFrozenOwner(t *testing.T) {
	s := startSystem(t)
	owner := s.owned(0, 1, 2)
	const jobs = 4
	s.submitJobs(jobs, 12_000)
	s.until(func() error { return jobsIn(s, placer.StatePlaced, jobs) })
	s.signal(fmt.Sprintf("entry-%d", owner), syscall.SIGSTOP)
	others := []int{(owner + 1) % 3, (owner + 2) % 3}
	s.owned(others...)
	s.signal(fmt.Sprintf("entry-%d", owner), syscall.SIGCONT)
	s.until(func() error {
		if _, err := s.ownerAmong(owner); err == nil {
			return fmt.Errorf("the frozen owner still believes that it owns the cell")
		}
		return nil
	})
	s.until(func() error { return jobsIn(s, placer.StateDone, jobs) })
	for _, task := range s.jobs() {
		assert.Equal(t, task.Start, 1, "%s was started %d times", task.Spec.ID, task.Start)
	}
}

func (s *system) jobs() []placer.Task {
	var tasks []placer.Task
	for i := range s.entries {
		if s.at(i).Get(s.t.Context(), "/v1/jobs?class=batch", &tasks) == nil {
			break
		}
	}
	return tasks
}

func jobsIn(s *system, state placer.State, n int) error {
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
