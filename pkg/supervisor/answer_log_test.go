package supervisor

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// agentHarness answers the calls of an agent and keeps its log.
type agentHarness struct {
	agent *Agent
	now   time.Time
	out   bytes.Buffer
}

func newAgentHarness() *agentHarness {
	h := &agentHarness{
		now: time.Unix(1000, 0),
	}
	h.agent = &Agent{
		log: hclog.New(&hclog.LoggerOptions{
			Output:     &h.out,
			JSONFormat: true,
		}),
		core:    NewCore(),
		answers: newAnswerLog(),
	}
	return h
}

// start answers the start of a run, stop the stop of one, and both let
// retryBackoff pass.
func (h *agentHarness) start(task string, refusal Refusal, err error) {
	call := StartCall{
		Start: framer.RunStart{
			RunRef: ref(task),
		},
	}
	answer := Answer{
		Refusal: refusal,
	}
	h.agent.startAnswered(h.now, call, answer, err)
	h.now = h.now.Add(retryBackoff)
}

func (h *agentHarness) stop(task string, refusal Refusal, err error) {
	call := StopCall{
		Ref: ref(task),
	}
	answer := Answer{
		Refusal: refusal,
	}
	h.agent.stopAnswered(h.now, call, answer, err)
	h.now = h.now.Add(retryBackoff)
}

// lines returns the lines since the last call.
func (h *agentHarness) lines() []string {
	lines := strings.Split(strings.TrimSpace(h.out.String()), "\n")
	h.out.Reset()
	if lines[0] == "" {
		return nil
	}
	return lines
}

// A call that is repeated every retryBackoff is logged once a second, with the
// number of answers between.
func TestRepeatedAnswersAreLoggedOnceASecond(t *testing.T) {
	const perSecond = int(time.Second / retryBackoff)
	for _, tc := range []struct {
		name    string
		message string
		call    func(h *agentHarness)
	}{
		{
			name:    "start without an answer",
			message: "start not accepted",
			call:    func(h *agentHarness) { h.start("a.0.0.0", "", errNoAnswer) },
		},
		{
			name:    "start refused",
			message: "start not accepted",
			call:    func(h *agentHarness) { h.start("a.0.0.0", RefusalUnhealthy, nil) },
		},
		{
			name:    "stop without an answer",
			message: "stop request sent",
			call:    func(h *agentHarness) { h.stop("a.0.0.0", "", errNoAnswer) },
		},
		{
			name:    "stop refused",
			message: "stop request sent",
			call:    func(h *agentHarness) { h.stop("a.0.0.0", RefusalFenced, nil) },
		},
		{
			name:    "stop accepted again and again",
			message: "stop request sent",
			call:    func(h *agentHarness) { h.stop("a.0.0.0", "", nil) },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newAgentHarness()
			tc.call(h)
			lines := h.lines()
			assert.Equal(t, len(lines), 1)
			assert.Assert(t, strings.Contains(lines[0], tc.message), lines[0])
			assert.Assert(t, strings.Contains(lines[0], `"repeats":0`), lines[0])
			for range 3 * perSecond {
				tc.call(h)
			}
			lines = h.lines()
			assert.Equal(t, len(lines), 3)
			for _, line := range lines {
				assert.Assert(t, strings.Contains(line, fmt.Sprintf(`"repeats":%d`, perSecond-1)), line)
			}
		})
	}
}

// A different answer is logged at once, answers that alternate a few times a
// second.
func TestChangedAnswersAreLogged(t *testing.T) {
	h := newAgentHarness()
	h.start("a.0.0.0", "", errNoAnswer)
	h.start("a.0.0.0", RefusalUnhealthy, nil)
	lines := h.lines()
	assert.Equal(t, len(lines), 2)
	assert.Assert(t, strings.Contains(lines[1], string(RefusalUnhealthy)), lines[1])
	for range int(time.Second / retryBackoff) {
		h.start("a.0.0.0", "", errNoAnswer)
		h.start("a.0.0.0", RefusalUnhealthy, nil)
	}
	lines = h.lines()
	assert.Assert(t, len(lines) > 2 && len(lines) <= 3*answersPerInterval, "%d lines", len(lines))
}

// The text around an error may differ in each answer, as the port of the
// connection does.
func TestAnswersWithTheSameCause(t *testing.T) {
	h := newAgentHarness()
	for port := range 10 {
		h.start("a.0.0.0", "", errors.Wrapf(errNoAnswer, "from port %d", port))
	}
	assert.Equal(t, len(h.lines()), 1)
}

// Runs, and starts and stops of a run, are logged independently. Calls that ended
// long ago are forgotten.
func TestAnswersOfDifferentCalls(t *testing.T) {
	h := newAgentHarness()
	for range 2 {
		h.start("a.0.0.0", "", errNoAnswer)
		h.start("b.0.0.0", "", errNoAnswer)
		h.stop("a.0.0.0", "", errNoAnswer)
	}
	assert.Equal(t, len(h.lines()), 3)
	assert.Equal(t, len(h.agent.answers.calls), 3)
	h.now = h.now.Add(answerLogTTL + time.Second)
	h.stop("c.0.0.0", "", nil)
	assert.Equal(t, len(h.agent.answers.calls), 1)
}

// An accepted start is not logged.
func TestAcceptedStartIsNotLogged(t *testing.T) {
	h := newAgentHarness()
	h.start("a.0.0.0", "", nil)
	assert.Equal(t, len(h.lines()), 0)
	assert.Equal(t, len(h.agent.answers.calls), 0)
}
