// Package probe sends frequent health probes to upstreams, each over a dedicated persistent connection, and reports their health
// and load.
package probe

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"boragehinge.example/boragehinge/internal/coordinator"
	"boragehinge.example/boragehinge/internal/headers"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/placement"
	"boragehinge.example/boragehinge/internal/responsecheck"
	"boragehinge.example/boragehinge/internal/transport"
)

const (
	dialTimeout = 250 * time.Millisecond
	// responseTimeout is long compared with the response time of a busy upstream, and short compared with the service time that
	// is lost while a dead one goes undetected.
	responseTimeout = 250 * time.Millisecond
	// retryInterval is the time between attempts to reach an upstream that doesn't respond.
	retryInterval = 100 * time.Millisecond
	maxBodyBytes  = 64 << 10
	// maxHeaderBytes bounds what is read of a header without an end.
	maxHeaderBytes = 16 << 10
)

// Prober sends health probes to upstreams.
type Prober struct {
	Headers headers.Names
	// Interval returns the time between two probes of an upstream. It is called after each probe, so the value may change.
	Interval func() time.Duration
	// Soonest returns the shortest time between two probes of an upstream, for probes that are asked for through ProbeTarget.Wake. If it
	// is nil, these come at the usual interval.
	Soonest func() time.Duration
}

// Run probes one upstream until ctx is done and reports each result.
func (prober *Prober) Run(ctx context.Context, target coordinator.ProbeTarget, report func(placement.Probe)) {
	r := &targetProber{prober: prober, target: target, request: fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target.HealthPath, target.Address)}
	defer r.close()
	for ctx.Err() == nil {
		result, err := r.probe(ctx)
		if ctx.Err() != nil {
			return
		}
		wait := prober.Interval()
		if err != nil {
			r.close()
			// A persistent connection may have been closed or dropped, so the upstream counts as unreachable only after a failure on a
			// new connection.
			if !r.newConnection {
				r.newConnection = true
				continue
			}
			wait = retryInterval
		}
		r.newConnection = err != nil
		report(result)
		r.wait(ctx, wait*9/10+rand.N(wait/5+1)) //nolint:gosec // jitter that spreads the probes
	}
}

// wait waits for d, or until a probe is asked for and the last one is long enough ago.
func (r *targetProber) wait(ctx context.Context, d time.Duration) {
	if r.prober.Soonest == nil {
		pause.For(ctx, d)
		return
	}
	began := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.target.Wake:
		pause.For(ctx, min(d, r.prober.Soonest())-time.Since(began))
	}
}

// targetProber probes one upstream.
type targetProber struct {
	prober        *Prober
	target        coordinator.ProbeTarget
	request       []byte
	conn          net.Conn
	reader        *bufio.Reader
	connectedAt   time.Time
	newConnection bool // the connection is new, or the last probe failed
	headerLeft    int  // bytes of the response header that may still be read
}

func (r *targetProber) close() {
	if r.conn != nil {
		_ = r.conn.Close() // no data is pending
		r.conn = nil
	}
}

// probe sends one probe, over the persistent connection if there is one.
func (r *targetProber) probe(ctx context.Context) (placement.Probe, error) {
	result := placement.Probe{Upstream: r.target.ID}
	if r.conn == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", r.target.Address)
		if err != nil {
			return result, fmt.Errorf("probe: %w", err)
		}
		r.conn, r.reader, r.connectedAt, r.newConnection = conn, bufio.NewReaderSize(conn, 1<<10), time.Now(), true
	}
	sent := time.Now()
	if err := r.conn.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return result, fmt.Errorf("probe: %w", err)
	}
	if _, err := r.conn.Write(r.request); err != nil {
		result.ConnReset = r.newConnection && transport.IsReset(err)
		return result, fmt.Errorf("probe: %w", err)
	}
	if err := r.readResponse(&result); err != nil {
		// What was read of a response that breaks off doesn't count.
		return placement.Probe{Upstream: r.target.ID, ConnReset: r.newConnection && !result.Answered && transport.IsReset(err)}, err
	}
	now := time.Now()
	result.Took, result.ConnAge = now.Sub(sent), now.Sub(r.connectedAt)
	return result, nil
}

var (
	errMalformed      = errors.New("malformed health response")
	errHeaderTooLarge = fmt.Errorf("%w: the header is too large", errMalformed)
)

// readResponse parses the response. It only evaluates the headers that it needs, because probes are the most frequent messages.
func (r *targetProber) readResponse(result *placement.Probe) error {
	r.headerLeft = maxHeaderBytes
	if err := r.readStatus(result); err != nil {
		return err
	}
	f := framing{keepAlive: true}
	for {
		line, err := r.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			break
		}
		if err := r.readField(line, result, &f); err != nil {
			return err
		}
	}
	r.skipBody(f)
	return nil
}

func (r *targetProber) readStatus(result *placement.Probe) error {
	status, err := r.line()
	if err != nil {
		return err
	}
	if len(status) < 12 || !bytes.HasPrefix(status, []byte("HTTP/1.1 ")) {
		return errMalformed
	}
	result.Answered = true
	code, _, _ := bytes.Cut(status[9:], []byte(" "))
	result.Healthy = string(code) == "200"
	return nil
}

// framing says where the body of a response ends and whether its connection can be used again.
type framing struct {
	length    int64
	keepAlive bool
}

func (r *targetProber) readField(line []byte, result *placement.Probe, f *framing) error {
	name, value, err := responsecheck.Field(line)
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	value = bytes.TrimSpace(value)
	names := &r.prober.Headers
	switch {
	case equalName(name, names.InstanceID):
		result.WrongInstance = string(value) != r.target.ID
	case equalName(name, names.Load):
		result.Load = names.ParseLoad(string(value))
	case equalName(name, names.ColdMs):
		if ms, err := strconv.ParseFloat(string(value), 64); err == nil && ms > 0 {
			result.ColdLeft = time.Duration(ms * float64(time.Millisecond))
		}
	case equalName(name, names.Leaving):
		result.Leaving = string(value) == headers.LeavingValue
	case equalName(name, names.Limit):
		result.Limit = headers.ParseLimit(string(value))
	case equalName(name, "Content-Length"):
		length, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			return errMalformed
		}
		f.length = length
	case equalName(name, "Connection"):
		f.keepAlive = f.keepAlive && !bytes.EqualFold(value, []byte("close"))
	case equalName(name, "Transfer-Encoding"):
		f.keepAlive = false
	}
	return nil
}

// skipBody discards the body, and closes the connection if it can't be used again.
func (r *targetProber) skipBody(f framing) {
	if f.length < 0 || f.length > maxBodyBytes {
		f.keepAlive = false
	} else if _, err := r.reader.Discard(int(f.length)); err != nil {
		f.keepAlive = false
	}
	if !f.keepAlive || r.reader.Buffered() > 0 {
		r.close()
	}
}

// equalName compares header names.
func equalName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// line reads the next line of the header, without its line end.
func (r *targetProber) line() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if err != nil {
		return nil, fmt.Errorf("probe: %w", err)
	}
	if r.headerLeft -= len(line); r.headerLeft < 0 {
		return nil, errHeaderTooLarge
	}
	return bytes.TrimRight(line, "\r\n"), nil
}
