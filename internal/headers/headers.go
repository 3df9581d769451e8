// Package headers names the HTTP headers that callers, upstreams and this system agree on. The names come from the adapter of
// the platform.
package headers

import (
	"net/http"

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

// MatchesRequest reports whether a response is the one to the request.
func (n *Names) MatchesRequest(resp *http.Response, req *http.Request) bool {
	id := resp.Header.Get(n.RequestID)
	return id == "" || id == req.Header.Get(n.RequestID)
}
