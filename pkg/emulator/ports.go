package emulator

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

// Loopback ports are allocated below the operating system's ephemeral range.
// Otherwise an outgoing connection could take a port after it was found free
// and before the caller listens on it.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// PortAllocator allocates free loopback addresses. It wraps around at the end of
// its range.
type PortAllocator struct {
	next int
}

// NewPortAllocator returns an allocator that starts at a random port of its
// range.
func NewPortAllocator() *PortAllocator {
	return &PortAllocator{
		next: firstPort + rand.IntN(lastPort-firstPort),
	}
}

// Address returns a loopback address, as IP:PORT, on which nothing listens. It
// returns an error if no port of the range is free.
func (p *PortAllocator) Address() (string, error) {
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
