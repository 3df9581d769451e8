package capacity

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/goccy/go-yaml"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/discovery"
	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/model"
	"boragehinge.example/boragehinge/inventory"
)

// inventorySizes are numbers of upstreams with their services.
var inventorySizes = []struct{ upstreams, services int }{{31, 2}, {62, 4}, {200, 8}, {600, 20}}

var errFold = errors.New("a record of the experiment was not accepted")

// measureConfiguration fits the CPU time of the steps of a configuration change to the number of upstreams.
func measureConfiguration(_ context.Context, o Options, r *Report) error {
	for range o.Repeats {
		for _, size := range inventorySizes {
			if err := measureChange(r, synthetic(size.services, size.upstreams), float64(size.upstreams)); err != nil {
				return err
			}
		}
	}
	return nil
}

func measureChange(r *Report, inv *model.Inventory, x float64) error {
	document, err := yaml.Marshal(inv)
	if err != nil {
		return fmt.Errorf("encode the inventory: %w", err)
	}
	if _, findings := inventory.Check("synthetic.yaml", document, time.Now()); len(findings) > 0 {
		return &inventory.FindingsError{Findings: findings}
	}
	encoded, err := inventory.EncodeJSON(inv)
	if err != nil {
		return err
	}
	add := func(name, unit string, v float64) { r.add("configuration", name, unit, "upstreams", x, v) }
	add("document", "bytes", float64(len(document)))
	add("record", "bytes", float64(len(encoded)))
	add("parse and check (operators' command)", "us", perOperation(func() { inventory.Check("synthetic.yaml", document, time.Now()) }))
	add("decode", "us", perOperation(func() { _, _ = inventory.DecodeJSON(encoded) }))
	fold, next, err := newFold(encoded)
	if err != nil {
		return err
	}
	var result configlog.Result
	add("fold of a change", "us", perOperation(func() { result = next(fold) }))
	if result.Outcome != configlog.Accepted {
		return fmt.Errorf("%w: %v", errFold, result)
	}
	add("build of the snapshot", "us", perOperation(func() { inventory.NewSnapshot(1, inv) }))
	add("memory of the snapshot", "KiB", heapOf(func() any { return inventory.NewSnapshot(1, inv) })/1024)
	snap := inventory.NewSnapshot(1, inv)
	swap := poolsOf(snap)
	add("swap into all pools", "us", perOperation(swap))
	return nil
}

// newFold returns a fold with one change in it, and a function that applies one more change.
func newFold(encoded []byte) (*configlog.Fold, func(*configlog.Fold) configlog.Result, error) {
	next := func(f *configlog.Fold) configlog.Result {
		data, err := changeRecord(f.Current().Offset, encoded)
		if err != nil {
			return configlog.Result{Reason: err.Error()}
		}
		return f.Apply(logservice.Entry{Offset: f.Next(), Time: time.Unix(f.Next(), 0), Data: data})
	}
	f := configlog.NewFold()
	if r := next(f); r.Outcome != configlog.Accepted {
		return nil, nil, fmt.Errorf("%w: %v", errFold, r)
	}
	return f, next, nil
}

func changeRecord(base int64, encoded []byte) ([]byte, error) {
	return configlog.Encode(configlog.Record{Kind: configlog.KindChange, Change: &configlog.Change{
		ID: configlog.NewChangeID(), Base: base, Operator: "measure", Inventory: encoded,
	}})
}

// poolsOf returns a function that configures all pools of a snapshot again, as one owner of all of them would.
func poolsOf(snap *inventory.Snapshot) func() {
	var pools []*ownedPool
	var specs []dispatch.Spec
	for _, p := range snap.Pools() {
		spec := dispatch.Spec{}
		for _, u := range p.Upstreams {
			spec.Upstreams = append(spec.Upstreams, dispatch.UpstreamSpec{Name: u.Name, Address: u.Address, Version: u.Version, Slots: u.Slots})
		}
		pools, specs = append(pools, newOwnedPool(spec)), append(specs, spec)
	}
	return func() {
		now := time.Now()
		for i, p := range pools {
			p.pool.Configure(now, specs[i])
		}
	}
}

// measureLog fits the CPU time of a starting entry's fold to the number of records, one in ten of which changes the
// configuration of 600 upstreams and the others of which renew a lease. Reading the records is not part of it.
func measureLog(_ context.Context, o Options, r *Report) error {
	encoded, err := inventory.EncodeJSON(synthetic(20, 600))
	if err != nil {
		return err
	}
	lease, err := configlog.Encode(configlog.Record{Kind: configlog.KindLease, Lease: &configlog.Lease{Name: "rollout", Holder: "h", DurationMs: 15000}})
	if err != nil {
		return err
	}
	for range o.Repeats {
		for _, n := range []int{100, 1000, 10_000} {
			if err := measureFold(r, encoded, lease, n); err != nil {
				return err
			}
		}
	}
	return nil
}

func measureFold(r *Report, encoded, lease []byte, n int) error {
	f := configlog.NewFold()
	var bytes int
	var cpu time.Duration
	for i := range n {
		data := lease
		if i%10 == 0 {
			var err error
			if data, err = changeRecord(f.Current().Offset, encoded); err != nil {
				return err
			}
		}
		bytes += len(data)
		start := cpuTime()
		result := f.Apply(logservice.Entry{Offset: f.Next(), Time: time.Unix(int64(i), 0), Data: data})
		cpu += cpuTime() - start
		if result.Outcome != configlog.Accepted {
			return fmt.Errorf("%w: %v", errFold, result)
		}
	}
	snapshot, err := f.Snapshot()
	if err != nil {
		return err
	}
	r.add("log", "CPU to fold", "ms", "records", float64(n), millis(cpu))
	r.add("log", "records", "KiB", "records", float64(n), float64(bytes)/1024)
	r.add("log", "snapshot", "KiB", "records", float64(n), float64(len(snapshot))/1024)
	return nil
}

// measureAddresses fits the CPU time of the response to an address request to the number of members.
func measureAddresses(_ context.Context, o Options, r *Report) error {
	snap := inventory.NewSnapshot(1, synthetic(20, 600))
	for range o.Repeats {
		for _, n := range []int{6, 16, 64, 256, 600} {
			members := make([]discovery.Member, n)
			for i := range members {
				members[i] = discovery.Member{
					Incarnation: fmt.Sprintf("%016x", i), Address: fmt.Sprintf("10.1.%d.%d:8080", i/200, i%200+1),
					DataCentre: dataCentreName(i % dataCentres), WindowKnown: true,
				}
			}
			in := discovery.Input{
				Service: "service-00", Near: dataCentreName(0), Snapshot: snap, Members: members, Keep: 10 * time.Second,
				Owner: func(id inventory.PoolID) (string, bool) { return members[id.Shard%n].Incarnation, true },
			}
			rng := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // order of addresses only
			r.add("addresses", "CPU for an answer", "us", "members", float64(n), perOperation(func() { discovery.Addresses(in, rng) }))
		}
	}
	return nil
}
