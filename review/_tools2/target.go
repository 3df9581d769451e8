package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"boragehinge.example/boragehinge/platform/standin"
)

// run is a request that a target began to work on.
type run struct {
	id, path     string
	began, ended time.Time
	abandoned    bool // the connection closed during the work
}

// target is an upstream that follows PROTOCOL.md: it works on as many requests as it has slots, turns others away with 503 and
// X-Boragehinge-Not-Run, and drops a request when its connection closes.
type target struct {
	w                          *world
	id, service, zone, version string
	slots                      int
	listener                   net.Listener
	born                       int64
	cancel                     context.CancelFunc

	mu      sync.Mutex
	running int
	seq     int
	state   string
	headers string // further header lines of all answers
	runs    []*run
	conns   map[net.Conn]struct{}
}

// startTarget starts a target that registers itself in the store.
func (w *world) startTarget(id, service, zone string, slots int) (*target, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.network, 200))
	if err != nil {
		return nil, err
	}
	t := &target{w: w, id: id, service: service, zone: zone, version: "v1", slots: slots, listener: l, born: time.Now().UnixMilli(), state: "ready", conns: map[net.Conn]struct{}{}}
	var ctx context.Context
	ctx, t.cancel = context.WithCancel(context.Background())
	go t.accept()
	go t.beat(ctx)
	w.mu.Lock()
	w.targets = append(w.targets, t)
	w.mu.Unlock()
	return t, nil
}

// register writes the target's entry.
func (t *target) register() {
	t.mu.Lock()
	t.seq++
	record := fmt.Appendf(nil, `{"address":%q,"born":%d,"info":{"service":%q,"version":%q,"zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"coldLeft":"0ms"}}`,
		t.listener.Addr().String(), t.born, t.service, t.version, t.zone, t.slots, t.state, t.seq)
	t.mu.Unlock()
	t.w.store.Put(standin.Upstreams, t.id, record)
}

func (t *target) beat(ctx context.Context) {
	for ctx.Err() == nil {
		t.register()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (t *target) stop() {
	t.cancel()
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close()
	}
}

func (t *target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[c] = struct{}{}
		t.mu.Unlock()
		go t.serve(c)
	}
}

func (t *target) serve(c net.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if !t.handle(c, br, req) {
			return
		}
	}
}

func (t *target) handle(c net.Conn, br *bufio.Reader, req *http.Request) (keep bool) {
	id := req.Header.Get("X-Boragehinge-Request-Id")
	t.mu.Lock()
	head := fmt.Sprintf("X-Boragehinge-Instance-Id: %s\r\nX-Boragehinge-Server-Load: %d,0,%d,100\r\n%s", t.id, t.running, t.slots, t.headers)
	full := t.running >= t.slots
	state := t.state
	t.mu.Unlock()
	if id != "" {
		head += "X-Boragehinge-Request-Id: " + id + "\r\n"
	}
	if req.URL.Path == "/health" {
		status := "200 OK"
		if state != "ready" {
			status = "503 Service Unavailable"
		}
		return send(c, "HTTP/1.1 "+status+"\r\n"+head+"Content-Length: 2\r\n\r\nok")
	}
	if expected := req.Header.Get("X-Boragehinge-Expect-Instance"); expected != "" && expected != t.id {
		return send(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"X-Boragehinge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	t.mu.Lock()
	if full {
		t.mu.Unlock()
		return send(c, "HTTP/1.1 503 Service Unavailable\r\n"+head+"X-Boragehinge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	r := &run{id: id, path: req.URL.Path, began: time.Now()}
	t.runs = append(t.runs, r)
	t.running++
	t.mu.Unlock()
	t.w.note("target %s runs %s %s", t.id, id, req.URL.Path)
	work, err := strconv.Atoi(req.URL.Query().Get("ms"))
	if err != nil {
		work = 20
	}
	closed := waitOrClosed(c, br, time.Duration(work)*time.Millisecond)
	t.mu.Lock()
	t.running--
	r.ended, r.abandoned = time.Now(), closed
	t.mu.Unlock()
	if closed {
		t.w.note("target %s drops %s: its connection closed", t.id, id)
		return false
	}
	body := "served by " + t.id
	return send(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Boragehinge-Server-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", head, t.id, id, len(body), body))
}

// waitOrClosed waits for d, and reports whether the connection closed meanwhile.
func waitOrClosed(c net.Conn, br *bufio.Reader, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := br.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	netErr, ok := err.(net.Error)
	return err != nil && !(ok && netErr.Timeout())
}

func send(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// allRuns returns the runs of all targets.
func (w *world) allRuns() []run {
	w.mu.Lock()
	targets := w.targets
	w.mu.Unlock()
	var out []run
	for _, t := range targets {
		t.mu.Lock()
		for _, r := range t.runs {
			out = append(out, *r)
		}
		t.mu.Unlock()
	}
	return out
}
