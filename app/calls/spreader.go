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

// spreadTimeout bounds how long a failed call waits until the other gates know
// of the suspects. It covers a round trip between regions.
const spreadTimeout = 100 * time.Millisecond

// Spreader pushes suspects to the gates of the same service, so that a caller
// that repeats a request at once finds it known there.
type Spreader struct {
	endpoints ports.EndpointReader
	clients   *ledger.Clients
	self      string
	// next spreads to nodes that the push does not reach; nil: none.
	next ports.SuspectSpreader
}

var _ ports.SuspectSpreader = (*Spreader)(nil)

// NewSpreader returns a spreader for the node self.
func NewSpreader(self string, e ports.EndpointReader, c *ledger.Clients, next ports.SuspectSpreader) *Spreader {
	return &Spreader{endpoints: e, clients: c, self: self, next: next}
}

// Spread returns when all gates have answered or the timeout has passed.
func (s *Spreader) Spread(records []*pb.SuspectRecord) {
	if s.next != nil {
		s.next.Spread(records)
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
