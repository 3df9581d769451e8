// Package ingress is the HTTP/1.1 server for callers: it reads their requests, asks a Placer for an upstream for each, sends
// it there and returns the response.
//
// Pipelined requests of a connection run concurrently and are answered in order. A request that is not idempotent is sent
// to a second upstream only when it is certain that the first did not run it. A local reply with status 503 or 408 means
// that the request has not run; 502 and 504 leave that open. A truncated response never looks complete to the caller. When
// a caller disconnects, its requests are cancelled at the upstreams.
package ingress
