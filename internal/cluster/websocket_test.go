package cluster

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/facts"
	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/peer"
)

// Guards against nodes that work over the in-memory transport only, and against peers from settings, known by address
// alone, that are linked twice or never become members.
func TestNodesOverWebSocket(t *testing.T) {
	transport := peer.WebSocket{Plaintext: true}
	servers := []*httptest.Server{httptest.NewUnstartedServer(nil), httptest.NewUnstartedServer(nil)}
	ctx, cancel := context.WithCancel(t.Context())
	var nodes []*Node
	done := make(chan struct{}, len(servers))
	for i, s := range servers {
		n := New(Settings{
			Self:       membership.Member{Host: []string{"a", "b"}[i], DataCentre: "dc", PeerAddress: s.Listener.Addr().String()},
			Membership: membership.DefaultConfig(), Facts: facts.DefaultConfig(), Links: peer.Settings{Transport: transport},
			Peers: []string{servers[0].Listener.Addr().String(), servers[1].Listener.Addr().String()},
		})
		nodes = append(nodes, n)
		s.Config.Handler = transport.Handler(n.Mesh())
		s.Start()
		go func() { n.Run(ctx); done <- struct{}{} }()
	}
	for _, n := range nodes {
		require.Eventually(t, func() bool { return len(n.View().Members) == 2 }, 30*time.Second, 10*time.Millisecond)
		require.Equal(t, 1, n.Mesh().Stats().Links)
		require.Zero(t, n.View().ConfirmedUntil, "without a roster, no view is confirmed")
	}
	cancel()
	for range servers {
		<-done
	}
	for i, s := range servers {
		s.Close()
		require.Zero(t, nodes[i].Mesh().Stats().Links)
	}
}
