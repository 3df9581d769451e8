// Package client calls services through entries.
//
// A Client asks any of several entries for the addresses of one service, keeps the answer for the time that it states,
// spreads calls over the addresses, and resends failed calls as far as that is safe:
//
//   - An idempotent call is sent to another address after a lost connection, a silent entry or an outcome "unknown".
//   - Any other call carries a request ID that names the entry which may start it. After a failure it is resent with the
//     same ID only. A new ID is used only when no byte of the call was sent, or the entry says that it was not run.
//   - A refusal with Retry-After is resent after that time, if the deadline allows it.
//   - A response with Boragehinge-Retried is final, because an entry has retried already. So is one for a customer's limit
//     or an invalid request.
//
// Do returns a Result with one of three outcomes: Done, NotRun and Unknown. NotRun is reported only when all attempts
// are proved not run.
package client
