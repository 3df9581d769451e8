package inventory

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragehinge.example/boragehinge/internal/model"
)

// Guards against requests that reach the wrong service or route, or escape their prefix inside a segment.
func TestMatch(t *testing.T) {
	s := NewSnapshot(7, example(t, "yeux-clairs.yaml"))
	cases := []struct{ method, path, service, route, class string }{
		{"GET", "/bench/lookups/5", "bench-orders", "lookups", "urgent"},
		{"POST", "/bench/lookups/5", "bench-orders", "default", "ordinary"},
		{"POST", "/bench/orders", "bench-orders", "orders", "ordinary"},
		{"GET", "/archive/photos/a.tif", "archive-desk", "photos", "bulk"},
		{"GET", "/archives", "", "", ""},
		{"GET", "/", "", "", ""},
	}
	for _, c := range cases {
		svc, route, ok := s.Match("any.example:80", c.method, c.path)
		require.Equal(t, c.service != "", ok, c.path)
		if ok {
			assert.Equal(t, []string{c.service, c.route, c.class}, []string{svc.Name, route.Name, route.Class}, c.path)
		}
	}
	_, orders, _ := s.Match("", "POST", "/bench/orders")
	assert.False(t, orders.Idempotent("PUT"), "the route's own word goes before the method")
	assert.True(t, Route{}.Idempotent("PUT"))
	assert.False(t, Route{}.Idempotent("POST"))
}

// Guards against defaults that differ from the schema's descriptions.
func TestSnapshotDefaults(t *testing.T) {
	s := NewSnapshot(7, example(t, "kitami-hokusei-move.yaml"))
	assert.EqualValues(t, 7, s.Version())
	assert.Equal(t, 500*time.Microsecond, s.Delay("dohoku-a", "dohoku-b"))
	assert.Zero(t, s.Delay("dohoku-a", "dohoku-a"))
	assert.Equal(t, DefaultDistantDelay, s.Delay("dohoku-a", "elsewhere"))
	assert.Equal(t, "urgent", s.Classes()[0].Name)
	c, known := s.Customer("stranger")
	assert.False(t, known)
	assert.Equal(t, 1.0, c.Weight)
	rule, ok := s.VersionRule("route-svc")
	require.True(t, ok)
	assert.Equal(t, "autumn-release", rule.Move)
	limits := s.LimitsFor("monbetsu", "bulk", "archive-svc")
	require.Len(t, limits, 2)
	assert.NotEqual(t, limits[0].Key, limits[1].Key)
	assert.Equal(t, 30, limits[0].Burst)
	assert.NotEqual(t, limits[0].Key, s.LimitsFor("kitami", "bulk", "archive-svc")[0].Key, "* counts each customer separately")
	y := NewSnapshot(1, example(t, "yeux-clairs.yaml"))
	assert.Equal(t, 3, y.Priority("ordinary", "workbenches"))
	assert.Equal(t, 0, y.Priority("urgent", "workbenches"))
}

// Guards against a data centre that stays open although a rule takes it out.
func TestLeavingDataCentreClosesItsPools(t *testing.T) {
	inv := example(t, "kitami-hokusei.yaml")
	inv.Rules.DataCentres[0].State = model.DataCentreRuleStateLeaving
	s := NewSnapshot(1, inv)
	for _, p := range s.Pools() {
		assert.Equal(t, p.ID.DataCentre == "dohoku-b", p.Closed)
		assert.Equal(t, p.ID.DataCentre != "dohoku-b", p.Usable(""))
	}
}

func poolMembers(n int) []Upstream {
	out := make([]Upstream, n)
	for i := range out {
		out[i] = Upstream{Name: fmt.Sprintf("u-%03d", i)}
	}
	return out
}

// Guards against shards that exceed their bound or lose an upstream, and against an edit of one upstream that moves
// many others between shards, which would cool their connections.
func TestShardsAreBoundedAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := poolMembers(rapid.IntRange(1, 300).Draw(t, "upstreams"))
		of := func(members []Upstream) (map[string]int, int) {
			place, got := map[string]int{}, shards(members)
			for i, shard := range got {
				if len(shard) > MaxShardUpstreams {
					t.Fatalf("shard of %d upstreams", len(shard))
				}
				for _, u := range shard {
					place[u.Name] = i
				}
			}
			if len(place) != len(members) {
				t.Fatalf("%d of %d upstreams placed", len(place), len(members))
			}
			return place, len(got)
		}
		before, n := of(members)
		gone := rapid.IntRange(0, len(members)-1).Draw(t, "removed")
		after, m := of(append(append([]Upstream{}, members[:gone]...), members[gone+1:]...))
		if n != m {
			return // the number of shards doubles or halves only at a few sizes
		}
		moved := 0
		for name, shard := range after {
			if before[name] != shard {
				moved++
			}
		}
		if moved > 4 {
			t.Fatalf("%d of %d upstreams moved after one was removed", moved, len(members))
		}
	})
}

// Guards against a shard beyond its bound where hashing fills one shard more than the other.
func TestUnevenHashingKeepsTheBound(t *testing.T) {
	for set := range 2000 {
		members := make([]Upstream, 2*shardFill)
		for i := range members {
			members[i] = Upstream{Name: fmt.Sprintf("set-%d-%d", set, i)}
		}
		for _, shard := range shards(members) {
			assert.LessOrEqual(t, len(shard), MaxShardUpstreams)
		}
	}
}

// Guards against a number of shards that changes every few upstreams, which would move half of a pool each time.
func TestShardCountDoubles(t *testing.T) {
	for n, want := range map[int]int{1: 1, 32: 1, 33: 2, 48: 2, 49: 4, 80: 4, 96: 4, 97: 8} {
		assert.Equal(t, want, shardCount(n), n)
	}
}

// Guards against delays of the document that are ignored, in either direction.
func TestGivenDelays(t *testing.T) {
	inv := example(t, "yeux-clairs.yaml")
	inv.Sites[0].DataCentres[0].DelaysMs = model.DataCentreDelaysMs{"te-2": 3}
	inv.Sites[0].DataCentres[1].DelaysMs = nil
	s := NewSnapshot(1, inv)
	assert.Equal(t, 3*time.Millisecond, s.Delay("te-1", "te-2"))
	assert.Equal(t, 3*time.Millisecond, s.Delay("te-2", "te-1"))
}

// Guards against a log record that decodes to another inventory, or to one that ignores what it does not know.
func TestJSONRoundTrip(t *testing.T) {
	inv := example(t, "kitami-hokusei-move.yaml")
	data, err := EncodeJSON(inv)
	require.NoError(t, err)
	back, err := DecodeJSON(data)
	require.NoError(t, err)
	assert.Equal(t, inv, back)

	_, err = DecodeJSON([]byte(`{"schemaVersion":2}`))
	assert.ErrorIs(t, err, ErrSchemaVersion)
	_, err = DecodeJSON([]byte(`{"schemaVersion":1,"later":true}`))
	assert.ErrorContains(t, err, "later")
	_, err = DecodeJSON(append(data, data...))
	assert.Error(t, err)
}

// Guards against a loser of two concurrent changes who is not told what differs.
func TestDifferences(t *testing.T) {
	old, current := example(t, "kitami-hokusei.yaml"), example(t, "kitami-hokusei-move.yaml")
	leaving := model.UpstreamStateLeaving
	current.Services[0].Upstreams[0].State = &leaving
	current.Customers = current.Customers[:2]
	got := Differences(old, current)
	assert.Contains(t, got, "Upstream route-next-01 is added at 127.0.2.51:9001 in dohoku-a with version 7.1.")
	assert.Contains(t, got, "Upstream route-01: state changes from unset to leaving.")
	assert.Contains(t, got, "Customer monbetsu is removed.")
	assert.Contains(t, got, "Version rule of service route-svc is added.")
	assert.Len(t, got, 9+3)
	assert.Empty(t, Differences(old, old))
}

// Guards against pool names that do not survive their text form in messages and logs.
func TestPoolID(t *testing.T) {
	id := PoolID{"bench", "te-1", 3}
	back, err := ParsePoolID(id.String())
	require.NoError(t, err)
	assert.Equal(t, id, back)
	for _, bad := range []string{"", "a/b", "a/b/-1", "a/b/c", "/b/1", "a/b/1/2"} {
		_, err := ParsePoolID(bad)
		assert.Error(t, err, bad)
	}
}
