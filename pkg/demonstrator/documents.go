// Package demonstrator runs the whole path on one instance: stand-ins of the
// outside systems, entries and agents of two users' services, and callers that
// check every answer.
package demonstrator

import (
	_ "embed"
	"time"
)

// documentPolls is the document of the first user's service.
//
//go:embed central-polls.toml
var documentPolls string

// documentReader is the document of the second user's service.
//
//go:embed recovery-reader.toml
var documentReader string

// site is one user's part of the demo.
type site struct {
	service  string
	document string
	domains  []string
	kinds    []string
	runTimes map[string]time.Duration
}

func sites() []site {
	return []site{
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
