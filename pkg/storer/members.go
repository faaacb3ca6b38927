package storer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// MemberTable is the table in which the system's processes find one another.
const MemberTable = "bilberrywalk-members"

// announcePause is the wait before an announcement is tried again.
const announcePause = 500 * time.Millisecond

// Member is the row of one process, under its address.
type Member struct {
	Role          framer.Role `cbor:"role"`
	Address       string      `cbor:"address"`
	FailureDomain string      `cbor:"failure-domain"`
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

// Announce puts a process's row into the store, and tries until it is there or
// ctx is done. Each failure is handed to failed.
func Announce(ctx context.Context, rows RowStore, m Member, failed func(err error)) {
	for ctx.Err() == nil {
		_, err := rows.Commit(ctx, Change{
			Puts: []Put{MemberPut(m)},
		})
		if err == nil {
			return
		}
		failed(err)
		if wait(ctx, announcePause) != nil {
			return
		}
	}
}

// DecodeMember reads a member's row.
func DecodeMember(row PartitionedRow) (Member, error) {
	var m Member
	err := cbor.Unmarshal(row.Value, &m)
	return m, errors.Wrapf(err, "decoding the member %q", row.Key.Name)
}

// EncodeCBOR returns a row's value as CBOR. The values of rows are plain
// structs, which can always be encoded.
func EncodeCBOR(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a row"))
	}
	return data
}
