// Package ingress serves callers: it reads their requests, has each placed on an upstream, sends it there and returns the
// response.
//
// A connection may carry further requests before the first is answered; they run at the same time and are answered in
// order. A request that must not run twice is sent to a second upstream only when it is proved that the first did not run
// it. Status 503 and 408 of this package mean that the request has not run; 502 and 504 promise nothing. A response that
// is cut short never looks complete. When a caller leaves, its request ends at the upstream too.
package ingress
