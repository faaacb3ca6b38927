package demonstrator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/forwarder"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/receiver"
	"github.com/bilberrywalk/bilberrywalk/pkg/server"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

// Fleet is a complete system on loopback within one operating-system process:
// each of the system's processes is a group of goroutines.
type Fleet struct {
	Platform  *emulator.Platform
	Endpoints []*emulator.Endpoint
	// EndpointAddresses are the endpoints' listen addresses, as IP:PORT.
	EndpointAddresses []string
	Workers           []*emulator.Worker
	Entries           []string
	Assert            *asserter.Asserter

	log    hclog.Logger
	framer *framer.Framer
	group  *errgroup.Group
	ctx    context.Context
	seed   uint64
	ports  *emulator.PortAllocator

	workerAddresses []string
}

// fleetGrace is how long the fleet's processes wait for work in flight on
// shutdown.
const fleetGrace = 5 * time.Second

// StartFleet starts the stand-ins, three entries, and for each service the given
// number of endpoints with their agents. The processes run in group and shut down
// when ctx is done.
func StartFleet(ctx context.Context, group *errgroup.Group, log hclog.Logger, endpoints int) (*Fleet, error) {
	fr, err := framer.New()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Platform: emulator.NewPlatform(),
		Assert: asserter.New(func(name string, pairs ...any) {
			log.Error("invariant broken", append([]any{"invariant", name}, pairs...)...)
		}),
		log:    log,
		framer: fr,
		group:  group,
		ctx:    ctx,
		ports:  emulator.NewPortAllocator(),
	}
	platform, err := f.ports.Address()
	if err != nil {
		return nil, err
	}
	group.Go(func() error { return server.Run(ctx, f.Platform.Server(platform)) })
	if err := f.startWorkers(); err != nil {
		return nil, err
	}
	if err := f.startEntries(platform); err != nil {
		return nil, err
	}
	for _, svc := range demoServices() {
		for i := range endpoints {
			if err := f.startEndpoint(svc, svc.domains[i%len(svc.domains)]); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

// startWorkers starts four workers of the size of the organisations' instances,
// three to a rack.
func (f *Fleet) startWorkers() error {
	const workers, perRack = 4, 3
	for i := range workers {
		address, err := f.ports.Address()
		if err != nil {
			return err
		}
		worker := emulator.NewWorker(uint64(time.Now().UnixNano()), "quito-norte", fmt.Sprintf("rack-%d", i/perRack), publisher.Resources{
			ProcessorMillis: 30_000,
			MemoryBytes:     125 << 30,
		})
		f.Workers = append(f.Workers, worker)
		f.workerAddresses = append(f.workerAddresses, address)
		f.group.Go(func() error { return server.Run(f.ctx, worker.Server(address)) })
	}
	return nil
}

func (f *Fleet) startEntries(platform string) error {
	const entries = 3
	for range entries {
		address, err := f.ports.Address()
		if err != nil {
			return err
		}
		f.Entries = append(f.Entries, address)
	}
	for i, address := range f.Entries {
		cfg := f.settings(address, demoServices()[0].domains[i])
		cfg.Platform = platform
		cfg.Entry.Workers = f.workerAddresses
		workers, err := overseer.NewHTTPWorkers()
		if err != nil {
			return err
		}
		client, err := storer.NewHTTPPlatform(platform)
		if err != nil {
			return err
		}
		entry := receiver.New(cfg, receiver.Dependencies{
			Log:         f.log.Named("entry"),
			Assert:      f.Assert,
			Framer:      f.framer,
			Table:       client.Table(),
			Workers:     workers,
			Random:      rand.New(rand.NewPCG(f.nextSeed(), 0)),
			Incarnation: uint64(time.Now().UnixNano()),
		})
		f.group.Go(func() error { return runError(entry.Run(f.ctx)) })
	}
	return nil
}

// startEndpoint starts a stand-in endpoint of svc and its agent.
func (f *Fleet) startEndpoint(svc demoService, domain string) error {
	endpointAddress, err := f.ports.Address()
	if err != nil {
		return err
	}
	agentAddress, err := f.ports.Address()
	if err != nil {
		return err
	}
	endpoint := emulator.NewEndpoint(svc.runTimes)
	f.Endpoints = append(f.Endpoints, endpoint)
	f.EndpointAddresses = append(f.EndpointAddresses, endpointAddress)
	cfg := f.settings(agentAddress, domain)
	cfg.Agent = configurer.AgentSettings{
		Service:  svc.service,
		Endpoint: endpointAddress,
	}
	agent := forwarder.New(cfg, f.log.Named("agent"), f.Assert, f.framer, uint64(time.Now().UnixNano()))
	f.group.Go(func() error { return server.Run(f.ctx, endpoint.Server(endpointAddress)) })
	f.group.Go(func() error { return runError(agent.Run(f.ctx)) })
	return nil
}

func (f *Fleet) settings(address, domain string) configurer.Settings {
	cfg := configurer.Defaults()
	cfg.Address = address
	cfg.FailureDomain = domain
	cfg.Join = f.Entries
	cfg.LeaveGrace = publisher.Duration(fleetGrace)
	return cfg
}

func (f *Fleet) nextSeed() uint64 {
	f.seed++
	return f.seed
}

// runError returns the error of a process's Run. It is an error too if the process
// shut down before its work was finished.
func runError(finished bool, err error) error {
	if err != nil {
		return err
	}
	if !finished {
		return errors.New("a process left before its work was finished")
	}
	return nil
}
