package proxy

import (
	"sync"

	"github.com/valyala/fasthttp"
)

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

// recordSize records the size of an answered request. Of an upload, that is the size of the response.
func (f *forwarding) recordSize(r *fasthttp.Response) {
	size := len(r.Body())
	if !f.info.upload {
		size += len(f.x.Request.Body())
	}
	f.entry.sizes.record(f.route.GetName(), size)
}

// kilobytes returns the expected size of the request with its response. The bodies of uploads differ too much in size for
// an average, so it counts the one at hand.
func (f *forwarding) kilobytes() float64 {
	out := f.entry.sizes.expectedKilobytes(f.route.GetName())
	if f.info.upload {
		out += float64(len(f.x.Request.Body())) / 1000
	}
	return out
}

// expectedKilobytes returns the expected size of the next request of a route with
// its response, in units of 1000 bytes.
func (s *sizes) expectedKilobytes(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (s.bytes[route] + headerBytes) / 1000
}
