// Package wire holds the messages between entries, generated from schema/messages.schema.json, and their CBOR codec.
package wire
