package storer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Encode returns a row's value as JSON. The values of rows are plain structs,
// which can always be encoded.
func Encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a row"))
	}
	return data
}
