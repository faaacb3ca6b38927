package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/operator"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/receiver"
)

// jobCommand groups the commands on jobs.
type jobCommand struct {
	Submit jobSubmit `cmd:"" help:"Put a batch job on record; it runs whatever happens to the entry."`
	Status jobStatus `cmd:"" help:"Show a job."`
	List   jobList   `cmd:"" help:"List jobs."`
	Cancel jobCancel `cmd:"" help:"Stop a job for good."`
}

// jobSubmit submits a batch job; it is persisted before the command returns.
type jobSubmit struct {
	operatorFlags
	ID              string        `help:"A name of your own, so that the job can be sent again safely."`
	Team            string        `help:"The team that owns the job." required:""`
	Kind            string        `help:"What the job does, like weighting: jobs of a kind slow services alike. The team's name by default."`
	Urgency         int           `help:"0 to 9; higher goes first." default:"3"`
	ProcessorMillis int64         `help:"Thousandths of a processor." required:""`
	MemoryBytes     int64         `help:"Bytes of memory." required:""`
	Accelerators    int64         `help:"Accelerators." default:"0"`
	RunTime         time.Duration `help:"How long it is expected to run." required:""`
}

// Run implements the command.
func (cmd jobSubmit) Run(ctx context.Context, s *streams) error {
	body, err := json.Marshal(placer.Spec{
		ID:      cmd.ID,
		Team:    cmd.Team,
		Kind:    cmd.Kind,
		Urgency: cmd.Urgency,
		Needs: publisher.Resources{
			ProcessorMillis: cmd.ProcessorMillis,
			MemoryBytes:     cmd.MemoryBytes,
			Accelerators:    cmd.Accelerators,
		},
		RunTimeMillis: cmd.RunTime.Milliseconds(),
	})
	if err != nil {
		return err
	}
	job, err := cmd.changeJob(ctx, operator.Call{
		Method: "POST",
		Path:   "/v1/jobs",
		Body:   body,
		// A retry of a job without an id from its caller could create a second job.
		AtMostOnce: cmd.ID == "",
	})
	if err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(s, job)
	}
	return printLine(s, "job %s is on record", job.ID)
}

// jobStatus prints a job's state.
type jobStatus struct {
	operatorFlags
	ID string `arg:"" help:"The job's id, as it was given at submission."`
}

// Run implements the command.
func (cmd jobStatus) Run(ctx context.Context, s *streams) error {
	var task placer.Task
	if err := cmd.get(ctx, "/v1/jobs/"+cmd.ID, &task); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(s, task)
	}
	return printTasks(s, []placer.Task{task})
}

// jobList lists the jobs of one class or of all.
type jobList struct {
	operatorFlags
	After string `help:"List jobs whose id comes after this one."`
	Class string `help:"batch, latency-critical, or all." default:"batch" enum:"batch,latency-critical,all"`
}

// Run implements the command.
func (cmd jobList) Run(ctx context.Context, s *streams) error {
	var tasks []placer.Task
	class := cmd.Class
	if class == "all" {
		class = ""
	}
	if err := cmd.get(ctx, "/v1/jobs?class="+class+"&after="+url.QueryEscape(cmd.After), &tasks); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(s, tasks)
	}
	return printTasks(s, tasks)
}

// jobCancel cancels a job permanently.
type jobCancel struct {
	operatorFlags
	ID string `arg:"" help:"The job's id, as it was given at submission."`
}

// Run implements the command.
func (cmd jobCancel) Run(ctx context.Context, s *streams) error {
	job, err := cmd.changeJob(ctx, operator.Call{
		Method: "DELETE",
		Path:   "/v1/jobs/" + cmd.ID,
	})
	if err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(s, job)
	}
	return printLine(s, "the cancellation of %s is on record", job.ID)
}

// changeJob sends a change of a job and decodes the reply.
func (f operatorFlags) changeJob(ctx context.Context, call operator.Call) (receiver.JobBody, error) {
	var job receiver.JobBody
	reply, err := f.send(ctx, call)
	if err != nil {
		return job, err
	}
	return job, json.Unmarshal(reply.Body, &job)
}

func printTasks(s *streams, tasks []placer.Task) error {
	rows := make([][]string, 0, len(tasks))
	for _, t := range tasks {
		rows = append(rows, []string{
			t.Spec.ID, t.Spec.Team, string(t.State), orDash(t.Worker), fmt.Sprint(t.Start), fmt.Sprint(t.Evictions), orDash(t.Reason),
		})
	}
	return printTable(s, []string{"JOB", "TEAM", "STATE", "INSTANCE", "STARTS", "EVICTIONS", "REASON"}, rows)
}

// orDash returns text, or "-" if it is blank.
func orDash(text string) string {
	if strings.TrimSpace(text) == "" {
		return "-"
	}
	return text
}

// instanceCommand groups the commands on instances.
type instanceCommand struct {
	List instanceList `cmd:"" help:"List the instances of the cell, from its owner."`
}

// instanceList lists the instances of the cell.
type instanceList struct {
	operatorFlags
}

// Run implements the command.
func (cmd instanceList) Run(ctx context.Context, s *streams) error {
	var list []placer.InstanceView
	for _, entry := range cmd.Entries {
		// Only the entry that owns the cell returns its instances.
		client, err := operator.New([]string{entry})
		if err != nil {
			return err
		}
		if err := client.Get(ctx, "/v1/instances", &list); err == nil && len(list) > 0 {
			break
		}
	}
	if cmd.JSON {
		return printJSON(s, list)
	}
	rows := make([][]string, 0, len(list))
	for _, i := range list {
		rows = append(rows, []string{
			i.Address, i.FailureDomain, i.Rack, fmt.Sprint(i.Reachable), fmt.Sprint(i.Quarantined), fmt.Sprint(i.Tasks),
			fmt.Sprintf("%d/%d", i.AllocatedCPU, i.CapacityCPU),
		})
	}
	return printTable(s, []string{"INSTANCE", "FAILURE-DOMAIN", "RACK", "REACHABLE", "SET-ASIDE", "TASKS", "PROCESSOR-MILLIS"}, rows)
}

// cellCommand groups the commands on cells.
type cellCommand struct {
	List cellList `cmd:"" help:"List the cells and their owners."`
}

// cellList lists the cells and their owners.
type cellList struct {
	operatorFlags
}

// Run implements the command.
func (cmd cellList) Run(ctx context.Context, s *streams) error {
	var list []receiver.CellBody
	if err := cmd.get(ctx, "/v1/cells", &list); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(s, list)
	}
	rows := make([][]string, 0, len(list))
	for _, c := range list {
		rows = append(rows, []string{c.Cell, orDash(c.Owner), fmt.Sprint(c.Epoch), fmt.Sprint(c.Waiting), fmt.Sprint(c.Counts.Starts), fmt.Sprint(c.Counts.Done)})
	}
	return printTable(s, []string{"CELL", "OWNER", "EPOCH", "WAITING", "STARTS", "DONE"}, rows)
}
