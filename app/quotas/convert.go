package quotas

import (
	"math"

	"github.com/rattanfield/rattanfield/core/quota"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const milli = 1000

// ToMessages returns reports as they are sent.
func ToMessages(reports []quota.Report) []*pb.OrganisationDemand {
	out := make([]*pb.OrganisationDemand, 0, len(reports))
	for _, r := range reports {
		out = append(out, &pb.OrganisationDemand{
			Organisation: uint64(r.ID), RateMilli: toMilli(r.Rate), CapacityMilli: toMilli(r.Capacity), UsedMilli: toMilli(r.Used),
			Nodes: uint32(r.Nodes), Urgent: r.Urgent, Limited: r.Limited,
			Allowance: float32(r.Allowance),
		})
	}
	return out
}

func toMilli(v float64) uint64 { return uint64(math.Round(max(0, v) * milli)) }

// FromMessages is the inverse of ToMessages.
func FromMessages(messages []*pb.OrganisationDemand) []quota.Report {
	out := make([]quota.Report, 0, len(messages))
	for _, m := range messages {
		out = append(out, quota.Report{ID: quota.ID(m.GetOrganisation()), Demand: quota.Demand{
			Rate: float64(m.GetRateMilli()) / milli, Capacity: float64(m.GetCapacityMilli()) / milli, Used: float64(m.GetUsedMilli()) / milli,
			Nodes: int(min(m.GetNodes(), maxNodes)), Urgent: m.GetUrgent(), Limited: m.GetLimited(),
			Allowance: float64(m.GetAllowance()),
		}})
	}
	return out
}

// maxNodes bounds the number of nodes of a message, so that sums do not overflow.
const maxNodes = 1 << 20
