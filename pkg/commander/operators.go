package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/operator"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/receiver"
)

// operatorFlags are the flags that all operators' commands share.
type operatorFlags struct {
	Entries []string `help:"Addresses of entries, tried in order." env:"BILBERRYWALK_ENTRIES" required:"" placeholder:"IP:PORT"`
	JSON    bool     `help:"Print JSON for programs." name:"json"`
	Who     string   `help:"Who makes a change, for the audit trail; the login name by default."`
}

func (f operatorFlags) client() (*operator.Client, error) {
	return operator.New(f.Entries)
}

// who returns the name that the audit trail records for a change.
func (f operatorFlags) who() string {
	if f.Who != "" {
		return f.Who
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// serviceCommand groups the commands on service documents.
type serviceCommand struct {
	Apply   serviceApply   `cmd:"" help:"Put an edited document in force."`
	Get     serviceGet     `cmd:"" help:"Print the document in force."`
	List    serviceList    `cmd:"" help:"List the documents in force."`
	History serviceHistory `cmd:"" help:"List the versions of a document."`
}

// serviceApply publishes an edited document. It exits with exitConflict if the
// base version is not the current one.
type serviceApply struct {
	operatorFlags
	File string `arg:"" help:"The document in TOML." type:"existingfile"`
	Base uint64 `help:"The version that the edit was made from; 0 for a new document." required:""`
}

// Run implements the command.
func (cmd serviceApply) Run(ctx context.Context, s *streams) error {
	text, err := os.ReadFile(cmd.File)
	if err != nil {
		return usageError(err)
	}
	doc, err := publisher.Parse(string(text))
	if err != nil {
		return usageError(errors.Wrap(err, cmd.File))
	}
	reply, err := cmd.send(ctx, operator.Call{
		Method: "PUT",
		Path:   fmt.Sprintf("/v1/services/%s/document?base=%d", doc.Service, cmd.Base),
		Headers: map[string]string{
			"Bilberrywalk-Who": cmd.who(),
		},
		Body:       text,
		AtMostOnce: true,
	})
	if err != nil {
		return err
	}
	if cmd.JSON {
		return printRaw(s, reply.Body)
	}
	return printLine(s, "version %d of %s is accepted; it is in force everywhere within seconds", cmd.Base+1, doc.Service)
}

// serviceGet prints the current version of a document.
type serviceGet struct {
	operatorFlags
	Service string `arg:"" help:"The service's name."`
}

// Run implements the command.
func (cmd serviceGet) Run(ctx context.Context, s *streams) error {
	var doc receiver.DocumentBody
	if err := cmd.get(ctx, "/v1/services/"+url.PathEscape(cmd.Service)+"/document", &doc); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(s, doc)
	}
	return printLine(s, "# version %d\n%s", doc.Version, doc.Text)
}

// serviceList lists the current documents.
type serviceList struct {
	operatorFlags
}

// Run implements the command.
func (cmd serviceList) Run(ctx context.Context, s *streams) error {
	return cmd.printDocuments(ctx, s, "/v1/services")
}

// serviceHistory lists the versions of a document.
type serviceHistory struct {
	operatorFlags
	Service string `arg:"" help:"The service's name."`
}

// Run implements the command.
func (cmd serviceHistory) Run(ctx context.Context, s *streams) error {
	return cmd.printDocuments(ctx, s, "/v1/services/"+url.PathEscape(cmd.Service)+"/history")
}

// endpointCommand groups the commands on endpoints.
type endpointCommand struct {
	List  endpointList  `cmd:"" help:"List the endpoints that announced themselves."`
	Drain endpointDrain `cmd:"" help:"Close the gate of an endpoint; work in flight is finished."`
}

// endpointList lists the endpoints that have announced themselves.
type endpointList struct {
	operatorFlags
}

// Run implements the command.
func (cmd endpointList) Run(ctx context.Context, s *streams) error {
	var list []receiver.EndpointBody
	if err := cmd.get(ctx, "/v1/endpoints", &list); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(s, list)
	}
	rows := make([][]string, 0, len(list))
	for _, e := range list {
		rows = append(rows, []string{e.Address, e.Service, e.FailureDomain, string(e.State), fmt.Sprint(e.Linked)})
	}
	return printTable(s, []string{"ADDRESS", "SERVICE", "FAILURE-DOMAIN", "STATE", "LINKED"}, rows)
}

// endpointDrain drains an endpoint: its gate admits no new work, and work in
// flight is finished.
type endpointDrain struct {
	operatorFlags
	Address string `arg:"" help:"The address of the endpoint's agent."`
}

// Run implements the command.
func (cmd endpointDrain) Run(ctx context.Context, s *streams) error {
	reply, err := cmd.send(ctx, operator.Call{
		Method: "POST",
		Path:   "/v1/endpoints/" + url.PathEscape(cmd.Address) + "/drain",
		Headers: map[string]string{
			"Bilberrywalk-Who": cmd.who(),
		},
	})
	if err != nil {
		return err
	}
	if cmd.JSON {
		return printRaw(s, reply.Body)
	}
	return printLine(s, "%s takes no new work; what runs there is finished", cmd.Address)
}

// statusCommand prints an entry's state.
type statusCommand struct {
	operatorFlags
}

// Run implements the command.
func (cmd statusCommand) Run(ctx context.Context, s *streams) error {
	var status receiver.StatusBody
	if err := cmd.get(ctx, "/v1/status", &status); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(s, status)
	}
	return printTable(s, []string{"ENTRY", "FAILURE-DOMAIN", "IN-FLIGHT", "ENDPOINTS", "LINKED", "ANSWERED", "NOT-RUN", "UNKNOWN"}, [][]string{{
		status.Address, status.FailureDomain, fmt.Sprint(status.InFlight), fmt.Sprint(status.Endpoints), fmt.Sprint(status.Linked),
		fmt.Sprint(status.Counts.Answered), fmt.Sprint(status.Counts.NotRun), fmt.Sprint(status.Counts.Unknown),
	}})
}

// auditCommand prints the audit trail.
type auditCommand struct {
	operatorFlags
}

// Run implements the command.
func (cmd auditCommand) Run(ctx context.Context, s *streams) error {
	var trail []publisher.AuditRow
	if err := cmd.get(ctx, "/v1/audit", &trail); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(s, trail)
	}
	rows := make([][]string, 0, len(trail))
	for _, r := range trail {
		rows = append(rows, []string{r.At.UTC().Format("2006-01-02T15:04:05.000Z"), r.Who, r.What, r.Subject, r.From, r.To, r.Why})
	}
	return printTable(s, []string{"AT", "WHO", "WHAT", "SUBJECT", "FROM", "TO", "WHY"}, rows)
}

// send sends a change. The exit code of its error distinguishes invalid input, a
// conflict, an unknown outcome and any other failure.
func (f operatorFlags) send(ctx context.Context, call operator.Call) (operator.Reply, error) {
	client, err := f.client()
	if err != nil {
		return operator.Reply{}, err
	}
	reply, err := client.Do(ctx, call)
	if err != nil {
		return reply, changeError(err)
	}
	return reply, refusalError(reply)
}

// get requests path from the entries and decodes the JSON reply into the given
// value.
func (f operatorFlags) get(ctx context.Context, path string, into any) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	return client.Get(ctx, path, into)
}

func (f operatorFlags) printDocuments(ctx context.Context, s *streams, path string) error {
	var list []receiver.DocumentBody
	if err := f.get(ctx, path, &list); err != nil {
		return err
	}
	if f.JSON {
		return printJSON(s, list)
	}
	rows := make([][]string, 0, len(list))
	for _, doc := range list {
		rows = append(rows, []string{doc.Service, fmt.Sprint(doc.Version), fmt.Sprint(len(doc.Text))})
	}
	return printTable(s, []string{"SERVICE", "VERSION", "BYTES"}, rows)
}

// changeError returns the error for a change that got no reply. If the change may
// have reached an entry, the error carries exitUnknown.
func changeError(err error) error {
	var unreachable *operator.UnreachableError
	if errors.As(err, &unreachable) && unreachable.MayHaveArrived {
		return &CodeError{
			Code:    exitUnknown,
			Message: "the change may have been made; look before you repeat it: " + err.Error(),
		}
	}
	return err
}

// refusalError returns the error with the exit code for a rejected change, or nil
// if the change was accepted.
func refusalError(reply operator.Reply) error {
	const firstRefusal, badRequest, conflict = 300, 400, 409
	switch {
	case reply.Status < firstRefusal:
		return nil
	case reply.Status == badRequest:
		return usageError(reply.Error())
	case reply.Status == conflict:
		return &CodeError{
			Code:    exitConflict,
			Message: conflictMessage(reply),
		}
	case reply.Outcome == "unknown":
		return &CodeError{
			Code:    exitUnknown,
			Message: "the change may have been made; look before you repeat it: " + reply.Error().Error(),
		}
	default:
		return reply.Error()
	}
}

// conflictMessage formats a conflict with the current version of the document and
// the rejected edit.
func conflictMessage(reply operator.Reply) string {
	var body receiver.ConflictBody
	if json.Unmarshal(reply.Body, &body) != nil || body.Error == "" {
		return reply.Error().Error()
	}
	return fmt.Sprintf("%s\n--- in force (version %d)\n%s\n--- yours\n%s", body.Error, body.Current.Version, body.Current.Text, body.Submitted)
}

func printRaw(s *streams, body []byte) error {
	return printLine(s, "%s", strings.TrimSpace(string(body)))
}

func printTable(s *streams, header []string, rows [][]string) error {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
