// Package retry decides which failed attempts are retried and which calls are hedged.
//
// Only the ingress nearest to the failing upstream retries, so that retries don't multiply along a call chain. Decide permits
// retries only for faults of the adjacent hop: attempts that provably did not run, and lost connections of idempotent calls.
// A complete response is never retried, whatever its status, because it may come from a service whose own calls failed and
// were already retried. This covers services that don't forward the Boragehinge-Retried header. An ingress sets that header
// on each failure that it has decided on, whether or not it retried, and a failure with the header is not retried.
//
// Each service has a retry budget, and each service and class a hedge budget. Neither is used while all pools are overloaded.
//
// Time is an argument, and the package starts no goroutine. All types are safe for concurrent use.
package retry
