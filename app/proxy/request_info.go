package proxy

import (
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// requestInfo is what the entry knows about the caller and the route of a request. It is made once for each request.
type requestInfo struct {
	organisation *pb.Organisation // nil: the plan has none, or the route is public
	priority     uint32           // 0 is the most urgent; that of the organisation goes before that of the route
	nested       bool             // a nested call of a request that the local upstream runs; it carries no key, so its route is public
	ofRetry      bool             // the request of which it is a nested call is a retry, or a nested call of one
	upload       bool             // the body is large; the request is not idempotent
	// regions holds the lists of regions that the request is bound to, each of which must contain the region of an upstream.
	regions [2][]string
}

// identify returns the info of a request on a route, and the reason if the request must be rejected, or "".
func identify(names *Headers, t *plan.Table, route *pb.PlanRoute, h *fasthttp.RequestHeader) (requestInfo, string) {
	info := requestInfo{priority: route.GetPriority(), upload: route.GetUpload()}
	info.regions[0] = route.GetAllowedRegions().GetNames()
	if !t.HasOrganisations() || route.GetPublic() {
		return info, ""
	}
	key, count := keyOf(names, h)
	if count != 1 {
		return info, reasonUnknownKey
	}
	if info.organisation = t.Organisation(key); info.organisation == nil {
		return info, reasonUnknownKey
	}
	if info.organisation.Priority != nil {
		info.priority = info.organisation.GetPriority()
	}
	info.regions[1] = info.organisation.GetAllowedRegions().GetNames()
	return info, ""
}

// allowsRegion reports whether upstreams in a region may get the request.
func (i *requestInfo) allowsRegion(region string) bool {
	for _, list := range i.regions {
		if len(list) > 0 && !slices.Contains(list, region) {
			return false
		}
	}
	return true
}
