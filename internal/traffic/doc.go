// Package traffic counts the bytes that an entry receives and sends on the connections of callers and upstreams.
package traffic
