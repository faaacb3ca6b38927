// Package configurer reads and validates the settings of a process.
package configurer

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Settings holds the settings of one process, read from a TOML file.
type Settings struct {
	// Address is the IP number and port on which the process listens and
	// under which others reach it.
	Address string `toml:"address"`
	// FailureDomain is the failure domain of the instance.
	FailureDomain string `toml:"failure-domain"`
	// Join lists addresses of entries; a process announces itself to them.
	Join []string `toml:"join"`
	// Platform is the IP number and port of the platform's service. Entries
	// need it; agents don't use it.
	Platform string `toml:"platform"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `toml:"log-level"`
	// LeaveGrace is the maximum time that a leaving process waits for work in
	// flight.
	LeaveGrace publisher.Duration `toml:"leave-grace"`
	// MemoryBytes is the memory of the process's instance, 32 MiB to 1 TiB; zero means
	// that of the smallest instance. Unfinished requests may hold a fifth of it.
	MemoryBytes int64 `toml:"memory-bytes"`
	// Descriptors is the number of file descriptors that the process may open, 256 to
	// 1048576; zero means 4100, or fewer if the system allows fewer. Three quarters of
	// them, without 200 for files, may be accepted connections.
	Descriptors int `toml:"descriptors"`
	// Agent holds the settings that only an agent reads.
	Agent AgentSettings `toml:"agent"`
	// Entry holds the settings that only an entry reads.
	Entry EntrySettings `toml:"entry"`
}

// AgentSettings holds the settings that only an agent reads.
type AgentSettings struct {
	// Service is the service that the endpoint serves.
	Service string `toml:"service"`
	// Endpoint is the IP number and port of the endpoint.
	Endpoint string `toml:"endpoint"`
}

// EntrySettings holds the settings that only an entry reads.
type EntrySettings struct {
	// RetryRatio is the number of retries that each new request adds to the
	// retry budget: 0 to 1.
	RetryRatio float64 `toml:"retry-ratio"`
	// RetryBurst is the maximum number of retries in the retry budget: 0 to
	// 1000.
	RetryBurst float64 `toml:"retry-burst"`
	// MaxBodyBytes bounds a request's body: 1 to 1048576.
	MaxBodyBytes int `toml:"max-body-bytes"`
	// Workers lists the instances whose cell this entry may own, as the
	// platform's addresses of their workers.
	Workers []string `toml:"workers"`
	// Cell is the name of the cell that holds the workers.
	Cell string `toml:"cell"`
	// CommitInterval is the minimum time between two commits of the cell: 10ms
	// to 2s. All cells together must stay within the table's write limit per
	// second.
	CommitInterval publisher.Duration `toml:"commit-interval"`
}

// Defaults returns the defaults of the settings that a file may omit.
func Defaults() Settings {
	return Settings{
		LogLevel:   "info",
		LeaveGrace: publisher.Duration(30 * time.Second),
		Entry: EntrySettings{
			RetryRatio:     0.1,
			RetryBurst:     10,
			MaxBodyBytes:   1 << 20,
			Cell:           "cell-1",
			CommitInterval: publisher.Duration(overseer.DefaultCommitInterval),
		},
	}
}

// Read reads and validates the settings file at path. An invalid setting gives
// a *publisher.FieldError.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "reading the settings file")
	}
	return Parse(data)
}

// Parse decodes and validates settings in TOML. An invalid setting gives a
// *publisher.FieldError.
func Parse(data []byte) (Settings, error) {
	cfg := Defaults()
	if err := publisher.DecodeTOML(data, &cfg); err != nil {
		return Settings{}, err
	}
	return cfg, cfg.Check()
}

// Check validates all fields and returns a *publisher.FieldError for the first
// invalid one.
func (s *Settings) Check() error {
	const maxGrace = time.Hour
	for _, err := range []error{
		checkAddress("address", s.Address),
		publisher.CheckName("failure-domain", s.FailureDomain),
		checkAddresses("join", s.Join),
		checkOptionalAddress("platform", s.Platform),
		checkLogLevel(s.LogLevel),
		publisher.CheckRange("leave-grace", int64(s.LeaveGrace), 0, int64(maxGrace)),
		checkMemory(s.MemoryBytes),
		checkDescriptors(s.Descriptors),
		s.Agent.check(),
		s.Entry.check(),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

func (a *AgentSettings) check() error {
	if a.Service == "" && a.Endpoint == "" {
		return nil
	}
	if err := publisher.CheckName("agent.service", a.Service); err != nil {
		return err
	}
	return checkAddress("agent.endpoint", a.Endpoint)
}

func (e *EntrySettings) check() error {
	const maxBodyBytes = 1 << 20
	const maxBurst = 1000
	if err := checkFloat("entry.retry-ratio", e.RetryRatio, 1); err != nil {
		return err
	}
	if err := checkFloat("entry.retry-burst", e.RetryBurst, maxBurst); err != nil {
		return err
	}
	if err := publisher.CheckRange("entry.max-body-bytes", int64(e.MaxBodyBytes), 1, maxBodyBytes); err != nil {
		return err
	}
	if err := publisher.CheckName("entry.cell", e.Cell); err != nil {
		return err
	}
	const minInterval, maxInterval = 10 * time.Millisecond, 2 * time.Second
	interval := time.Duration(e.CommitInterval)
	if interval < minInterval || interval > maxInterval {
		return &publisher.FieldError{
			Field:   "entry.commit-interval",
			Value:   interval.String(),
			Allowed: fmt.Sprintf("%s to %s", minInterval, maxInterval),
		}
	}
	return checkAddresses("entry.workers", e.Workers)
}

func checkFloat(field string, value, limit float64) error {
	if value >= 0 && value <= limit {
		return nil
	}
	return &publisher.FieldError{
		Field:   field,
		Value:   fmt.Sprint(value),
		Allowed: fmt.Sprintf("0 to %g", limit),
	}
}

func checkLogLevel(level string) error {
	switch level {
	case "debug", "info", "warn", "error":
		return nil
	default:
		return &publisher.FieldError{
			Field:   "log-level",
			Value:   level,
			Allowed: "debug, info, warn, error",
		}
	}
}

func checkAddresses(field string, addresses []string) error {
	for i, address := range addresses {
		if err := checkAddress(fmt.Sprintf("%s[%d]", field, i), address); err != nil {
			return err
		}
	}
	return nil
}

func checkOptionalAddress(field, address string) error {
	if address == "" {
		return nil
	}
	return checkAddress(field, address)
}

func checkAddress(field, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &publisher.FieldError{
			Field:   field,
			Value:   address,
			Allowed: `an IP number and a port, like "10.0.0.7:7000"`,
		}
	}
	return nil
}
