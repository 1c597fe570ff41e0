package carry

import "sync"

// sizes learns how many bytes the requests of a route take with their answers.
type sizes struct {
	mu    sync.Mutex
	bytes map[string]float64 // by route
}

const (
	// sizeWeight of one request in the average of its route.
	sizeWeight = 0.1
	// headerBytes of a request and its answer between two nodes, with the headers of the hop.
	headerBytes = 900
)

func (s *sizes) learn(route string, body int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.bytes[route]
	if !ok {
		if len(s.bytes) >= maxRoutes {
			clear(s.bytes)
		}
		s.bytes[route] = float64(body)
		return
	}
	s.bytes[route] = old + sizeWeight*(float64(body)-old)
}

// kilobytes that the next request of a route is expected to take.
func (s *sizes) kilobytes(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (s.bytes[route] + headerBytes) / 1000
}
