package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/controller"
	"github.com/bilberrywalk/bilberrywalk/pkg/operator"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

// fleetExplainCommand prints where the tasks of a job would be placed now, without
// submitting it.
type fleetExplainCommand struct {
	File  string `arg:"" help:"The job, as callers submit it." type:"existingfile"`
	Link  string `help:"The link address of an entry; it names the owner of the cell if that is another one." required:"" placeholder:"IP:PORT"`
	Queue string `help:"The queue of the job." required:""`
	JSON  bool   `help:"Print JSON for programs." name:"json"`
}

// Run implements the command.
func (cmd fleetExplainCommand) Run(ctx context.Context, s *streams) error {
	body, err := os.ReadFile(cmd.File)
	if err != nil {
		return errors.Wrap(err, "reading the job")
	}
	explanation, err := cmd.ask(ctx, cmd.Link, body)
	var notOwner *controller.NotOwnerError
	if errors.As(err, &notOwner) && notOwner.Owner != "" {
		explanation, err = cmd.ask(ctx, notOwner.Owner, body)
	}
	if err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(s, explanation)
	}
	return printExplanation(s, &explanation)
}

// ask asks one entry. It returns a *controller.NotOwnerError if another one owns the cell.
func (cmd fleetExplainCommand) ask(ctx context.Context, entry string, body []byte) (scheduler.Explanation, error) {
	var explanation scheduler.Explanation
	client, err := operator.New([]string{entry})
	if err != nil {
		return explanation, err
	}
	reply, err := client.Do(ctx, operator.Call{
		Method: "POST",
		Path:   controller.ExplainPath + "?queue=" + url.QueryEscape(cmd.Queue),
		Body:   body,
	})
	if err != nil {
		return explanation, err
	}
	switch {
	case reply.Status == controller.StatusNotOwner:
		notOwner := &controller.NotOwnerError{}
		if err := json.Unmarshal(reply.Body, notOwner); err != nil {
			return explanation, errors.Wrap(err, "decoding the entry's answer")
		}
		return explanation, notOwner
	case reply.Status >= 300:
		return explanation, reply.Error()
	}
	return explanation, errors.Wrap(json.Unmarshal(reply.Body, &explanation), "decoding the entry's answer")
}

// printExplanation prints a line for each step, and a table of the runners' answers.
func printExplanation(s *streams, e *scheduler.Explanation) error {
	var rows [][]string
	for i := range e.Steps {
		step := &e.Steps[i]
		if err := printLine(s, "step %d: %s", step.Step, describeStep(step)); err != nil {
			return err
		}
		for _, r := range step.Runners {
			answer := r.Answer
			if r.Chosen {
				answer = "chosen"
			}
			reserved := "-"
			if r.ReservedForJob != "" {
				reserved = fmt.Sprintf("%s step %d in %v", r.ReservedForJob, r.ReservedForStep, time.Duration(r.ReservedInMillis)*time.Millisecond)
			}
			rows = append(rows, []string{
				fmt.Sprint(step.Step), r.Runner, answer, fmt.Sprint(r.FreeMillis), fmt.Sprint(r.CapacityMillis),
				fmt.Sprint(r.FreeBytes), fmt.Sprint(r.Tasks), fmt.Sprint(r.Penalty), reserved,
			})
		}
	}
	return printTable(s, []string{"STEP", "RUNNER", "ANSWER", "FREE-MILLIS", "CAPACITY-MILLIS", "FREE-BYTES", "TASKS", "PENALTY", "RESERVED"}, rows)
}

func describeStep(step *scheduler.StepExplanation) string {
	if step.Runner != "" {
		return "the first task starts on " + step.Runner
	}
	if step.RoomInMillis == nil {
		return fmt.Sprintf("waits (%s), and no runner will have room by the runs in progress", step.Cause)
	}
	return fmt.Sprintf("waits (%s); there is room in %v on %s", step.Cause, time.Duration(*step.RoomInMillis)*time.Millisecond, strings.Join(step.RoomOn, ", "))
}
