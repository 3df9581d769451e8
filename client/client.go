package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/responsecheck"
)

const (
	headerCustomer     = "Boragehinge-Customer"
	headerClass        = "Boragehinge-Class"
	headerDeadline     = "Boragehinge-Deadline-Ms"
	headerIdempotent   = "Boragehinge-Idempotent"
	headerRequestID    = "Boragehinge-Request-Id"
	headerFirstAttempt = "Boragehinge-First-Attempt"
	headerOutcome      = "Boragehinge-Outcome"
	headerReason       = "Boragehinge-Reason"
	headerRetried      = "Boragehinge-Retried"
)

const (
	defaultDeadline = 30 * time.Second // of calls without one
	defaultAttempts = 4
	defaultBuffer   = 64 << 10
	// resendPause is the pause before a resend to the entry that just failed, so that a restart can be over.
	resendPause = 50 * time.Millisecond
)

// Client calls one service. It is safe for concurrent use.
type Client struct {
	settings Settings
	dir      *directory
	unique   string // random part of request IDs
	count    atomic.Uint64
}

// New returns a client. It sends nothing before the first call.
func New(s Settings) (*Client, error) {
	if len(s.Entries) == 0 {
		return nil, errors.New("client: no entry is given")
	}
	if s.Service == "" {
		return nil, errors.New("client: no service is given")
	}
	if s.MaxAttempts == 0 {
		s.MaxAttempts = defaultAttempts
	}
	if s.BufferBytes == 0 {
		s.BufferBytes = defaultBuffer
	}
	if s.Transport == nil {
		s.Transport = &http.Transport{
			MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		}
	}
	s.Transport = &responsecheck.RoundTripper{Base: s.Transport}
	b := make([]byte, 8)
	_, _ = rand.Read(b) // Never fails, see crypto/rand.
	return &Client{
		settings: s, unique: hex.EncodeToString(b),
		dir: &directory{settings: s, now: time.Now, avoid: map[string]time.Time{}},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	if t, ok := c.settings.Transport.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}

// Addresses returns the addresses of the service, from the last answer while it may be kept.
func (c *Client) Addresses(ctx context.Context) ([]Address, error) { return c.dir.addresses(ctx) }

// Do makes a call. The error concerns the arguments only; how the call ended is in the Result. Do returns at the latest
// when the deadline passes or ctx ends.
func (c *Client) Do(ctx context.Context, call Call) (*Result, error) {
	call, err := c.resolve(call)
	if err != nil {
		return nil, err
	}
	limit := call.Deadline
	if limit == 0 {
		limit = defaultDeadline
	}
	t := &try{c: c, call: call, deadline: time.Now().Add(limit), tried: map[string]bool{}}
	if call.Resend {
		t.maySent, t.doubt = true, ReasonResend
	}
	return t.run(ctx), nil
}

// resolve applies the defaults.
func (c *Client) resolve(call Call) (Call, error) {
	if call.Method == "" {
		call.Method = http.MethodGet
	}
	if !strings.HasPrefix(call.Path, "/") {
		return call, fmt.Errorf("client: the path %q does not start with /", call.Path)
	}
	if call.Resend && call.RequestID == "" {
		return call, errors.New("client: a resend needs the request ID")
	}
	if call.Customer == "" {
		call.Customer = c.settings.Customer
	}
	if call.Class == "" {
		call.Class = c.settings.Class
	}
	if call.Deadline <= 0 {
		call.Deadline = c.settings.Deadline
	}
	if call.Idempotent == nil {
		is := idempotentMethod(call.Method)
		call.Idempotent = &is
	}
	return call, nil
}

func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// mint returns a request ID that only the entry at the address may start, or one without a prefix when it told none.
func (c *Client) mint(a Address) string {
	unique := c.unique + "-" + strconv.FormatUint(c.count.Add(1), 36)
	if a.RequestIDPrefix == "" {
		return unique
	}
	return a.RequestIDPrefix + "." + unique
}

// ReadAll reads the rest of the response and closes it. The error means that the response is incomplete.
func (r *Result) ReadAll() ([]byte, error) {
	data, err := io.ReadAll(r.Body)
	return data, errors.Join(err, r.Body.Close())
}
