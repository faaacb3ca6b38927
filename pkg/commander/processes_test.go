package commander

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/operator"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/receiver"
)

// system is a complete system as separate processes on loopback.
type system struct {
	t         *testing.T
	dir       string
	binary    string
	platform  string
	entries   []string
	endpoints []string
	processes map[string]*exec.Cmd
	ports     *emulator.PortAllocator
	client    *operator.Client
}

// startSystem builds the binary, starts a platform, 2 workers, 3 entries and 4
// endpoints with their agents, and publishes the document.
func startSystem(t *testing.T) *system {
	t.Helper()
	s := &system{
		t:         t,
		dir:       t.TempDir(),
		processes: map[string]*exec.Cmd{},
		ports:     emulator.NewPortAllocator(),
	}
	s.binary = filepath.Join(s.dir, "bilberrywalk")
	out, err := exec.Command("go", "build", "-o", s.binary, "../..").CombinedOutput()
	assert.NilError(t, err, string(out))
	t.Cleanup(s.killAll)
	s.platform = s.freePort()
	s.launch("platform", "stand-in", "platform", "--address", s.platform)
	var workers []string
	for i := range 2 {
		workers = append(workers, s.freePort())
		s.launch(fmt.Sprintf("worker-%d", i), "stand-in", "worker", "--address", workers[i])
	}
	for range 3 {
		s.entries = append(s.entries, s.freePort())
	}
	for i := range s.entries {
		s.write(fmt.Sprintf("entry-%d.toml", i), fmt.Sprintf("address = %q\nfailure-domain = \"quito-norte\"\njoin = %s\nplatform = %q\n[entry]\nworkers = %s\n",
			s.entries[i], tomlList(s.entries), s.platform, tomlList(workers)))
		s.launchEntry(i)
	}
	for i := range 4 {
		s.endpoints = append(s.endpoints, s.freePort())
		s.launch(fmt.Sprintf("endpoint-%d", i), "stand-in", "endpoint", "--address", s.endpoints[i], "--run-time", "list-check=20ms;dial=50ms;dialer-feed=400ms")
		s.write(fmt.Sprintf("agent-%d.toml", i), fmt.Sprintf("address = %q\nfailure-domain = \"quito-norte\"\njoin = %s\nleave-grace = \"5s\"\n[agent]\nservice = \"central-polls\"\nendpoint = %q\n",
			s.freePort(), tomlList(s.entries), s.endpoints[i]))
		s.launchAgent(i)
	}
	s.client, err = operator.New(s.entries)
	assert.NilError(t, err)
	s.publish()
	return s
}

func (s *system) freePort() string {
	s.t.Helper()
	address, err := s.ports.Address()
	assert.NilError(s.t, err)
	return address
}

func (s *system) launchEntry(i int) {
	s.launch(fmt.Sprintf("entry-%d", i), "entry", "--settings", filepath.Join(s.dir, fmt.Sprintf("entry-%d.toml", i)))
}

func (s *system) launchAgent(i int) {
	s.launch(fmt.Sprintf("agent-%d", i), "agent", "--settings", filepath.Join(s.dir, fmt.Sprintf("agent-%d.toml", i)))
}

// launch starts a process whose output is appended to NAME.log.
func (s *system) launch(name string, args ...string) {
	s.t.Helper()
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(s.t, err)
	defer log.Close()
	cmd := exec.Command(s.binary, args...)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(s.t, cmd.Start())
	s.processes[name] = cmd
}

func (s *system) signal(name string, sig syscall.Signal) {
	s.t.Helper()
	assert.NilError(s.t, s.processes[name].Process.Signal(sig))
}

// kill sends SIGKILL to a process and waits until it has exited.
func (s *system) kill(name string) {
	s.t.Helper()
	s.signal(name, syscall.SIGKILL)
	// Wait returns an error because the process was killed.
	_ = s.processes[name].Wait()
}

// killAll kills the running processes, and logs the last 2000 bytes of each log
// file if the test failed.
func (s *system) killAll() {
	for _, cmd := range s.processes {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	if !s.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
	for _, path := range logs {
		data, _ := os.ReadFile(path)
		s.t.Logf("%s:\n%s", filepath.Base(path), data[max(0, len(data)-2000):])
	}
}

func (s *system) write(name, text string) {
	s.t.Helper()
	assert.NilError(s.t, os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600))
}

// publish applies the document and waits until every entry lists all four
// endpoints and has the document in force. An entry other than the one that accepts
// the document may receive it after the reply.
func (s *system) publish() {
	text, err := os.ReadFile("../demonstrator/central-polls.toml")
	assert.NilError(s.t, err)
	s.waitFor(func() error {
		reply, err := s.client.Do(s.t.Context(), operator.Call{
			Method: "PUT",
			Path:   "/v1/services/central-polls/document?base=0",
			Body:   text,
		})
		if err == nil && reply.Status != 200 && reply.Status != 409 {
			err = reply.Error()
		}
		return err
	})
	for i := range s.entries {
		s.waitFor(func() error {
			var list []receiver.EndpointBody
			if err := s.clientOf(i).Get(s.t.Context(), "/v1/endpoints", &list); err != nil {
				return err
			}
			if len(list) < 4 {
				return fmt.Errorf("entry %d lists %d endpoints", i, len(list))
			}
			var status receiver.StatusBody
			if err := s.clientOf(i).Get(s.t.Context(), "/v1/status", &status); err != nil {
				return err
			}
			if status.Documents["central-polls"] < 1 {
				return fmt.Errorf("entry %d has no document of central-polls", i)
			}
			return nil
		})
	}
}

// clientOf returns a client of entry i.
func (s *system) clientOf(i int) *operator.Client {
	client, err := operator.New(s.entries[i : i+1])
	assert.NilError(s.t, err)
	return client
}

// waitFor calls f every 50 ms until it returns no error, and fails the test after
// 30 s.
func (s *system) waitFor(f func() error) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if err := f(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(50*time.Millisecond))
}

// runs returns the number of runs of each body over all endpoints, by the body's
// digest. It fails the test if an endpoint ran more requests than its 8 slots.
func (s *system) runs() map[string]int {
	sum := map[string]int{}
	for _, address := range s.endpoints {
		client, err := operator.New([]string{address})
		assert.NilError(s.t, err)
		var report emulator.EndpointReport
		assert.NilError(s.t, client.Get(s.t.Context(), "/report", &report))
		assert.Assert(s.t, report.MaxRunning <= 8, "%s ran %d at once", address, report.MaxRunning)
		for digest, n := range report.Runs {
			sum[digest] += n
		}
	}
	return sum
}

// sentRequest is a request and the outcome that its caller received. correct is
// set if the answer contains the body's digest.
type sentRequest struct {
	kind    string
	digest  string
	outcome string
	correct bool
}

// TestOutcomesWithKilledAndFrozenProcesses kills and freezes processes under load
// and compares every outcome with the runs that the endpoints report. An answered
// request must have run, one reported as not run must not have run, and a dial must
// have run at most once.
func TestOutcomesWithKilledAndFrozenProcesses(t *testing.T) {
	s := startSystem(t)
	s.submitJobs(8, 2000)
	var mu sync.Mutex
	var all []sentRequest
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	for caller := range 12 {
		group.Go(func() error {
			client := s.clientOf(caller % len(s.entries))
			for n := 0; ctx.Err() == nil; n++ {
				a := sendUniqueRequest(client, caller, n)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
			}
			return nil
		})
	}
	step := func(f func()) {
		time.Sleep(700 * time.Millisecond)
		f()
	}
	step(func() { s.signal("agent-0", syscall.SIGSTOP) })
	step(func() { s.kill("agent-1") })
	step(func() { s.launchAgent(1) })
	step(func() { s.signal("agent-0", syscall.SIGCONT) })
	step(func() { s.kill("entry-0") })
	step(func() { s.launchEntry(0) })
	step(func() { s.signal("entry-1", syscall.SIGSTOP) })
	step(func() { s.signal("entry-1", syscall.SIGCONT) })
	step(stop)
	assert.NilError(t, group.Wait())
	s.waitFor(func() error { return checkJobsInState(s, placer.StateDone, 8) })
	checkOutcomes(t, all, s.runs())
}

// submitJobs submits the given number of jobs, each running for runMillis.
func (s *system) submitJobs(jobs int, runMillis int64) {
	s.t.Helper()
	for i := range jobs {
		body, err := json.Marshal(placer.Spec{
			ID:            fmt.Sprintf("review-%d", i),
			Team:          "lisciva",
			Needs:         testNeeds(),
			RunTimeMillis: runMillis,
		})
		assert.NilError(s.t, err)
		reply, err := s.client.Do(s.t.Context(), operator.Call{
			Method: "POST",
			Path:   "/v1/jobs",
			Body:   body,
		})
		assert.NilError(s.t, err)
		assert.Equal(s.t, reply.Status, 202, string(reply.Body))
	}
}

// sendUniqueRequest sends request n of a caller with a body of its own. The outcome
// is empty if the entry cannot be reached.
func sendUniqueRequest(client *operator.Client, caller, n int) sentRequest {
	kind := []string{"list-check", "list-check", "dial"}[n%3]
	body := fmt.Appendf(nil, "%s-%d-%d", kind, caller, n)
	sum := sha256.Sum256(body)
	a := sentRequest{
		kind:   kind,
		digest: hex.EncodeToString(sum[:]),
	}
	reply, err := client.Do(context.Background(), operator.Call{
		Method: "POST",
		Path:   "/v1/services/central-polls/requests",
		Headers: map[string]string{
			"Bilberrywalk-Kind": kind,
			"Idempotency-Key":   string(body),
		},
		Body:       body,
		AtMostOnce: true,
	})
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return a
	}
	a.outcome = reply.Outcome
	a.correct = bytes.Contains(reply.Body, []byte(a.digest))
	return a
}

// checkOutcomes checks the outcome of every request against the runs of its body.
func checkOutcomes(t *testing.T, all []sentRequest, runs map[string]int) {
	t.Helper()
	counts := map[string]int{}
	for _, a := range all {
		counts[a.kind+" "+a.outcome]++
		switch a.outcome {
		case "answered":
			assert.Assert(t, a.correct, "wrong answer to %+v", a)
			assert.Assert(t, runs[a.digest] >= 1, "%+v was answered but never ran", a)
		case "not-run":
			assert.Equal(t, runs[a.digest], 0, "%+v ran", a)
		}
		if a.kind == "dial" {
			assert.Assert(t, runs[a.digest] <= 1, "%+v ran %d times", a, runs[a.digest])
		}
	}
	t.Logf("%d requests: %v", len(all), counts)
	assert.Assert(t, counts["list-check answered"] > counts["list-check unknown"])
}

// TestShutdownFinishesInFlightWork sends SIGTERM to an agent and an entry with
// requests in flight. The requests must be answered, and both processes must exit
// with code 0.
func TestShutdownFinishesInFlightWork(t *testing.T) {
	s := startSystem(t)
	for i := 1; i < 4; i++ {
		s.kill(fmt.Sprintf("agent-%d", i))
	}
	s.waitFor(func() error { return checkOneLinked(s) })
	var group errgroup.Group
	for range 4 {
		group.Go(func() error {
			reply, err := s.clientOf(0).Do(t.Context(), operator.Call{
				Method: "POST",
				Path:   "/v1/services/central-polls/requests",
				Headers: map[string]string{
					"Bilberrywalk-Kind": "dialer-feed",
				},
				Body:       []byte("feed"),
				AtMostOnce: true,
			})
			if err == nil && reply.Outcome != "answered" {
				err = fmt.Errorf("%s: %s", reply.Outcome, reply.Body)
			}
			return err
		})
	}
	time.Sleep(200 * time.Millisecond)
	s.signal("agent-0", syscall.SIGTERM)
	s.signal("entry-0", syscall.SIGTERM)
	assert.NilError(t, group.Wait())
	assert.NilError(t, s.processes["agent-0"].Wait())
	assert.NilError(t, s.processes["entry-0"].Wait())
}

// checkOneLinked returns an error unless the first entry has a link to exactly one
// endpoint, that is, has detected that the other agents are down.
func checkOneLinked(s *system) error {
	var status receiver.StatusBody
	if err := s.clientOf(0).Get(s.t.Context(), "/v1/status", &status); err != nil {
		return err
	}
	if status.Linked != 1 {
		return fmt.Errorf("%d endpoints are linked", status.Linked)
	}
	return nil
}

// tomlList formats the addresses as a TOML array of strings.
func tomlList(addresses []string) string {
	return `["` + strings.Join(addresses, `", "`) + `"]`
}

func testNeeds() publisher.Resources {
	return publisher.Resources{
		ProcessorMillis: 4000,
		MemoryBytes:     1 << 30,
	}
}
