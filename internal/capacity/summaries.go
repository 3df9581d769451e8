package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/cluster"
	"boragehinge.example/boragehinge/internal/facts"
	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/peer"
	"boragehinge.example/boragehinge/internal/wire"
)

// joinTime lets the nodes find each other and exchange their lists.
const joinTime = 8 * time.Second

// measureSummaries fits the frames that a node sends to the pools that each node owns and summarises in its digests.
// The nodes use the in-memory network; WebSocket, TLS and TCP come on top.
func measureSummaries(ctx context.Context, o Options, r *Report) error {
	for range o.Repeats {
		for _, nodes := range []int{16, 27, 54} {
			for _, pools := range []int{0, 4, 12} {
				if err := measureNodes(ctx, o, r, nodes, pools); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func measureNodes(ctx context.Context, o Options, r *Report, nodes, pools int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	all := startNodes(ctx, nodes, pools)
	defer all.running.Wait()
	defer cancel()
	time.Sleep(joinTime)
	frames, bytes := all.sent()
	start := time.Now()
	time.Sleep(o.Time)
	framesAfter, bytesAfter := all.sent()
	each := float64(nodes) * time.Since(start).Seconds()
	name := fmt.Sprintf("a node sends, %d nodes, ", nodes)
	r.add("summaries", name+"bytes", "1/s", "pools of each node", float64(pools), float64(bytesAfter-bytes)/each)
	r.add("summaries", name+"messages", "1/s", "pools of each node", float64(pools), float64(framesAfter-frames)/each)
	return ctx.Err()
}

type nodeSet struct {
	nodes   []*cluster.Node
	running sync.WaitGroup
}

func (s *nodeSet) sent() (frames, bytes int64) {
	for _, n := range s.nodes {
		stats := n.Mesh().Stats()
		frames += stats.FramesSent
		bytes += stats.BytesSent
	}
	return frames, bytes
}

func startNodes(ctx context.Context, nodes, pools int) *nodeSet {
	network := peer.NewMemoryNetwork()
	var hosts []membership.Host
	for i := range nodes {
		hosts = append(hosts, membership.Host{Name: fmt.Sprintf("h-%d", i), DataCentre: dataCentreName(i % dataCentres), PeerAddress: fmt.Sprint(i)})
	}
	all := &nodeSet{}
	for _, h := range hosts {
		n := cluster.New(cluster.Settings{
			Self:       membership.Member{Host: h.Name, DataCentre: h.DataCentre, PeerAddress: h.PeerAddress, CallerAddress: "192.0.2.1:8080"},
			Membership: membership.DefaultConfig(), Facts: facts.DefaultConfig(),
			Links:     peer.Settings{Transport: network.Transport(h.PeerAddress)},
			Callbacks: cluster.Callbacks{Pools: func() []wire.PoolSummary { return summaries(h.DataCentre, pools) }},
		})
		n.SetRoster(hosts)
		network.Listen(h.PeerAddress, n.Mesh().Accept)
		all.nodes = append(all.nodes, n)
	}
	for _, n := range all.nodes {
		all.running.Go(func() { n.Run(ctx) })
	}
	return all
}

func summaries(dataCentre string, n int) []wire.PoolSummary {
	var list []wire.PoolSummary
	for i := range n {
		list = append(list, wire.PoolSummary{
			Service: fmt.Sprintf("service-%02d", i%20), DataCentre: dataCentre, Shard: i / 20,
			Slots: ptr(75), InFlight: ptr(60), Queued: ptr(10), ExpectedWaitMicros: ptr(5000),
		})
	}
	return list
}
