package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/operator"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	// jobCount is the number of batch jobs that the demo submits.
	jobCount = 12
	// jobsTimeout bounds the time until all jobs have ended.
	jobsTimeout      = 30 * time.Second
	jobsPollInterval = 100 * time.Millisecond
)

// submitJobs submits jobCount weighting runs of team condor.
func submitJobs(ctx context.Context, client *operator.Client) error {
	for i := range jobCount {
		body, err := json.Marshal(placer.Spec{
			ID:      fmt.Sprintf("weighting-run-%02d", i),
			Team:    "condor",
			Urgency: i % 10,
			Needs: publisher.Resources{
				ProcessorMillis: 8000,
				MemoryBytes:     20 << 30,
			},
			RunTimeMillis: 600,
		})
		if err != nil {
			return errors.Wrap(err, "encoding a job")
		}
		reply, err := client.Do(ctx, operator.Call{
			Method: "POST",
			Path:   "/v1/jobs",
			Body:   body,
		})
		if err != nil {
			return err
		}
		if reply.Outcome != "" {
			return reply.Error()
		}
	}
	return nil
}

// waitForJobs waits until every job has ended or jobsTimeout has passed, and
// returns the number of jobs that are done.
func waitForJobs(ctx context.Context, client *operator.Client) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, jobsTimeout)
	defer cancel()
	ticker := time.NewTicker(jobsPollInterval)
	defer ticker.Stop()
	for {
		var tasks []placer.Task
		if err := client.Get(ctx, "/v1/jobs", &tasks); err != nil {
			return 0, err
		}
		done, ended := 0, 0
		for _, task := range tasks {
			if task.State.Final() {
				ended++
			}
			if task.State == placer.StateDone {
				done++
			}
		}
		if ended == jobCount {
			return done, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return done, nil
		}
	}
}
