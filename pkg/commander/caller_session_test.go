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

// TestCallerSession compares a caller's complete session with its golden file:
// answers, rejections of invalid input, and a dial sent three times with one
// idempotency key, twice through one entry and once through another.
func TestCallerSession(t *testing.T) {
	s := startSystem(t)
	var out strings.Builder
	send := func(entry int, service, body string, headers map[string]string) {
		reply, err := s.clientOf(entry).Do(t.Context(), operator.Call{
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
	send(0, polls, "a list", nil)
	send(1, polls, "a feed", map[string]string{"Bilberrywalk-Kind": "dialer-feed"})
	send(0, polls, "a list", map[string]string{"Bilberrywalk-Kind": "dance"})
	send(0, polls, "a list", map[string]string{"Bilberrywalk-Deadline": "soon"})
	send(0, polls, "a list", map[string]string{"Bilberrywalk-Deadline": "1ms"})
	send(0, polls, "a list", map[string]string{"Bilberrywalk-Idempotent": "perhaps"})
	send(0, "no-such-service", "a list", nil)
	dial := map[string]string{
		"Bilberrywalk-Kind": "dial",
		"Idempotency-Key":   "household-7",
	}
	send(0, polls, "a dial", dial)
	send(0, polls, "a dial", dial)
	send(1, polls, "a dial", dial)
	golden.Assert(t, out.String(), "callers-session.golden")
}
