package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"boragehinge.example/boragehinge/client"
	"boragehinge.example/boragehinge/internal/dev"
	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/pause"
)

const (
	resends     = 2
	resendPause = 200 * time.Millisecond
	maxOpen     = 400 // calls at a time; further ones are left out
	echoLimit   = 64 << 10
	// Bursts fill the slots and queues, which an even load of a small installation doesn't.
	burstCalls = 60
	burstEvery = 240
)

// callers send calls until their context ends.
type callers struct {
	in   *dev.Installation
	rec  *recorder
	seed uint64

	mu      sync.Mutex
	known   string // addresses of the clients
	clients map[string][]*client.Client
	old     []*client.Client
	wait    sync.WaitGroup
	left    int // calls left out
}

// shape is a kind of call.
type shape struct {
	service, method, path, class string
	idempotent, opaque           bool
	deadline                     time.Duration
}

var shapes = []shape{
	{"bench", http.MethodGet, "/bench/lookups/%d", "urgent", true, false, 2 * time.Second},
	{"bench", http.MethodGet, "/bench/plain/%d", "ordinary", true, true, 5 * time.Second},
	{"bench", http.MethodPost, "/bench/orders/%d", "ordinary", false, false, 5 * time.Second},
	{"bench", http.MethodPost, "/bench/orders/opaque-%d", "ordinary", false, true, 5 * time.Second},
	{"photos", http.MethodGet, "/archive/%d", "bulk", true, false, 20 * time.Second},
}

// run sends calls at a rate until ctx ends, and waits for their answers.
func (c *callers) run(ctx context.Context, rate float64) {
	rng := rand.New(rand.NewPCG(c.seed, 3)) //nolint:gosec // a repeatable load
	open := make(chan struct{}, maxOpen)
	burst := 0
	for n := 1; ; n++ {
		if burst > 0 {
			burst--
		} else if pause.Sleep(ctx, time.Duration(rng.ExpFloat64()/rate*float64(time.Second))) != nil {
			break
		}
		if burst == 0 && rng.IntN(burstEvery) == 0 {
			burst = burstCalls
		}
		s, number := shapes[rng.IntN(4)], n
		if rng.IntN(25) == 0 {
			s = shapes[4]
		}
		bytes := int64(-1)
		path := fmt.Sprintf(s.path, number)
		if s.service == "photos" {
			bytes = int64(20_000 + number) // a length of its own shows a crossed answer
			if rng.IntN(10) == 0 {
				bytes = int64(8_000_000 + number)
			}
			path = fmt.Sprintf(s.path+"?n=%d", bytes, number)
		}
		customer := []string{"benches", "desks"}[rng.IntN(2)]
		select {
		case open <- struct{}{}:
		default:
			c.left++
			continue
		}
		c.wait.Go(func() {
			c.call(s, path, bytes, customer)
			<-open
		})
	}
	c.wait.Wait()
	for _, old := range c.old {
		old.Close()
	}
}

// client returns a client for the entries of this moment. The second one starts at another entry.
func (c *callers) client(service string, which int) *client.Client {
	addresses := c.in.CallerAddresses()
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := strings.Join(addresses, ","); known != c.known {
		c.known, c.clients = known, map[string][]*client.Client{}
		for _, name := range []string{"bench", "photos"} {
			for i := range 2 {
				half := i * len(addresses) / 2
				from := slices.Concat(addresses[half:], addresses[:half])
				made, err := client.New(client.Settings{
					Entries: from, Service: name, AllDataCentres: true, BufferBytes: echoLimit, Transport: &watching{
						Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}, rec: c.rec,
					},
				})
				if err != nil {
					continue // the settings are constant
				}
				c.clients[name], c.old = append(c.clients[name], made), append(c.old, made)
			}
		}
	}
	return c.clients[service][which%2]
}

// call sends a call and resends it after a failure. A resend of an idempotent call is a call of its own; one of another
// call keeps the request ID, goes through the same and other entries in turn, and its last answer counts.
func (c *callers) call(s shape, path string, bytes int64, customer string) {
	request := client.Call{Method: s.method, Path: path, Class: s.class, Customer: customer, Idempotent: &s.idempotent, Deadline: s.deadline}
	if !s.idempotent {
		request.Body = []byte("order " + path)
	}
	if s.opaque {
		request.RequestID = fmt.Sprintf("soak-%d-%s", c.seed, strings.ReplaceAll(path, "/", "-"))
	}
	first := ""
	for i := 0; ; i++ {
		record := c.send(request, s.service, i, bytes)
		record.First = first
		again := i < resends && (record.Outcome == client.Unknown || record.Outcome == client.NotRun && s.idempotent)
		if again && !s.idempotent && record.RequestID == "" {
			again = false
		}
		if s.idempotent || !again {
			c.rec.add(func(r *Records) { r.Calls = append(r.Calls, record) })
		}
		if !again {
			return
		}
		time.Sleep(resendPause)
		if s.idempotent {
			mark := "?"
			if strings.Contains(path, "?") {
				mark = "&"
			}
			request.Path = fmt.Sprintf("%s%sagain=%d", path, mark, i+1)
			continue
		}
		if first == "" {
			first = record.Reason
		}
		request.RequestID, request.Resend = record.RequestID, true
	}
}

// send sends once through the client library, which may make several attempts.
func (c *callers) send(request client.Call, service string, which int, bytes int64) Call {
	record := Call{URI: request.Path, Idempotent: *request.Idempotent, Sent: time.Now(), WantBytes: bytes}
	record.Deadline = record.Sent.Add(request.Deadline)
	ctx, cancel := context.WithDeadline(context.Background(), record.Deadline)
	defer cancel()
	r, err := c.client(service, which).Do(ctx, request)
	if err != nil {
		record.Outcome, record.Reason, record.Answered = client.NotRun, err.Error(), time.Now()
		return record
	}
	record.RequestID, record.Outcome, record.Status, record.Reason = r.RequestID, r.Outcome, r.Status, r.Reason
	record.read(r)
	record.Answered = time.Now()
	return record
}

// read reads the body of an answer.
func (c *Call) read(r *client.Result) {
	defer r.Body.Close() //nolint:errcheck // read to the end or given up
	if r.Outcome != client.Done || r.Status != http.StatusOK {
		_, err := io.Copy(io.Discard, r.Body)
		c.Whole = err == nil
		return
	}
	if c.WantBytes >= 0 {
		count := &counter{r: r.Body}
		err := emulator.CheckArchive(count, c.WantBytes)
		c.BodyBytes, c.Whole = count.n, count.err == nil || errors.Is(count.err, io.EOF)
		c.Wrong = err != nil && c.BodyBytes == c.WantBytes
		return
	}
	data, err := r.ReadAll()
	c.Whole, c.BodyBytes = err == nil, int64(len(data))
	fields := strings.Fields(string(bytes.TrimSuffix(data, []byte("\n"))))
	if !bytes.HasSuffix(data, []byte("\n")) || len(fields) < 2 {
		return
	}
	c.BodyFor = fields[len(fields)-1]
	path, query, _ := strings.Cut(c.URI, "?")
	idFits := len(fields) < 3 || c.RequestID == "" || fields[0] == c.RequestID
	if c.BodyFor == path && idFits {
		c.BodyFor = c.URI
	} else if query != "" || !idFits {
		c.BodyFor = string(data)
	}
}

// counter counts what is read, and keeps the error that ended it.
type counter struct {
	r   io.Reader
	n   int64
	err error
}

// Read implements io.Reader.
func (c *counter) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	if err != nil {
		c.err = err
	}
	return n, err
}

// watching records the connections to entries that were lost after the request was sent.
type watching struct {
	*http.Transport
	rec *recorder
}

// RoundTrip implements http.RoundTripper.
func (w *watching) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := w.Transport.RoundTrip(r)
	if err != nil {
		w.lost(r, err)
		return nil, err
	}
	resp.Body = &watchedBody{ReadCloser: resp.Body, lost: func(err error) { w.lost(r, err) }}
	return resp, nil
}

// lost records a lost connection, unless the caller gave up or there was no connection.
func (w *watching) lost(r *http.Request, err error) {
	var op *net.OpError
	dial := errors.As(err, &op) && op.Op == "dial"
	by, limited := r.Context().Deadline()
	if dial || r.Context().Err() != nil || limited && time.Until(by) < resendPause {
		return
	}
	w.rec.add(func(rec *Records) { rec.Cuts = append(rec.Cuts, Cut{r.URL.Host, r.URL.RequestURI(), time.Now()}) })
}

type watchedBody struct {
	io.ReadCloser
	lost func(error)
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, http.ErrBodyReadAfterClose) {
		b.lost(err)
	}
	return n, err
}
