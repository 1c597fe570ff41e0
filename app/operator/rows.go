package operator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/core/query"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// row is one line of a table: its cells by column name, and the message for JSON output.
type row struct {
	cells   map[string]string
	message proto.Message
}

// subjects holds the subjects to query for each view.
var subjects = map[query.View][]pb.Subject{
	query.ViewConfig:   {pb.Subject_SUBJECT_CONFIGURATION},
	query.ViewServices: {pb.Subject_SUBJECT_CONFIGURATION},
	query.ViewRoutes:   {pb.Subject_SUBJECT_CONFIGURATION},
	query.ViewNodes:    {pb.Subject_SUBJECT_NODES},
	query.ViewRevision: {pb.Subject_SUBJECT_NODES},
	query.ViewMembers:  {pb.Subject_SUBJECT_MEMBERS},
	query.ViewMoves:    {pb.Subject_SUBJECT_MOVES, pb.Subject_SUBJECT_MEMBERS}, // QueryLeader needs the members
	query.ViewHistory:  {pb.Subject_SUBJECT_HISTORY},

	query.ViewEvacuations:   {pb.Subject_SUBJECT_EVACUATIONS},
	query.ViewOrganisations: {pb.Subject_SUBJECT_ORGANISATIONS},
	query.ViewPlan:          {pb.Subject_SUBJECT_PLAN_SUMMARY},
	query.ViewRollouts:      {pb.Subject_SUBJECT_ROLLOUTS},
}

// rows returns the rows of a view that satisfy the conditions of show.
func rows(show query.Show, a *pb.QueryResponse, now time.Time) []row {
	var all []row
	switch show.View {
	case query.ViewConfig:
		all = append(serviceRows(a.GetConfiguration()), routeRows(a.GetConfiguration())...)
		for i := range all {
			all[i].cells = configCells(all[i])
		}
	case query.ViewServices:
		all = serviceRows(a.GetConfiguration())
	case query.ViewRoutes:
		all = routeRows(a.GetConfiguration())
	case query.ViewNodes, query.ViewRevision:
		all = nodeRows(a, now)
	case query.ViewMembers:
		all = memberRows(a.GetMembers())
	case query.ViewMoves:
		all = moveRows(a.GetMoves())
	case query.ViewHistory:
		all = historyRows(a.GetHistory())
	case query.ViewEvacuations:
		all = evacuationRows(a.GetEvacuations())
	case query.ViewOrganisations:
		all = organisationRows(a.GetOrganisations())
	case query.ViewPlan:
		all = planRows(a.GetPlanSummary())
	case query.ViewRollouts:
		all = rolloutRows(a.GetRollouts())
	}
	matching := all[:0]
	for _, r := range all {
		if show.Matches(r.cells) {
			matching = append(matching, r)
		}
	}
	return matching
}

func formatNumber[T ~uint32 | ~uint64 | ~int64](n T) string { return strconv.FormatInt(int64(n), 10) }

func formatTime(unixMs int64) string {
	if unixMs == 0 {
		return ""
	}
	return time.UnixMilli(unixMs).Local().Format(time.DateTime)
}

// enumLabel returns the name of an enum value in lower case, without the prefix and
// with spaces for underscores.
func enumLabel(name, prefix string) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(name, prefix), "_", " "))
}

func serviceRows(c *pb.Configuration) []row {
	moves := make(map[string]string)
	for _, s := range c.GetShares() {
		moves[s.GetService()] = s.GetMoveId()
	}
	var out []row
	for _, s := range c.GetServices() {
		out = append(out, row{map[string]string{
			"service": s.GetName(), "active": s.GetActiveVersion(), "uses": strings.Join(s.GetUses(), ","),
			"slots": formatNumber(s.GetLimits().GetSlots()), "risk": enumLabel(s.GetRisk().String(), "RISK_PREFERENCE_"),
			"move": moves[s.GetName()],
		}, s})
	}
	return out
}

func routeRows(c *pb.Configuration) []row {
	var out []row
	for _, r := range c.GetRoutes() {
		out = append(out, row{map[string]string{
			"route": r.GetName(), "host": r.GetHost(), "prefix": r.GetPathPrefix(), "methods": strings.Join(r.GetMethods(), ","),
			"service": r.GetService(), "idempotent": strconv.FormatBool(r.GetIdempotent()), "class": r.GetClass(),
		}, r})
	}
	return out
}

// configCells returns the cells of a service or route in the view config.
func configCells(r row) map[string]string {
	content, err := protojson.Marshal(r.message)
	if err != nil { // only invalid UTF-8 fails, which decoding has excluded
		content = []byte(err.Error())
	}
	kind, name := "service", r.cells["service"]
	if _, isRoute := r.message.(*pb.Route); isRoute {
		kind, name = "route", r.cells["route"]
	}
	return map[string]string{"kind": kind, "name": name, "content": string(content)}
}

func nodeRows(a *pb.QueryResponse, now time.Time) []row {
	var out []row
	for _, n := range a.GetNodes() {
		e, lag := n.GetEndpoint(), "0"
		if since := n.GetLaggingSinceUnixMs(); since != 0 {
			lag = fmt.Sprintf("%.1f", now.Sub(time.UnixMilli(since)).Seconds())
		}
		out = append(out, row{map[string]string{
			"node": e.GetNodeId(), "region": e.GetRegion(), "domain": e.GetFailureDomain(),
			"state":   enumLabel(e.GetState().String(), "ENDPOINT_STATE_"),
			"service": e.GetService(), "version": e.GetVersion(), "applied": formatNumber(n.GetAppliedRevision()),
			"accepted": formatNumber(a.GetFreshness().GetRevision()), "lag_s": lag,
		}, n})
	}
	return out
}

func memberRows(members []*pb.MemberStatus) []row {
	var out []row
	for _, m := range members {
		out = append(out, row{map[string]string{
			"member": m.GetMember().GetId(), "address": m.GetMember().GetAddress(), "domain": m.GetMember().GetFailureDomain(),
			"role": m.GetRole(), "voter": strconv.FormatBool(m.GetMember().GetVoter()),
			"match": formatNumber(m.GetMatchIndex()), "contact_ms": formatNumber(m.GetLastContactMs()),
		}, m})
	}
	return out
}

func moveRows(moves []*pb.Move) []row {
	var out []row
	for _, m := range moves {
		out = append(out, row{map[string]string{
			"move": m.GetMoveId(), "service": m.GetService(), "from": m.GetOldVersion(), "to": m.GetNewVersion(),
			"phase": phaseName(m.GetPhase()), "share": fmt.Sprintf("%.1f", sharePercent(m)), "step": formatNumber(m.GetStep()),
			"deadline": formatTime(m.GetDeadlineUnixMs()), "reason": m.GetReason(),
		}, m})
	}
	return out
}

func phaseName(p pb.MovePhase) string { return enumLabel(p.String(), "MOVE_PHASE_") }

// sharePercent returns the largest share of the new version in any failure
// domain, in percent.
func sharePercent(m *pb.Move) float64 {
	highest := uint32(0)
	for _, d := range m.GetDomains() {
		highest = max(highest, d.GetNewPermille())
	}
	return float64(highest) / 10
}

func historyRows(history []*pb.Decision) []row {
	var out []row
	for _, d := range history {
		out = append(out, row{map[string]string{
			"revision": formatNumber(d.GetRevision()), "at": formatTime(d.GetAtUnixMs()), "operator": d.GetOperator(),
			"command": d.GetCommandId(), "summary": d.GetSummary(), "reason": d.GetReason(),
		}, d})
	}
	return out
}
