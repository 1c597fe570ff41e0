package node

import (
	"slices"
	"sync"

	"github.com/rattanfield/rattanfield/app/members"
	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// interests keeps what this node asks for in step: the configuration of the
// services of its entry and its upstream, and the endpoints of all services in
// that configuration.
type interests struct {
	members *members.Members
	entry   []string

	mu      sync.Mutex
	local   string
	changed func(*pb.Interests) // set by the follower's constructor
}

var _ ports.LocalEndpoint = (*interests)(nil)

func (i *interests) current() *pb.Interests {
	services := slices.Clone(i.entry)
	if i.local != "" {
		services = append(services, i.local)
	}
	return &pb.Interests{Services: services}
}

// Publish spreads the endpoint record and asks for the configuration of the
// upstream's service when that is new.
func (i *interests) Publish(state pb.EndpointState, u ports.Upstream) {
	i.members.Publish(state, u)
	i.mu.Lock()
	defer i.mu.Unlock()
	if u.Service == "" || u.Service == i.local {
		return
	}
	i.local = u.Service
	if i.changed != nil {
		i.changed(i.current())
	}
}

// applied asks for the endpoints of every service in the projection.
func (i *interests) applied(p *config.Projection) {
	names := make([]string, 0, len(p.Configuration.GetServices()))
	for _, s := range p.Configuration.GetServices() {
		names = append(names, s.GetName())
	}
	i.members.SetServices(names)
}
