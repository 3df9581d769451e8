// Package peer keeps the links between entries: authenticated connections that carry frames of internal/wire.
//
// A Mesh keeps a link to each wanted host, dials again with backoff, accepts the links of others and delivers messages
// to a Handler. WebSocket is the transport between processes and MemoryNetwork the one of tests and measurements. All
// exported types are safe for concurrent use.
//
// A frame that is malformed, replayed or from another sender than the link's peer is dropped and counted. A link ends
// when a frame is too long, when its peer is silent for Settings.IdleTimeout, when a write takes longer than
// Settings.WriteTimeout or when its send queue is full; facts are sent again on the link that replaces it.
package peer
