package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Finding is one validation error of a request. All findings are reported in one response.
type Finding struct {
	Field   string `json:"field"`
	Message string `json:"message"`
}

const (
	maxDeadline    = 600_000 * time.Millisecond
	maxNameLength  = 128 // of request IDs, customers and classes
	maxDepth       = 16  // call chains are up to 6 deep; a depth above this limit is taken as a loop
	maxTargetBytes = 8 << 10
)

// checker collects the findings of one request.
type checker struct {
	h        http.Header
	findings []Finding
}

func (k *checker) add(field, format string, args ...any) {
	k.findings = append(k.findings, Finding{field, fmt.Sprintf(format, args...)})
}

// singleValue returns the value of a header that may be given at most once.
func (k *checker) singleValue(name string) string {
	values := k.h[name]
	if len(values) == 0 {
		return ""
	}
	if len(values) > 1 {
		k.add(name, "is given %d times, at most once is allowed", len(values))
		return ""
	}
	if values[0] == "" {
		k.add(name, "is empty")
	}
	return values[0]
}

func (k *checker) boolean(name string) (value, given bool) {
	switch s := k.singleValue(name); s {
	case "":
		return false, false
	case "true":
		return true, true
	case "false":
		return false, true
	default:
		k.add(name, "%q is neither true nor false", truncate(s))
		return false, false
	}
}

// integer returns a number from low to high, or 0 if the header is absent or invalid.
func (k *checker) integer(name string, low, high int64) int64 {
	s := k.singleValue(name)
	if s == "" {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < low || n > high || s[0] == '+' {
		k.add(name, "%q is not a whole number from %d to %d", truncate(s), low, high)
		return 0
	}
	return n
}

func (k *checker) visibleASCII(name string) string {
	s := k.singleValue(name)
	if len(s) > maxNameLength {
		k.add(name, "has %d characters, at most %d are allowed", len(s), maxNameLength)
		return ""
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			k.add(name, "has a character that is not visible ASCII at position %d", i+1)
			return ""
		}
	}
	return s
}

// truncate shortens a value for use in a message.
func truncate(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}

// newCall validates a caller's request and applies defaults. It returns either a call or all findings.
func (p *Proxy) newCall(r *http.Request, now time.Time) (*Call, []Finding) {
	k := checker{h: r.Header}
	k.checkRequest(r, p.cfg.MaxBody)
	target, found := p.deps.Directory.Resolve(r)
	if !found {
		k.add("path", "no service matches host %q and path %q", truncate(r.Host), truncate(r.URL.Path))
	}
	c := &Call{Service: target.Service, Route: target.Route, Received: now, Attempt: 1, Method: r.Method, Path: r.URL.Path}
	c.RequestID = k.visibleASCII(HeaderRequestID)
	c.Customer = k.visibleASCII(HeaderCustomer)
	if c.Customer != "" && !p.deps.Directory.KnownCustomer(c.Customer) {
		k.add(HeaderCustomer, "%q is not in the configuration", truncate(c.Customer))
	}
	k.class(p.deps.Directory, c, target, found)
	c.Depth = int(k.integer(HeaderDepth, 0, maxDepth))
	c.FirstAttempt, _ = k.boolean(HeaderFirstAttempt)
	c.Idempotent = k.resolveIdempotent(r.Method, target)
	if len(k.findings) > 0 {
		return nil, k.findings
	}
	return c, nil
}

// class sets the fields that depend on the request class.
func (k *checker) class(d Directory, c *Call, target Target, found bool) {
	name := k.visibleASCII(HeaderClass)
	deadline := time.Duration(k.integer(HeaderDeadline, 1, maxDeadline.Milliseconds())) * time.Millisecond
	named := name != ""
	if !named {
		name = target.Class
	}
	class, ok := d.Class(name)
	if !ok && (found || named) {
		k.add(HeaderClass, "%q is not in the configuration", truncate(name))
	}
	if deadline == 0 {
		deadline = class.Deadline
	}
	c.Class = class.Name
	c.Priority = class.Priority
	c.Hedgeable = class.Hedge
	c.Deadline = c.Received.Add(min(deadline, maxDeadline))
}

func (k *checker) resolveIdempotent(method string, target Target) bool {
	if value, given := k.boolean(HeaderIdempotent); given {
		return value
	}
	if target.Idempotent != nil {
		return *target.Idempotent
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// checkRequest rejects requests that HTTP implementations may interpret differently, and requests that exceed a limit.
// net/http has already rejected conflicting lengths, transfer encodings other than chunked, and blanks before a colon,
// and has joined folded lines.
func (k *checker) checkRequest(r *http.Request, maxBody int64) {
	if !r.ProtoAtLeast(1, 1) {
		// In HTTP/1.0 a response of unknown length ends with the connection, so a truncated one would look complete.
		k.add("protocol", "%s is not supported, use HTTP/1.1 or HTTP/2", r.Proto)
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		k.add("method", "%s is not supported", r.Method)
	}
	if len(r.RequestURI) > maxTargetBytes {
		k.add("path", "has %d bytes, at most %d are allowed", len(r.RequestURI), maxTargetBytes)
	}
	if r.URL.Path == "" || r.URL.Path[0] != '/' {
		k.add("path", "does not begin with a slash")
	}
	if strings.ContainsAny(r.URL.Path, "\x00\r\n\\") {
		k.add("path", "has an encoded control character or a backslash")
	}
	if r.Host == "" {
		k.add("Host", "is missing")
	}
	if r.ContentLength > maxBody {
		k.add("Content-Length", "is %d bytes, at most %d are allowed", r.ContentLength, maxBody)
	}
	if named := connectionOptions(r.Header); named != nil {
		for name := range named {
			if strings.HasPrefix(name, headerPrefix) || name == "Content-Length" || name == "Host" {
				k.add("Connection", "names %s, which is not a header of one connection", name)
			}
		}
	}
}
