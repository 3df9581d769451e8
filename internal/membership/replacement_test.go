package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replaceHost replaces the last of n hosts by a new one, which starts with the new list. Half of the other hosts have
// read that list, and a partition separates them from the rest.
func replaceHost(n int, cfg Config) (conflict string, confirmedLater int) {
	s := newSim(n, 1, cfg)
	s.run(cfg.RosterHold + 6*time.Second)
	old := s.hosts
	s.hosts = append(append([]Host{}, old[:n-1]...), Host{Name: "new", DataCentre: "east-1"})
	replaced := s.nodes[n-1]
	s.restart(n - 1) // starts the new host, whose name is now in s.hosts
	s.nodes = append(s.nodes, s.nodes[n-1])
	s.nodes[n-1] = replaced
	side := func(i int) bool { return i == n || i > 0 && i <= (n-1)/2 }
	for i := range s.nodes {
		if side(i) && i != n {
			s.nodes[i].table.SetRoster(s.now, s.hosts)
		}
		for j := range s.nodes {
			if side(i) != side(j) {
				s.cut[[2]int{i, j}] = true
			}
		}
	}
	s.run(20 * time.Second)
	conflict = s.conflict
	clear(s.cut)
	for _, node := range s.nodes[:n-1] {
		node.table.SetRoster(s.now, s.hosts)
	}
	s.nodes = append(s.nodes[:n-1], s.nodes[n])
	s.run(cfg.RosterHold + 10*time.Second)
	return conflict, s.confirmedNodes()
}

// Guards against two owners of a cold upstream while a host is replaced: the new host doesn't know the old list, and a
// majority of the new list need not intersect with a majority of the old one. Also guards against a new host that can
// never confirm its view.
func TestReplacedHostConfirmsNoSecondView(t *testing.T) {
	for _, n := range []int{3, 5, 7} {
		conflict, confirmed := replaceHost(n, DefaultConfig())
		require.Empty(t, conflict, "%d hosts", n)
		require.Equal(t, n, confirmed, "%d hosts", n)
	}
	broken := DefaultConfig()
	broken.RosterHold = 0
	conflict, _ := replaceHost(3, broken)
	require.NotEmpty(t, conflict, "without the hold of earlier rosters, this schedule confirms two views")
}
