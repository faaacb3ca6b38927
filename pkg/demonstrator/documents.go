// Package demonstrator runs the whole path on one instance: stand-ins of the
// outside systems, entries and agents of two users' services, and callers that
// check every answer.
package demonstrator

import "time"

// documentPolls is the document of the first user's service.
const documentPolls = `service = "central-polls"
team = "condor"

[endpoint]
slots = 8
connections = 64

[[kind]]
name = "list-check"
urgency = 9
deadline = "2s"
run-time = "20ms"
idempotent = true
floor = 0.5
ceiling = 1.0
lend-limit = "100ms"
max-queued = 2000

[[kind]]
name = "dial"
urgency = 7
deadline = "4s"
run-time = "50ms"
idempotent = false
floor = 0.1
ceiling = 0.5
lend-limit = "100ms"
max-queued = 1000

[[kind]]
name = "dialer-feed"
urgency = 3
deadline = "10s"
run-time = "400ms"
idempotent = true
floor = 0.1
ceiling = 0.5
lend-limit = "1s"
max-queued = 500
`

// documentReader is the document of the second user's service.
const documentReader = `service = "recovery-reader"
team = "lisciva"

[endpoint]
slots = 8
connections = 64

[[kind]]
name = "liquor-check"
urgency = 9
deadline = "2s"
run-time = "20ms"
idempotent = true
floor = 0.4
ceiling = 1.0
lend-limit = "100ms"
max-queued = 2000

[[kind]]
name = "trend-review"
urgency = 2
deadline = "20s"
run-time = "500ms"
idempotent = true
floor = 0.2
ceiling = 0.6
lend-limit = "1s"
max-queued = 500
`

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
