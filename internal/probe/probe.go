// Package probe asks upstreams for their health and load over a connection of its own, many times per second.
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
)

const (
	dialTimeout = 250 * time.Millisecond
	// answerTimeout is long against the answer of a busy upstream, and short against the service time lost on a dead one.
	answerTimeout = 250 * time.Millisecond
	// retryInterval lies between attempts to reach an upstream that doesn't answer.
	retryInterval = 100 * time.Millisecond
	maxBody       = 64 << 10
)

// Prober probes upstreams.
type Prober struct {
	Headers headers.Names
	// Interval returns the time between two probes of an upstream. It is asked before each pause.
	Interval func() time.Duration
}

// Run probes one upstream until ctx ends and reports each result.
func (p *Prober) Run(ctx context.Context, target coordinator.ProbeTarget, report func(placement.Probe)) {
	r := &run{p: p, target: target, request: fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target.HealthPath, target.Address)}
	defer r.close()
	for ctx.Err() == nil {
		result, err := r.probe(ctx)
		if ctx.Err() != nil {
			return
		}
		wait := p.Interval()
		if err != nil {
			r.close()
			// A kept connection may have been closed or forgotten, so only a new one shows that the upstream is gone.
			if !r.fresh {
				r.fresh = true
				continue
			}
			wait = retryInterval
		}
		r.fresh = err != nil
		report(result)
		pause.For(ctx, wait*9/10+rand.N(wait/5+1)) //nolint:gosec // spreads probes
	}
}

type run struct {
	p       *Prober
	target  coordinator.ProbeTarget
	request []byte
	conn    net.Conn
	br      *bufio.Reader
	fresh   bool // the next connection is the first after a failure
}

func (r *run) close() {
	if r.conn != nil {
		_ = r.conn.Close() // nothing is left to be sent
		r.conn = nil
	}
}

func (r *run) probe(ctx context.Context) (placement.Probe, error) {
	result := placement.Probe{Upstream: r.target.ID}
	if r.conn == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", r.target.Address)
		if err != nil {
			return result, fmt.Errorf("probe: %w", err)
		}
		r.conn, r.br, r.fresh = conn, bufio.NewReaderSize(conn, 1<<10), true
	}
	if err := r.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return result, fmt.Errorf("probe: %w", err)
	}
	if _, err := r.conn.Write(r.request); err != nil {
		return result, fmt.Errorf("probe: %w", err)
	}
	return result, r.read(&result)
}

var errMalformed = errors.New("malformed health response")

// read parses the response. It looks only at the headers that it needs, because probes are the most frequent exchange.
func (r *run) read(result *placement.Probe) error {
	status, err := r.line()
	if err != nil {
		return err
	}
	if len(status) < 12 || !bytes.HasPrefix(status, []byte("HTTP/1.1 ")) {
		return errMalformed
	}
	result.Answered = true
	result.Healthy = string(status[9:12]) == "200"
	length, keep := int64(0), true
	for {
		line, err := r.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			break
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			return errMalformed
		}
		value = bytes.TrimSpace(value)
		switch {
		case equalName(name, r.p.Headers.InstanceID):
			result.WrongInstance = string(value) != r.target.ID
		case equalName(name, r.p.Headers.Load):
			result.Load = r.p.Headers.ParseLoad(string(value))
		case equalName(name, r.p.Headers.ColdMs):
			if ms, err := strconv.ParseFloat(string(value), 64); err == nil && ms > 0 {
				result.ColdLeft = time.Duration(ms * float64(time.Millisecond))
			}
		case equalName(name, "Content-Length"):
			if length, err = strconv.ParseInt(string(value), 10, 64); err != nil {
				return errMalformed
			}
		case equalName(name, "Connection"):
			keep = !bytes.EqualFold(value, []byte("close"))
		case equalName(name, "Transfer-Encoding"):
			keep = false
		}
	}
	if length < 0 || length > maxBody {
		keep = false
	} else if _, err := r.br.Discard(int(length)); err != nil {
		keep = false
	}
	if !keep || r.br.Buffered() > 0 {
		r.close()
	}
	return nil
}

func equalName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

func (r *run) line() ([]byte, error) {
	line, err := r.br.ReadSlice('\n')
	if err != nil {
		return nil, fmt.Errorf("probe: %w", err)
	}
	return bytes.TrimRight(line, "\r\n"), nil
}
