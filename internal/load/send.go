package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/client"
)

const (
	directDeadline = 30 * time.Second
	idleConns      = 1024
)

func newSender(o Options) (sender, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConns, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	if o.Direct {
		return &direct{upstreams: o.Upstreams, transport: transport, seed: o.Seed}, nil
	}
	c, err := client.New(client.Settings{Entries: o.Entries, Service: o.Service, AllDataCentres: true, Transport: transport})
	if err != nil {
		return nil, err
	}
	return &through{c: c}, nil
}

// through sends calls to entries.
type through struct{ c *client.Client }

func (t *through) close() { t.c.Close() }

func (t *through) send(ctx context.Context, k Kind, c *call) {
	idempotent := k.Idempotent
	r, err := t.c.Do(ctx, client.Call{
		Method: k.Method, Path: c.path, Class: k.Class, Customer: c.customer, Idempotent: &idempotent, Deadline: k.Deadline,
		Body: make([]byte, k.BodyBytes),
	})
	if err != nil {
		c.outcome, c.reason = client.NotRun, err.Error()
		return
	}
	defer r.Body.Close() //nolint:errcheck // read to the end or given up
	c.outcome, c.reason, c.status, c.attempts = r.Outcome, r.Reason, r.Status, r.Attempts
	if r.RequestID != "" {
		c.ids = append(append(c.ids, r.GivenUp...), r.RequestID)
	}
	if r.Outcome == client.Done && r.Status == http.StatusOK {
		c.wrong = !verify(k, c, r.Body)
	}
}

// direct sends calls to the upstreams in turn, without any of the system's rules.
type direct struct {
	upstreams []string
	transport *http.Transport
	seed      uint64
	next      atomic.Uint64
}

func (d *direct) close() { d.transport.CloseIdleConnections() }

func (d *direct) send(ctx context.Context, k Kind, c *call) {
	deadline := k.Deadline
	if deadline == 0 {
		deadline = directDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	upstream := d.upstreams[d.next.Add(1)%uint64(len(d.upstreams))]
	r, err := http.NewRequestWithContext(ctx, k.Method, "http://"+upstream+c.path, bytes.NewReader(make([]byte, k.BodyBytes)))
	if err != nil {
		c.outcome, c.reason = client.NotRun, err.Error()
		return
	}
	id := fmt.Sprintf("direct-%d-%d", d.seed, c.number)
	r.Header.Set("Boragehinge-Request-Id", id)
	r.Header.Set("Boragehinge-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.ids, c.attempts = []string{id}, 1
	resp, err := d.transport.RoundTrip(r)
	if err != nil {
		c.outcome, c.reason = client.Unknown, client.ReasonConnectionLost
		return
	}
	defer resp.Body.Close() //nolint:errcheck // read to the end or given up
	c.status = resp.StatusCode
	if resp.Header.Get("Boragehinge-Not-Run") == "true" {
		c.outcome, c.reason = client.NotRun, "refused by the upstream"
		_, _ = io.Copy(io.Discard, resp.Body)
		return
	}
	c.outcome = client.Done
	if resp.StatusCode == http.StatusOK {
		c.wrong = !verify(k, c, resp.Body)
	}
}
