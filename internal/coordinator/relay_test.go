package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/gateway"
)

// refusing is a store that turns this entry away.
type refusing struct{ Store }

func (refusing) Read(context.Context, gateway.Source, int64, time.Duration) (gateway.Batch, []error, error) {
	return gateway.Batch{}, nil, gateway.ErrNotExecuted
}

const nobody = "127.0.0.1:1" // no process listens there

// Guards against reads that stop for a second because others failed, although an entry that works is known; the gap was taken
// for an outage, and upstreams that had left were kept (scale-2 of yeux-sfax, seed 788769276927).
func TestReadsGoOnThroughTheEntryThatWorks(t *testing.T) {
	c := startCluster(t, 2)
	good := c.members[1].node.o.Self.Peer
	peers := []string{nobody}
	r := &relayStore{direct: refusing{}, peers: func() []string { return append([]string(nil), peers...) }, switched: func() {}, log: zerolog.Nop()}
	read := func(source gateway.Source) error {
		_, _, err := r.Read(t.Context(), source, 0, 0)
		return err
	}
	require.Error(t, read(gateway.Operators))
	peers = []string{nobody, good}
	assert.NoError(t, read(gateway.Upstreams), "a failed read of orders says little about the store")
	peers = []string{nobody}
	r.mu.Lock()
	r.askAt = time.Now().Add(time.Hour)
	r.mu.Unlock()
	assert.NoError(t, read(gateway.Upstreams), "the entry that worked is asked again")

	r.via = ""
	require.Error(t, read(gateway.Upstreams))
	peers = []string{good}
	assert.Error(t, read(gateway.Upstreams), "in an outage other entries are asked once a second")
}
