package estimator

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// maxAge is the age from which an estimate is not used.
	maxAge = 3 * time.Second
	// minWait is the least wait that is published.
	minWait = 100 * time.Millisecond
	// maxRetryAfter limits the delay of a refused caller: estimates of longer waits are
	// worth little.
	maxRetryAfter = time.Minute
	// runnerRetryAfter is the delay after which a job that no runner can hold is worth
	// another try. It is what the caller loses if such a runner joins meanwhile.
	runnerRetryAfter = 10 * time.Second
	// maxLabels is the number of labels of a service's runners that are published.
	maxLabels = 32
)

// Queue is the published estimate of a queue.
type Queue struct {
	_    struct{} `cbor:",toarray"`
	Name string   `json:"queue"`
	// WaitMillis is how long a job of BoundMillis, the mean bound of the queue's jobs,
	// would wait.
	WaitMillis  int64 `json:"wait-millis"`
	BoundMillis int64 `json:"bound-millis"`
	Refusing    bool  `json:"refusing"`
}

// Runners is what the runners of a service can hold, if that has been stable.
type Runners struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// ProcessorMillis, MemoryBytes and Accelerators are the largest of any runner,
	// each by itself.
	ProcessorMillis int64
	MemoryBytes     int64
	Accelerators    int64
	// Labels are hashes of the labels that some runner has; AllLabels is false if there
	// are too many to list.
	Labels    []uint32
	AllLabels bool
}

// Report is what the owner publishes.
type Report struct {
	Queues  []Queue   `cbor:"queues,omitempty"`
	Runners []Runners `cbor:"runners,omitempty"`
}

// View is the report that an entry has read. AsOf is a time before which it was not
// made; it is zero if that is not known.
type View struct {
	Report Report
	AsOf   time.Time
}

// Need is what a task of a job needs.
type Need struct {
	ProcessorMillis int64
	MemoryBytes     int64
	Accelerators    int64
	Label           string
}

// Job is a job that is submitted.
type Job struct {
	ID      string
	Queue   string
	Service string
	Needs   []Need
	// Waits is set if the job ends by itself, is due at once, and competes for
	// processors. Others are not refused for load.
	Waits bool
}

// The reasons of a refusal.
const (
	ReasonOverload = "overload"
	ReasonNoRunner = "no-runner"
)

// Refusal is why a job is refused, and the time after which it is worth another try.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	// Wait is the estimate of the job's queue, if the reason is the load.
	Wait time.Duration
}

// Refuse returns why a job is refused, or nil if it is not. Nothing is refused by an
// unknown or old view.
func (v *View) Refuse(now time.Time, j *Job) *Refusal {
	if v == nil || v.AsOf.IsZero() || now.Sub(v.AsOf) > maxAge || now.Before(v.AsOf) {
		return nil
	}
	if !v.Report.mayHold(j) {
		return &Refusal{
			Reason:     ReasonNoRunner,
			RetryAfter: runnerRetryAfter + spread(j.ID, runnerRetryAfter/2),
		}
	}
	i := slices.IndexFunc(v.Report.Queues, func(q Queue) bool { return q.Name == j.Queue })
	if i < 0 || !j.Waits || !v.Report.Queues[i].Refusing {
		return nil
	}
	q := &v.Report.Queues[i]
	wait := time.Duration(q.WaitMillis) * time.Millisecond
	retryAfter := wait - time.Duration(reopenAt*float64(q.BoundMillis)*float64(time.Millisecond))
	retryAfter = min(maxRetryAfter, max(time.Second, retryAfter))
	return &Refusal{
		Reason:     ReasonOverload,
		RetryAfter: retryAfter + spread(j.ID, max(2*time.Second, retryAfter)),
		Wait:       wait,
	}
}

// spread returns a time below limit that depends on the id, so that callers that are
// refused at the same moment do not retry at the same moment.
func spread(id string, limit time.Duration) time.Duration {
	const parts = 1000
	return limit * time.Duration(hash(id)%parts) / parts
}

func hash(s string) uint32 {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}

// mayHold reports whether the runners of a job's service may be able to hold each of
// its tasks. It is true if the runners are not known.
func (r *Report) mayHold(j *Job) bool {
	i := slices.IndexFunc(r.Runners, func(known Runners) bool { return known.Service == j.Service })
	if i < 0 {
		return true
	}
	known := &r.Runners[i]
	for _, n := range j.Needs {
		if n.ProcessorMillis > known.ProcessorMillis || n.MemoryBytes > known.MemoryBytes || n.Accelerators > known.Accelerators {
			return false
		}
		if n.Label != "" && known.AllLabels && !slices.Contains(known.Labels, hash(n.Label)) {
			return false
		}
	}
	return true
}
