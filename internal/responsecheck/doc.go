// Package responsecheck detects responses that aren't valid HTTP/1.1 although the parser of net/http accepts them.
//
// A Head checks the lines of a header as they arrive, before they are parsed. It rejects what the parser repairs or ignores, because the
// result isn't what the sender meant: a field name with white space (RFC 9112, section 5.1) loses its meaning, and with it the length of
// the body; a folded line (section 5.2) becomes part of the value before it; and a transfer coding in HTTP/1.0 (section 6.1) is read as
// the body. A RoundTripper does what is possible after the parser. Callers treat a rejected response like a lost one.
//
// The package keeps no state of its own, and a Head belongs to one goroutine.
package responsecheck
