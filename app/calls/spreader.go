package calls

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanfield/rattanfield/app/ledger"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// spreadTimeout bounds how long the response to a failed call is delayed until the
// other gates know the suspects. It covers a round trip between regions.
const spreadTimeout = 100 * time.Millisecond

// Spreader pushes suspects to the other gates of the service, so that they already
// know a suspect request when its caller repeats it immediately.
type Spreader struct {
	endpoints ports.EndpointReader
	clients   *ledger.Clients
	self      string
	// exchange reaches the nodes that the push does not reach; may be nil.
	exchange ports.SuspectSpreader
}

var _ ports.SuspectSpreader = (*Spreader)(nil)

// NewSpreader returns a spreader for the node with the id self. exchange may be nil.
func NewSpreader(self string, e ports.EndpointReader, c *ledger.Clients, exchange ports.SuspectSpreader) *Spreader {
	return &Spreader{endpoints: e, clients: c, self: self, exchange: exchange}
}

// Spread pushes the records and returns when all gates have responded or
// spreadTimeout has passed.
func (s *Spreader) Spread(records []*pb.SuspectRecord) {
	if s.exchange != nil {
		s.exchange.Spread(records)
	}
	byService := make(map[string][]*pb.SuspectRecord)
	for _, r := range records {
		byService[r.GetService()] = append(byService[r.GetService()], r)
	}
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
	defer cancel()
	var pushes sync.WaitGroup
	for service, suspects := range byService {
		endpoints, _ := s.endpoints.Endpoints(service)
		for _, e := range endpoints {
			if e.GetNodeId() == s.self || e.GetPeerAddress() == "" {
				continue
			}
			pushes.Go(func() {
				_, _ = s.clients.ForAddress(e.GetPeerAddress()).PushSuspects(ctx,
					connect.NewRequest(&pb.PushSuspectsRequest{Suspects: suspects}))
			})
		}
	}
	pushes.Wait()
}
