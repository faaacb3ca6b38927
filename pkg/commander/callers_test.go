package commander

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/bilberrywalk/bilberrywalk/pkg/operator"
)

// TestCallersSession is a caller's whole session: answers, refusals of wrong
// input, and a dial sent twice under one id, through one entry and another.
func TestCallersSession(t *testing.T) {
	s := startSystem(t)
	var out strings.Builder
	say := func(entry int, service, body string, headers map[string]string) {
		reply, err := s.at(entry).Do(t.Context(), operator.Call{
			Method:  "POST",
			Path:    "/v1/services/" + service + "/requests",
			Headers: headers,
			Body:    []byte(body),
		})
		assert.NilError(t, err)
		text := fmt.Sprintf("POST %s to entry %d, %d bytes, %v\n%d %s\n%s\n\n", service, entry, len(body), headers, reply.Status, reply.Outcome, reply.Body)
		for _, r := range []struct{ pattern, with string }{
			{`[0-9a-f]{8}-[0-9a-f-]{27}`, "REQUEST-ID"},
			{`[0-9a-f]{64}`, "DIGEST"},
		} {
			text = regexp.MustCompile(r.pattern).ReplaceAllString(text, r.with)
		}
		out.WriteString(text)
	}
	const polls = "central-polls"
	say(0, polls, "a list", nil)
	say(1, polls, "a feed", map[string]string{"Bilberrywalk-Kind": "dialer-feed"})
	say(0, polls, "a list", map[string]string{"Bilberrywalk-Kind": "dance"})
	say(0, polls, "a list", map[string]string{"Bilberrywalk-Deadline": "soon"})
	say(0, polls, "a list", map[string]string{"Bilberrywalk-Deadline": "1ms"})
	say(0, polls, "a list", map[string]string{"Bilberrywalk-Idempotent": "perhaps"})
	say(0, "no-such-service", "a list", nil)
	dial := map[string]string{
		"Bilberrywalk-Kind": "dial",
		"Idempotency-Key":   "household-7",
	}
	say(0, polls, "a dial", dial)
	say(0, polls, "a dial", dial)
	say(1, polls, "a dial", dial)
	golden.Assert(t, out.String(), "callers-session.golden")
}
