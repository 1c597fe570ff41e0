package controlclient

import pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"

// Quotas are the quotas of a node, see package quotas.
type Quotas interface {
	Report(whole bool) []*pb.OrganisationDemand
	Acknowledge()
	Apply(totals []*pb.OrganisationDemand)
}

// Values of totals_version: the node sends all its demands, and the control host does not know all nodes.
const (
	demandsWhole = 1
	noTotals     = 2
)

// addDemands adds the demands to a request if the plan has quotas.
func (c *Client) addDemands(r *pb.MeshServiceSyncRequest, v *View) {
	if c.options.Quotas == nil || v.Plan == nil || !v.Plan.HasQuotas() || r.GetNoTable() {
		return
	}
	r.TotalsVersion = max(demandsWhole, c.positions[c.host].totals)
	r.Demands = c.options.Quotas.Report(r.GetTotalsVersion() == demandsWhole)
}

// takeTotals applies the totals of the response to a request.
func (c *Client) takeTotals(request *pb.MeshServiceSyncRequest, r *pb.MeshServiceSyncResponse) {
	if request.GetTotalsVersion() == 0 {
		return
	}
	c.options.Quotas.Acknowledge()
	if r.GetTotalsVersion() > noTotals {
		c.options.Quotas.Apply(r.GetTotals())
	}
}

// totalsAfter returns the position in the totals after a response. A control host that has started again has lost the demands.
func (p position) totalsAfter(r *pb.MeshServiceSyncResponse) uint64 {
	if p.epoch != 0 && p.epoch != r.GetTableEpoch() {
		return 0
	}
	return r.GetTotalsVersion()
}

// forgetTotals makes the next poll bring the current control host all demands: while the node polled another, this one dropped them.
func (c *Client) forgetTotals() {
	p := c.positions[c.host]
	p.totals = 0
	c.positions[c.host] = p
}

// QuotasChanged tells that the control hosts need the demands of this node before the next poll.
func (c *Client) QuotasChanged() { c.reportNow() }
