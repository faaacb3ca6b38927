package commander

import (
	"fmt"

	"github.com/bilberrywalk/bilberrywalk/pkg/experimenter"
)

// overlayCommand measures the overlay that peers form by exchanging bounded
// views of the members.
type overlayCommand struct {
	Peers []int `help:"How many peers." default:"300,1000,3000"`
	View  int   `help:"How many links a view holds." default:"30"`
	JSON  bool  `help:"Print JSON." name:"json"`
}

// Run implements the command.
func (cmd overlayCommand) Run(s *streams) error {
	var results []experimenter.OverlayResult
	for _, peers := range cmd.Peers {
		if peers <= cmd.View {
			return usageError(fmt.Errorf("--peers %d is not allowed; allowed: more than --view %d", peers, cmd.View))
		}
		for _, control := range []bool{false, true} {
			results = append(results, experimenter.RunOverlay(peers, cmd.View, control, 1))
		}
	}
	if cmd.JSON {
		return printJSON(s, results)
	}
	var rows [][]string
	for _, r := range results {
		rows = append(rows, []string{
			fmt.Sprint(r.Peers), fmt.Sprint(r.View), fmt.Sprint(r.DegreeControl), fmt.Sprintf("%.2f", r.InDegreeRatio), fmt.Sprintf("%.2f", r.InDegreeSpread),
			fmt.Sprint(r.RepairCycles), fmt.Sprint(r.BytesPerCycle),
		})
	}
	return printTable(s, []string{"PEERS", "VIEW", "DEGREE-CONTROL", "IN-DEGREE-RATIO", "SPREAD-TO-RANDOM", "CYCLES-TO-MEND", "BYTES-A-CYCLE"}, rows)
}
