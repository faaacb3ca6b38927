package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/faker"
	"github.com/bilberrywalk/bilberrywalk/pkg/server"
)

// standInCommand lists the stand-ins.
type standInCommand struct {
	Platform standInPlatform `cmd:"" help:"Run a table service and object store that keep everything in memory."`
	Endpoint standInEndpoint `cmd:"" help:"Run an endpoint that sleeps and echoes what it was sent."`
}

// standInPlatform runs the stand-in platform.
type standInPlatform struct {
	Address string `help:"The IP number and port to listen on." required:""`
}

// Run implements the command.
func (cmd standInPlatform) Run(ctx context.Context) error {
	return server.Run(ctx, faker.NewPlatform().Server(cmd.Address))
}

// standInEndpoint runs a stand-in endpoint.
type standInEndpoint struct {
	Address string                   `help:"The IP number and port to listen on." required:""`
	RunTime map[string]time.Duration `help:"How long a request of a kind runs, like list-check=20ms."`
}

// Run implements the command.
func (cmd standInEndpoint) Run(ctx context.Context) error {
	return server.Run(ctx, faker.NewEndpoint(cmd.RunTime).Server(cmd.Address))
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
