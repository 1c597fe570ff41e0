package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/core/query"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// printer writes results as tables or as JSON.
type printer struct {
	out  io.Writer
	json bool
}

func (p printer) rows(show query.Show, rows []row, f *pb.Freshness) error {
	if p.json {
		items := make([]json.RawMessage, 0, len(rows))
		for _, r := range rows {
			b, err := marshal(r.message)
			if err != nil {
				return err
			}
			items = append(items, b)
		}
		return p.object(map[string]any{string(show.View): items}, f)
	}
	p.freshness(f)
	if show.View == query.ViewRevision {
		_, _ = fmt.Fprintf(p.out, "accepted revision: %d\n", f.GetRevision())
	}
	columns := query.Columns[show.View]
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	for i, c := range columns {
		_, _ = fmt.Fprint(w, strings.ToUpper(c.Name), separator(i, len(columns)))
	}
	for _, r := range rows {
		for i, c := range columns {
			value := r.cells[c.Name]
			if value == "" {
				value = "-"
			}
			_, _ = fmt.Fprint(w, value, separator(i, len(columns)))
		}
	}
	return w.Flush()
}

func separator(i, n int) string {
	if i == n-1 {
		return "\n"
	}
	return "\t"
}

// freshness prints a warning when a response may be outdated.
func (p printer) freshness(f *pb.Freshness) {
	if f == nil || f.GetConfirmed() {
		return
	}
	age := time.Duration(f.GetAgeMs()) * time.Millisecond
	_, _ = fmt.Fprintf(p.out, "not confirmed: %s last heard from a majority %s ago; newer changes may exist\n", f.GetHost(), age.Round(100*time.Millisecond))
}

// marshal returns compact JSON. It normalises the output of protojson, whose
// spacing is random.
func marshal(m proto.Message) (json.RawMessage, error) {
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	var compact strings.Builder
	e := json.NewEncoder(&compact)
	e.SetEscapeHTML(false)
	if err := e.Encode(json.RawMessage(b)); err != nil {
		return nil, err
	}
	return json.RawMessage(compact.String()), nil
}

// object prints a JSON object with the given fields and, if f is set, the freshness.
func (p printer) object(fields map[string]any, f *pb.Freshness) error {
	if f != nil {
		b, err := marshal(f)
		if err != nil {
			return err
		}
		fields["freshness"] = b
	}
	e := json.NewEncoder(p.out)
	e.SetEscapeHTML(false)
	return e.Encode(fields)
}

func (p printer) result(r *pb.CommandResult) error {
	if p.json {
		b, err := marshal(r)
		if err != nil {
			return err
		}
		return p.object(map[string]any{"result": b}, nil)
	}
	_, err := fmt.Fprintln(p.out, describe(r))
	return err
}

func countProblems(problems int) string {
	return count(problems, "problem")
}

func count(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", n, what)
}

// describe returns a description of the result of a command for the operator.
func describe(r *pb.CommandResult) string {
	var b strings.Builder
	switch r.GetOutcome() {
	case pb.Outcome_OUTCOME_ACCEPTED:
		if r.GetEvacuationSerial() != 0 {
			fmt.Fprintf(&b, "accepted as order %d", r.GetEvacuationSerial())
		} else {
			fmt.Fprintf(&b, "accepted as revision %d", r.GetRevision())
		}
		if r.GetMoveId() != "" {
			fmt.Fprintf(&b, ", move %s", r.GetMoveId())
		}
	case pb.Outcome_OUTCOME_CONFLICT:
		if r.GetWinnerCommandId() == "" { // an evacuation, whose conflict is with a newer order
			b.WriteString("not accepted, nothing was changed: there is a newer order; look at it and try again")
			break
		}
		fmt.Fprintf(&b, "not accepted: %s changed the configuration first, with command %s, revision %d; look at it and try again with `expect %d`",
			r.GetWinnerOperator(), r.GetWinnerCommandId(), r.GetWinnerRevision(), r.GetWinnerRevision())
	case pb.Outcome_OUTCOME_INVALID:
		fmt.Fprintf(&b, "not accepted, nothing was changed: %s", countProblems(len(r.GetProblems())))
	case pb.Outcome_OUTCOME_UNAVAILABLE:
		b.WriteString("not accepted: the control hosts have no majority; nothing was changed")
	default:
		fmt.Fprintf(&b, "not known whether it was accepted; ask again with: command %s", r.GetCommandId())
	}
	fmt.Fprintf(&b, " (command %s)", r.GetCommandId())
	if r.GetMessage() != "" && len(r.GetProblems()) == 0 { // otherwise it repeats a problem
		b.WriteString("\n  " + r.GetMessage())
	}
	for _, problem := range r.GetProblems() {
		fmt.Fprintf(&b, "\n  %s: %s", problem.GetSubject(), problem.GetMessage())
	}
	return b.String()
}
