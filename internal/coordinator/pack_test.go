package coordinator

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/gateway"
)

// largeConfig is a configuration with the given number of routes.
func largeConfig(routes int) gateway.Batch {
	c := &gateway.Config{Version: 9}
	for i := range routes {
		c.Routes = append(c.Routes, gateway.Route{
			Name: fmt.Sprintf("r-%x", i*7919), Host: fmt.Sprintf("h%d.example", i%7), Prefix: fmt.Sprintf("/p%x/", i*104729),
			Kind: gateway.Safe, Timeout: 3 * time.Second, Objective: 800 * time.Millisecond, Priority: 2, MaxAttempts: 2,
			Parts: []gateway.Part{{Service: "orders", Weight: 1}},
		})
	}
	return gateway.Batch{Source: gateway.Operators, End: 4, Updates: []gateway.Update{{Key: gateway.ConfigKey, Offset: 3, Config: c}}}
}

// Guards against a large configuration that fills the leader's network link: 1204 routes for 470 followers, 20 times the usual
// size (trouble-2 of yeux-sfax-large).
func TestPackedBatches(t *testing.T) {
	batch := largeConfig(1204)
	plain, err := cbor.Marshal(&batch)
	require.NoError(t, err)
	packed, err := packBatch(&batch)
	require.NoError(t, err)
	assert.Less(t, len(packed), len(plain)/3, "of %d bytes", len(plain))
	unpacked, err := unpackBatch(packed)
	require.NoError(t, err)
	assert.Equal(t, batch, unpacked)
}

// Guards against a frame that expands without end, and against damaged frames that are taken for batches.
func TestUnpackRejectsBadBatches(t *testing.T) {
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	require.NoError(t, err)
	zeros := make([]byte, 1<<20)
	for range maxUnpackedBytes>>20 + 1 {
		_, err = w.Write(zeros)
		require.NoError(t, err)
	}
	require.NoError(t, w.Close())
	packed, err := packBatch(&gateway.Batch{Source: gateway.Statuses, End: 3})
	require.NoError(t, err)
	for name, data := range map[string][]byte{"too large": bomb.Bytes(), "cut": packed[:len(packed)/2], "no batch": []byte("no batch")} {
		_, err := unpackBatch(data)
		assert.Error(t, err, name)
	}
}

// Guards against heartbeats that wait behind a large configuration for hundreds of followers, until all of them consider the leader
// lost and read the store themselves.
func TestLargeBatchesAreSpreadOverTime(t *testing.T) {
	p := pacer{bytesPerSecond: 12.5e6}
	const size, followers = 25 << 10, 470
	last := epoch
	for range followers {
		at := p.reserve(epoch, size)
		assert.False(t, at.Before(last))
		last = at
	}
	assert.InDelta(t, float64(size*(followers-1))/12.5e6, last.Sub(epoch).Seconds(), 0.01)
	assert.Equal(t, epoch, p.reserve(epoch, smallBatchBytes), "small batches are not delayed")
	assert.Equal(t, epoch.Add(time.Hour), p.reserve(epoch.Add(time.Hour), size), "the link is free again")
	unlimited := pacer{}
	for range followers {
		assert.Equal(t, epoch, unlimited.reserve(epoch, size))
	}
}

var epoch = time.Unix(1_700_000_000, 0)

// Guards against batches that overtake each other, and against a large batch that delays the other frames of its link.
func TestPackedBatchesKeepTheirOrder(t *testing.T) {
	frames := make(chan *Frame, 64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		link, err := AcceptLink(w, r)
		if err != nil {
			return
		}
		_ = link.Read(r.Context(), func() time.Duration { return time.Minute }, func(f *Frame) { frames <- f })
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	link, err := DialLink(ctx, strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	defer link.Close()
	go func() { _ = link.Write(ctx, func() time.Duration { return time.Minute }) }()

	for i := range 3 {
		packed, err := packBatch(&gateway.Batch{Source: gateway.Operators, End: int64(i)})
		require.NoError(t, err)
		at := time.Now()
		if i == 0 {
			at = at.Add(300 * time.Millisecond)
		}
		link.QueuePacked(scheduled{batch: packed, at: at})
	}
	link.Queue(func(f *Frame) { f.Cancels = []uint64{7} })
	var ends []int64
	cancelled := false
	for len(ends) < 3 {
		f := <-frames
		if len(f.Cancels) > 0 {
			cancelled = true
			assert.Empty(t, ends, "the cancellation doesn't wait for the batches")
		}
		for _, b := range f.Batches {
			ends = append(ends, b.End)
		}
	}
	assert.True(t, cancelled)
	assert.Equal(t, []int64{0, 1, 2}, ends)
}

// Guards against a follower that is shutting down and no longer says that it accepts compressed batches: uncompressed ones would
// overtake those that still wait to be sent.
func TestLeavingFollowerAcceptsPackedBatches(t *testing.T) {
	c := startCluster(t, 2)
	l := c.leader().node.leader
	for _, m := range c.members {
		if m != c.leader() {
			m.node.Leave()
		}
	}
	c.eventually("the leader knows that the follower leaves", 3*time.Second, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for f := range l.followers {
			return f.hello.Leaving
		}
		return false
	})
	for _, f := range l.currentFollowers() {
		assert.True(t, l.acceptsPacked(f))
	}
}
