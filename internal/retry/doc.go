// Package retry decides which failed attempts are tried again, and which calls are hedged.
//
// A retry is made by the ingress nearest to the failing upstream and nowhere else. Decide lets only faults of the
// adjacent hop be retried: attempts proved not run, and lost connections of idempotent calls. A full response is never
// retried, whatever its status, because behind it may be a service whose own calls failed and were retried already;
// this holds the rule also for services that do not pass Boragehinge-Retried on. Each failure that an ingress has
// judged is marked with that header, whether or not a retry was made, and a marked failure is not retried.
//
// Retries draw on a budget per service, hedges on one of their own. Neither is spent on overload of all pools.
//
// Time is an argument; the package starts no goroutine. All types are safe for concurrent use.
package retry
