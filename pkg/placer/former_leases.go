package placer

import "github.com/bilberrywalk/bilberrywalk/pkg/leaser"

// limitFormerLeases shortens the wait for the leases that earlier owners may have
// granted, once half of the workers have reported: from then on they reject the
// calls of earlier owners, so that none of those gets a quorum, and the last quorum
// that one had ends within QuorumAge.
func (c *Cell) limitFormerLeases() {
	if c.formerOwnersStopped || !c.FormerOwnersNeedQuorum {
		return
	}
	reported := 0
	for _, address := range c.addresses {
		if c.workers[address].registered {
			reported++
		}
	}
	if 2*reported < len(c.addresses) {
		return
	}
	c.formerOwnersStopped = true
	limit := c.now.Add(leaser.QuorumAge + TaskLease)
	for _, w := range c.workers {
		if w.leaseEnd.After(limit) {
			w.leaseEnd = limit
		}
	}
}
