// Package logservice is the client side of the two platform services that keep durable state: an append-only log with
// offsets, and a list of live and leaving hosts that lags behind. Both are reached over HTTP with JSON bodies.
//
//	POST /v1/log/records                    body: the record; answer {"offset":n}
//	GET  /v1/log/records?from=&max=&waitMs= answer {"entries":[{"offset":n,"timeMs":n,"data":"base64"}]}
//	GET  /v1/hosts                          answer {"hosts":[...]}
//
// Errors that a caller decides on are typed: ErrUnknownOutcome, ErrUnavailable, ErrTooLarge, ErrExpired and
// ErrRateLimited.
package logservice
