// Package demonstrator runs the complete request path on one instance: stand-ins
// for the external systems, entries, agents for the services of two
// organisations, and callers that check every answer.
package demonstrator

import (
	_ "embed"
	"time"
)

// documentPolls is the document of the first organisation's service.
//
//go:embed central-polls.toml
var documentPolls string

// documentReader is the document of the second organisation's service.
//
//go:embed recovery-reader.toml
var documentReader string

// demoService is the service of one organisation: its document, the failure
// domains of its endpoints, the kinds that are sent in turn, and the run time of
// each kind.
type demoService struct {
	service  string
	document string
	domains  []string
	kinds    []string
	runTimes map[string]time.Duration
}

func demoServices() []demoService {
	return []demoService{
		{
			service:  "central-polls",
			document: documentPolls,
			domains:  []string{"quito-norte", "quito-sur", "cumbaya"},
			kinds:    []string{"list-check", "list-check", "list-check", "dial", "dialer-feed"},
			runTimes: map[string]time.Duration{
				"list-check":  20 * time.Millisecond,
				"dial":        50 * time.Millisecond,
				"dialer-feed": 400 * time.Millisecond,
			},
		},
		{
			service:  "recovery-reader",
			document: documentReader,
			domains:  []string{"siracusa", "catania", "palermo", "trapani"},
			kinds:    []string{"liquor-check", "liquor-check", "trend-review"},
			runTimes: map[string]time.Duration{
				"liquor-check": 20 * time.Millisecond,
				"trend-review": 500 * time.Millisecond,
			},
		},
	}
}
