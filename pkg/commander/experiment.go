package commander

import (
	"slices"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/bilberrywalk/bilberrywalk/pkg/experimenter"
)

// experimentCommand compares the policies for requests in virtual time.
type experimentCommand struct {
	Seeds    int      `help:"How many seeds each scenario is run with." default:"3"`
	Scenario []string `help:"Only scenarios whose name starts like this."`
	Policy   []string `help:"Only these policies."`
	Parallel int      `help:"How many runs go at once." default:"3"`
	JSON     bool     `help:"Print every run as JSON." name:"json"`
}

// Run implements the command.
func (cmd experimentCommand) Run(s *streams) error {
	var mu sync.Mutex
	var results []experimenter.Result
	var group errgroup.Group
	group.SetLimit(cmd.Parallel)
	for _, scenario := range experimenter.Scenarios() {
		if !cmd.includesScenario(scenario.Name) {
			continue
		}
		for _, policy := range experimenter.Policies() {
			if len(cmd.Policy) > 0 && !slices.Contains(cmd.Policy, policy.Name) {
				continue
			}
			for seed := range cmd.Seeds {
				group.Go(func() error {
					r, err := experimenter.RunExperiment(scenario, policy, uint64(seed+1))
					mu.Lock()
					defer mu.Unlock()
					results = append(results, r)
					return err
				})
			}
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(s, results)
	}
	return cmd.print(s, results)
}

// includesScenario reports whether the flags select the scenario.
func (cmd experimentCommand) includesScenario(name string) bool {
	return len(cmd.Scenario) == 0 || slices.ContainsFunc(cmd.Scenario, func(prefix string) bool {
		return strings.HasPrefix(name, prefix)
	})
}

// print prints a row for each scenario and policy with the median, lowest and
// highest value of each metric over the seeds.
func (cmd experimentCommand) print(s *streams, results []experimenter.Result) error {
	var rows [][]string
	for _, scenario := range experimenter.Scenarios() {
		for _, policy := range experimenter.Policies() {
			var matching []experimenter.Result
			for _, r := range results {
				if r.Scenario == scenario.Name && r.Policy == policy.Name {
					matching = append(matching, r)
				}
			}
			if len(matching) > 0 {
				rows = append(rows, experimentRow(matching))
			}
		}
	}
	return printTable(s, []string{
		"SCENARIO", "POLICY", "CHECK-P50", "CHECK-P99", "KEPT-CHECK", "KEPT-DIAL", "KEPT-FEED", "SHARE-CHECK", "SHARE-DIAL", "SHARE-FEED", "USEFUL", "VAIN", "ATTEMPTS", "BROKEN",
	}, rows)
}

func experimentRow(results []experimenter.Result) []string {
	row := []string{results[0].Scenario, results[0].Policy}
	for _, metric := range []func(r experimenter.Result) float64{
		func(r experimenter.Result) float64 { return r.Kinds["check"].P50 },
		func(r experimenter.Result) float64 { return r.Kinds["check"].P99 },
		func(r experimenter.Result) float64 { return r.Kinds["check"].AnsweredShare() },
		func(r experimenter.Result) float64 { return r.Kinds["dial"].AnsweredShare() },
		func(r experimenter.Result) float64 { return r.Kinds["feed"].AnsweredShare() },
		func(r experimenter.Result) float64 { return r.Kinds["check"].SlotShare },
		func(r experimenter.Result) float64 { return r.Kinds["dial"].SlotShare },
		func(r experimenter.Result) float64 { return r.Kinds["feed"].SlotShare },
		func(r experimenter.Result) float64 { return r.UsefulShare },
		func(r experimenter.Result) float64 { return r.WastedShare },
		func(r experimenter.Result) float64 { return r.AttemptsPerRequest },
		func(r experimenter.Result) float64 { return float64(r.BrokenInvariants) },
	} {
		row = append(row, medianAndRange(results, metric))
	}
	return row
}
