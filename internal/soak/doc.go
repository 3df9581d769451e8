// Package soak runs a whole installation in one process under injected faults, and judges from records whether the
// guarantees of the design page held.
//
//   - plan.go: which fault begins when, for how long and where, from a seed alone.
//   - inject.go, centres.go, links.go: begin and end the faults.
//   - callers.go: send calls and record their answers.
//   - record.go: what upstreams, callers and the run record.
//   - check.go, checkworld.go: the verdicts, a pure function of the records.
//
// The schedule repeats for a seed; the interleaving of calls doesn't. A killed entry loses its calls, but the process
// still tells its peers goodbye, so that the detection of silent peers is covered only by cut links. A cut
// link breaks the connections that others opened to an entry; those that the entry opened itself stay.
package soak
