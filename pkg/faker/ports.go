package faker

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

// Loopback ports are given out below the range from which the system takes the
// ports of outgoing connections: one of those could take a port between its
// being found free and its being listened on.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// Ports gives out free loopback addresses, each once.
type Ports struct {
	next int
}

// NewPorts returns an allocator that begins at a random port.
func NewPorts() *Ports {
	return &Ports{
		next: firstPort + rand.IntN(lastPort-firstPort),
	}
}

// Address returns a loopback address on which nobody listens.
func (p *Ports) Address() (string, error) {
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		p.next++
		if p.next == lastPort {
			p.next = firstPort
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, errors.Wrap(l.Close(), "giving a port back")
	}
	return "", errors.New("no loopback port is free")
}
