package framer

// RunnerKey names one life of a runner: a runner may come back under the id
// that it had, with nothing of what it knew.
type RunnerKey struct {
	ID string `cbor:"id"`
	// StartedAtMillis is when this life began, in milliseconds since 1970.
	StartedAtMillis int64 `cbor:"born-millis"`
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
	// Interference is how much a run that fills slows the serving runs beside it,
	// compared with other runs.
	Interference float64 `cbor:"press,omitempty"`
}

// Sync is what the owner of a cell tells an agent. It holds all that is open
// at the agent, so that a lost message is mended by the next.
type Sync struct {
	Epoch uint64 `cbor:"epoch"`
	// Runner is the life of the runner that the message is for.
	Runner RunnerKey `cbor:"runner"`
	// LeaseUntilMillis is the end of the lease in the runner's own clock.
	LeaseUntilMillis int64 `cbor:"lease-until-millis"`
	// AckedSequence is the number of the last end that is on record.
	AckedSequence int64      `cbor:"ends-seen"`
	Starts        []RunStart `cbor:"starts,omitempty"`
	Stops         []RunRef   `cbor:"stops,omitempty"`
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
	// Measurement tells of the last half second: the tail latency in milliseconds
	// of a run that serves, else the thousandths of processors in use.
	Measurement float64 `cbor:"figure,omitempty"`
}

// FinishReason tells how a run ended.
type FinishReason string

// The ways in which a run ends.
const (
	// FinishDone: the task's work is complete.
	FinishDone FinishReason = "done"
	// FinishFailed: the run failed, through its own fault or the runner's.
	FinishFailed FinishReason = "failed"
	// FinishStopped: it was told to stop.
	FinishStopped FinishReason = "stopped"
	// FinishLeaseExpired: the runner's lease lapsed.
	FinishLeaseExpired FinishReason = "lapsed"
	// FinishGangBroken: another member of its gang ended.
	FinishGangBroken FinishReason = "broken"
	// FinishGangTimeout: the other members of its gang did not come in time.
	FinishGangTimeout FinishReason = "alone"
	// FinishNeverStarted: the run was not started and never will be.
	FinishNeverStarted FinishReason = "never"
)

// FinishedRun is a run that is over on a runner. Sequence counts a runner's ends
// from one; it is nought for a run that never started.
type FinishedRun struct {
	RunRef
	Sequence   int64        `cbor:"number"`
	Reason     FinishReason `cbor:"kind"`
	Checkpoint string       `cbor:"checkpoint,omitempty"`
}

// Report is what an agent tells the owner of its cell.
type Report struct {
	// Epoch is the highest that the agent has heard of.
	Epoch  uint64     `cbor:"epoch"`
	Runner RunnerInfo `cbor:"runner"`
	// ClockMillis is the runner's clock, read before the report was sent.
	ClockMillis int64 `cbor:"clock-millis"`
	// Listed is set once the runner listed its runs, and ListingAgeMillis is how long ago
	// it last did.
	Listed           bool  `cbor:"fresh,omitempty"`
	ListingAgeMillis int64 `cbor:"age-millis,omitempty"`
	// Started lists runs that the runner took.
	Started  []RunRef      `cbor:"started,omitempty"`
	Running  []RunStatus   `cbor:"running,omitempty"`
	Finished []FinishedRun `cbor:"ended,omitempty"`
}
