package placer

// InstanceView is the state of a worker as shown to operators.
type InstanceView struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	Rack          string `json:"rack"`
	Reachable     bool   `json:"reachable"`
	Quarantined   bool   `json:"set-aside"`
	Tasks         int    `json:"tasks"`
	AllocatedCPU  int64  `json:"committed-processor-millis"`
	CapacityCPU   int64  `json:"capacity-processor-millis"`
}

// Instances returns the state of all workers as shown to operators.
func (c *Cell) Instances() []InstanceView {
	var list []InstanceView
	for _, address := range c.addresses {
		w := c.workers[address]
		view := InstanceView{
			Address:     address,
			Reachable:   w.reachable,
			Quarantined: len(w.failedTasks) >= quarantineThreshold,
		}
		if w.registered {
			view.FailureDomain = w.failureDomain
			view.Rack = w.rack
			view.Tasks = w.allocations.Tasks()
			view.AllocatedCPU = w.allocations.Sum().ProcessorMillis
			view.CapacityCPU = w.allocations.Capacity().ProcessorMillis
		}
		list = append(list, view)
	}
	return list
}
