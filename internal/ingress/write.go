package ingress

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"boragehinge.example/boragehinge/internal/transport"
)

// maxJoinedBody is the size in bytes up to which a body is copied behind the header, to write both in one buffer.
const maxJoinedBody = 8 << 10

// copyBufferSize is the size in bytes of the buffer for streaming a response.
const copyBufferSize = 32 << 10

// write writes to the caller and counts the bytes.
func (c *conn) write(p []byte) (int, error) {
	n, err := c.nc.Write(p)
	c.s.opts.Traffic.Sent(int64(n))
	return n, err
}

// writeContinue sends the interim response 100 Continue, after the responses to the previous requests of the connection.
func (x *exchange) writeContinue() {
	<-x.previousDone
	_, _ = x.conn.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // reading the body reports a broken connection
}

// localReply sends a response that this entry generates itself. closeConn closes the connection after it.
func (x *exchange) localReply(status int, retryAfter time.Duration, closeConn bool, reason string) {
	x.recordUnserved(strconv.Itoa(status), reason)
	x.s.opts.Metrics.responses.WithLabelValues(strconv.Itoa(status)).Inc()
	<-x.previousDone
	b := make([]byte, 0, 256)
	b = appendStatus(b, status)
	if x.id != "" {
		b = append(b, x.s.opts.Names.RequestID...)
		b = append(b, ": "...)
		b = append(b, x.id...)
		b = append(b, "\r\n"...)
	}
	if retryAfter > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, retryAfter.Seconds(), 'f', 3, 64)
		b = append(b, "\r\n"...)
	}
	unread := x.streamed != nil && !x.streamed.complete()
	if x.conn.decideClose(x.number, x.req.Close, closeConn || unread) {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "Content-Length: 0\r\n\r\n"...)
	x.writeLocalReply(b)
}

func appendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	return append(b, "\r\n"...)
}

func (x *exchange) writeLocalReply(b []byte) {
	x.beforeWrite()
	if _, err := x.conn.write(b); err != nil {
		x.conn.abort()
	}
}

// writeResponse forwards the response of an upstream. bodyStart is the part of the body that was buffered, rest the
// remainder of a large body, or nil. On an error the caller did not get the whole response: all requests of its connection are
// cancelled, and it is closed.
func (x *exchange) writeResponse(resp *transport.Response, bodyStart []byte, rest io.Reader) error {
	x.s.opts.Metrics.responses.WithLabelValues(strconv.Itoa(resp.StatusCode)).Inc()
	x.s.opts.Metrics.latency.Observe(time.Since(x.arrived).Seconds())
	<-x.previousDone
	chunked := rest != nil && resp.ContentLength < 0
	b := x.responseHeader(resp, int64(len(bodyStart)), rest != nil, chunked)
	x.beforeWrite()
	if rest == nil {
		if err := x.writeWhole(b, bodyStart); err != nil {
			x.conn.abort()
			return fmt.Errorf("write to the caller: %w", err)
		}
		x.conn.wrote(len(bodyStart))
		return nil
	}
	defer x.conn.wrote(maxBufferedResponse)
	if err := x.streamResponse(b, bodyStart, rest, chunked); err != nil {
		x.conn.abort()
		return err
	}
	return nil
}

func (x *exchange) responseHeader(resp *transport.Response, length int64, streaming, chunked bool) []byte {
	b := appendStatus(make([]byte, 0, 512+int(min(length, maxJoinedBody))), resp.StatusCode)
	removeHopByHopHeaders(resp.Header)
	delete(resp.Header, "Content-Length")
	for name, values := range resp.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	switch {
	case chunked:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case streaming || x.req.Method == http.MethodHead:
		b = appendLength(b, max(0, resp.ContentLength))
	default:
		b = appendLength(b, length)
	}
	unread := x.streamed != nil && !x.streamed.complete()
	if x.conn.decideClose(x.number, x.req.Close, unread) {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}

func appendLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

// writeWhole writes a response that was read in full. A large body isn't copied behind the header.
func (x *exchange) writeWhole(header, body []byte) error {
	if len(body) <= maxJoinedBody {
		_, err := x.conn.write(append(header, body...))
		return err
	}
	parts := net.Buffers{header, body}
	n, err := parts.WriteTo(x.conn.nc)
	x.s.opts.Traffic.Sent(n)
	return err
}

func (x *exchange) streamResponse(header, bodyStart []byte, rest io.Reader, chunked bool) error {
	if _, err := x.conn.write(header); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	if err := x.writeBodyPart(bodyStart, chunked); err != nil {
		return err
	}
	buf := make([]byte, copyBufferSize)
	for {
		n, err := rest.Read(buf)
		if n > 0 {
			if err := x.writeBodyPart(buf[:n], chunked); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	if chunked {
		if _, err := x.conn.write([]byte("0\r\n\r\n")); err != nil {
			return fmt.Errorf("write to the caller: %w", err)
		}
	}
	return nil
}

func (x *exchange) writeBodyPart(p []byte, chunked bool) error {
	x.beforeWrite()
	if chunked {
		framed := strconv.AppendInt(make([]byte, 0, len(p)+16), int64(len(p)), 16)
		framed = append(framed, "\r\n"...)
		framed = append(framed, p...)
		framed = append(framed, "\r\n"...)
		p = framed
	}
	if _, err := x.conn.write(p); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	return nil
}
