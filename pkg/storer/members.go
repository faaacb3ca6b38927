package storer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// MemberTable is the table through which the system's processes discover one
// another.
const MemberTable = "bilberrywalk-members"

// announceRetryDelay is the wait before a failed announcement is retried.
const announceRetryDelay = 500 * time.Millisecond

// Member is the row of one process; its name is the process's address.
type Member struct {
	Role          framer.Role `cbor:"role"`
	Address       string      `cbor:"address"`
	FailureDomain string      `cbor:"failure-domain"`
	// Processors is the number of processors of an entry; zero if it is not
	// known.
	Processors float64 `cbor:"processors,omitempty"`
}

// MemberPut returns the write that announces a process.
func MemberPut(m Member) Put {
	return Put{
		Key: Key{
			Table: MemberTable,
			Name:  m.Address,
		},
		Value: EncodeCBOR(m),
	}
}

// Announce writes a process's row to the store. It retries until the row is
// written or ctx is done, and calls failed with each error.
func Announce(ctx context.Context, rows RowStore, m Member, failed func(err error)) {
	for ctx.Err() == nil {
		_, err := rows.Commit(ctx, Change{
			Puts: []Put{MemberPut(m)},
		})
		if err == nil {
			return
		}
		failed(err)
		if wait(ctx, announceRetryDelay) != nil {
			return
		}
	}
}

// DecodeMember decodes a member's row.
func DecodeMember(row PartitionedRow) (Member, error) {
	var m Member
	err := cbor.Unmarshal(row.Value, &m)
	return m, errors.Wrapf(err, "decoding the member %q", row.Key.Name)
}

// EncodeCBOR returns a row's value as CBOR. It panics if the value can't be
// encoded; row values are plain structs, which always can.
func EncodeCBOR(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a row"))
	}
	return data
}
