package capacity

import (
	"context"
	"fmt"
	"time"
)

// latencyQuantiles are the percentiles that are compared.
var latencyQuantiles = []float64{50, 99, 99.9}

// measureLatency compares calls through the owner, and through an ingress and the owner, with calls that the client
// sends to the same upstreams itself, in turns and at the same rate of 2,000 calls/s.
func measureLatency(ctx context.Context, o Options, r *Report) error {
	for _, callers := range []int{10, 100, 1000} {
		w, err := o.newWorld(ctx, 25, 64, 32)
		if err != nil {
			return err
		}
		err = measureLatencyAt(ctx, o, r, w, callers)
		w.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

func measureLatencyAt(ctx context.Context, o Options, r *Report, w *world, callers int) error {
	run := callRun{callers: callers, serviceMs: callers / 2}
	spread := time.Duration(run.serviceMs) * time.Millisecond
	kinds := []string{"without a balancer", kindDirect, kindForwarded}
	loads := map[string]*load{}
	for _, kind := range kinds {
		run.kind = kind
		loads[kind] = run.load(w)
		if kind == kinds[0] {
			loads[kind].addresses = w.upstreams.started.Addresses
		}
		loads[kind].run(ctx, max(time.Second, 3*spread), spread)
	}
	for range o.Repeats {
		base := map[float64]float64{}
		for _, kind := range kinds {
			res := loads[kind].run(ctx, o.Time, spread)
			x := float64(callers)
			for _, q := range latencyQuantiles {
				v := float64(res.latency.ValueAtQuantile(q)) / 1000
				if kind == kinds[0] {
					base[q] = v
					r.add("latency", fmt.Sprintf("p%v, %s", q, kind), "ms", "concurrent calls", x, v)
					continue
				}
				r.add("latency", fmt.Sprintf("added at p%v, %s", q, kind), "ms", "concurrent calls", x, v-base[q])
			}
			r.add("latency", "rate, "+kind, "1/s", "concurrent calls", x, float64(res.calls)/res.seconds)
			r.add("latency", "failed, "+kind, "calls", "concurrent calls", x, float64(res.failed))
		}
	}
	for _, l := range loads {
		l.client.CloseIdleConnections()
	}
	return nil
}
