package discovery

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/model"
	"boragehinge.example/boragehinge/inventory"
)

// input has 16 entries in three data centres; the first two of each data centre own its bench pool in turn.
func input(t *testing.T) Input {
	t.Helper()
	data, err := os.ReadFile("../../examples/yeux-clairs.yaml")
	require.NoError(t, err)
	inv, findings := inventory.Parse("yeux-clairs.yaml", data)
	require.Empty(t, findings)
	in := Input{Service: "bench-orders", Near: "te-1", Snapshot: inventory.NewSnapshot(1, inv), Keep: 10 * time.Second}
	for i := range 16 {
		in.Members = append(in.Members, Member{
			Incarnation: fmt.Sprintf("%016x", i), Address: fmt.Sprintf("127.0.0.1:%d", 7000+i),
			DataCentre: fmt.Sprintf("te-%d", 1+i%3), Window: int64(i), WindowKnown: true,
		})
	}
	in.Owner = func(id inventory.PoolID) (string, bool) {
		return map[string]string{"te-1": in.Members[0].Incarnation, "te-2": in.Members[1].Incarnation, "te-3": in.Members[2].Incarnation}[id.DataCentre], true
	}
	return in
}

func addresses(t *testing.T, in Input, seed uint64) []Address {
	t.Helper()
	a, ok := Addresses(in, rand.New(rand.NewPCG(seed, 1)))
	require.True(t, ok)
	return a.Addresses
}

// Guards against answers that lead callers past the owners, or to the distant ones first.
func TestNearOwnersComeFirst(t *testing.T) {
	got := addresses(t, input(t), 1)
	require.Len(t, got, MaxAddresses)
	assert.Equal(t, Address{"127.0.0.1:7000", "te-1", "bh1.0000000000000000.0"}, got[0])
	assert.ElementsMatch(t, []string{"te-2", "te-3"}, []string{got[1].DataCentre, got[2].DataCentre})
	for _, a := range got[3:] {
		assert.Equal(t, "te-1", a.DataCentre, "the fallback is near")
	}
}

// Guards against callers that are sent to entries that leave, are dead, unready or overloaded, or to closed pools.
func TestUnfitEntriesAreLeftOut(t *testing.T) {
	for name, change := range map[string]func(*Member){
		"leaving":    func(m *Member) { m.Leaving = true },
		"dead":       func(m *Member) { m.Dead = true },
		"unready":    func(m *Member) { m.Unready = true },
		"overloaded": func(m *Member) { m.Overloaded = true },
	} {
		in := input(t)
		change(&in.Members[0])
		for _, a := range addresses(t, in, 1) {
			assert.NotEqual(t, "127.0.0.1:7000", a.Address, name)
		}
	}
	in := input(t)
	for i := range in.Members {
		in.Members[i].Overloaded = true
	}
	assert.NotEmpty(t, addresses(t, in, 1), "overloaded entries are better than none")

	in = input(t)
	inv := *in.Snapshot.Inventory()
	rules := *inv.Rules
	rules.DataCentres = []model.DataCentreRule{{DataCentre: "te-2", State: model.DataCentreRuleStateLeaving}}
	inv.Rules = &rules
	in.Snapshot = inventory.NewSnapshot(2, &inv)
	for _, a := range addresses(t, in, 1) {
		assert.NotEqual(t, "te-2", a.DataCentre)
	}
}

// Guards against callers that all use the same one of several owners.
func TestCallersSpreadOverEqualOwners(t *testing.T) {
	in := input(t)
	in.Near = "te-9" // as distant from all
	first := map[string]int{}
	for seed := range uint64(3000) {
		first[addresses(t, in, seed)[0].DataCentre]++
	}
	// te-1 has 9 of the 25 upstreams and the others 8 each.
	assert.InDelta(t, 3000*9/25, first["te-1"], 120)
	assert.InDelta(t, 3000*8/25, first["te-2"], 120)
	assert.InDelta(t, 3000*8/25, first["te-3"], 120)
}

// Guards against request IDs with a window that their registrar does not know, and against another JSON form.
func TestPrefixAndJSON(t *testing.T) {
	in := input(t)
	in.Members[0].WindowKnown = false
	in.Members = in.Members[:1]
	a, ok := Addresses(in, rand.New(rand.NewPCG(1, 1)))
	require.True(t, ok)
	data, err := json.Marshal(a)
	require.NoError(t, err)
	assert.JSONEq(t, `{"addresses":[{"address":"127.0.0.1:7000","dataCentre":"te-1"}],"keepSeconds":10}`, string(data))
	in.Service = "nothing"
	_, ok = Addresses(in, rand.New(rand.NewPCG(1, 1)))
	assert.False(t, ok)
}
