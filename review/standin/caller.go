package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// directory is the answer of an entry to a caller that asks for addresses.
type directory struct {
	Addresses []string `json:"addresses"`
	TTL       string   `json:"ttl"`
}

// resolve asks an entry for addresses as callers of a zone do.
func (w *world) resolve(e *entry, zone string) (directory, error) {
	var d directory
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s/api/resolve?name=%s&region=region&zone=%s", e.address(e.directory), host, zone))
	if err != nil {
		return d, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return d, fmt.Errorf("status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&d); err != nil {
		return d, err
	}
	if len(d.Addresses) == 0 || d.TTL == "" {
		return d, fmt.Errorf("no addresses")
	}
	return d, nil
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", uint64(0x9c41d07b)<<32|lastID.Add(1)) }

// reply is what a caller sees of one request.
type reply struct {
	id      string
	to      string // address of the entry
	sent    time.Time
	done    time.Time
	status  int // 0 when the connection ended without a complete answer
	stamped bool
	err     error
	close   bool
	written bool // the whole request was written
}

func (r reply) String() string {
	if r.status == 0 {
		return fmt.Sprintf("no complete answer (%v)", r.err)
	}
	stamp := "no stamp"
	if r.stamped {
		stamp = "stamped by its upstream"
	}
	return fmt.Sprintf("%d, %s", r.status, stamp)
}

// callerConn is a connection of a caller to an entry.
type callerConn struct {
	nc net.Conn
	br *bufio.Reader
}

func dialEntry(address string) (*callerConn, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConn{nc, bufio.NewReader(nc)}, nil
}

// do sends a request and waits for its answer until its deadline.
func (c *callerConn) do(method, path, id string, deadline time.Duration, body string) reply {
	r := reply{id: id, to: c.nc.RemoteAddr().String(), sent: time.Now()}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Boragehinge-Request-Id: %s\r\nX-Boragehinge-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.nc.SetDeadline(r.sent.Add(deadline))
	if _, r.err = io.WriteString(c.nc, head+"\r\n"+body); r.err != nil {
		r.done = time.Now()
		return r
	}
	r.written = true
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		r.err, r.done = err, time.Now()
		return r
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		r.err, r.done = err, time.Now()
		return r
	}
	r.status, r.done, r.close = resp.StatusCode, time.Now(), resp.Close
	r.stamped = resp.Header.Get("X-Boragehinge-Server-Stamp") != ""
	return r
}

// usualTraffic is what callers send all the while beside the requests of a case.
type usualTraffic struct {
	w    *world
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	answers map[string]int
}

// startTraffic runs callers, each with one connection at a time, that send a request every interval. They ask for addresses as the
// pages say and keep an answer for its TTL.
func (w *world) startTraffic(callers int, interval time.Duration, method string, path func() string, deadline time.Duration) *usualTraffic {
	t := &usualTraffic{w: w, stop: make(chan struct{}), answers: map[string]int{}}
	for i := range callers {
		t.wg.Add(1)
		go t.call(i, interval, method, path, deadline)
	}
	return t
}

func (t *usualTraffic) call(i int, interval time.Duration, method string, path func() string, deadline time.Duration) {
	defer t.wg.Done()
	time.Sleep(rand.N(interval))
	var known directory
	var until time.Time
	var conn *callerConn
	for {
		select {
		case <-t.stop:
			return
		case <-time.After(interval):
		}
		if time.Now().After(until) {
			for k := range t.w.entries { // up to three entries, the nearest first
				e := t.w.entries[(i+k)%len(t.w.entries)]
				if d, err := t.w.resolve(e, e.zone); err == nil {
					ttl, _ := time.ParseDuration(d.TTL)
					known, until = d, time.Now().Add(ttl)
					break
				}
			}
			if conn != nil && !contains(known.Addresses, conn.nc.RemoteAddr().String()) {
				_ = conn.nc.Close()
				conn = nil
			}
		}
		if len(known.Addresses) == 0 {
			continue
		}
		if conn == nil {
			var err error
			if conn, err = dialEntry(known.Addresses[rand.N(len(known.Addresses))]); err != nil {
				t.count("no connection")
				conn = nil
				continue
			}
		}
		r := conn.do(method, path(), newID(), deadline, "")
		t.count(fmt.Sprint(r.status))
		if r.status == 0 || r.close {
			_ = conn.nc.Close()
			conn = nil
		}
	}
}

func (t *usualTraffic) count(answer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[answer]++
}

func (t *usualTraffic) end() {
	close(t.stop)
	t.wg.Wait()
	t.w.note("usual requests by status (0: no complete answer): %v", t.answers)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
