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
	// jobs is how many batch jobs the demo submits.
	jobs = 12
	// jobsLimit bounds how long they may take.
	jobsLimit = 30 * time.Second
	jobsPoll  = 100 * time.Millisecond
)

// submitJobs puts weighting runs on record.
func submitJobs(ctx context.Context, client *operator.Client) error {
	for i := range jobs {
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

// followJobs waits until every job has ended and returns how many are done.
func followJobs(ctx context.Context, client *operator.Client) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, jobsLimit)
	defer cancel()
	ticker := time.NewTicker(jobsPoll)
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
		if ended == jobs {
			return done, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return done, nil
		}
	}
}
