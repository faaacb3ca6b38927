// Package controller implements the entry process of the job scheduler. It
// commits callers' jobs to the store and reports their state. It may also own
// the cell: it then acquires and renews the cell's lease, commits the
// scheduler's decisions and communicates with the agents.
package controller

import (
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberrywalk/bilberrywalk/pkg/estimator"
	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// jobTable holds submitted jobs and cancellations; any entry writes to it.
	jobTable = "bilberrywalk-jobs"
	// jobPartitions is the number of partitions of the job table. The store
	// can write that many submissions concurrently.
	jobPartitions = 16
	// cellTable holds the cell's lease, the progress of its jobs and its
	// learned models; only the cell's owner writes to it.
	cellTable     = "bilberrywalk-cells"
	cellPartition = "cell-1"
	// leaseName is the name of the cell's lease row; the prefixes are followed
	// by the latency-critical image of a learned model and by the id of a job.
	leaseName      = "lease"
	modelPrefix    = "learned/"
	progressPrefix = "progress/"
	// cancelSuffix marks the row that cancels a job. Job ids contain no slash.
	cancelSuffix = "/cancel"
)

// leaseRow is the value of the cell's lease row. Serial numbers the writes of
// one owner, so that a committed write whose reply was lost is recognised.
type leaseRow struct {
	Lease   leaser.Row `cbor:"lease"`
	Address string     `cbor:"address"`
	Serial  uint64     `cbor:"serial"`
	// RunnerLeaseMillis is the duration of the longest lease of a runner that
	// may be in force, in milliseconds; 0 if the owner does not state it.
	RunnerLeaseMillis int64 `cbor:"runner-lease-millis,omitempty"`
	// DelayedLeaseMillis is the time until the last lease expires that a delayed
	// call can have granted a runner, in milliseconds, by the runner's id.
	DelayedLeaseMillis map[string]int64 `cbor:"delayed-lease-millis,omitempty"`
	// Load is the owner's estimate of how long new jobs would wait.
	Load estimator.Report `cbor:"load,omitzero"`
}

// jobPartition returns the partition of a job. Jobs are spread over partitions
// because the store writes different partitions concurrently.
func jobPartition(id string) string {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(id))
	return strconv.Itoa(int(h.Sum32() % jobPartitions))
}

// allJobPartitions returns the names of all partitions of the job table.
func allJobPartitions() []string {
	partitions := make([]string, jobPartitions)
	for i := range partitions {
		partitions[i] = strconv.Itoa(i)
	}
	return partitions
}

func jobKey(id string) storer.Key {
	return storer.Key{
		Table:     jobTable,
		Partition: jobPartition(id),
		Name:      id,
	}
}

func cancelKey(id string) storer.Key {
	return storer.Key{
		Table:     jobTable,
		Partition: jobPartition(id),
		Name:      id + cancelSuffix,
	}
}

func leaseKey() storer.Key {
	return storer.Key{
		Table:     cellTable,
		Partition: cellPartition,
		Name:      leaseName,
	}
}

func modelKey(image string) storer.Key {
	return storer.Key{
		Table:     cellTable,
		Partition: cellPartition,
		Name:      modelPrefix + image,
	}
}

func progressKey(id string) storer.Key {
	return storer.Key{
		Table:     cellTable,
		Partition: cellPartition,
		Name:      progressPrefix + id,
	}
}

// cancelledID returns the id of the job that the row with this name cancels.
func cancelledID(name string) (string, bool) {
	return strings.CutSuffix(name, cancelSuffix)
}

func decodeLease(row storer.PartitionedRow) (leaseRow, error) {
	var l leaseRow
	if row.Version == 0 || row.Deleted {
		return l, nil
	}
	err := cbor.Unmarshal(row.Value, &l)
	return l, errors.Wrap(err, "decoding the cell's lease")
}

func decodeModels(row storer.PartitionedRow) (scheduler.LearnedModels, error) {
	var l scheduler.LearnedModels
	err := cbor.Unmarshal(row.Value, &l)
	return l, errors.Wrapf(err, "decoding the learned model %q", row.Key.Name)
}

// decodeSpec decodes and validates a job's own row: an owner that failed on one
// would be followed by others that fail on it too.
func decodeSpec(row storer.PartitionedRow) (scheduler.Spec, error) {
	var s scheduler.Spec
	if err := cbor.Unmarshal(row.Value, &s); err != nil {
		return s, errors.Wrapf(err, "decoding the job %q", row.Key.Name)
	}
	if s.Tombstone {
		return s, nil
	}
	return s, errors.Wrapf(s.Check(), "checking the job %q", row.Key.Name)
}

func decodeProgress(row storer.PartitionedRow) (scheduler.Progress, error) {
	var p scheduler.Progress
	err := cbor.Unmarshal(row.Value, &p)
	return p, errors.Wrapf(err, "decoding the progress %q", row.Key.Name)
}
