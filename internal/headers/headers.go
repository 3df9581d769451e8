// Package headers defines the HTTP headers that this system exchanges with callers and upstreams. The platform adapter
// supplies their names.
package headers

import (
	"net/http"
	"strconv"
	"time"

	"boragehinge.example/boragehinge/internal/placement"
)

// Names holds the header names in canonical form.
type Names struct {
	RequestID      string // ID of one attempt of a caller; upstreams return it
	DeadlineMs     string // remaining time until the deadline, in milliseconds
	ExpectInstance string // ID of the upstream that the request is meant for
	Stamp          string // signature of the upstream that produced the response
	NotRun         string // set if the upstream did not run the request
	InstanceID     string
	Load           string
	ColdMs         string // remaining time of the upstream's cold start, in milliseconds
	Leaving        string // set to LeavingValue by an upstream that shuts down
	Limit          string // requests per second that the upstream takes from all entries together
	Account        string // name of the client account that a request to an upstream belongs to
	// ParseLoad parses the load header. It returns nil if the value is empty or malformed.
	ParseLoad func(string) *placement.Load
}

// Refused reports whether the response says that the upstream did not run the request.
func (n *Names) Refused(r *http.Response) bool {
	return r.Header.Get(n.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
}

// Identifies reports whether resp names the request that it answers.
func (n *Names) Identifies(resp *http.Response) bool { return resp.Header.Get(n.RequestID) != "" }

// MatchesRequest reports whether resp is the response to req. A response without a request ID matches any request.
func (n *Names) MatchesRequest(resp *http.Response, req *http.Request) bool {
	id := resp.Header.Get(n.RequestID)
	return id == "" || id == req.Header.Get(n.RequestID)
}

// maxLimit is the largest limit in requests per second that is believed.
const maxLimit = 1e9

// ParseLimit parses the limit header. It returns nil if the value is empty or malformed.
func ParseLimit(value string) *float64 {
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil || !(limit >= 0 && limit <= maxLimit) { // false for NaN too
		return nil
	}
	return &limit
}

// LeavingValue is the value of the leaving header.
const LeavingValue = "1"

// maxRetryAfter is the longest pause that an upstream may ask for.
const maxRetryAfter = 5 * time.Minute

// parseRetryAfter parses a number of seconds. It returns 0 if the value is empty or malformed.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) { // false for NaN too
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// Report returns what an upstream tells about itself in the headers of a response.
func (n *Names) Report(status int, h http.Header) placement.Report {
	r := placement.Report{
		Load: n.ParseLoad(h.Get(n.Load)), Limit: ParseLimit(h.Get(n.Limit)), Leaving: h.Get(n.Leaving) == LeavingValue,
	}
	if status == http.StatusServiceUnavailable {
		r.RetryAfter = parseRetryAfter(h.Get("Retry-After"))
	}
	return r
}
