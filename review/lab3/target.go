package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	headerID    = "X-Boragehinge-Request-Id"
	headerStamp = "X-Boragehinge-Server-Stamp"
)

// run is a request that a target began to work on.
type run struct {
	id      string
	target  *target
	arrived time.Time
	ended   time.Time // zero while it runs
	left    bool      // its connection was closed during the work
	path    string
	body    string
	answer  string
	work    time.Duration
}

// outlive makes the work of a run take as long as given.
func (r *run) outlive(work time.Duration) {
	r.target.mu.Lock()
	defer r.target.mu.Unlock()
	r.work = work
}

// call is a request that a target handles. The target's behaviour writes the answer, and returns false to close the connection.
type call struct {
	t    *target
	conn net.Conn
	req  *http.Request
	run  *run
}

// target is a stand-in of an upstream. It runs slots requests concurrently and rejects what comes beyond its queue.
type target struct {
	d       *deployment
	id      string
	base    string // of the IDs of its processes
	service string
	version string
	zone    string
	slots   int
	work    time.Duration
	// answer writes the answer of a request after its work; nil answers with success.
	answer func(c *call) (keep bool)
	// begins is called when a request begins to run; optional.
	begins func(r *run)
	// headers returns further header lines of all answers.
	headers func() string

	listener net.Listener
	semaphor chan struct{}

	mu          sync.Mutex
	incarnation int
	born        int64
	seq         int
	coldUntil   time.Time
	dark        chan struct{} // not nil while the machine is silent; closed at the end of that
	running     int
	waiting     int
	conns       map[net.Conn]struct{}
	runs        []*run
	stopped     chan struct{}
}

// addTarget starts a target and registers it.
func (d *deployment) addTarget(service, zone string, slots int, work time.Duration) (*target, error) {
	return d.addTargetOf(service, "v1", zone, slots, work)
}

// addTargetOf starts a target of a version and registers it.
func (d *deployment) addTargetOf(service, version, zone string, slots int, work time.Duration) (*target, error) {
	n := len(d.targets)
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:9000", d.network, 120+n))
	if err != nil {
		return nil, err
	}
	t := &target{
		d: d, id: fmt.Sprintf("i-%s-%02d", service, n), service: service, version: version, zone: zone, slots: slots, work: work, listener: l,
		semaphor: make(chan struct{}, slots), born: time.Now().Add(-time.Hour).UnixMilli(), conns: map[net.Conn]struct{}{}, stopped: make(chan struct{}),
	}
	t.base = t.id
	d.targets = append(d.targets, t)
	go t.accept(l)
	t.register()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				t.register()
			case <-t.stopped:
				return
			}
		}
	}()
	return t, nil
}

func (t *target) register() {
	t.mu.Lock()
	if t.dark != nil {
		t.mu.Unlock()
		return
	}
	t.seq++
	text := fmt.Appendf(nil, `{"address":%q,"born":%d,"info":{"service":%q,"version":%q,"zone":%q,"slots":%d},"status":{"state":"ready","seq":%d,"coldLeft":"%dms"}}`,
		t.listener.Addr().String(), t.born, t.service, t.version, t.zone, t.slots, t.seq, t.coldLeft().Milliseconds())
	t.mu.Unlock()
	t.d.store.put(topicUpstreams, t.id, text)
}

// coldLeft returns how long the target stays cold. The caller holds t.mu.
func (t *target) coldLeft() time.Duration { return max(0, time.Until(t.coldUntil)) }

// turnCold makes the target cold for some time.
func (t *target) turnCold(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldUntil = time.Now().Add(d)
}

func (t *target) stop() {
	close(t.stopped)
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.listener.Close()
	for c := range t.conns {
		_ = c.Close()
	}
}

func (t *target) accept(l net.Listener) {
	for {
		c, err := l.Accept()
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
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) // idle connections are closed after this time
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if t.awaitLight() {
			return
		}
		if !t.handle(c, br, req, string(body)) {
			return
		}
	}
}

func (t *target) handle(c net.Conn, br *bufio.Reader, req *http.Request, body string) bool {
	if req.URL.Path == "/health" {
		return t.answerHealth(c)
	}
	id := req.Header.Get(headerID)
	if id == "" {
		return t.write(c, "400 Bad Request", "X-Boragehinge-Not-Run: 1\r\n", "")
	}
	if expected := req.Header.Get("X-Boragehinge-Expect-Instance"); expected != "" && expected != t.id {
		return t.write(c, "421 Misdirected Request", headerID+": "+id+"\r\nX-Boragehinge-Not-Run: 1\r\n", "")
	}
	t.mu.Lock()
	full := t.waiting >= 2*t.slots
	if !full {
		t.waiting++
	}
	t.mu.Unlock()
	if full {
		t.d.rec.note("%s rejects %s", t.id, id)
		return t.write(c, "503 Service Unavailable", headerID+": "+id+"\r\nX-Boragehinge-Not-Run: 1\r\n"+t.load(), "")
	}
	t.semaphor <- struct{}{}
	t.mu.Lock()
	t.waiting--
	t.running++
	r := &run{id: id, target: t, arrived: time.Now(), path: req.RequestURI, body: body, work: t.work}
	t.runs = append(t.runs, r)
	t.mu.Unlock()
	t.d.rec.note("%s runs %s %s %s", t.id, id, req.Method, req.RequestURI)
	if t.begins != nil {
		t.begins(r)
	}
	left := waitOrLeave(c, br, r.work)
	if t.awaitLight() { // the process has ended meanwhile
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
		<-t.semaphor
		return false
	}
	t.mu.Lock()
	t.running--
	r.ended, r.left = time.Now(), left
	t.mu.Unlock()
	<-t.semaphor
	if left {
		t.d.rec.note("%s drops %s: its connection was closed", t.id, id)
		return false
	}
	if t.answer != nil {
		return t.answer(&call{t, c, req, r})
	}
	return (&call{t, c, req, r}).succeed("done by " + t.id)
}

// waitOrLeave waits for the work and reports whether the connection was closed meanwhile.
func waitOrLeave(c net.Conn, br *bufio.Reader, work time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(work))
	_, err := br.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// load returns the header with the load of the target. The caller doesn't hold t.mu.
func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("X-Boragehinge-Server-Load: %d,%d,%d,100\r\n", t.running, t.waiting, t.slots)
}

func (t *target) answerHealth(c net.Conn) bool {
	t.mu.Lock()
	left := t.coldLeft()
	t.mu.Unlock()
	lines := "X-Boragehinge-Instance-Id: " + t.id + "\r\n" + t.load()
	if left > 0 {
		lines += fmt.Sprintf("X-Boragehinge-Cold-Ms: %d\r\n", left.Milliseconds())
	}
	return t.write(c, "200 OK", lines, "ok")
}

func (t *target) write(c net.Conn, status, lines, body string) bool {
	if t.headers != nil {
		lines += t.headers()
	}
	_, err := io.WriteString(c, fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, lines, len(body), body))
	return err == nil
}

func (c *call) identification() string {
	return headerID + ": " + c.run.id + "\r\n" + headerStamp + ": " + c.t.id + "." + c.run.id + "\r\n" + c.t.load()
}

// succeed answers with success.
func (c *call) succeed(body string) bool { return c.respond("200 OK", body) }

// respond answers with a status.
func (c *call) respond(status, body string) bool {
	c.run.answer = status
	c.t.d.rec.note("%s answers %s with %s", c.t.id, c.run.id, status)
	return c.t.write(c.conn, status, c.identification(), body)
}

// allRuns returns what all targets have run.
func (d *deployment) allRuns() []run {
	var out []run
	for _, t := range d.targets {
		t.mu.Lock()
		for _, r := range t.runs {
			out = append(out, *r)
		}
		t.mu.Unlock()
	}
	return out
}

// awaitLight waits while the machine is silent, and reports whether it was.
func (t *target) awaitLight() bool {
	t.mu.Lock()
	dark := t.dark
	t.mu.Unlock()
	if dark == nil {
		return false
	}
	<-dark
	return true
}

// goDark ends the process: its machine answers nothing, on open and on new connections, for some time. Then a new process starts under
// the same address with a new ID.
func (t *target) goDark(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dark != nil {
		return
	}
	t.dark = make(chan struct{})
	time.AfterFunc(d, func() { t.restart() })
}

// restart starts a new process after goDark.
func (t *target) restart() {
	t.mu.Lock()
	old, dark := t.id, t.dark
	t.incarnation++
	t.id = fmt.Sprintf("%s.%d", t.base, t.incarnation)
	t.born, t.seq, t.dark = time.Now().UnixMilli(), 0, nil
	for c := range t.conns {
		_ = c.Close()
	}
	t.mu.Unlock()
	close(dark)
	t.d.rec.note("%s is back as %s", old, t.id)
	t.d.store.put(topicUpstreams, old, nil)
	t.register()
}

// crash ends the process: its connections are reset, and its address refuses new ones for some time. Then a new process starts there.
func (t *target) crash(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dark != nil {
		return
	}
	t.dark = make(chan struct{})
	address := t.listener.Addr().String()
	_ = t.listener.Close()
	for c := range t.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	time.AfterFunc(d, func() {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.d.rec.say("%s can't listen again: %v", t.id, err)
			return
		}
		t.mu.Lock()
		t.listener = l
		t.mu.Unlock()
		t.restart()
		go t.accept(l)
	})
}
