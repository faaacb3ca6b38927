package publisher

import (
	"fmt"
	"regexp"
	"strconv"
	"time"
)

const (
	maxSlots       = 1024
	maxConnections = 65536
	maxUrgency     = 9
	maxQueued      = 100_000
	maxReplicas    = 10_000
	maxDeadline    = 24 * time.Hour
)

// namePattern matches the names of services, teams, kinds and jobs.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// CheckName checks the name of a service, team, kind or job. The error is a
// *FieldError.
func CheckName(field, name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return &FieldError{
		Field:   field,
		Value:   name,
		Allowed: `1 to 63 of a-z, 0-9 and "-", not "-" at an end`,
	}
}

// CheckRange checks that low <= value <= high. The error is a *FieldError.
func CheckRange(field string, value, low, high int64) error {
	if value >= low && value <= high {
		return nil
	}
	return &FieldError{
		Field:   field,
		Value:   strconv.FormatInt(value, 10),
		Allowed: fmt.Sprintf("%d to %d", low, high),
	}
}

func (d *Document) check() error {
	return firstError(
		CheckName("service", d.Service),
		CheckName("team", d.Team),
		CheckRange("endpoint.slots", int64(d.Endpoint.Slots), 1, maxSlots),
		CheckRange("endpoint.connections", int64(d.Endpoint.Connections), int64(d.Endpoint.Slots), maxConnections),
		CheckRange("kind (count)", int64(len(d.Kinds)), 1, 16),
		d.checkKinds(),
		CheckRange("replicas.count", int64(d.Replicas.Count), 0, maxReplicas),
		d.Replicas.Needs.Check("replicas.needs"),
		d.Quota.Check("quota"),
	)
}

func (d *Document) checkKinds() error {
	seen := map[string]bool{}
	floors := 0.0
	for i := range d.Kinds {
		k := &d.Kinds[i]
		if err := k.check(fmt.Sprintf("kind[%d]", i)); err != nil {
			return err
		}
		if seen[k.Name] {
			return &FieldError{
				Field:   fmt.Sprintf("kind[%d].name", i),
				Value:   k.Name,
				Allowed: "each name once",
			}
		}
		seen[k.Name] = true
		floors += k.Floor
	}
	return checkShare("kind.floor (sum)", floors)
}

func (k *Kind) check(field string) error {
	return firstError(
		CheckName(field+".name", k.Name),
		CheckRange(field+".urgency", int64(k.Urgency), 0, maxUrgency),
		checkDuration(field+".deadline", k.Deadline, time.Millisecond, maxDeadline),
		checkDuration(field+".run-time", k.RunTime, 0, time.Duration(k.Deadline)),
		checkShare(field+".floor", k.Floor),
		checkShare(field+".ceiling", k.Ceiling),
		checkCeiling(field+".ceiling", k),
		checkDuration(field+".lend-limit", k.LendLimit, 0, maxDeadline),
		CheckRange(field+".max-queued", int64(k.MaxQueued), 1, maxQueued),
	)
}

// Check checks that no amount is negative or above 2^50.
func (r Resources) Check(field string) error {
	const maxAmount = 1 << 50
	return firstError(
		CheckRange(field+".processor-millis", r.ProcessorMillis, 0, maxAmount),
		CheckRange(field+".memory-bytes", r.MemoryBytes, 0, maxAmount),
		CheckRange(field+".accelerators", r.Accelerators, 0, maxAmount),
	)
}

func checkCeiling(field string, k *Kind) error {
	if k.Ceiling > 0 && k.Ceiling >= k.Floor {
		return nil
	}
	return &FieldError{
		Field:   field,
		Value:   fmt.Sprint(k.Ceiling),
		Allowed: "more than 0 and no less than the floor",
	}
}

func checkShare(field string, share float64) error {
	if share >= 0 && share <= 1 {
		return nil
	}
	return &FieldError{
		Field:   field,
		Value:   fmt.Sprint(share),
		Allowed: "0 to 1",
	}
}

func checkDuration(field string, d Duration, low, high time.Duration) error {
	if time.Duration(d) >= low && time.Duration(d) <= high {
		return nil
	}
	return &FieldError{
		Field:   field,
		Value:   time.Duration(d).String(),
		Allowed: fmt.Sprintf("%s to %s", low, high),
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
