package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	upstreamSlots = 6
	upstreamQueue = 12 // requests that wait for a slot
	heartbeat     = 1500 * time.Millisecond
)

// upstream is a stand-in of a target. It works on a request for as many milliseconds as the request's query says (ms=N), drops
// it when its connection closes, and answers 504 at the request's deadline. If it is grey, it breaks its answer
// off where the query says cut=1.
type upstream struct {
	w       *world
	service string
	zone    string
	address string

	mu       sync.Mutex
	id       string // new at each start
	starts   int
	born     int64
	seq      int
	up       bool
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	waiting  int
	free     chan struct{} // semaphore of the slots
	grey     bool          // breaks answers off
}

// setGrey makes the upstream break off the answers to requests that say so, while its health check is good.
func (u *upstream) setGrey() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.grey = true
}

func (u *upstream) isGrey() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.grey
}

func (w *world) startUpstream(number int, service, zone string) (*upstream, error) {
	u := &upstream{w: w, service: service, zone: zone}
	l, err := net.Listen("tcp", w.ip(150+number)+":0")
	if err != nil {
		return nil, err
	}
	u.address = l.Addr().String()
	u.start(l, number)
	go u.beat()
	return u, nil
}

// start begins an incarnation of the upstream.
func (u *upstream) start(l net.Listener, number int) {
	u.mu.Lock()
	u.starts++
	u.id, u.born, u.seq, u.up = fmt.Sprintf("i-%02d%02d", number, u.starts), time.Now().UnixMilli(), 0, true
	u.listener, u.conns, u.running, u.waiting = l, map[net.Conn]bool{}, 0, 0
	u.free = make(chan struct{}, upstreamSlots)
	u.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns[c] = true
			u.mu.Unlock()
			go u.serve(c)
		}
	}()
	u.register()
}

// register writes the upstream's record.
func (u *upstream) register() {
	u.mu.Lock()
	u.seq++
	record := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","seq":%d,"coldLeft":"0ms"}}`,
		u.address, u.born, u.service, u.zone, upstreamSlots, u.seq)
	id, up := u.id, u.up
	u.mu.Unlock()
	if up {
		u.w.store.put(upstreams, id, []byte(record))
	}
}

func (u *upstream) beat() {
	for !u.w.ended() {
		time.Sleep(heartbeat)
		u.register()
	}
}

func (u *upstream) serve(c net.Conn) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		answer, keep := u.answer(c, br, req, body)
		if answer == "" {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil || !keep {
			return
		}
	}
}

func (u *upstream) load() string {
	return fmt.Sprintf("X-Boragehinge-Server-Load: %d,%d,%d,100\r\n", u.running, u.waiting, upstreamSlots)
}

// answer handles a request. It returns an empty answer when the connection is to be closed without one.
func (u *upstream) answer(c net.Conn, br *bufio.Reader, req *http.Request, body []byte) (answer string, keep bool) {
	id := req.Header.Get("X-Boragehinge-Request-Id")
	head := "X-Boragehinge-Request-Id: " + id + "\r\n"
	u.mu.Lock()
	self, load, full := u.id, u.load(), u.running >= upstreamSlots && u.waiting >= upstreamQueue
	u.mu.Unlock()
	if req.URL.Path == "/health" {
		return "HTTP/1.1 200 OK\r\nX-Boragehinge-Instance-Id: " + self + "\r\n" + load + "Content-Length: 0\r\n\r\n", true
	}
	notRun := "X-Boragehinge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	if expected := req.Header.Get("X-Boragehinge-Expect-Instance"); expected != "" && expected != self {
		return "HTTP/1.1 421 Misdirected Request\r\n" + head + notRun, true
	}
	if id == "" {
		return "HTTP/1.1 400 Bad Request\r\n" + notRun, true
	}
	if full {
		return "HTTP/1.1 503 Service Unavailable\r\n" + head + load + notRun, true
	}
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.Atoi(req.Header.Get("X-Boragehinge-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	u.mu.Lock()
	u.waiting++
	free := u.free
	u.mu.Unlock()
	free <- struct{}{}
	defer func() { <-free }()
	u.mu.Lock()
	u.waiting--
	u.running++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	u.w.ran(id, self, req.RequestURI)
	work, _ := strconv.Atoi(req.URL.Query().Get("ms"))
	end := time.Now().Add(time.Duration(work) * time.Millisecond)
	status := "200 OK"
	if end.After(deadline) {
		end, status = deadline, "504 Gateway Timeout"
	}
	_ = c.SetReadDeadline(end)
	_, err := br.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if timeout, ok := err.(net.Error); err != nil && (!ok || !timeout.Timeout()) {
		u.w.ranTo(id, self, "connection closed by the entry, work dropped")
		return "", false
	}
	time.Sleep(time.Until(end))
	u.w.ranTo(id, self, status)
	size, _ := strconv.Atoi(req.URL.Query().Get("bytes"))
	payload := fmt.Sprintf("%s %s by %s, %d bytes received", req.Method, req.RequestURI, self, len(body))
	payload += strings.Repeat(".", max(0, size-len(payload)))
	stamp := fmt.Sprintf("X-Boragehinge-Server-Stamp: %s.%s\r\n", self, id)
	u.mu.Lock()
	load = u.load()
	u.mu.Unlock()
	text := fmt.Sprintf("HTTP/1.1 %s\r\n%s%s%sContent-Length: %d\r\n\r\n%s", status, head, stamp, load, len(payload), payload)
	if req.URL.Query().Get("cut") != "" && u.isGrey() {
		u.w.ranTo(id, self, "answer broken off")
		return text[:len(text)*2/3], false
	}
	return text, true
}
