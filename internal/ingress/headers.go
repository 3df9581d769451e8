package ingress

import (
	"net/http"
	"strings"

	"boragehinge.example/boragehinge/internal/placement"
)

// Names are the headers that callers, upstreams and this system agree on. Names are in canonical form.
type Names struct {
	RequestID      string // of one attempt of a caller; upstreams return it
	DeadlineMs     string // remaining time
	ExpectInstance string // ID of the upstream that is meant
	Stamp          string // signature of an upstream that produced the response
	NotRun         string // the upstream did not run the request
	InstanceID     string
	Load           string
	ColdMs         string // remaining cold start
	// ParseLoad reads the load header; nil when it can't be read.
	ParseLoad func(string) *placement.Load
}

// Refused reports whether the response says that the upstream did not run the request.
func (n *Names) Refused(r *http.Response) bool {
	return r.Header.Get(n.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
}

// Belongs reports whether a response is the one to the request.
func (n *Names) Belongs(resp *http.Response, req *http.Request) bool {
	id := resp.Header.Get(n.RequestID)
	return id == "" || id == req.Header.Get(n.RequestID)
}

// connectionHeaders concern one connection only.
var connectionHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// dropConnectionHeaders removes what concerns one connection, with the headers that Connection names.
func dropConnectionHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}
