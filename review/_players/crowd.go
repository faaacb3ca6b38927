package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// frontMegabytes is the memory of a machine of the class front in the site file.
	frontMegabytes = 284
	// crowdClients send at the same time, crowdRounds times to each of crowdEntries.
	crowdClients = 12
	crowdRounds  = 3
	crowdEntries = 2
	// bodyBytes is just below MaxBodyBytes of the configuration.
	bodyBytes = 262000
)

// peakMegabytes returns the most memory that a process has had resident.
func (p *process) peakMegabytes() (int, error) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb / 1024, err
		}
	}
	return 0, fmt.Errorf("no VmHWM")
}

// emptySteps is a body of a job whose steps are all empty.
func emptySteps() string {
	const head, tail = `{"Spec":"x","Steps":[{}`, `]}`
	return head + strings.Repeat(",{}", (bodyBytes-len(head)-len(tail))/3) + tail
}

// sendChunked sends a job in a chunked body, all of it but the end, waits for the others
// and then sends the end. It returns the first line of the answer.
func sendChunked(address, id, body string, ready *sync.WaitGroup) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		ready.Done()
		return err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n", queuePrefix, id, queueHost)
	const chunk = 32000
	for len(body) > 0 {
		n := min(chunk, len(body))
		fmt.Fprintf(conn, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	ready.Done()
	ready.Wait()
	io.WriteString(conn, "0\r\n\r\n")
	answer := make([]byte, 64)
	n, err := conn.Read(answer)
	if err != nil {
		return err.Error()
	}
	line, _, _ := strings.Cut(string(answer[:n]), "\r\n")
	return line
}

// crowd sends jobs with very many empty steps, each inside the limit of a body, at once. It
// does what the platform does to a process that takes more memory than its machine has:
// kill it, and start it again.
func crowd(c *scene) error {
	s, err := newSystem(c.w, c.binary, smallShape(3))
	if err != nil {
		return err
	}
	defer s.stop()
	for _, p := range s.entries {
		// The platform's machines show one core.
		p.env = []string{"GOMAXPROCS=1"}
	}
	if err := s.start(); err != nil {
		return err
	}
	machines := 0
	for e := 0; e < crowdEntries; e++ {
		kills := 0
		for round := 0; round < crowdRounds; round++ {
			if c.trouble {
				s.sendCrowd(e, round)
			}
			over, err := s.killIfOver(e)
			if err != nil {
				return err
			}
			if over {
				kills++
			}
		}
		if kills >= crowdRounds {
			machines++
		}
	}
	j := smallJob(50)
	s.submit(crowdEntries, j)
	time.Sleep(3 * time.Second)
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if machines >= 2 {
		c.w.breakRule("Fault", fmt.Sprintf("on %d machines, a process took more memory than the machine has %d times", machines, crowdRounds))
	}
	return nil
}

func (s *system) sendCrowd(entry, round int) {
	body := emptySteps()
	var ready, group sync.WaitGroup
	ready.Add(crowdClients)
	for i := 0; i < crowdClients; i++ {
		group.Add(1)
		go func() {
			defer group.Done()
			id := fmt.Sprintf("%016x", 0x5c0e7a2300000000+uint64(10000*entry+100*round+i))
			line := sendChunked(s.callers[entry], id, body, &ready)
			s.w.mu.Lock()
			s.w.note("TROUBLE POST", "id", id, "entry", entry+1, "bytes", len(body), "answer", line)
			s.w.mu.Unlock()
		}()
	}
	group.Wait()
}

// killIfOver kills and restarts an entry that has taken more memory than its machine has.
func (s *system) killIfOver(entry int) (bool, error) {
	p := s.entries[entry]
	peak, err := p.peakMegabytes()
	if err != nil {
		return false, err
	}
	s.w.mu.Lock()
	s.w.note("memory", "process", p.name, "peak-mib", peak, "limit-mib", frontMegabytes, "ended", p.ended())
	s.w.mu.Unlock()
	if peak <= frontMegabytes {
		return false, nil
	}
	p.signal(syscall.SIGKILL)
	p.end()
	time.Sleep(500 * time.Millisecond)
	if err := p.start(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	return true, nil
}
