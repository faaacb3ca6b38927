package publisher

import (
	"math"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/admitter"
	"github.com/bilberrywalk/bilberrywalk/pkg/gatekeeper"
)

// maxStandbyRunTime is the longest expected run time of a kind whose requests
// may wait on standby at a gate. Requests of longer kinds wait at the entry,
// where their order can still change. standbySlots is the number of standby
// requests of one such kind at a gate.
const (
	maxStandbyRunTime = 200 * time.Millisecond
	standbySlots      = 2
)

// AdmissionRules returns the document's rules for the queue of an entry.
func (d *Document) AdmissionRules() []admitter.Rule {
	rules := make([]admitter.Rule, 0, len(d.Kinds))
	for _, k := range d.Kinds {
		rules = append(rules, admitter.Rule{
			Kind:      k.Name,
			Urgency:   k.Urgency,
			Floor:     k.Floor,
			MaxQueued: k.MaxQueued,
			RunTime:   time.Duration(k.RunTime),
		})
	}
	return rules
}

// GatePlan returns the document's plan for a gate. A ceiling is at least one
// slot.
func (d *Document) GatePlan(version uint64) gatekeeper.Plan {
	plan := gatekeeper.Plan{
		Version: version,
		Slots:   d.Endpoint.Slots,
	}
	for _, k := range d.Kinds {
		plan.Rules = append(plan.Rules, gatekeeper.Rule{
			Kind:         k.Name,
			FloorSlots:   int(math.Floor(k.Floor * float64(d.Endpoint.Slots))),
			CeilingSlots: max(1, int(math.Floor(k.Ceiling*float64(d.Endpoint.Slots)))),
			RunTime:      time.Duration(k.RunTime),
			Deadline:     time.Duration(k.Deadline),
			LendLimit:    time.Duration(k.LendLimit),
			Standby:      k.standby(),
		})
	}
	return plan
}

func (k *Kind) standby() int {
	if time.Duration(k.RunTime) <= maxStandbyRunTime {
		return standbySlots
	}
	return 0
}

// Kind returns the declaration of the named kind, or nil if there is none.
func (d *Document) Kind(name string) *Kind {
	for i := range d.Kinds {
		if d.Kinds[i].Name == name {
			return &d.Kinds[i]
		}
	}
	return nil
}
