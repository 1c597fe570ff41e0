package ledger

import (
	"sync"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
	"github.com/rattanfield/rattanfield/ports"
)

// ErrUnknownNode reports that the peer address of a node is not known.
var ErrUnknownNode = eris.New("ledger: peer address of the node is not known")

// Clients holds the Connect clients of other nodes. It is safe for concurrent use.
type Clients struct {
	http    connect.HTTPClient
	resolve ports.PeerResolver

	mu        sync.Mutex
	byAddress map[string]rattanfieldv1connect.CallServiceClient
}

// NewClients returns clients that share one HTTP client (see rpc.Client.HTTP) and
// look up peer addresses by r.
func NewClients(http connect.HTTPClient, r ports.PeerResolver) *Clients {
	return &Clients{http: http, resolve: r, byAddress: make(map[string]rattanfieldv1connect.CallServiceClient)}
}

// forNode returns the client of a node, or ErrUnknownNode.
func (c *Clients) forNode(nodeID string) (rattanfieldv1connect.CallServiceClient, error) {
	address, ok := c.resolve.PeerAddress(nodeID)
	if !ok {
		return nil, eris.Wrap(ErrUnknownNode, nodeID)
	}
	return c.ForAddress(address), nil
}

// ForAddress returns the client for a peer address and creates it on first use.
func (c *Clients) ForAddress(address string) rattanfieldv1connect.CallServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.byAddress[address]
	if client == nil {
		client = rattanfieldv1connect.NewCallServiceClient(c.http, rpc.URL(address))
		c.byAddress[address] = client
	}
	return client
}

// EndpointResolver finds peer addresses in the endpoint table. It remembers the
// last known address of each node, because a member of a ledger group may be
// absent from the table while it does not serve calls.
type EndpointResolver struct {
	endpoints ports.EndpointReader
	services  func() []string

	mu    sync.Mutex
	known map[string]string
}

// NewEndpointResolver returns a resolver over the endpoints of the services that
// the function returns.
func NewEndpointResolver(e ports.EndpointReader, services func() []string) *EndpointResolver {
	return &EndpointResolver{endpoints: e, services: services, known: make(map[string]string)}
}

// PeerAddress returns the last known peer address of a node and whether there is one.
func (r *EndpointResolver) PeerAddress(nodeID string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services() {
		records, _ := r.endpoints.Endpoints(s)
		for _, e := range records {
			r.known[e.GetNodeId()] = e.GetPeerAddress()
		}
	}
	address, ok := r.known[nodeID]
	return address, ok
}
