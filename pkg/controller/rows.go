// Package controller is the process of an entry that schedules jobs of steps:
// it puts callers' jobs on record, answers what became of them, and may own
// the cell, for which it takes and renews the cell's lease, commits what the
// scheduler decides and speaks to the agents.
package controller

import (
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// jobTable holds what callers asked for; any entry writes to it.
	jobTable = "bilberrywalk-jobs"
	// jobPartitions is how many submissions the store can write at once.
	jobPartitions = 16
	// cellTable holds the cell's lease and the progress of its jobs; only the
	// cell's owner writes to it.
	cellTable     = "bilberrywalk-cells"
	cellPartition = "cell-1"
	// leaseName, learntName and progressPrefix name the rows of a cell.
	leaseName      = "lease"
	modelsName     = "learnt"
	progressPrefix = "progress/"
	// cancelSuffix marks the row that cancels a job. Ids hold no slash.
	cancelSuffix = "/cancel"
)

// leaseRow is the cell's row. Serial tells the writes of one owner apart, so
// that one whose answer was lost can be recognised.
type leaseRow struct {
	Lease   leaser.Row `cbor:"lease"`
	Address string     `cbor:"address"`
	Serial  uint64     `cbor:"serial"`
}

// jobPartition spreads jobs over parts, which the store writes side by side.
func jobPartition(id string) string {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(id))
	return strconv.Itoa(int(h.Sum32() % jobPartitions))
}

// allJobPartitions lists the parts of the table of jobs.
func allJobPartitions() []string {
	parts := make([]string, jobPartitions)
	for i := range parts {
		parts[i] = strconv.Itoa(i)
	}
	return parts
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

func modelsKey() storer.Key {
	return storer.Key{
		Table:     cellTable,
		Partition: cellPartition,
		Name:      modelsName,
	}
}

func progressKey(id string) storer.Key {
	return storer.Key{
		Table:     cellTable,
		Partition: cellPartition,
		Name:      progressPrefix + id,
	}
}

// cancelledID returns the id of the job that a row cancels.
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
	return l, errors.Wrap(err, "decoding what the cell learnt")
}

func decodeSpec(row storer.PartitionedRow) (scheduler.Spec, error) {
	var s scheduler.Spec
	err := cbor.Unmarshal(row.Value, &s)
	return s, errors.Wrapf(err, "decoding the job %q", row.Key.Name)
}

func decodeProgress(row storer.PartitionedRow) (scheduler.Progress, error) {
	var p scheduler.Progress
	err := cbor.Unmarshal(row.Value, &p)
	return p, errors.Wrapf(err, "decoding the progress %q", row.Key.Name)
}
