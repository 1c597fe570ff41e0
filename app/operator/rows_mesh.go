package operator

import (
	"fmt"
	"strconv"
	"strings"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// States of a failure domain in the view evacuations.
const (
	stateEvacuated    = "evacuated"
	stateNotEvacuated = "not evacuated"
)

func evacuationRows(statuses []*pb.EvacuationStatus) []row {
	var out []row
	for _, s := range statuses {
		e, state := s.GetEvacuation(), stateNotEvacuated
		if e.GetActive() {
			state = stateEvacuated
		}
		out = append(out, row{map[string]string{
			"domain": e.GetFailureDomain(), "state": state, "serial": formatNumber(e.GetSerial()), "since": formatTime(s.GetSinceUnixMs()),
		}, s})
	}
	return out
}

func organisationRows(organisations []*pb.OrganisationStatus) []row {
	var out []row
	for _, o := range organisations {
		cells := map[string]string{
			"name": o.GetName(), "keys": formatNumber(o.GetKeys()), "hashes": strings.Join(o.GetKeyHashes(), ","),
			"regions": strings.Join(o.GetAllowedRegions(), ","),
		}
		if o.Priority != nil {
			cells["priority"] = formatNumber(o.GetPriority())
		}
		if o.RequestsPerSecond != nil {
			cells["rate"] = formatFloat(o.GetRequestsPerSecond())
		}
		if o.Burst != nil {
			cells["burst"] = formatFloat(o.GetBurst())
		}
		out = append(out, row{cells, o})
	}
	return out
}

func formatFloat(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

// planRows returns one row, or none before the first plan is accepted.
func planRows(p *pb.PlanSummary) []row {
	if p == nil {
		return nil
	}
	return []row{{map[string]string{
		"number": formatNumber(p.GetNumber()), "serial": formatNumber(p.GetSerial()), "routes": formatNumber(p.GetRoutes()),
		"services": formatNumber(p.GetServices()), "organisations": formatNumber(p.GetOrganisations()), "digest": p.GetDigest(),
	}, p}}
}

func rolloutRows(rollouts []*pb.Rollout) []row {
	var out []row
	for _, r := range rollouts {
		out = append(out, row{map[string]string{
			"service": r.GetService(), "phase": enumLabel(r.GetPhase().String(), "ROLLOUT_PHASE_"),
			"share": fmt.Sprintf("%.1f", float64(r.GetSharePermille())/10), "target": r.GetTargetVersion(),
		}, r})
	}
	return out
}
