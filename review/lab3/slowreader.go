package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slowreaders"] = slowReaders }

// slowReaders: one entry is stopped in order while callers read downloads slowly, within their deadline. The upstreams have sent all they
// had long before.
func slowReaders(rec *recorder, trouble bool) (broken bool, err error) {
	const (
		bodySize = 540_000
		deadline = 5 * time.Second // of the bulk exports
		readFor  = 4600 * time.Millisecond
		sentAt   = 2500 * time.Millisecond // after the signal
		window   = 16 << 10                // of a caller, in bytes
		callers  = 4
	)
	d, err := newDeployment(rec, []route{{name: "exports", prefix: "/exports/", kind: "download", service: "exports", timeout: deadline, slo: 2500 * time.Millisecond, maxAttempts: 2}}, []service{{"exports", 11}})
	if err != nil {
		return false, err
	}
	defer d.close()
	full := strings.Repeat("x", bodySize)
	for i := range 6 {
		t, err := d.addTarget("exports", zones[i%len(zones)], 4, 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		t.answer = func(c *call) bool {
			if tcp, ok := c.conn.(*net.TCPConn); ok {
				_ = tcp.SetWriteBuffer(2 << 20)
			}
			keep := c.succeed(full)
			c.run.ended = time.Now()
			rec.note("%s has sent the whole answer to %s", c.t.id, c.run.id)
			return keep
		}
	}
	if err := d.startEntries(3); err != nil {
		return false, err
	}
	e := d.entries[1]
	var conns []*caller
	for range callers {
		c, err := d.dial(e)
		if err != nil {
			return false, err
		}
		defer c.close()
		if tcp, ok := c.conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(window)
		}
		id := newID()
		if err := c.send(id, http.MethodGet, "/exports/warm", "", deadline, ""); err != nil {
			return false, err
		}
		if a := c.receive(id, http.MethodGet, time.Now().Add(deadline)); a.status != http.StatusOK {
			return false, fmt.Errorf("no service: status %d, %w", a.status, errNotRun)
		}
		conns = append(conns, c)
	}
	signalled := time.Now()
	if trouble {
		e.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(signalled.Add(sentAt)))
	var mu sync.Mutex
	lost := 0
	var running sync.WaitGroup
	for _, c := range conns {
		running.Go(func() {
			id, sent := newID(), time.Now()
			if err := c.send(id, http.MethodGet, "/exports/"+id, "", deadline, ""); err != nil {
				rec.say("send %s: %v", id, err)
				return
			}
			status, n, err := readSlowly(c.br, bodySize, readFor)
			took := time.Since(sent)
			rec.say("%s: status %d, %d of %d bytes after %.2f s, %.2f s after the signal: %v", id, status, n, bodySize, took.Seconds(), time.Since(signalled).Seconds(), err)
			mu.Lock()
			defer mu.Unlock()
			planned := time.Since(signalled) < grace+time.Second
			if status == http.StatusOK && err != nil && took < deadline && planned {
				for _, r := range d.allRuns() {
					if r.id == id {
						rec.say("%s ran on %s, which had sent the whole answer %.2f s after the signal", id, r.target.id, r.ended.Sub(signalled).Seconds())
						if !r.ended.IsZero() && r.ended.Sub(signalled) < grace*5/6 {
							lost++
						}
					}
				}
			}
		})
	}
	running.Wait()
	rec.say("%d of %d answers were cut", lost, callers)
	return lost > 0, nil
}

// readSlowly reads a response at an even pace.
func readSlowly(br *bufio.Reader, size int, d time.Duration) (status, n int, err error) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }() // its connection is closed by the caller
	const steps = 100
	buf := make([]byte, size/steps)
	began := time.Now()
	for {
		k, err := io.ReadFull(resp.Body, buf)
		n += k
		if err == io.EOF || err == io.ErrUnexpectedEOF && n == size {
			return resp.StatusCode, n, nil
		}
		if err != nil {
			return resp.StatusCode, n, err
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(d) * float64(n) / float64(size)))))
	}
}
