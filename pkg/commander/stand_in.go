package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/server"
)

// standInCommand groups the commands that run stand-ins of external systems.
type standInCommand struct {
	Platform standInPlatform `cmd:"" help:"Run a table service and object store that keep everything in memory."`
	Worker   standInWorker   `cmd:"" help:"Run an instance that starts every task it is given and sleeps for its run time."`
	Endpoint standInEndpoint `cmd:"" help:"Run an endpoint that sleeps and echoes what it was sent."`
}

// standInPlatform runs an in-memory platform.
type standInPlatform struct {
	Address string `help:"The IP number and port to listen on." required:""`
}

// Run implements the command.
func (cmd standInPlatform) Run(ctx context.Context) error {
	return server.Run(ctx, emulator.NewPlatform().Server(cmd.Address))
}

// standInEndpoint runs an endpoint that sleeps for the run time of each request
// and responds with the size and digest of its body.
type standInEndpoint struct {
	Address string                   `help:"The IP number and port to listen on." required:""`
	RunTime map[string]time.Duration `help:"How long a request of a kind runs, like list-check=20ms."`
}

// Run implements the command.
func (cmd standInEndpoint) Run(ctx context.Context) error {
	return server.Run(ctx, emulator.NewEndpoint(cmd.RunTime).Server(cmd.Address))
}

// standInWorker runs a worker that starts no programs: a task is done once its run
// time has passed.
type standInWorker struct {
	Address         string `help:"The IP number and port to listen on." required:""`
	FailureDomain   string `help:"The failure domain." default:"quito-norte"`
	Rack            string `help:"The rack." default:"rack-1"`
	ProcessorMillis int64  `help:"Thousandths of a processor." default:"30000"`
	MemoryBytes     int64  `help:"Bytes of memory." default:"134217728000"`
	Accelerators    int64  `help:"Accelerators." default:"0"`
}

// Run implements the command.
func (cmd standInWorker) Run(ctx context.Context) error {
	worker := emulator.NewWorker(newIncarnation(), cmd.FailureDomain, cmd.Rack, publisher.Resources{
		ProcessorMillis: cmd.ProcessorMillis,
		MemoryBytes:     cmd.MemoryBytes,
		Accelerators:    cmd.Accelerators,
	})
	return server.Run(ctx, worker.Server(cmd.Address))
}

func printLine(s *streams, format string, args ...any) error {
	_, err := fmt.Fprintf(s.out, format+"\n", args...)
	return err
}

func printJSON(s *streams, value any) error {
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}
