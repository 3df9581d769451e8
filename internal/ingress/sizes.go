package ingress

import (
	"net/http"
	"sync"

	"boragehinge.example/boragehinge/internal/gateway"
)

const (
	// sizeWeight is the weight of a body in the moving average of its route.
	sizeWeight = 0.1
	// assumedDownloadBytes is the size that is assumed of large responses until the first one of their route.
	assumedDownloadBytes = 64 << 10
)

// routeSizes learns the sizes of bodies, of requests or of responses, by route. It is safe for concurrent use.
type routeSizes struct {
	mu      sync.Mutex
	version uint64             // of the configuration whose routes are known
	bytes   map[string]float64 // moving average
}

// observe records a body. Sizes below 0 aren't known and ignored.
func (s *routeSizes) observe(route string, size int64) {
	if size < 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	average, known := s.bytes[route]
	if !known {
		if s.bytes == nil {
			s.bytes = map[string]float64{}
		}
		average = float64(size)
	}
	s.bytes[route] = average + sizeWeight*(float64(size)-average)
}

// usual returns the average size of the route's bodies, and whether any has been seen.
func (s *routeSizes) usual(c *gateway.Config, route *gateway.Route) (size int64, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version != c.Version {
		s.forgetRemoved(c)
	}
	average, known := s.bytes[route.Name]
	return int64(average), known
}

// expectedResponse returns the expected size of the response.
func (x *exchange) expectedResponse() int64 {
	size, known := x.s.responseSizes.usual(x.config, x.route)
	if !known && x.route.Kind == gateway.Download {
		return assumedDownloadBytes
	}
	return size
}

// forgetRemoved forgets the routes that a new configuration doesn't have.
func (s *routeSizes) forgetRemoved(c *gateway.Config) {
	kept := make(map[string]float64, len(s.bytes))
	for i := range c.Routes {
		if size, ok := s.bytes[c.Routes[i].Name]; ok {
			kept[c.Routes[i].Name] = size
		}
	}
	s.version, s.bytes = c.Version, kept
}

// transferBytes is the expected size of the request and its response.
func (x *exchange) transferBytes() int64 {
	return max(int64(len(x.bodyStart())), x.req.ContentLength) + x.expectedResponse()
}

// requestBytes is the size of the request's body. That of a body without a declared length that is too large to be buffered isn't known
// before the end, so it is what has arrived, or the usual size of such bodies of the route if that is larger.
func (x *exchange) requestBytes() int64 {
	size := max(int64(len(x.bodyStart())), x.req.ContentLength)
	if x.streamed != nil && x.req.ContentLength < 0 {
		usual, _ := x.s.streamedSizes.usual(x.config, x.route)
		size = max(size, usual)
	}
	return size
}

// observeStreamed records the size of a request body without a declared length that was read to its end.
func (x *exchange) observeStreamed(size int64) {
	if x.req.ContentLength < 0 {
		x.s.streamedSizes.observe(x.route.Name, size)
	}
}

// observeSize records the size of a response that an upstream completed or announced.
func (x *exchange) observeSize(a *attempt) {
	if a.resp.StatusCode >= http.StatusMultipleChoices {
		return
	}
	size := a.resp.ContentLength
	if a.bodyComplete {
		size = int64(len(a.bodyStart))
	}
	x.s.responseSizes.observe(x.route.Name, size)
}
