package storer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// EncodeJSON returns a row's value as JSON. It panics if the value can't be encoded;
// row values are plain structs, which always can.
func EncodeJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a row"))
	}
	return data
}
