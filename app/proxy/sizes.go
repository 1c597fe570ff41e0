package proxy

import "sync"

// sizes holds the average body size of request and response by route.
type sizes struct {
	mu    sync.Mutex
	bytes map[string]float64 // by route
}

const (
	// sizeWeight is the weight of one request in the moving average of its route.
	sizeWeight = 0.1
	// headerBytes is the size of the headers of a request and its response between two nodes.
	headerBytes = 900
)

func (s *sizes) record(route string, body int) {
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

// expectedKilobytes returns the expected size of the next request of a route with
// its response, in units of 1000 bytes.
func (s *sizes) expectedKilobytes(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (s.bytes[route] + headerBytes) / 1000
}
