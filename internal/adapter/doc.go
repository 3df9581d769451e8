// Package adapter maps the types of package proxy to the types of packages dispatch and idempotency, and back.
//
// Package proxy doesn't depend on these packages, nor they on it or on package transport. Code that connects them uses
// the functions here, so that each mapping exists once. All functions are free of side effects.
package adapter
