package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// answer is what a caller got for a request.
type answer struct {
	id       string
	entry    *entry
	sent     time.Time
	answered time.Time
	status   int // 0 if the connection ended without a complete answer
	stamp    string
	size     int
	err      error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// caller is a connection to an entry.
type caller struct {
	d     *deployment
	entry *entry
	conn  net.Conn
	br    *bufio.Reader
}

func (d *deployment) dial(e *entry) (*caller, error) {
	c, err := net.DialTimeout("tcp", e.callers(), time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{d, e, c, bufio.NewReaderSize(c, 16<<10)}, nil
}

func (c *caller) close() { _ = c.conn.Close() }

// send writes a request.
func (c *caller) send(id, method, path, body string, deadline time.Duration, lines string) error {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\nX-Boragehinge-Deadline-Ms: %d\r\n%s", method, path, headerID, id, deadline.Milliseconds(), lines)
	if body != "" || method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.d.rec.note("send %s %s %s to %s", id, method, path, c.entry.name)
	_, err := io.WriteString(c.conn, text+"\r\n"+body)
	return err
}

// receive reads the answer to a request.
func (c *caller) receive(id, method string, until time.Time) answer {
	a := answer{id: id, entry: c.entry}
	_ = c.conn.SetReadDeadline(until)
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err == nil {
		defer func() { _ = resp.Body.Close() }() // read to its end
		var data []byte
		data, err = io.ReadAll(resp.Body)
		a.size, a.stamp = len(data), resp.Header.Get(headerStamp)
		if err == nil {
			a.status = resp.StatusCode
			if resp.Close {
				c.close()
			}
		}
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	a.answered, a.err = time.Now(), err
	c.d.rec.note("answer to %s from %s: status %d, %d bytes, stamp %q, error %v", id, c.entry.name, a.status, a.size, a.stamp, err)
	return a
}

// ask sends one request on a new connection and reads its answer.
func (d *deployment) ask(e *entry, id, method, path, body string, deadline time.Duration, lines string) answer {
	sent := time.Now()
	c, err := d.dial(e)
	if err != nil {
		return answer{id: id, entry: e, sent: sent, answered: time.Now(), err: err}
	}
	defer c.close()
	if err := c.send(id, method, path, body, deadline, lines); err != nil {
		return answer{id: id, entry: e, sent: sent, answered: time.Now(), err: err}
	}
	a := c.receive(id, method, sent.Add(deadline))
	a.sent = sent
	return a
}
