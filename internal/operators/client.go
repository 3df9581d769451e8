package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxAnswerBytes = 32 << 20
	clientTimeout  = 5 * time.Second
	// parallelRequests bounds the requests of StatusOfAll.
	parallelRequests = 16
)

// Client asks the operators' ports of entries. It tries the addresses in order until one answers, and is safe for
// concurrent use.
type Client struct {
	Addresses []string // host:port or URLs
	HTTP      *http.Client
}

// ErrAnswer is an answer that says why a request cannot be served.
type ErrAnswer struct {
	Status  int
	Message string
}

func (e ErrAnswer) Error() string { return e.Message }

// Status asks one entry for its status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.get(ctx, "/v1/status", nil, &out)
}

// StatusOfAll asks one entry for its status and then the other members for theirs. It adds the upstreams of their pools
// and the statements on these. Silent is the number of members that did not answer.
func (c *Client) StatusOfAll(ctx context.Context) (out Status, silent int, err error) {
	out, err = c.Status(ctx)
	if err != nil {
		return out, 0, err
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	free := make(chan struct{}, parallelRequests)
	for _, m := range out.Members {
		if m.Operators == "" || m.Host == out.Self.Host {
			continue
		}
		wait.Go(func() {
			free <- struct{}{}
			defer func() { <-free }()
			one := Client{Addresses: []string{m.Operators}, HTTP: c.HTTP}
			other, err := one.Status(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent++
				return
			}
			out.add(other)
		})
	}
	wait.Wait()
	return out, silent, nil
}

// add takes over what only the other entry knows: its upstreams, the calls in its pools, and the statements on its
// upstreams, on itself and its log.
func (s *Status) add(other Status) {
	s.Upstreams = append(s.Upstreams, other.Upstreams...)
	for _, d := range other.DataCentres {
		i := slices.IndexFunc(s.DataCentres, func(own DataCentre) bool { return own.Name == d.Name })
		if i >= 0 {
			s.DataCentres[i].add(d)
		}
	}
	for i, st := range s.Statements {
		for _, d := range s.DataCentres {
			if st.Kind == KindDataCentre && st.Subject == d.Name {
				s.Statements[i] = dataCentreStatement(d)
			}
		}
	}
	for _, st := range other.Statements {
		switch st.Kind {
		case KindUpstream, KindEntry:
			s.Statements = append(s.Statements, st)
		case KindLog:
			st.Text = "entry " + other.Self.Host + ": " + st.Text
			s.Statements = append(s.Statements, st)
		}
	}
}

// add adds what another entry sees in its pools.
func (d *DataCentre) add(other DataCentre) {
	d.KnownPools += other.KnownPools
	d.RunningCalls += other.RunningCalls
	d.QueuedCalls += other.QueuedCalls
	d.Cold += other.Cold
	d.Returning = d.Returning || other.Returning
}

// History asks one entry for its history.
func (c *Client) History(ctx context.Context, q HistoryQuery) (History, error) {
	v := url.Values{}
	if !q.Since.IsZero() {
		v.Set("since", q.Since.UTC().Format(time.RFC3339))
	}
	if q.Limit > 0 {
		v.Set("limit", strconv.Itoa(q.Limit))
	}
	v.Set("kind", string(q.Kind))
	v.Set("subject", q.Subject)
	var out History
	return out, c.get(ctx, "/v1/history", v, &out)
}

// Explain asks one entry what would happen to a call there.
func (c *Client) Explain(ctx context.Context, q Query) (Explanation, error) {
	v := url.Values{}
	for name, value := range map[string]string{
		"customer": q.Customer, "class": q.Class, "host": q.Host, "path": q.Path, "method": q.Method, "requestId": q.RequestID,
	} {
		if value != "" {
			v.Set(name, value)
		}
	}
	var out Explanation
	return out, c.get(ctx, "/v1/explain", v, &out)
}

// Leave takes a data centre out of service at once. Asking again is harmless.
func (c *Client) Leave(ctx context.Context, l Leaving) (LeaveResult, error) {
	var out LeaveResult
	body, err := json.Marshal(l)
	if err != nil {
		return out, err
	}
	return out, c.do(ctx, http.MethodPost, "/v1/leave", body, &out)
}

func (c *Client) get(ctx context.Context, path string, query url.Values, out any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.do(ctx, http.MethodGet, path, nil, out)
}

// do tries the addresses in order. An ErrAnswer is final, since another entry would answer the same.
func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	if len(c.Addresses) == 0 {
		return errors.New("no address of an operators' port is given")
	}
	var failures []error
	for _, address := range c.Addresses {
		err := c.ask(ctx, method, baseURL(address)+path, body, out)
		var refused ErrAnswer
		if err == nil || errors.As(err, &refused) {
			return err
		}
		failures = append(failures, err)
	}
	return fmt.Errorf("no entry answers: %w", errors.Join(failures...))
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

func (c *Client) ask(ctx context.Context, method, target string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Accept", "application/json")
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	h := c.HTTP
	if h == nil {
		h = http.DefaultClient
	}
	resp, err := h.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // the body is read to the end or given up
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return failure(resp.StatusCode, data)
	}
	return json.Unmarshal(data, out)
}

func failure(status int, data []byte) error {
	var f Failure
	if json.Unmarshal(data, &f) != nil || f.Error == "" {
		f.Error = fmt.Sprintf("unexpected answer with status %d", status)
	}
	return ErrAnswer{Status: status, Message: f.Error}
}
