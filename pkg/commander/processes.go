package commander

import (
	"context"
	"expvar"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/forwarder"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/receiver"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// agentMemoryBytes is the soft limit of an agent's heap, which leaves room for
// the runtime within the 32 MB of its slot.
const agentMemoryBytes = 18 << 20

// entryCommand runs an entry.
type entryCommand struct {
	Settings string `help:"The settings file." required:"" type:"existingfile" placeholder:"FILE"`
}

// Run implements the command.
func (cmd entryCommand) Run(ctx context.Context, s *streams) error {
	cfg, err := readSettings(cmd.Settings)
	if err != nil {
		return err
	}
	if cfg.Platform == "" {
		return usage(&publisher.FieldError{
			Field:   "platform",
			Value:   "",
			Allowed: "an IP number and a port; an entry needs the platform",
		})
	}
	log := newLogger(cfg, "entry", s)
	fr, err := framer.New()
	if err != nil {
		return err
	}
	platform, err := storer.NewHTTPPlatform(cfg.Platform)
	if err != nil {
		return err
	}
	workers, err := overseer.NewHTTPWorkers()
	if err != nil {
		return err
	}
	entry := receiver.New(cfg, receiver.Dependencies{
		Log:         log,
		Assert:      newAsserter(log),
		Framer:      fr,
		Table:       platform.Table(),
		Workers:     workers,
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Incarnation: newIncarnation(),
	})
	expvar.Publish("entry", expvar.Func(func() any { return entry.Metrics() }))
	return ended(entry.Run(ctx))
}

// agentCommand runs an agent.
type agentCommand struct {
	Settings string `help:"The settings file." required:"" type:"existingfile" placeholder:"FILE"`
}

// Run implements the command.
func (cmd agentCommand) Run(ctx context.Context, s *streams) error {
	debug.SetMemoryLimit(agentMemoryBytes)
	cfg, err := readSettings(cmd.Settings)
	if err != nil {
		return err
	}
	if cfg.Agent.Service == "" {
		return usage(&publisher.FieldError{
			Field:   "agent.service",
			Value:   "",
			Allowed: "the service that the endpoint serves; an agent needs it",
		})
	}
	log := newLogger(cfg, "agent", s)
	fr, err := framer.New()
	if err != nil {
		return err
	}
	agent := forwarder.New(cfg, log, newAsserter(log), fr, newIncarnation())
	expvar.Publish("agent", expvar.Func(func() any { return agent.Metrics() }))
	return ended(agent.Run(ctx))
}

// checkSettingsCommand checks a file.
type checkSettingsCommand struct {
	File     string `arg:"" help:"The file to check." type:"existingfile"`
	Document bool   `help:"The file is a service document."`
}

// Run implements the command.
func (cmd checkSettingsCommand) Run(s *streams) error {
	data, err := os.ReadFile(cmd.File)
	if err != nil {
		return usage(err)
	}
	if cmd.Document {
		_, err = publisher.Parse(string(data))
	} else {
		_, err = configurer.Parse(data)
	}
	if err != nil {
		return usage(errors.Wrap(err, cmd.File))
	}
	return printLine(s, "%s: no fault found", cmd.File)
}

func readSettings(path string) (configurer.Settings, error) {
	cfg, err := configurer.Read(path)
	if err != nil {
		return cfg, usage(errors.Wrap(err, path))
	}
	return cfg, nil
}

// newIncarnation is higher than that of any process that ran before at the
// same address, as long as the instance's clock does not go back.
func newIncarnation() uint64 {
	return uint64(time.Now().UnixNano())
}

func newLogger(cfg configurer.Settings, role string, s *streams) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       role,
		Level:      hclog.LevelFromString(cfg.LogLevel),
		Output:     s.err,
		JSONFormat: true,
	}).With("failure-domain", cfg.FailureDomain)
}

// newAsserter logs broken invariants and shows their counts as metrics.
func newAsserter(log hclog.Logger) *asserter.Asserter {
	assert := asserter.New(func(name string, pairs ...any) {
		log.Error("invariant broken", append([]any{"invariant", name}, pairs...)...)
	})
	if expvar.Get("broken-invariants") == nil {
		expvar.Publish("broken-invariants", expvar.Func(func() any { return assert.Broken() }))
	}
	return assert
}

// ended turns a process's end into the command's result.
func ended(finished bool, err error) error {
	if err != nil {
		return err
	}
	if !finished {
		return &CodeError{
			Code:    exitUnfinished,
			Message: "the grace ended before all work was finished",
		}
	}
	return nil
}

func usage(err error) error {
	return &CodeError{
		Code:    exitUsage,
		Message: strings.TrimSpace(err.Error()),
	}
}
