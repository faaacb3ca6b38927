package overseer

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
)

// quorum decides whether an owner that can't reach the table may renew the leases
// of running tasks. More than half of the workers must have accepted its recent
// calls. A new owner makes the workers reject the calls of its predecessors; once
// half of them have reported to it, no predecessor can have a quorum.
type quorum struct {
	// acceptedAt is when the last call that a worker accepted was sent.
	acceptedAt map[string]time.Time
	// incarnations are the workers' incarnations while the lease was last valid. A
	// later one may have forgotten a call of a new owner.
	incarnations map[string]uint64
}

func newQuorum() quorum {
	return quorum{
		acceptedAt:   map[string]time.Time{},
		incarnations: map[string]uint64{},
	}
}

// accepted records that a worker accepted a call sent at sentAt. ownerIsSole is
// whether the lease was valid when the response arrived, so that no other process
// can have acquired the cell before.
func (q *quorum) accepted(worker string, incarnation uint64, sentAt time.Time, ownerIsSole bool) {
	if ownerIsSole {
		q.incarnations[worker] = incarnation
	}
	if known, ok := q.incarnations[worker]; !ok || known != incarnation {
		delete(q.acceptedAt, worker)
		return
	}
	q.acceptedAt[worker] = sentAt
}

// has reports whether more than half of the workers accepted recent calls.
func (q *quorum) has(now time.Time, workers []string) bool {
	n := 0
	for _, worker := range workers {
		if at, ok := q.acceptedAt[worker]; ok && now.Sub(at) < leaser.QuorumAge {
			n++
		}
	}
	return 2*n > len(workers)
}

// cellRow is the value of a cell's row.
type cellRow struct {
	leaser.Row
	// Workers is the digest of the workers among which each owner that may still
	// renew leases needs a quorum. It is empty if there may be an owner that needs
	// none, or that has other workers.
	Workers string `json:"workers,omitempty"`
}

// digestOf returns a digest of the workers of a cell.
func digestOf(workers []string) string {
	sum := sha256.Sum256([]byte(strings.Join(slices.Sorted(slices.Values(workers)), "\n")))
	return hex.EncodeToString(sum[:])
}
