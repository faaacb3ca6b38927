package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/controller"
)

// domainsTimeout is how long an entry may take to answer.
const domainsTimeout = 3 * time.Second

// fleetDomainsCommand asks an entry for the state of the failure domains.
type fleetDomainsCommand struct {
	Link string `help:"The link address of an entry." required:"" placeholder:"IP:PORT"`
	JSON bool   `help:"Print JSON for programs." name:"json"`
}

// Run implements the command.
func (cmd fleetDomainsCommand) Run(ctx context.Context, s *streams) error {
	m, err := cmd.read(ctx)
	if err != nil {
		return err
	}
	if cmd.JSON {
		return json.NewEncoder(s.out).Encode(m.Domains)
	}
	return printDomains(s.out, m)
}

// domainMetrics are the metrics of an entry that the command prints.
type domainMetrics struct {
	Owner   bool                      `json:"owner"`
	Domains []controller.DomainStatus `json:"domains"`
}

// read reads the entry's metrics.
func (cmd fleetDomainsCommand) read(ctx context.Context) (domainMetrics, error) {
	ctx, cancel := context.WithTimeout(ctx, domainsTimeout)
	defer cancel()
	var vars struct {
		Entry *domainMetrics `json:"entry"`
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cmd.Link+"/debug/vars", nil)
	if err != nil {
		return domainMetrics{}, usageError(err)
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return domainMetrics{}, errors.Wrap(err, "asking the entry")
	}
	defer func() { _ = reply.Body.Close() }()
	if err := json.NewDecoder(reply.Body).Decode(&vars); err != nil {
		return domainMetrics{}, errors.Wrap(err, "decoding the entry's answer")
	}
	if vars.Entry == nil {
		return domainMetrics{}, errors.Newf("%s is not an entry", cmd.Link)
	}
	return *vars.Entry, nil
}

func printDomains(out io.Writer, m domainMetrics) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "DOMAIN\tSTATE\tSINCE\tORDER\tRUNS\tRUNNERS")
	for _, d := range m.Domains {
		order := "-"
		if d.OrderVersion > 0 {
			order = strconv.FormatUint(d.OrderVersion, 10)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", d.Name, d.State,
			time.UnixMilli(d.SinceMillis).UTC().Format(time.RFC3339), order, countOrUnknown(d.Runs), countOrUnknown(d.Runners))
	}
	if !m.Owner {
		_, _ = fmt.Fprintln(w, "This entry does not own the cell: it knows the orders, and neither runs nor other domains.")
	}
	return w.Flush()
}

// countOrUnknown formats a count that only the owner of the cell knows.
func countOrUnknown(n *int) string {
	if n == nil {
		return "?"
	}
	return strconv.Itoa(*n)
}
