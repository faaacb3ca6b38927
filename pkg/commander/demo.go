package commander

import (
	"context"
	"fmt"
	"strings"

	"github.com/hashicorp/go-hclog"

	"github.com/bilberrywalk/bilberrywalk/pkg/demonstrator"
)

// demoCommand runs the demonstration of package demonstrator.
type demoCommand struct {
	Requests  int    `help:"How many requests each service gets." default:"300"`
	Endpoints int    `help:"How many endpoints each service has." default:"4"`
	JSON      bool   `help:"Print the summary as JSON." name:"json"`
	LogLevel  string `help:"The level of the processes' logs." default:"error" enum:"debug,info,warn,error"`
}

// Run implements the command.
func (cmd demoCommand) Run(ctx context.Context, s *streams) error {
	log := hclog.New(&hclog.LoggerOptions{
		Level:      hclog.LevelFromString(cmd.LogLevel),
		Output:     s.err,
		JSONFormat: true,
	})
	summary, err := demonstrator.Run(ctx, log, demonstrator.Options{
		Requests:  cmd.Requests,
		Endpoints: cmd.Endpoints,
		Progress: func(line string) {
			if !cmd.JSON {
				fmt.Fprintln(s.out, line)
			}
		},
	})
	if err != nil {
		return err
	}
	if err := cmd.print(s, summary); err != nil {
		return err
	}
	if !summary.OK() {
		return &CodeError{
			Code:    exitFailed,
			Message: "the demo found faults: " + strings.Join(summary.Faults, "; "),
		}
	}
	return nil
}

func (cmd demoCommand) print(s *streams, summary *demonstrator.Summary) error {
	if cmd.JSON {
		return printJSON(s, summary)
	}
	rows := make([][]string, 0, len(summary.Kinds))
	for _, k := range summary.Kinds {
		rows = append(rows, []string{
			k.Service, k.Kind, fmt.Sprint(k.Sent), fmt.Sprint(k.Answered), fmt.Sprint(k.NotRun), fmt.Sprint(k.Unknown), fmt.Sprint(k.Wrong),
			fmt.Sprintf("%.1f", k.P50Millis), fmt.Sprintf("%.1f", k.P99Millis),
		})
	}
	header := []string{"SERVICE", "KIND", "SENT", "ANSWERED", "NOT-RUN", "UNKNOWN", "WRONG", "P50-MS", "P99-MS"}
	if err := printTable(s, header, rows); err != nil {
		return err
	}
	if err := printLine(s, "jobs: %d, done: %d", summary.Jobs, summary.JobsDone); err != nil {
		return err
	}
	return printLine(s, "dials: %d, run more than once: %d; most running on one endpoint: %d", summary.Dials, summary.RepeatedDials, summary.MaxRunning)
}
