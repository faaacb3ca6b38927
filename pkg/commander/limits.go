package commander

import (
	"cmp"

	"github.com/hashicorp/go-hclog"

	"github.com/bilberrywalk/bilberrywalk/pkg/server"
)

const (
	// smallestEntryBytes and smallestAgentBytes are the memory of the smallest instances.
	smallestEntryBytes = 184_000_000
	smallestAgentBytes = 152_000_000
	// agentSlotBytes is the memory of an agent that runs beside an endpoint.
	agentSlotBytes = 32 << 20
)

// limitPeers limits what peers can make the process hold. memoryBytes and descriptors are
// those of the settings; smallestBytes is used if there is no memory in them.
func limitPeers(log hclog.Logger, memoryBytes, smallestBytes int64, descriptors int) {
	server.SetLogger(log)
	server.SetLimits(server.Limits{
		MemoryBytes: cmp.Or(memoryBytes, smallestBytes),
		Descriptors: descriptors,
	})
}
