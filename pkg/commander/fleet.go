package commander

import (
	"context"
	"expvar"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/bilberrywalk/bilberrywalk/pkg/clocker"
	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/controller"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/logger"
	"github.com/bilberrywalk/bilberrywalk/pkg/relayer"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
	"github.com/bilberrywalk/bilberrywalk/pkg/supervisor"
	"github.com/bilberrywalk/bilberrywalk/platform"
)

// fleetCommand groups the commands for the processes that run on a platform with
// a store.
type fleetCommand struct {
	Entry   fleetEntryCommand   `cmd:"" help:"Run an entry, which takes callers' jobs and may own the cell."`
	Agent   fleetAgentCommand   `cmd:"" help:"Run the agent beside one runner."`
	Explain fleetExplainCommand `cmd:"" help:"Show where a job would be placed now, and why, without submitting it."`
	Domains fleetDomainsCommand `cmd:"" help:"Print the state of the failure domains, as an entry knows it."`
	Check   fleetCheckCommand   `cmd:"" help:"Check a settings file without running anything."`
}

// fleetSettings is the flag for a process's settings file.
type fleetSettings struct {
	Settings string `help:"The settings file." required:"" type:"existingfile" placeholder:"FILE" env:"BILBERRYWALK_CONFIG"`
}

// fleetEntryCommand runs an entry until its context is done.
type fleetEntryCommand struct {
	fleetSettings
}

// Run implements the command.
func (cmd fleetEntryCommand) Run(ctx context.Context, s *streams) error {
	p, err := cmd.prepare("entry", s.out, (*configurer.Fleet).CheckEntry)
	if err != nil {
		return err
	}
	peers, err := relayer.NewClient()
	if err != nil {
		return err
	}
	entry := controller.New(p.cfg, controller.Dependencies{
		Log:           p.log,
		Assert:        newAsserter(p.log),
		Framer:        p.framer,
		Clock:         clocker.New(),
		Store:         p.store,
		ThroughPeer:   peers.ThroughPeer,
		OperatorTable: platform.OperatorTable,
		DecodeQueues:  platform.DecodeQueues,
		DecodeOrder:   platform.DecodeOrder,
		DecodeJob:     platform.DecodeJob,
		Incarnation:   newIncarnation(),
	})
	expvar.Publish("entry", expvar.Func(func() any { return entry.Metrics() }))
	return p.run(ctx, func(ctx context.Context) error {
		return entry.Run(ctx, func(ctx context.Context) error {
			return platform.ServeCallers(ctx, p.cfg.Callers, p.cfg.Readiness, entry)
		})
	})
}

// fleetAgentCommand runs an agent until its context is done.
type fleetAgentCommand struct {
	fleetSettings
}

// Run implements the command.
func (cmd fleetAgentCommand) Run(ctx context.Context, s *streams) error {
	p, err := cmd.prepare("agent", s.out, (*configurer.Fleet).CheckAgent)
	if err != nil {
		return err
	}
	runner, err := platform.NewRunner(p.cfg.Runner)
	if err != nil {
		return err
	}
	agent := supervisor.NewAgent(p.cfg, supervisor.Dependencies{
		Log:         p.log,
		Framer:      p.framer,
		Clock:       clocker.New(),
		Store:       p.store,
		Runner:      runner,
		Incarnation: newIncarnation(),
	})
	expvar.Publish("agent", expvar.Func(func() any { return agent.Metrics() }))
	return p.run(ctx, func(ctx context.Context) error {
		return agent.Run(ctx, func(ctx context.Context) error {
			return platform.ServeRegistry(ctx, p.cfg.Registry, agent)
		})
	})
}

// fleetCheckCommand validates a settings file without starting a process.
type fleetCheckCommand struct {
	fleetSettings
}

// Run implements the command.
func (cmd fleetCheckCommand) Run(s *streams) error {
	if _, err := cmd.read(nil); err != nil {
		return err
	}
	return printLine(s, "%s: no fault found", cmd.Settings)
}

// read reads the settings and validates them. check, which may be nil, validates
// what only one kind of process requires. Errors carry exitUsage.
func (f fleetSettings) read(check func(*configurer.Fleet) error) (configurer.Fleet, error) {
	cfg, err := configurer.ReadFleet(f.Settings)
	if err == nil && check != nil {
		err = check(&cfg)
	}
	if err != nil {
		return cfg, usageError(errors.Wrap(err, f.Settings))
	}
	return cfg, nil
}

// fleetProcess holds the dependencies that entries and agents share.
type fleetProcess struct {
	settings fleetSettings
	cfg      configurer.Fleet
	out      io.Writer
	lines    *logger.LineWriter
	log      hclog.Logger
	framer   *framer.Framer
	store    storer.RowStore
}

// prepare reads the settings and builds the dependencies that entries and agents
// share.
func (f fleetSettings) prepare(role string, out io.Writer, check func(*configurer.Fleet) error) (*fleetProcess, error) {
	cfg, err := f.read(check)
	if err != nil {
		return nil, err
	}
	smallest := int64(smallestEntryBytes)
	if role == "agent" {
		smallest = smallestAgentBytes
	}
	fr, err := framer.New()
	if err != nil {
		return nil, err
	}
	store, err := platform.NewStore(cfg.Store)
	if err != nil {
		return nil, err
	}
	lines := logger.NewLineWriter()
	log := newFleetLogger(cfg, role, lines)
	limitPeers(log, cfg.MemoryBytes, smallest, cfg.Descriptors)
	return &fleetProcess{
		settings: f,
		cfg:      cfg,
		out:      out,
		lines:    lines,
		log:      log,
		framer:   fr,
		store:    store,
	}, nil
}

// run runs the process and writes its log to standard output. SIGHUP makes it
// reload its settings. The log writer stops after the process has returned, so
// that it also writes the lines logged during shutdown.
func (p *fleetProcess) run(ctx context.Context, process func(ctx context.Context) error) error {
	expvar.Publish("log-lines-dropped", expvar.Func(func() any { return p.lines.Dropped() }))
	group, groupCtx := errgroup.WithContext(ctx)
	done := make(chan struct{})
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	group.Go(func() error { return p.lines.Run(logCtx, p.out) })
	group.Go(func() error {
		defer stopLog()
		defer close(done)
		return process(groupCtx)
	})
	group.Go(func() error {
		p.settings.reload(done, p.log)
		return nil
	})
	return group.Wait()
}

// reload applies the log level from the settings file on each SIGHUP until done is
// closed. A change of addresses needs a restart.
func (f fleetSettings) reload(done <-chan struct{}, log hclog.Logger) {
	hangups := notifyHangup()
	defer signal.Stop(hangups)
	for {
		select {
		case <-done:
			return
		case <-hangups:
			cfg, err := configurer.ReadFleet(f.Settings)
			if err != nil {
				log.Error("settings not reloaded", "error", err)
				continue
			}
			log.SetLevel(hclog.LevelFromString(cfg.LogLevel))
			log.Info("settings reloaded", "log-level", cfg.LogLevel)
		}
	}
}

func newFleetLogger(cfg configurer.Fleet, role string, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       role,
		Level:      hclog.LevelFromString(cfg.LogLevel),
		Output:     w,
		JSONFormat: true,
	}).With("instance", cfg.Name, "failure-domain", cfg.FailureDomain)
}

// hangupBuffer is the buffer size of the SIGHUP channel. One is enough, because a
// single reload covers several signals.
const hangupBuffer = 1

func notifyHangup() chan os.Signal {
	hangups := make(chan os.Signal, hangupBuffer)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}
