// Package cluster joins the membership table, the facts and the mesh of one entry.
//
// Core holds the decisions: what to send at each tick and how to take each message. It is pure and not safe for
// concurrent use. Node runs a Core over a peer.Mesh; its methods are safe for concurrent use, and View is free of locks.
package cluster
