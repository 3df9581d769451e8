// Package transport carries requests to the upstreams of one pool over HTTP/1.1.
//
// It keeps its own connections on top of net.Conn and uses net/http only to encode requests and to decode responses.
// http.Transport isn't used because:
//
//   - It resends a request on its own when a reused connection fails: any request when it believes that nothing was
//     written, and GET, HEAD, OPTIONS, TRACE and every request that carries Idempotency-Key or X-Idempotency-Key when
//     the connection broke while waiting for the response (Request.isReplayable, persistConn.shouldRetryRequest).
//     Preventing this would require a body that can't be rewound and removing headers. This package never resends.
//   - It doesn't report how many bytes of a request were written, so it can't prove that a request didn't run.
//   - It can't choose a connection by its last response, close the connections of one upstream in bulk, bound the rate
//     of new connections, or distinguish a silent connection from a slow caller.
//
// As a consequence, connection handling is maintained here, including the check for a peer that has closed an idle
// connection.
//
// Headers of responses are checked before net/http parses them, see package responsecheck.
//
// Cancelling a context closes the connection of the call, because HTTP/1.1 has no other way to cancel a request. Its
// replacement is subject to the rate limit for new connections.
//
// All exported methods are safe for concurrent use.
package transport
