package ingress

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"boragehinge.example/boragehinge/internal/transport"
)

// copyBuffer is the size of the pieces of a response that is passed on while it arrives.
const copyBuffer = 32 << 10

// writeContinue tells the caller to send the body. Responses that come before it in the connection's order go first.
func (x *exchange) writeContinue() {
	<-x.turn
	_, _ = x.conn.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // a broken connection shows when the body is read
}

// answer sends a response of this entry's own. closes ends the connection after it.
func (x *exchange) answer(status int, retryAfter time.Duration, closes bool, reason string) {
	x.note(strconv.Itoa(status), reason)
	x.s.o.Metrics.responses.WithLabelValues(strconv.Itoa(status)).Inc()
	<-x.turn
	b := make([]byte, 0, 256)
	b = appendStatus(b, status)
	if x.id != "" {
		b = append(b, x.s.o.Names.RequestID...)
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
	if x.conn.finishes(x.number, closes || x.req.Close || unread) {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "Content-Length: 0\r\n\r\n"...)
	x.writeAnswer(b)
}

func appendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	return append(b, "\r\n"...)
}

func (x *exchange) writeAnswer(b []byte) {
	_ = x.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := x.conn.nc.Write(b); err != nil {
		x.conn.cancel()
	}
}

// write passes on the response of an upstream: head is the part that was read, rest the remainder of a large body. An
// error means that the caller did not get the whole response; its connection is closed then.
func (x *exchange) write(resp *transport.Response, head []byte, rest io.Reader) error {
	x.s.o.Metrics.responses.WithLabelValues(strconv.Itoa(resp.StatusCode)).Inc()
	x.s.o.Metrics.latency.Observe(time.Since(x.arrived).Seconds())
	<-x.turn
	chunked := rest != nil && resp.ContentLength < 0
	b := x.responseHeader(resp, int64(len(head)), rest != nil, chunked)
	_ = x.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if rest == nil {
		b = append(b, head...)
		if _, err := x.conn.nc.Write(b); err != nil {
			x.conn.cancel()
			return fmt.Errorf("write to the caller: %w", err)
		}
		return nil
	}
	if err := x.stream(b, head, rest, chunked); err != nil {
		// The length that was announced isn't reached, so the caller sees that the response is cut short.
		x.conn.finishes(x.number, true)
		x.conn.cancel()
		_ = x.conn.nc.Close()
		return err
	}
	return nil
}

func (x *exchange) responseHeader(resp *transport.Response, length int64, streams, chunked bool) []byte {
	b := appendStatus(make([]byte, 0, 512+int(min(length, bufferedResponse))), resp.StatusCode)
	dropConnectionHeaders(resp.Header)
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
	case streams || x.req.Method == http.MethodHead:
		b = appendLength(b, max(0, resp.ContentLength))
	default:
		b = appendLength(b, length)
	}
	unread := x.streamed != nil && !x.streamed.complete()
	if x.conn.finishes(x.number, x.req.Close || unread) {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}

func appendLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

func (x *exchange) stream(header, head []byte, rest io.Reader, chunked bool) error {
	if _, err := x.conn.nc.Write(header); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	if err := x.writePiece(head, chunked); err != nil {
		return err
	}
	buf := make([]byte, copyBuffer)
	for {
		n, err := rest.Read(buf)
		if n > 0 {
			if err := x.writePiece(buf[:n], chunked); err != nil {
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
		if _, err := x.conn.nc.Write([]byte("0\r\n\r\n")); err != nil {
			return fmt.Errorf("write to the caller: %w", err)
		}
	}
	return nil
}

func (x *exchange) writePiece(p []byte, chunked bool) error {
	_ = x.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if chunked {
		framed := strconv.AppendInt(make([]byte, 0, len(p)+16), int64(len(p)), 16)
		framed = append(framed, "\r\n"...)
		framed = append(framed, p...)
		framed = append(framed, "\r\n"...)
		p = framed
	}
	if _, err := x.conn.nc.Write(p); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	return nil
}
