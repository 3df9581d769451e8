// Package proxy handles the calls of callers and the calls that entries forward to each other.
//
// It holds no policy. The interfaces in decide.go say which upstream is granted, which request IDs were seen, what is
// retried and which entry owns a pool; package entry supplies them. What it does itself: validate and limit requests,
// remove hop-by-hop headers, stream both ways in constant memory, pass deadlines and cancellations on, and report an
// outcome that is true.
//
// The flow of one call: check the headers (check.go), read up to ReplayLimit bytes of the body (replay.go), register
// the request ID (serve.go), then choose a pool, take a grant and make the round trip (attempt.go), retry (serve.go) or
// hedge (hedge.go), and copy the response (respond.go).
//
// Rules that the code relies on:
//
//   - "Not run" is reported only if no byte of the request was written to an upstream, if the upstream says so, or if
//     the owner that received the forward says so. Everything else without a complete response is "outcome unknown".
//   - A response whose body ends early is aborted: the caller's HTTP/1.1 connection is closed before the last byte or
//     the final chunk, an HTTP/2 stream is reset.
//   - A registered call continues when its caller leaves, so that a resend gets its result. Any other call is
//     cancelled, which closes the connection to the upstream.
//   - Request trailers and protocol upgrades aren't passed on. Response trailers are.
//   - A request with Transfer-Encoding and Content-Length is read by its chunks and sent with framing of our own.
package proxy
