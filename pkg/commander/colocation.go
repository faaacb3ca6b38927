package commander

import (
	"fmt"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/bilberrywalk/bilberrywalk/pkg/experimenter"
)

// colocationCommand compares policies for co-locating batch tasks with services.
type colocationCommand struct {
	Seeds    int  `help:"How many seeds each policy is run with." default:"3"`
	Parallel int  `help:"How many runs go at once." default:"3"`
	JSON     bool `help:"Print every run as JSON." name:"json"`
}

// Run implements the command.
func (cmd colocationCommand) Run(s *streams) error {
	var mu sync.Mutex
	results := map[string][]experimenter.ColocationResult{}
	var group errgroup.Group
	group.SetLimit(cmd.Parallel)
	for _, policy := range experimenter.ColocationPolicies() {
		for seed := range cmd.Seeds {
			group.Go(func() error {
				r := experimenter.RunColocation(policy, uint64(seed+1))
				mu.Lock()
				defer mu.Unlock()
				results[policy.Name] = append(results[policy.Name], r)
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(s, results)
	}
	var rows [][]string
	for _, policy := range experimenter.ColocationPolicies() {
		rows = append(rows, colocationRow(policy.Name, results[policy.Name]))
	}
	return printTable(s, []string{"POLICY", "P50-SLOWDOWN", "P99-SLOWDOWN", "TIME-ABOVE-1.5", "BATCH-PROCESSORS", "EVICTIONS", "THROTTLED", "DONE", "BROKEN"}, rows)
}

func colocationRow(name string, results []experimenter.ColocationResult) []string {
	row := []string{name}
	for _, metric := range []func(r experimenter.ColocationResult) float64{
		func(r experimenter.ColocationResult) float64 { return r.P50 },
		func(r experimenter.ColocationResult) float64 { return r.P99 },
		func(r experimenter.ColocationResult) float64 { return r.AboveThresholdShare },
		func(r experimenter.ColocationResult) float64 { return r.BatchProcessors },
		func(r experimenter.ColocationResult) float64 { return float64(r.Evictions) },
		func(r experimenter.ColocationResult) float64 { return float64(r.Throttled) },
		func(r experimenter.ColocationResult) float64 { return float64(r.Done) },
		func(r experimenter.ColocationResult) float64 { return float64(r.BrokenInvariants) },
	} {
		row = append(row, medianAndRange(results, metric))
	}
	return row
}

// medianAndRange formats a metric's median over the results, followed by its
// lowest and highest value. results must not be empty.
func medianAndRange[R any](results []R, metric func(r R) float64) string {
	var values []float64
	for _, r := range results {
		values = append(values, metric(r))
	}
	slices.Sort(values)
	return fmt.Sprintf("%.3g (%.2g-%.2g)", values[len(values)/2], values[0], values[len(values)-1])
}
