package entry

import (
	"context"
	"net/http"

	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/proxy"
	"boragehinge.example/boragehinge/internal/transport"
)

// upstreams sends requests to upstreams through the transport of the pool that contains the address.
type upstreams struct{ e *Entry }

// RoundTrip implements proxy.RoundTripper.
func (u upstreams) RoundTrip(ctx context.Context, address string, req *http.Request, idempotent bool) (*transport.Response, error) {
	p, ok := u.e.ownership.poolsByAddress.Load(address)
	if !ok {
		if req.Body != nil {
			_ = req.Body.Close()
		}
		return nil, &transport.Error{Kind: transport.NothingWritten, Cause: transport.CauseClosed, Address: address}
	}
	return p.(*ownedPool).transport.RoundTrip(ctx, address, req, idempotent)
}

// peerTransport forwards calls to other entries.
type peerTransport struct{ e *Entry }

// RoundTrip implements proxy.RoundTripper.
func (p peerTransport) RoundTrip(ctx context.Context, address string, req *http.Request, idempotent bool) (*transport.Response, error) {
	if m, ok := p.e.memberByPeerAddress(address); ok {
		p.e.metrics.Forward(m.DataCentre)
	}
	return p.e.peerClient.RoundTrip(ctx, address, req, idempotent)
}

// memberByPeerAddress returns the live member with the given peer port address.
func (e *Entry) memberByPeerAddress(address string) (membership.Member, bool) {
	for _, m := range e.node.View().Members {
		if m.PeerAddress == address {
			return m, true
		}
	}
	return membership.Member{}, false
}

var _ proxy.RoundTripper = upstreams{}
