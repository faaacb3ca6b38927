package framer

// RunnerKey names one life of a runner: a runner may come back under the id
// that it had, with nothing of what it knew.
type RunnerKey struct {
	ID string `cbor:"id"`
	// BornMillis is when this life began, in milliseconds since 1970.
	BornMillis int64 `cbor:"born-millis"`
}

// RunRef names one run of a task; runs are numbered from one and rise.
type RunRef struct {
	Task string `cbor:"task"`
	Run  int    `cbor:"run"`
}

// RunStart asks an agent to start a run.
type RunStart struct {
	RunRef
	Payload string `cbor:"payload"`
	// Checkpoint is what the run resumes from, or empty.
	Checkpoint string `cbor:"checkpoint,omitempty"`
	// Repeated is set when the start may have been ordered before.
	Repeated bool `cbor:"repeated,omitempty"`
}

// Sharing tells an agent how a run shares its instance.
type Sharing struct {
	RunRef
	// TargetMillis bounds the tail latency of a run that serves; nought
	// for a run that only fills what others leave unused.
	TargetMillis float64 `cbor:"target-millis,omitempty"`
	// Press is how much a run that fills slows the serving runs beside it,
	// compared with other runs.
	Press float64 `cbor:"press,omitempty"`
}

// Sync is what the owner of a cell tells an agent. It holds all that is open
// at the agent, so that a lost message is mended by the next.
type Sync struct {
	Epoch uint64 `cbor:"epoch"`
	// Runner is the life of the runner that the message is for.
	Runner RunnerKey `cbor:"runner"`
	// LeaseUntilMillis is the end of the lease in the runner's own clock.
	LeaseUntilMillis int64 `cbor:"lease-until-millis"`
	// EndsSeen is the number of the last end that is on record.
	EndsSeen int64      `cbor:"ends-seen"`
	Starts   []RunStart `cbor:"starts,omitempty"`
	Stops    []RunRef   `cbor:"stops,omitempty"`
	// Sharing lists serving and filling runs where both are on the runner.
	Sharing []Sharing `cbor:"sharing,omitempty"`
}

// RunnerInfo is what an agent knows of the runner beside it.
type RunnerInfo struct {
	// Address is where the runner listens; one life at a time does.
	Address         string    `cbor:"address"`
	Key             RunnerKey `cbor:"key"`
	Service         string    `cbor:"service"`
	FailureDomain   string    `cbor:"failure-domain"`
	ProcessorMillis int64     `cbor:"processor-millis"`
	MemoryBytes     int64     `cbor:"memory-bytes"`
	Accelerators    int64     `cbor:"accelerators"`
	Labels          []string  `cbor:"labels"`
	Draining        bool      `cbor:"draining,omitempty"`
	// Left is set once the runner said that it is gone for good.
	Left bool `cbor:"left,omitempty"`
}

// RunStatus is a run that a runner lists as present.
type RunStatus struct {
	RunRef
	Checkpoint string `cbor:"checkpoint,omitempty"`
	// Percent is how much of its work the run has done; a run that lasts is at
	// work once it is 100.
	Percent int `cbor:"percent"`
	// Figure tells of the last half second: the tail latency in milliseconds
	// of a run that serves, else the thousandths of processors in use.
	Figure float64 `cbor:"figure,omitempty"`
}

// EndKind tells how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	// EndDone: the task's work is complete.
	EndDone EndKind = "done"
	// EndFailed: the run failed, through its own fault or the runner's.
	EndFailed EndKind = "failed"
	// EndStopped: it was told to stop.
	EndStopped EndKind = "stopped"
	// EndLapsed: the runner's lease lapsed.
	EndLapsed EndKind = "lapsed"
	// EndBroken: another member of its gang ended.
	EndBroken EndKind = "broken"
	// EndAlone: the other members of its gang did not come in time.
	EndAlone EndKind = "alone"
	// EndNever: the run was not started and never will be.
	EndNever EndKind = "never"
)

// RunEnd is a run that is over on a runner. Number counts a runner's ends
// from one; it is nought for a run that never started.
type RunEnd struct {
	RunRef
	Number     int64   `cbor:"number"`
	Kind       EndKind `cbor:"kind"`
	Checkpoint string  `cbor:"checkpoint,omitempty"`
}

// Report is what an agent tells the owner of its cell.
type Report struct {
	// Epoch is the highest that the agent has heard of.
	Epoch  uint64     `cbor:"epoch"`
	Runner RunnerInfo `cbor:"runner"`
	// ClockMillis is the runner's clock, read before the report was sent.
	ClockMillis int64 `cbor:"clock-millis"`
	// Fresh is set once the runner listed its runs, and AgeMillis is how long ago
	// it last did.
	Fresh     bool  `cbor:"fresh,omitempty"`
	AgeMillis int64 `cbor:"age-millis,omitempty"`
	// Started lists runs that the runner took.
	Started []RunRef    `cbor:"started,omitempty"`
	Running []RunStatus `cbor:"running,omitempty"`
	Ended   []RunEnd    `cbor:"ended,omitempty"`
}
