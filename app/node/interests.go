package node

import (
	"slices"
	"sync"

	"github.com/rattanfield/rattanfield/app/members"
	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// interests keeps the subscriptions of this node consistent: the configuration of the
// services that its entry calls and of its upstream's service, and the endpoints of all
// services in that configuration.
type interests struct {
	members       *members.Members
	entryServices []string

	mu           sync.Mutex
	localService string
	onChange     func(*pb.Interests) // SetInterests of the follower; set by newFollower
}

var _ ports.LocalEndpoint = (*interests)(nil)

// current returns the services that the entry calls and the service of the upstream.
func (i *interests) current() *pb.Interests {
	services := slices.Clone(i.entryServices)
	if i.localService != "" {
		services = append(services, i.localService)
	}
	return &pb.Interests{Services: services}
}

// Publish publishes the endpoint record of this node, and subscribes to the configuration
// of the upstream's service if that service changed. It implements ports.LocalEndpoint.
func (i *interests) Publish(state pb.EndpointState, u ports.UpstreamAnnouncement) {
	i.members.Publish(state, u)
	i.mu.Lock()
	defer i.mu.Unlock()
	if u.Service == "" || u.Service == i.localService {
		return
	}
	i.localService = u.Service
	if i.onChange != nil {
		i.onChange(i.current())
	}
}

// applied subscribes to the endpoints of every service in the projection.
func (i *interests) applied(p *config.Projection) {
	names := make([]string, 0, len(p.Configuration.GetServices()))
	for _, s := range p.Configuration.GetServices() {
		names = append(names, s.GetName())
	}
	i.members.SetServices(names)
}
