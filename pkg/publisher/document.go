// Package publisher manages service documents: it validates them, stores
// accepted versions in the platform's table, and caches the newest version of
// each.
package publisher

import (
	"bytes"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Document is a team's declaration of one service, in TOML.
type Document struct {
	// Service is the service's name: 1 to 63 of a-z, 0-9 and "-".
	Service string `toml:"service"`
	// Team is the team that owns the service.
	Team string `toml:"team"`
	// Endpoint is the capacity of one endpoint.
	Endpoint EndpointCapacity `toml:"endpoint"`
	// Kinds are the kinds of request, each with its own queue.
	Kinds []Kind `toml:"kind"`
	// Replicas are the latency-critical tasks that serve the service.
	Replicas Replicas `toml:"replicas"`
	// Quota limits the resources that the team's batch tasks use at once.
	Quota Resources `toml:"quota"`
}

// EndpointCapacity is the capacity of one endpoint.
type EndpointCapacity struct {
	// Slots is the number of requests that may run at once: 1 to 1024.
	Slots int `toml:"slots"`
	// Connections is the number of connections that may be open: slots to
	// 65536.
	Connections int `toml:"connections"`
}

// Kind declares one kind of request.
type Kind struct {
	// Name is the kind's name, as callers send it.
	Name string `toml:"name"`
	// Urgency is the kind's priority once every floor is met: 0 to 9, 9 first.
	Urgency int `toml:"urgency"`
	// Deadline is the default deadline, for requests that set none.
	Deadline Duration `toml:"deadline"`
	// RunTime is the expected run time of a request.
	RunTime Duration `toml:"run-time"`
	// Idempotent allows a request to be retried after a failure.
	Idempotent bool `toml:"idempotent"`
	// Floor is the share of the slots reserved for the kind: 0 to 1.
	Floor float64 `toml:"floor"`
	// Ceiling is the largest share of the slots that the kind may use: 0 to 1.
	Ceiling float64 `toml:"ceiling"`
	// LendLimit is the longest expected run time of requests of other kinds
	// that may borrow this kind's free floor slots.
	LendLimit Duration `toml:"lend-limit"`
	// MaxQueued is the largest number of requests queued at one entry: 1 to
	// 100000.
	MaxQueued int `toml:"max-queued"`
}

// Replicas declares the latency-critical tasks of a service.
type Replicas struct {
	// Count is the number of replicas: 0 to 10000.
	Count int `toml:"count"`
	// Needs are the resources allocated to one replica.
	Needs Resources `toml:"needs"`
}

// Resources are amounts of a worker's resources.
type Resources struct {
	// ProcessorMillis is processor time, in thousandths of a processor.
	ProcessorMillis int64 `toml:"processor-millis" json:"processor-millis" cbor:"processor-millis"`
	// MemoryBytes is memory, in bytes.
	MemoryBytes int64 `toml:"memory-bytes" json:"memory-bytes" cbor:"memory-bytes"`
	// Accelerators is the number of accelerators.
	Accelerators int64 `toml:"accelerators" json:"accelerators" cbor:"accelerators"`
}

// Add returns a plus b, for each resource.
func Add(a, b Resources) Resources {
	return Resources{
		ProcessorMillis: a.ProcessorMillis + b.ProcessorMillis,
		MemoryBytes:     a.MemoryBytes + b.MemoryBytes,
		Accelerators:    a.Accelerators + b.Accelerators,
	}
}

// Subtract returns a minus b, for each resource.
func Subtract(a, b Resources) Resources {
	return Resources{
		ProcessorMillis: a.ProcessorMillis - b.ProcessorMillis,
		MemoryBytes:     a.MemoryBytes - b.MemoryBytes,
		Accelerators:    a.Accelerators - b.Accelerators,
	}
}

// Max returns the larger amount of each resource.
func Max(a, b Resources) Resources {
	return Resources{
		ProcessorMillis: max(a.ProcessorMillis, b.ProcessorMillis),
		MemoryBytes:     max(a.MemoryBytes, b.MemoryBytes),
		Accelerators:    max(a.Accelerators, b.Accelerators),
	}
}

// Within reports whether a is at most b in every resource.
func Within(a, b Resources) bool {
	return a.ProcessorMillis <= b.ProcessorMillis && a.MemoryBytes <= b.MemoryBytes && a.Accelerators <= b.Accelerators
}

// Duration is a time.Duration, written like "250ms" in TOML.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return errors.Wrap(err, "parsing a duration")
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// FieldError reports an invalid field of a document or a settings file.
type FieldError struct {
	Field   string
	Value   string
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %q is not allowed; allowed: %s", e.Field, e.Value, e.Allowed)
}

// Parse decodes and validates a document. An invalid field is reported as
// *FieldError.
func Parse(text string) (Document, error) {
	var doc Document
	if err := DecodeTOML([]byte(text), &doc); err != nil {
		return Document{}, err
	}
	return doc, doc.check()
}

// DecodeTOML decodes TOML strictly. It returns a *FieldError for unknown keys,
// wrong types and syntax errors.
func DecodeTOML(data []byte, into any) error {
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := dec.Decode(into)
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		first := unknownKeys.Errors[0]
		return &FieldError{
			Field:   joinKey(first.Key()),
			Value:   "(unknown key)",
			Allowed: "the keys listed in docs/SETTINGS.md",
		}
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, column := decodeErr.Position()
		return &FieldError{
			Field:   joinKey(decodeErr.Key()),
			Value:   fmt.Sprintf("line %d column %d", row, column),
			Allowed: decodeErr.Error(),
		}
	}
	return errors.Wrap(err, "decoding TOML")
}

func joinKey(key toml.Key) string {
	var joined string
	for i, part := range key {
		if i > 0 {
			joined += "."
		}
		joined += part
	}
	if joined == "" {
		return "file"
	}
	return joined
}
