package commander

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/bilberrywalk/bilberrywalk/pkg/receiver"
)

// session runs commands like an operator and records their output.
type session struct {
	s   *system
	out bytes.Buffer
}

// run executes a command and records its output and exit code.
func (o *session) run(args ...string) {
	var out, errOut bytes.Buffer
	code := Run(args, &out, &errOut)
	fmt.Fprintf(&o.out, "$ bilberrywalk %s\n%s%s[exit %d]\n\n", strings.Join(args, " "), out.String(), errOut.String(), code)
}

// text returns the recorded session. Values that differ between runs are replaced
// by placeholders.
func (o *session) text() string {
	text := o.out.String()
	for i, address := range o.s.entries {
		text = strings.ReplaceAll(text, address, fmt.Sprintf("ENTRY-%d", i))
	}
	text = strings.ReplaceAll(text, o.s.dir, "DIR")
	for _, r := range []struct{ pattern, with string }{
		// An entry may acquire the cell before or after the first document is
		// applied, so its audit row has no fixed position.
		{`(?m)^.*cell taken.*\n`, ""},
		{`127\.0\.0\.1:\d+`, "ADDRESS"},
		{`\d{4}-\d\d-\d\dT[0-9:.]+Z`, "TIME"},
		{`(?m)[ \t]+$`, ""},
		{`[ ]{2,}`, "  "},
	} {
		text = regexp.MustCompile(r.pattern).ReplaceAllString(text, r.with)
	}
	return text
}

// TestOperatorSession compares an operator's complete session with its golden file:
// invalid, accepted and stale edits, a drain, jobs, and the audit trail of these
// changes.
func TestOperatorSession(t *testing.T) {
	s := startSystem(t)
	t.Setenv("BILBERRYWALK_ENTRIES", strings.Join(s.entries, ","))
	o := &session{
		s: s,
	}
	text, err := os.ReadFile("../demonstrator/central-polls.toml")
	assert.NilError(t, err)
	s.write("wrong.toml", strings.Replace(string(text), "slots = 8", "slots = 0", 1))
	s.write("edited.toml", strings.Replace(string(text), "max-queued = 2000", "max-queued = 1500", 1))
	s.write("stale.toml", "service = \"central-polls\"\n"+strings.SplitN(string(text), "\n", 2)[1])

	o.run("check-settings", "--document", filepath.Join(s.dir, "wrong.toml"))
	o.run("service", "apply", filepath.Join(s.dir, "wrong.toml"), "--base", "1", "--who", "ana")
	o.run("service", "apply", filepath.Join(s.dir, "edited.toml"), "--base", "1", "--who", "ana")
	o.run("service", "list")
	o.run("service", "history", "central-polls")
	o.run("service", "get", "no-such-service")
	o.run("job", "submit", "--id", "weekly", "--team", "condor", "--processor-millis", "2000", "--memory-bytes", "1000", "--run-time", "200ms")
	o.run("job", "submit", "--id", "weekly", "--team", "condor", "--processor-millis", "2000", "--memory-bytes", "1000", "--run-time", "200ms")
	o.run("job", "submit", "--id", "huge", "--team", "condor", "--processor-millis", "2000", "--memory-bytes", "1000", "--accelerators", "1", "--run-time", "1s")
	s.waitFor(func() error { return checkFinishedJobs(t, s, 2) })
	o.run("job", "list")
	o.run("job", "cancel", "cell-1/none")
	o.run("job", "submit", "--team", "Condor!", "--processor-millis", "1", "--memory-bytes", "1", "--run-time", "1s")
	o.run("endpoint", "drain", "127.0.0.1:1", "--who", "ana")
	o.run("audit")
	o.run("nonsense")
	golden.Assert(t, o.text(), "operators-session.golden")

	t.Run("a stale edit is a conflict with both versions", func(t *testing.T) {
		var out, errOut bytes.Buffer
		code := Run([]string{"service", "apply", filepath.Join(s.dir, "stale.toml"), "--base", "1"}, &out, &errOut)
		assert.Equal(t, code, exitConflict)
		assert.Assert(t, strings.Contains(errOut.String(), "max-queued = 1500"))
		assert.Assert(t, strings.Contains(errOut.String(), "max-queued = 2000"))
	})
	t.Run("a drained endpoint gets no new work", func(t *testing.T) { checkDrain(t, s) })
}

// checkDrain drains the first endpoint in the list and waits until every entry
// lists it as leaving.
func checkDrain(t *testing.T, s *system) {
	var list []receiver.EndpointBody
	assert.NilError(t, s.client.Get(t.Context(), "/v1/endpoints", &list))
	var out, errOut bytes.Buffer
	assert.Equal(t, Run([]string{"endpoint", "drain", list[0].Address}, &out, &errOut), exitOK, errOut.String())
	for i := range s.entries {
		s.waitFor(func() error {
			var list []receiver.EndpointBody
			if err := s.clientOf(i).Get(t.Context(), "/v1/endpoints", &list); err != nil {
				return err
			}
			if list[0].State != "leaving" {
				return fmt.Errorf("entry %d: %+v", i, list[0])
			}
			return nil
		})
	}
}

// checkFinishedJobs returns an error if fewer than n jobs are done or failed.
func checkFinishedJobs(t *testing.T, s *system, n int) error {
	var tasks []struct {
		State string `json:"state"`
	}
	if err := s.client.Get(t.Context(), "/v1/jobs", &tasks); err != nil {
		return err
	}
	ended := 0
	for _, task := range tasks {
		if task.State == "done" || task.State == "failed" {
			ended++
		}
	}
	if ended < n {
		return fmt.Errorf("%d of %d jobs have ended", ended, n)
	}
	return nil
}
