// Package wire holds the messages between entries, generated from schema/messages.schema.json, and their CBOR codec.
//
// A frame is one CBOR item of at most MaxFrameBytes. Every message is a map with the field names of the schema, but for
// a heartbeat with at most one echo, addressed to its receiver: this message dominates the traffic and travels as an
// array of about 40 bytes. All functions are safe for concurrent use; Sequence is not.
package wire
