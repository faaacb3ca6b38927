// Package commander implements the command line: it parses the arguments, runs
// the selected command and maps its result to an exit code.
package commander

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// The exit codes of every command.
const (
	// exitOK: the command completed.
	exitOK = 0
	// exitFailed: the command failed and changed nothing.
	exitFailed = 1
	// exitUsage: the arguments or a file are invalid.
	exitUsage = 2
	// exitConflict: the change conflicts with another change that was made first.
	exitConflict = 3
	// exitUnknown: the outcome is unknown; the change may have taken effect.
	exitUnknown = 4
	// exitUnfinished: a process shut down before all its work was finished.
	exitUnfinished = 5
)

// Version is the version that the version command prints.
const Version = "0.1.0"

// CodeError is a command's error with the exit code that it ends with.
type CodeError struct {
	Code    int
	Message string
}

// Error implements error.
func (e *CodeError) Error() string {
	return e.Message
}

// streams are the outputs of a command: standard output and standard error.
type streams struct {
	out io.Writer
	err io.Writer
}

// commandLine is the root of the command tree that kong parses.
type commandLine struct {
	Entry         entryCommand         `cmd:"" help:"Run an entry, which takes callers' requests and operators' edits."`
	Agent         agentCommand         `cmd:"" help:"Run an agent, the gate beside one endpoint."`
	Fleet         fleetCommand         `cmd:"" help:"Run processes that schedule jobs of steps on a platform with a store."`
	Demo          demoCommand          `cmd:"" help:"Run the whole path on this instance with stand-ins, and check every answer."`
	Load          loadCommand          `cmd:"" help:"Send requests at a rate to running entries, and say what became of them."`
	Experiment    experimentCommand    `cmd:"" help:"Compare the policy for requests with its baselines in virtual time."`
	Colocation    colocationCommand    `cmd:"" help:"Compare the policy for batch tasks beside services with its baselines in virtual time."`
	Overlay       overlayCommand       `cmd:"" help:"Measure exchanges of bounded views of the members."`
	CheckSettings checkSettingsCommand `cmd:"" help:"Check a settings file or a service document without running anything."`
	StandIn       standInCommand       `cmd:"" help:"Run a small stand-in of an outside system, for tests."`
	Service       serviceCommand       `cmd:"" help:"Read and edit service documents."`
	Endpoint      endpointCommand      `cmd:"" help:"List endpoints or drain one."`
	Job           jobCommand           `cmd:"" help:"Submit, list and cancel jobs."`
	Instance      instanceCommand      `cmd:"" help:"List the instances that run tasks."`
	Cell          cellCommand          `cmd:"" help:"List the cells and their owners."`
	Status        statusCommand        `cmd:"" help:"Show the state of an entry."`
	Audit         auditCommand         `cmd:"" help:"Show the audit trail of changes."`
	Version       versionCommand       `cmd:"" help:"Print the version."`
}

// Run executes the command line and returns the exit code. SIGTERM and SIGINT
// cancel the command's context.
func Run(args []string, out, errOut io.Writer) int {
	var cli commandLine
	exited := -1
	parser, err := kong.New(&cli,
		kong.Name("bilberrywalk"),
		kong.Description("Schedules latency-critical and batch work on shared instances."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { exited = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(errOut, "bilberrywalk:", err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintln(errOut, "bilberrywalk:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	err = parsed.Run(&streams{
		out: out,
		err: errOut,
	})
	return exitCode(err, errOut)
}

// exitCode prints err to errOut and returns the exit code for it.
func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, "bilberrywalk:", err)
	var code *CodeError
	if errors.As(err, &code) {
		return code.Code
	}
	return exitFailed
}

type versionCommand struct{}

// Run implements the command.
func (versionCommand) Run(s *streams) error {
	_, err := fmt.Fprintln(s.out, "bilberrywalk", Version)
	return err
}
