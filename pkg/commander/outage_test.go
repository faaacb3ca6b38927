package commander

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/operator"
	"github.com/bilberrywalk/bilberrywalk/pkg/receiver"
)

func (s *system) setFaults(faults emulator.PlatformFaults) {
	s.t.Helper()
	body, err := json.Marshal(faults)
	assert.NilError(s.t, err)
	client, err := operator.New([]string{s.platform})
	assert.NilError(s.t, err)
	reply, err := client.Do(s.t.Context(), operator.Call{
		Method: "POST",
		Path:   "/v1/faults",
		Body:   body,
	})
	assert.NilError(s.t, err)
	assert.Equal(s.t, reply.Status, 200)
}

// sendRequest sends one request through an entry and returns the reply. callerID
// is the idempotency key; empty for none.
func (s *system) sendRequest(entry int, kind, callerID string) operator.Reply {
	s.t.Helper()
	headers := map[string]string{
		"Bilberrywalk-Kind": kind,
	}
	if callerID != "" {
		headers["Idempotency-Key"] = callerID
	}
	reply, err := s.clientOf(entry).Do(s.t.Context(), operator.Call{
		Method:  "POST",
		Path:    "/v1/services/central-polls/requests",
		Headers: headers,
		Body:    []byte(kind + callerID),
	})
	assert.NilError(s.t, err)
	return reply
}

func (s *system) applyDocument(base uint64, text string) operator.Reply {
	s.t.Helper()
	reply, err := s.client.Do(s.t.Context(), operator.Call{
		Method: "PUT",
		Path:   fmt.Sprintf("/v1/services/central-polls/document?base=%d", base),
		Body:   []byte(text),
	})
	assert.NilError(s.t, err)
	return reply
}

// documentVersion returns the version of the document that an entry has, or 0 if
// it has none.
func (s *system) documentVersion(entry int) uint64 {
	var doc receiver.DocumentBody
	if s.clientOf(entry).Get(s.t.Context(), "/v1/services/central-polls/document", &doc) != nil {
		return 0
	}
	return doc.Version
}

// TestPlatformOutage makes the platform unavailable to running processes. Requests
// must still be answered, changes that cannot be recorded must be rejected as not
// run, and an entry that starts during the outage must get the latest document
// from its peers.
func TestPlatformOutage(t *testing.T) {
	s := startSystem(t)
	text, err := os.ReadFile("../demonstrator/central-polls.toml")
	assert.NilError(t, err)
	edited := strings.Replace(string(text), "max-queued = 2000", "max-queued = 1500", 1)
	assert.Equal(t, s.applyDocument(1, edited).Status, 200)
	s.setFaults(emulator.PlatformFaults{
		Down: true,
	})
	t.Run("requests are answered", func(t *testing.T) {
		for i := range s.entries {
			assert.Equal(t, s.sendRequest(i, "list-check", "").Outcome, "answered")
			assert.Equal(t, s.sendRequest(i, "dial", "").Outcome, "answered")
		}
	})
	t.Run("a dial that needs a claim is rejected", func(t *testing.T) {
		reply := s.sendRequest(0, "dial", "dial-1")
		assert.Equal(t, reply.Outcome, "not-run", string(reply.Body))
		assert.Assert(t, strings.Contains(string(reply.Body), "store-unavailable"))
	})
	t.Run("an edit is rejected", func(t *testing.T) {
		reply := s.applyDocument(2, string(text))
		assert.Equal(t, reply.Outcome, "not-run", string(reply.Body))
	})
	t.Run("a restarted entry gets the document from its peers", func(t *testing.T) {
		s.kill("entry-2")
		s.launchEntry(2)
		s.waitFor(func() error {
			if v := s.documentVersion(2); v != 2 {
				return fmt.Errorf("version %d", v)
			}
			return nil
		})
		s.waitFor(func() error {
			if reply := s.sendRequest(2, "list-check", ""); reply.Outcome != "answered" {
				return fmt.Errorf("%s: %s", reply.Outcome, reply.Body)
			}
			return nil
		})
	})
	s.setFaults(emulator.PlatformFaults{})
	t.Run("the rejected dial succeeds after the outage", func(t *testing.T) {
		s.waitFor(func() error {
			if reply := s.sendRequest(1, "dial", "dial-1"); reply.Outcome != "answered" {
				return fmt.Errorf("%s: %s", reply.Outcome, reply.Body)
			}
			return nil
		})
	})
	t.Run("an edit whose reply is lost is applied once", func(t *testing.T) {
		s.setFaults(emulator.PlatformFaults{
			LoseAnswers: 2,
		})
		assert.Equal(t, s.applyDocument(2, string(text)).Status, 200)
		for i := range s.entries {
			s.waitFor(func() error {
				if v := s.documentVersion(i); v != 3 {
					return fmt.Errorf("entry %d has version %d", i, v)
				}
				return nil
			})
		}
	})
}
