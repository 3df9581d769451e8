package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// newID returns a request id.
func newID() string { return fmt.Sprintf("%016x", 0x5a00000000000000+lastRequest.Add(1)) }

// answer is what a client got; status 0 means that the connection ended without a complete answer.
type answer struct {
	id      string
	status  int
	stamp   string
	sent    time.Time
	at      time.Time
	problem string
	header  http.Header
}

func requestText(method, path, id string, deadline time.Duration, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Boragehinge-Request-Id: %s\r\nX-Boragehinge-Deadline-Ms: %d\r\n%s\r\n",
		method, path, host, id, deadline.Milliseconds(), more)
}

// ask sends one request on a new connection and reads its answer.
func (w *world) ask(address, method, path string, deadline time.Duration, more string) answer {
	return w.askAs(address, answer{id: newID()}, method, path, deadline, more)
}

// askAs does the work of ask for an answer with an id.
func (w *world) askAs(address string, a answer, method, path string, deadline time.Duration, more string) answer {
	a.sent = time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.problem, a.at = err.Error(), time.Now()
		return a
	}
	defer func() { _ = c.Close() }()
	return w.askOn(c, bufio.NewReader(c), a, method, path, deadline, more)
}

// askOn sends one request on an open connection and reads its answer.
func (w *world) askOn(c net.Conn, br *bufio.Reader, a answer, method, path string, deadline time.Duration, more string) answer {
	a.sent = time.Now()
	_ = c.SetDeadline(a.sent.Add(deadline))
	_, err := io.WriteString(c, requestText(method, path, a.id, deadline, more))
	if err == nil {
		a = readAnswer(br, a, method)
	} else {
		a.problem = err.Error()
	}
	a.at = time.Now()
	w.note("client: %s %s to %s, sent %.3f: %d %s %s", a.id, path, c.RemoteAddr(), a.sent.Sub(w.start).Seconds(), a.status, a.stamp, a.problem)
	return a
}

func readAnswer(br *bufio.Reader, a answer, method string) answer {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		a.problem = err.Error()
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		a.problem = err.Error()
		return a
	}
	a.status, a.stamp, a.header = resp.StatusCode, resp.Header.Get("X-Boragehinge-Server-Stamp"), resp.Header
	if id := resp.Header.Get("X-Boragehinge-Request-Id"); id != a.id {
		a.problem = "answer of request " + id
	}
	return a
}
