package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/responsecheck"
)

const (
	maxAnswerBytes = 64 << 20
	readAttempts   = 3
)

// ClientSettings configures a Client.
type ClientSettings struct {
	URL     string        // base URL of the platform, for example http://127.0.0.1:9300
	Timeout time.Duration // limit of one request, without the wait of a long poll; default 3 s
	Backoff Backoff       // delays between the attempts of a read
}

// Client reaches the platform over HTTP. It implements Log and HostList and is safe for concurrent use.
type Client struct {
	base      string
	timeout   time.Duration
	backoff   Backoff
	http      *http.Client
	transport *http.Transport
}

// NewClient returns a client of the platform. Close releases its connections.
func NewClient(s ClientSettings) (*Client, error) {
	u, err := url.Parse(s.URL)
	if err != nil {
		return nil, fmt.Errorf("platform URL: %w", err)
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, fmt.Errorf("platform URL %q: need http or https and a host", u.Redacted())
	}
	if s.Timeout <= 0 {
		s.Timeout = 3 * time.Second
	}
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: s.Timeout}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{
		base:      strings.TrimRight(s.URL, "/"),
		timeout:   s.Timeout,
		backoff:   s.Backoff,
		http:      &http.Client{Transport: responsecheck.NewRoundTripper(t)},
		transport: t,
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Append implements Log.
func (c *Client) Append(ctx context.Context, data []byte) (int64, error) {
	if len(data) > MaxRecordBytes {
		return 0, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/log/records", bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	// Without GetBody the transport can't send the body a second time when a reused connection fails.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, appendError(err)
	}
	defer func() {
		drain(resp.Body)
		_ = resp.Body.Close()
	}()
	switch resp.StatusCode {
	case http.StatusOK:
		var a struct {
			Offset int64 `json:"offset"`
		}
		if err := decode(resp.Body, &a); err != nil || a.Offset <= 0 {
			return 0, fmt.Errorf("%w: unreadable answer", ErrUnknownOutcome)
		}
		return a.Offset, nil
	case http.StatusTooManyRequests:
		return 0, ErrRateLimited{RetryAfter: retryAfter(resp)}
	case http.StatusServiceUnavailable:
		return 0, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	case http.StatusRequestEntityTooLarge:
		return 0, ErrTooLarge
	default:
		return 0, fmt.Errorf("%w: status %d", ErrUnknownOutcome, resp.StatusCode)
	}
}

// appendError tells a connection that was never made from one that failed after bytes may have been sent.
func appendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}

type wireEntry struct {
	Offset int64  `json:"offset"`
	TimeMs int64  `json:"timeMs"`
	Data   []byte `json:"data"`
}

// Read implements Log. A failed read is tried up to three times.
func (c *Client) Read(ctx context.Context, from int64, maxEntries int, wait time.Duration) ([]Entry, error) {
	q := url.Values{}
	q.Set("from", strconv.FormatInt(from, 10))
	q.Set("max", strconv.Itoa(maxEntries))
	q.Set("waitMs", strconv.FormatInt(wait.Milliseconds(), 10))
	var a struct {
		Entries []wireEntry `json:"entries"`
	}
	if err := c.get(ctx, "/v1/log/records?"+q.Encode(), wait, &a); err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(a.Entries))
	for _, e := range a.Entries {
		entries = append(entries, Entry{Offset: e.Offset, Time: time.UnixMilli(e.TimeMs).UTC(), Data: e.Data})
	}
	return entries, nil
}

// Hosts implements HostList.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var a struct {
		Hosts []Host `json:"hosts"`
	}
	if err := c.get(ctx, "/v1/hosts", 0, &a); err != nil {
		return nil, err
	}
	return a.Hosts, nil
}

func (c *Client) get(ctx context.Context, path string, wait time.Duration, into any) error {
	backoff := c.backoff
	backoff.Reset()
	for attempt := 1; ; attempt++ {
		err := c.getOnce(ctx, path, wait, into)
		if err == nil || !errors.Is(err, ErrUnavailable) || attempt == readAttempts {
			return err
		}
		if pause.Sleep(ctx, backoff.Next()) != nil {
			return err
		}
	}
}

func (c *Client) getOnce(ctx context.Context, path string, wait time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() {
		drain(resp.Body)
		_ = resp.Body.Close()
	}()
	switch resp.StatusCode {
	case http.StatusOK:
		if err := decode(resp.Body, into); err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return nil
	case http.StatusGone:
		var gone struct {
			Oldest int64 `json:"oldest"`
		}
		if err := decode(resp.Body, &gone); err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return ErrExpired{Oldest: gone.Oldest}
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
}

func decode(r io.Reader, into any) error {
	return json.NewDecoder(io.LimitReader(r, maxAnswerBytes)).Decode(into)
}

// drain reads the rest of a short answer, so that its connection can be used again.
func drain(body io.Reader) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 64<<10))
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds >= 0 && seconds <= 60) { // also refuses NaN
		return time.Second
	}
	return time.Duration(seconds * float64(time.Second))
}
