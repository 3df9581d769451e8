// Package proxy serves the calls of callers and the calls that entries forward to each other.
//
// It contains no policy. The interfaces in decide.go decide which upstream is granted, which request IDs were seen, what
// is retried and which entry owns a pool; package entry implements them. The package itself validates and limits
// requests, removes hop-by-hop headers, streams bodies in both directions in constant memory, propagates deadlines and
// cancellations, and reports the outcome of each call.
//
// The flow of one call: check the headers (check.go), read up to ReplayLimit bytes of the body (replay.go), register
// the request ID (serve.go), then choose a pool, acquire a grant and make the round trip (attempt.go), retry (serve.go) or
// hedge (hedge.go), and copy the response (respond.go).
//
// Invariants:
//
//   - "Not run" is reported only if no byte of the request was written to an upstream, if the upstream says so, or if
//     the owner that received the forward says so. Any other call without a complete response is "outcome unknown".
//   - A response whose body is truncated is aborted: the caller's HTTP/1.1 connection is closed before the last byte or
//     the final chunk, and an HTTP/2 stream is reset.
//   - A registered call continues when its caller disconnects, so that a resend gets its result. Any other call is
//     cancelled, which closes the connection to the upstream.
//   - Request trailers and protocol upgrades aren't passed on. Response trailers are.
//   - A request with both Transfer-Encoding and Content-Length is read as chunked and is framed anew when sent on.
package proxy
