package commander

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/controller"
	"github.com/bilberrywalk/bilberrywalk/pkg/drainer"
)

// An operator sees how many runs are left, or that this entry does not know.
func TestDomainsArePrinted(t *testing.T) {
	runs, runners := 4, 12
	m := domainMetrics{
		Owner: true,
		Domains: []controller.DomainStatus{
			{
				Name:         "east",
				State:        drainer.StateDraining,
				OrderVersion: 31,
				Runs:         &runs,
				Runners:      &runners,
			},
			{
				Name:  "west",
				State: drainer.StateActive,
			},
		},
	}
	var out strings.Builder
	assert.NilError(t, printDomains(&out, m))
	assert.Equal(t, out.String(), strings.Join([]string{
		"DOMAIN  STATE     SINCE                 ORDER  RUNS  RUNNERS",
		"east    draining  1970-01-01T00:00:00Z  31     4     12",
		"west    active    1970-01-01T00:00:00Z  -      ?     ?",
		"",
	}, "\n"))
	m.Owner = false
	out.Reset()
	assert.NilError(t, printDomains(&out, m))
	assert.Assert(t, strings.Contains(out.String(), "does not own the cell"))
}
