package plan

import pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"

func anyQuota(list []*pb.Organisation) bool {
	for _, o := range list {
		if o.GetRequestsPerSecond() > 0 {
			return true
		}
	}
	return false
}

// HasQuotas reports whether an organisation has a quota.
func (t *Table) HasQuotas() bool { return t.organisations.hasQuotas }
