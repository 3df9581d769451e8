// Package transport carries requests to the upstreams of one pool over HTTP/1.1.
//
// It keeps its own connections on top of net.Conn and uses net/http only to encode requests and to decode responses.
// http.Transport was considered and not chosen:
//
//   - It resends a request on its own when a reused connection fails: any request when it believes that nothing was
//     written, and GET, HEAD, OPTIONS, TRACE and every request that carries Idempotency-Key or X-Idempotency-Key when
//     the connection broke while waiting for the response (Request.isReplayable, persistConn.shouldRetryRequest).
//     Guarding against this needs a body that can't be rewound and edited headers. Here no such path exists.
//   - It doesn't report how many bytes of a request were written, so "not run" couldn't be proved.
//   - It can't choose a connection by its last response, close the connections of one upstream in bulk, bound the rate
//     of new connections, or tell a connection that went silent from a slow caller.
//
// The cost of the choice is that connection handling is maintained here, including the check for a peer that has
// closed an idle connection.
//
// Cancelling a context closes the connection of the call, because this is the only cancellation HTTP/1.1 offers. The
// replacement is subject to the bounded rate of new connections.
//
// All exported methods are safe for concurrent use.
package transport
