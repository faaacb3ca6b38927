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

// agentMemoryBytes is the soft limit of an agent's heap. It leaves headroom for
// the runtime within the 32 MB of the agent's slot.
const agentMemoryBytes = 18 << 20

// entryCommand runs an entry until its context is done.
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
		return usageError(&publisher.FieldError{
			Field:   "platform",
			Value:   "",
			Allowed: "an IP number and a port; an entry needs the platform",
		})
	}
	log := newLogger(cfg, "entry", s)
	limitPeers(log, cfg.MemoryBytes, smallestEntryBytes, cfg.Descriptors)
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
	return runError(entry.Run(ctx))
}

// agentCommand runs an agent until its context is done.
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
		return usageError(&publisher.FieldError{
			Field:   "agent.service",
			Value:   "",
			Allowed: "the service that the endpoint serves; an agent needs it",
		})
	}
	log := newLogger(cfg, "agent", s)
	limitPeers(log, cfg.MemoryBytes, agentSlotBytes, cfg.Descriptors)
	fr, err := framer.New()
	if err != nil {
		return err
	}
	agent := forwarder.New(cfg, log, newAsserter(log), fr, newIncarnation())
	expvar.Publish("agent", expvar.Func(func() any { return agent.Metrics() }))
	return runError(agent.Run(ctx))
}

// checkSettingsCommand validates a settings file or a service document without
// starting a process.
type checkSettingsCommand struct {
	File     string `arg:"" help:"The file to check." type:"existingfile"`
	Document bool   `help:"The file is a service document."`
}

// Run implements the command.
func (cmd checkSettingsCommand) Run(s *streams) error {
	data, err := os.ReadFile(cmd.File)
	if err != nil {
		return usageError(err)
	}
	if cmd.Document {
		_, err = publisher.Parse(string(data))
	} else {
		_, err = configurer.Parse(data)
	}
	if err != nil {
		return usageError(errors.Wrap(err, cmd.File))
	}
	return printLine(s, "%s: no fault found", cmd.File)
}

func readSettings(path string) (configurer.Settings, error) {
	cfg, err := configurer.Read(path)
	if err != nil {
		return cfg, usageError(errors.Wrap(err, path))
	}
	return cfg, nil
}

// newIncarnation returns the current time in nanoseconds, which is higher than the
// incarnation of any earlier process at the same address unless the instance's
// clock is set back.
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

// newAsserter returns an asserter that logs broken invariants and publishes their
// counts as the metric broken-invariants.
func newAsserter(log hclog.Logger) *asserter.Asserter {
	assert := asserter.New(func(name string, pairs ...any) {
		log.Error("invariant broken", append([]any{"invariant", name}, pairs...)...)
	})
	if expvar.Get("broken-invariants") == nil {
		expvar.Publish("broken-invariants", expvar.Func(func() any { return assert.Broken() }))
	}
	return assert
}

// runError returns the command's error for the result of a process's Run. A process
// that shut down with unfinished work ends with exitUnfinished.
func runError(finished bool, err error) error {
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

// usageError wraps err with exitUsage.
func usageError(err error) error {
	return &CodeError{
		Code:    exitUsage,
		Message: strings.TrimSpace(err.Error()),
	}
}
