package framer

// RunnerKey identifies one incarnation of a runner. A runner may restart under
// the same id without any of its earlier state.
type RunnerKey struct {
	ID string `cbor:"id"`
	// StartedAtMillis is when this incarnation started, in milliseconds since
	// the Unix epoch.
	StartedAtMillis int64 `cbor:"born-millis"`
}

// RunRef identifies one run of a task. The runs of a task are numbered from one
// in ascending order.
type RunRef struct {
	Task string `cbor:"task"`
	Run  int    `cbor:"run"`
}

// RunStart requests that an agent start a run.
type RunStart struct {
	RunRef
	Payload string `cbor:"payload"`
	// Checkpoint is the checkpoint from which the run resumes, or empty.
	Checkpoint string `cbor:"checkpoint,omitempty"`
	// Repeated is set if an earlier start request for this run may have been
	// sent.
	Repeated bool `cbor:"repeated,omitempty"`
}

// Sharing describes to an agent how a run shares its instance with other runs.
type Sharing struct {
	RunRef
	// TargetMillis is the upper bound of the tail latency of a
	// latency-critical run, in milliseconds; zero for a best-effort run.
	TargetMillis float64 `cbor:"target-millis,omitempty"`
	// Interference is how much a best-effort run slows the co-located
	// latency-critical runs, relative to other runs.
	Interference float64 `cbor:"press,omitempty"`
}

// Sync is the message from the owner of a cell to an agent. Each message
// carries all starts, stops and settings that are outstanding at the agent, so
// that the next message makes up for a lost one.
type Sync struct {
	Epoch uint64 `cbor:"epoch"`
	// Runner is the incarnation of the runner that the message is for.
	Runner RunnerKey `cbor:"runner"`
	// LeaseUntilMillis is when the lease expires, in milliseconds of the
	// runner's own clock.
	LeaseUntilMillis int64 `cbor:"lease-until-millis"`
	// AckedSequence is the sequence number of the last finished run that is
	// committed to the store.
	AckedSequence int64      `cbor:"ends-seen"`
	Starts        []RunStart `cbor:"starts,omitempty"`
	// StartsUntilMillis is until when the starts may be carried out, in milliseconds
	// of the runner's own clock; 0 sets no bound.
	StartsUntilMillis int64    `cbor:"starts-until-millis,omitempty"`
	Stops             []RunRef `cbor:"stops,omitempty"`
	// Sharing lists the latency-critical and best-effort runs if the runner
	// has both.
	Sharing []Sharing `cbor:"sharing,omitempty"`
}

// RunnerInfo describes the runner that an agent manages.
type RunnerInfo struct {
	// Address is where the runner listens; only one incarnation listens there
	// at a time.
	Address         string    `cbor:"address"`
	Key             RunnerKey `cbor:"key"`
	Service         string    `cbor:"service"`
	FailureDomain   string    `cbor:"failure-domain"`
	ProcessorMillis int64     `cbor:"processor-millis"`
	MemoryBytes     int64     `cbor:"memory-bytes"`
	Accelerators    int64     `cbor:"accelerators"`
	Labels          []string  `cbor:"labels"`
	Draining        bool      `cbor:"draining,omitempty"`
	// Left is set once the runner has reported that it leaves permanently.
	Left bool `cbor:"left,omitempty"`
	// ColdMillis is how much longer the runner is slow after its start.
	ColdMillis int64 `cbor:"cold-millis,omitempty"`
}

// RunStatus is the state of a run that a runner lists as present.
type RunStatus struct {
	RunRef
	Checkpoint string `cbor:"checkpoint,omitempty"`
	// Percent is the share of its work that the run has completed; a
	// long-running run is up once it reports 100.
	Percent int `cbor:"percent"`
	// Measurement covers the last half second: the tail latency of a
	// latency-critical run in milliseconds, or the processor usage of any
	// other run in thousandths of a processor.
	Measurement float64 `cbor:"figure,omitempty"`
}

// FinishReason is why a run finished.
type FinishReason string

// The reasons for which a run finishes.
const (
	// FinishDone: the task's work is complete.
	FinishDone FinishReason = "done"
	// FinishFailed: the run failed, through its own fault or the runner's.
	FinishFailed FinishReason = "failed"
	// FinishStopped: the run was stopped on request.
	FinishStopped FinishReason = "stopped"
	// FinishLeaseExpired: the runner's lease expired.
	FinishLeaseExpired FinishReason = "lapsed"
	// FinishGangBroken: another member of the run's gang finished.
	FinishGangBroken FinishReason = "broken"
	// FinishGangTimeout: the other members of the run's gang did not start in
	// time.
	FinishGangTimeout FinishReason = "alone"
	// FinishNeverStarted: the run was not started and never will be.
	FinishNeverStarted FinishReason = "never"
)

// FinishedRun is a run that has finished on a runner. Sequence numbers the
// finished runs of a runner from one; it is zero for a run that never started.
type FinishedRun struct {
	RunRef
	Sequence   int64        `cbor:"number"`
	Reason     FinishReason `cbor:"kind"`
	Checkpoint string       `cbor:"checkpoint,omitempty"`
}

// Report is the message from an agent to the owner of its cell.
type Report struct {
	// Epoch is the highest epoch that the agent has received.
	Epoch  uint64     `cbor:"epoch"`
	Runner RunnerInfo `cbor:"runner"`
	// ClockMillis is the runner's clock, read before the report was sent.
	ClockMillis int64 `cbor:"clock-millis"`
	// LeaseUntilMillis is the latest end of a lease that the agent knows of, by the same
	// clock; 0 if it knows of none.
	LeaseUntilMillis int64 `cbor:"lease-until-millis,omitempty"`
	// ExpiredSequence is the number of the last finished run since which the runner's lease
	// is known to have expired.
	ExpiredSequence int64 `cbor:"expired-number,omitempty"`
	// Listed is set once the runner has listed its runs; ListingAgeMillis is
	// the time since it last did.
	Listed           bool  `cbor:"fresh,omitempty"`
	ListingAgeMillis int64 `cbor:"age-millis,omitempty"`
	// Unanswered is set while the runner does not answer requests for a listing.
	Unanswered bool `cbor:"unanswered,omitempty"`
	// Claimed is set while heartbeats name another incarnation under the runner's id that
	// has not answered a call yet. A start may have reached that one.
	Claimed bool `cbor:"claimed,omitempty"`
	// ListedEpoch is the epoch of the call that the last listing answered. The
	// runner carries out no call of an earlier epoch after that.
	ListedEpoch uint64 `cbor:"listed-epoch,omitempty"`
	// Started lists the runs that the runner accepted.
	Started  []RunRef      `cbor:"started,omitempty"`
	Running  []RunStatus   `cbor:"running,omitempty"`
	Finished []FinishedRun `cbor:"ended,omitempty"`
}
