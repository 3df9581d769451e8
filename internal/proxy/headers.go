package proxy

import (
	"net/http"
	"strings"
)

// Headers exchanged with callers and upstreams, in canonical form. Section 2.3 of the design page defines them.
const (
	HeaderCustomer     = "Boragehinge-Customer"
	HeaderClass        = "Boragehinge-Class"
	HeaderDeadline     = "Boragehinge-Deadline-Ms"
	HeaderIdempotent   = "Boragehinge-Idempotent"
	HeaderRequestID    = "Boragehinge-Request-Id"
	HeaderFirstAttempt = "Boragehinge-First-Attempt"
	HeaderOutcome      = "Boragehinge-Outcome"
	HeaderReason       = "Boragehinge-Reason"
	HeaderRetried      = "Boragehinge-Retried"
	HeaderDepth        = "Boragehinge-Depth"
)

// Headers exchanged only between entries, in canonical form.
const (
	HeaderForward     = "Boragehinge-Forward" // run or register
	HeaderPool        = "Boragehinge-Pool"
	HeaderService     = "Boragehinge-Service"
	HeaderRoute       = "Boragehinge-Route"
	HeaderVersion     = "Boragehinge-Version"
	HeaderAttempt     = "Boragehinge-Attempt"
	HeaderExclude     = "Boragehinge-Exclude"
	HeaderUpstream    = "Boragehinge-Upstream"
	HeaderPoolSummary = "Boragehinge-Pool-Summary"
)

const headerPrefix = "Boragehinge-"

// hopByHop lists the headers that apply to a single connection and aren't forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Http2-Settings": true,
	// The server of this hop answers it when the body is first read.
	"Expect": true,
}

// connectionOptions returns the header names listed in the Connection header, in canonical form. They are hop-by-hop.
func connectionOptions(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	var names map[string]bool
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			name = strings.TrimSpace(name)
			if name == "" || strings.EqualFold(name, "close") || strings.EqualFold(name, "keep-alive") {
				continue
			}
			if names == nil {
				names = map[string]bool{}
			}
			names[http.CanonicalHeaderKey(name)] = true
		}
	}
	return names
}

// copyEndToEnd adds the end-to-end headers of src to dst, without those of this system. The value slices are shared,
// not copied.
func copyEndToEnd(dst, src http.Header) {
	named := connectionOptions(src)
	for name, values := range src {
		if hopByHop[name] || strings.HasPrefix(name, headerPrefix) || named[name] {
			continue
		}
		dst[name] = values
	}
}

// setNonEmpty sets a canonical header unless the value is empty.
func setNonEmpty(h http.Header, name, value string) {
	if value != "" {
		h[name] = []string{value}
	}
}
