package configurer

import (
	"math"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Fleet holds the settings of a process that schedules jobs of steps on a
// platform with its own store: an entry or the agent of one runner.
type Fleet struct {
	// Name is the name of the instance in logs.
	Name string `toml:"name"`
	// FailureDomain is the failure domain of the instance.
	FailureDomain string `toml:"failure-domain"`
	// Link is the IP number and port on which other processes of the system
	// reach this one; it also serves the metrics, under /debug/vars.
	Link string `toml:"link"`
	// Store is the IP number and port of the platform's store.
	Store string `toml:"store"`
	// Processors is the number of processors that the process may use, such as
	// 0.5; zero if it is not known. Entries with few of them leave the ownership
	// of the cell to larger ones.
	Processors float64 `toml:"processors"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `toml:"log-level"`
	// LongestLease is the maximum duration of a lease that a runner grants.
	LongestLease publisher.Duration `toml:"longest-lease"`
	// RestartWithin is the longest time until the tasks of a lost runner start
	// elsewhere, also if the owner of the cell is lost with it: 6s to 1h. It
	// limits the leases of runners; with short ones, runs end in an outage that
	// is longer.
	RestartWithin publisher.Duration `toml:"restart-within"`
	// DrainWithin is the time from the confirmation of an operator's order to drain
	// a failure domain until no task may start there: 0s, which sets no bound, or 3s
	// to 1h. Orders are obeyed in any case. With a bound, an entry that cannot read
	// the orders starts nothing.
	DrainWithin publisher.Duration `toml:"drain-within"`
	// MaxReservations is the largest number of large tasks and gangs for which room
	// is reserved on runners at a time: 0 to 64. Zero means that none is.
	MaxReservations int `toml:"max-reservations"`
	// ColdRuns is how many tasks a runner takes in any case while it is cold after its
	// start; beyond them, its load grows in steps until it is warm. Zero: cold runners
	// are used like warm ones.
	ColdRuns int `toml:"cold-runs"`
	// Grace is the maximum time that a process may take to shut down.
	Grace publisher.Duration `toml:"grace"`
	// Callers is the IP number and port for callers' requests; entries only.
	Callers string `toml:"callers"`
	// Readiness is the IP number and port for the load balancer's readiness
	// checks; entries only.
	Readiness string `toml:"readiness"`
	// Registry is the IP number and port at which the runner announces
	// itself; agents only.
	Registry string `toml:"registry"`
	// Runner is the IP number and port of the runner; agents only.
	Runner string `toml:"runner"`
	// MemoryBytes is the memory of the process's instance, 32 MiB to 1 TiB; zero means
	// that of the smallest instance. Unfinished requests may hold a fifth of it, and jobs
	// half of that of an entry.
	MemoryBytes int64 `toml:"memory-bytes"`
	// Descriptors is the number of file descriptors that the process may open, 256 to
	// 1048576; zero means 4100, or fewer if the system allows fewer. Three quarters of
	// them, without 200 for files, may be accepted connections.
	Descriptors int `toml:"descriptors"`
}

// FleetDefaults returns the defaults of the settings that a file may omit.
func FleetDefaults() Fleet {
	return Fleet{
		LogLevel:      "info",
		LongestLease:  publisher.Duration(6 * time.Second),
		RestartWithin: publisher.Duration(9 * time.Second),
		Grace:         publisher.Duration(6 * time.Second),
	}
}

// ReadFleet reads and validates the settings file at path. An invalid setting
// gives a *publisher.FieldError.
func ReadFleet(path string) (Fleet, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Fleet{}, errors.Wrap(err, "reading the settings file")
	}
	return ParseFleet(data)
}

// ParseFleet decodes and validates settings in TOML. An invalid setting gives
// a *publisher.FieldError.
func ParseFleet(data []byte) (Fleet, error) {
	cfg := FleetDefaults()
	if err := publisher.DecodeTOML(data, &cfg); err != nil {
		return Fleet{}, err
	}
	return cfg, cfg.check()
}

func (f *Fleet) check() error {
	const minDuration, maxDuration = int64(time.Second), int64(time.Hour)
	const maxColdRuns = 10_000
	const minDrain = int64(3 * time.Second)
	const minRestart = int64(6 * time.Second)
	const maxProcessors = 1 << 10
	const maxReservations = 64
	checks := []error{
		checkAddress("link", f.Link),
		checkAddress("store", f.Store),
		checkLogLevel(f.LogLevel),
		publisher.CheckRange("processors", int64(math.Ceil(f.Processors)), 0, maxProcessors),
		publisher.CheckRange("longest-lease", int64(f.LongestLease), minDuration, maxDuration),
		publisher.CheckRange("restart-within", int64(f.RestartWithin), minRestart, maxDuration),
		publisher.CheckRange("cold-runs", int64(f.ColdRuns), 0, maxColdRuns),
		checkDrainWithin(f.DrainWithin, minDrain, maxDuration),
		publisher.CheckRange("max-reservations", int64(f.MaxReservations), 0, maxReservations),
		publisher.CheckRange("grace", int64(f.Grace), minDuration, maxDuration),
		checkOptionalAddress("callers", f.Callers),
		checkOptionalAddress("readiness", f.Readiness),
		checkOptionalAddress("registry", f.Registry),
		checkOptionalAddress("runner", f.Runner),
		checkMemory(f.MemoryBytes),
		checkDescriptors(f.Descriptors),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkDrainWithin(d publisher.Duration, least, most int64) error {
	if d == 0 {
		return nil
	}
	return publisher.CheckRange("drain-within", int64(d), least, most)
}

// CheckEntry validates the settings that only an entry requires.
func (f *Fleet) CheckEntry() error {
	if err := checkAddress("callers", f.Callers); err != nil {
		return err
	}
	return checkAddress("readiness", f.Readiness)
}

// CheckAgent validates the settings that only an agent requires.
func (f *Fleet) CheckAgent() error {
	if err := checkAddress("registry", f.Registry); err != nil {
		return err
	}
	return checkAddress("runner", f.Runner)
}
