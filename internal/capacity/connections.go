package capacity

import (
	"context"
	"fmt"

	"boragehinge.example/boragehinge/inventory"
)

// measureConnections counts the connections of upstreams whose slots are all busy, with one owner and with two owners
// at the same time as in a take-over.
func measureConnections(ctx context.Context, o Options, r *Report) error {
	for range o.Repeats {
		for _, slotsEach := range []int{3, 6, 12} {
			if err := measureConnectionsAt(ctx, o, r, slotsEach); err != nil {
				return err
			}
		}
	}
	return nil
}

func measureConnectionsAt(ctx context.Context, o Options, r *Report, slotsEach int) error {
	w, err := o.newWorld(ctx, 25, slotsEach)
	if err != nil {
		return err
	}
	defer w.stop()
	second, err := o.start(ctx, roleSettings{Role: "entry", Slots: slotsEach, PoolSize: inventory.MaxShardUpstreams, Addresses: w.upstreams.started.Addresses})
	if err != nil {
		return err
	}
	defer second.stop()
	l := callRun{kind: kindDirect, callers: 25 * slotsEach * 2, serviceMs: 25}.load(w)
	defer l.client.CloseIdleConnections()
	for _, owners := range []string{"one owner", "two owners"} {
		if owners == "two owners" {
			l.addresses = append(l.addresses, second.started.Callers)
			l.callers *= 2
		}
		res := l.run(ctx, o.Time, 0)
		u, err := w.upstreams.ask(commandUsage)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("connections of an upstream, %s, ", owners)
		r.add("connections", name+"mean", "", "slots", float64(slotsEach), u.OpenConns)
		r.add("connections", name+"highest", "", "slots", float64(slotsEach), u.MostConns)
		r.add("connections", "failed, "+owners, "calls", "slots", float64(slotsEach), float64(res.failed))
	}
	return nil
}
