package commander

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/faker"
	"github.com/bilberrywalk/bilberrywalk/pkg/operator"
	"github.com/bilberrywalk/bilberrywalk/pkg/receiver"
)

func (s *system) setFaults(faults faker.PlatformFaults) {
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

// sent sends one request through an entry and returns the reply.
func (s *system) sent(entry int, kind, callerID string) operator.Reply {
	s.t.Helper()
	headers := map[string]string{
		"Bilberrywalk-Kind": kind,
	}
	if callerID != "" {
		headers["Idempotency-Key"] = callerID
	}
	reply, err := s.at(entry).Do(s.t.Context(), operator.Call{
		Method:  "POST",
		Path:    "/v1/services/central-polls/requests",
		Headers: headers,
		Body:    []byte(kind + callerID),
	})
	assert.NilError(s.t, err)
	return reply
}

func (s *system) edit(base uint64, text string) operator.Reply {
	s.t.Helper()
	reply, err := s.client.Do(s.t.Context(), operator.Call{
		Method: "PUT",
		Path:   fmt.Sprintf("/v1/services/central-polls/document?base=%d", base),
		Body:   []byte(text),
	})
	assert.NilError(s.t, err)
	return reply
}

// version returns the version of the document that an entry holds.
func (s *system) version(entry int) uint64 {
	var doc receiver.DocumentBody
	if s.at(entry).Get(s.t.Context(), "/v1/services/central-polls/document", &doc) != nil {
		return 0
	}
	return doc.Version
}

// TestPlatformDown takes the platform away from running processes: requests go
// on, what can't be recorded is refused as not run, and an entry that starts
// meanwhile learns the newest document from its peers.
func TestPlatformDown(t *testing.T) {
	s := startSystem(t)
	text, err := os.ReadFile("../demonstrator/central-polls.toml")
	assert.NilError(t, err)
	edited := strings.Replace(string(text), "max-queued = 2000", "max-queued = 1500", 1)
	assert.Equal(t, s.edit(1, edited).Status, 200)
	s.setFaults(faker.PlatformFaults{
		Down: true,
	})
	t.Run("requests go on", func(t *testing.T) {
		for i := range s.entries {
			assert.Equal(t, s.sent(i, "list-check", "").Outcome, "answered")
			assert.Equal(t, s.sent(i, "dial", "").Outcome, "answered")
		}
	})
	t.Run("a dial that needs a claim is refused", func(t *testing.T) {
		reply := s.sent(0, "dial", "dial-1")
		assert.Equal(t, reply.Outcome, "not-run", string(reply.Body))
		assert.Assert(t, strings.Contains(string(reply.Body), "store-unavailable"))
	})
	t.Run("an edit is refused", func(t *testing.T) {
		reply := s.edit(2, string(text))
		assert.Equal(t, reply.Outcome, "not-run", string(reply.Body))
	})
	t.Run("a fresh entry learns the document from its peers", func(t *testing.T) {
		s.kill("entry-2")
		s.launchEntry(2)
		s.until(func() error {
			if v := s.version(2); v != 2 {
				return fmt.Errorf("version %d", v)
			}
			return nil
		})
		s.until(func() error {
			if reply := s.sent(2, "list-check", ""); reply.Outcome != "answered" {
				return fmt.Errorf("%s: %s", reply.Outcome, reply.Body)
			}
			return nil
		})
	})
	s.setFaults(faker.PlatformFaults{})
	t.Run("the refused dial can be sent again afterwards", func(t *testing.T) {
		s.until(func() error {
			if reply := s.sent(1, "dial", "dial-1"); reply.Outcome != "answered" {
				return fmt.Errorf("%s: %s", reply.Outcome, reply.Body)
			}
			return nil
		})
	})
	t.Run("an edit whose answer is lost is made once", func(t *testing.T) {
		s.setFaults(faker.PlatformFaults{
			LoseAnswers: 2,
		})
		assert.Equal(t, s.edit(2, string(text)).Status, 200)
		for i := range s.entries {
			s.until(func() error {
				if v := s.version(i); v != 3 {
					return fmt.Errorf("entry %d has version %d", i, v)
				}
				return nil
			})
		}
	})
}
