package clusterbench

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragehinge.example/boragehinge/internal/cluster"
	"boragehinge.example/boragehinge/internal/facts"
	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/peer"
)

// dataCentres is the number of data centres of the design size, three in each of three regions.
const dataCentres = 9

// relinkTime is the time for links to be chosen and dialled anew after paths were cut or restored: idle timeout and
// backoff.
const relinkTime = 15 * time.Second

// pollInterval bounds the resolution of the measured delays.
const pollInterval = 20 * time.Millisecond

type benchCluster struct {
	network *peer.MemoryNetwork
	nodes   []*cluster.Node
	version []atomic.Int64 // highest configuration version that a node heard of
	pauses  atomic.Int64
	seed    uint64
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newCluster(n int, seed uint64) *benchCluster {
	c := &benchCluster{network: peer.NewMemoryNetwork(), version: make([]atomic.Int64, n), seed: seed}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	var hosts []membership.Host
	for i := range n {
		hosts = append(hosts, membership.Host{Name: "h" + strconv.Itoa(i), DataCentre: "dc" + strconv.Itoa(i%dataCentres),
			PeerAddress: strconv.Itoa(i)})
	}
	for i := range n {
		c.nodes = append(c.nodes, c.newNode(i, hosts[i]))
	}
	for _, node := range c.nodes {
		node.SetRoster(hosts)
		c.network.Listen(node.View().Self.PeerAddress, node.Mesh().Accept)
	}
	for _, node := range c.nodes {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			node.Run(ctx)
		}()
	}
	return c
}

func (c *benchCluster) newNode(i int, h membership.Host) *cluster.Node {
	return cluster.New(cluster.Settings{
		Self:       membership.Member{Host: h.Name, DataCentre: h.DataCentre, PeerAddress: h.PeerAddress, CallerAddress: "192.0.2.1:8080"},
		Membership: membership.DefaultConfig(),
		Facts:      facts.DefaultConfig(),
		Links:      peer.Settings{Transport: c.network.Transport(h.PeerAddress)},
		Callbacks: cluster.Callbacks{
			NewerVersion: func(_ membership.Member, v int) { c.learn(i, v) },
			Changes:      c.countPauses,
		},
	})
}

// learn puts the version in force at once; the transfer of the records isn't part of the measurement.
func (c *benchCluster) learn(i, v int) {
	if c.version[i].Swap(int64(v)) < int64(v) {
		c.nodes[i].SetVersion(v)
	}
}

func (c *benchCluster) countPauses(changes []membership.Change) {
	for _, change := range changes {
		if change.Kind == membership.Paused {
			c.pauses.Add(1)
		}
	}
}

func (c *benchCluster) stop() {
	c.cancel()
	c.running.Wait()
}

// await polls until ok or settleLimit and returns the time that it took.
func (c *benchCluster) await(ok func() bool) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < settleLimit {
		if ok() {
			return time.Since(start), true
		}
		time.Sleep(pollInterval)
	}
	return settleLimit, false
}

func (c *benchCluster) allKnow(n int) bool {
	for _, node := range c.nodes {
		if len(node.View().Members) != n {
			return false
		}
	}
	return true
}

func (c *benchCluster) confirmed() int {
	count := 0
	for _, node := range c.nodes {
		if time.Now().Before(node.View().ConfirmedUntil) {
			count++
		}
	}
	return count
}

func (c *benchCluster) traffic() (frames, bytes int64, perNode []int64) {
	for _, node := range c.nodes {
		s := node.Mesh().Stats()
		frames += s.FramesSent
		bytes += s.BytesSent
		perNode = append(perNode, s.BytesSent)
	}
	return frames, bytes, perNode
}

func (c *benchCluster) linksPerNode() float64 {
	links := 0
	for _, node := range c.nodes {
		links += node.Mesh().Stats().Links
	}
	return float64(links) / float64(len(c.nodes))
}

// pairDown reports whether the path between two hosts is among the share that is down; it is the same both ways.
func (c *benchCluster) pairDown(share float64) func(a, b string) bool {
	return func(a, b string) bool {
		if a > b {
			a, b = b, a
		}
		h := xxhash.Sum64String(fmt.Sprint(c.seed) + "/" + a + "/" + b)
		return float64(h%10000) < share*10000
	}
}

// measureVersion cuts a share of the paths and measures how long a new version takes to be known everywhere, at once
// and after links have been chosen anew.
func (c *benchCluster) measureVersion(w io.Writer, round int, share float64) error {
	if share > 0 {
		c.network.CutWhere(c.pairDown(share))
		defer c.network.CutWhere(nil)
	}
	for step, when := range []string{"at once", "15 s later"} {
		version := round*10 + step
		c.learn(0, version)
		d, ok := c.await(func() bool { return c.allHeard(version) })
		what := fmt.Sprintf("version known everywhere, %.0f %% of paths down, %s", share*100, when)
		if err := report(w, len(c.nodes), what, d, ok); err != nil {
			return err
		}
		if share == 0 {
			break
		}
		time.Sleep(relinkTime)
	}
	return nil
}

func (c *benchCluster) allHeard(version int) bool {
	for i := range c.version {
		if c.version[i].Load() < int64(version) {
			return false
		}
	}
	return true
}

// measureDeath cuts off node 0 without a goodbye.
func (c *benchCluster) measureDeath(w io.Writer) error {
	if _, ok := c.await(func() bool { return c.allKnow(len(c.nodes)) }); !ok {
		_, err := fmt.Fprintf(w, "nodes=%d members did not return after the cuts\n", len(c.nodes))
		return err
	}
	time.Sleep(relinkTime)
	dead := c.nodes[0].View().Self
	c.network.CutWhere(func(from, to string) bool { return from == dead.PeerAddress || to == dead.PeerAddress })
	d, ok := c.await(func() bool { return c.forgotten(dead.Incarnation) })
	return report(w, len(c.nodes), "dead member known everywhere", d, ok)
}

func (c *benchCluster) forgotten(incarnation string) bool {
	for _, node := range c.nodes[1:] {
		for _, m := range node.View().Members {
			if m.Incarnation == incarnation {
				return false
			}
		}
	}
	return true
}
