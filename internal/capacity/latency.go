package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const kindNone = "without a balancer"

// latencyKinds are the kinds of calls that are compared.
var latencyKinds = []string{kindNone, kindDirect, kindForwarded}

// latencyQuantiles are the percentiles that are compared.
var latencyQuantiles = []float64{50, 99, 99.9}

// latencyRate is the number of calls per second of all kinds together.
const latencyRate = 2000

// measureLatency compares calls through the owner, and through an ingress and the owner, with calls that the client
// sends to the same upstreams itself. All kinds run at the same time, so that a busy machine delays them alike.
func measureLatency(ctx context.Context, o Options, r *Report) error {
	for _, callers := range latencyCallers {
		w, err := o.newWorld(ctx, 25, 64)
		if err != nil {
			return err
		}
		err = measureLatencyAt(ctx, o, r, "latency", w, callers)
		w.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// measureDaemonLatency is measureLatency with daemons instead of the entries assembled here.
func measureDaemonLatency(ctx context.Context, o Options, r *Report) error {
	w, err := o.newDaemons(ctx)
	if err != nil {
		return err
	}
	defer w.stop()
	for _, callers := range latencyCallers {
		if err := measureLatencyAt(ctx, o, r, "daemon-latency", w, callers); err != nil {
			return err
		}
	}
	return nil
}

// latencyCallers are the numbers of concurrent calls, a third of each kind.
var latencyCallers = []int{12, 99, 999}

func measureLatencyAt(ctx context.Context, o Options, r *Report, experiment string, w *world, callers int) error {
	// The service time follows the number of callers, so that the rate stays the same.
	run := callRun{callers: callers / len(latencyKinds), serviceMs: 1000 * callers / latencyRate}
	spread := time.Duration(run.serviceMs) * time.Millisecond
	loads := map[string]*load{}
	for _, kind := range latencyKinds {
		run.kind = kind
		loads[kind] = run.load(w)
		if kind == kindNone {
			loads[kind].addresses = w.upstreams.started.Addresses
		}
		defer loads[kind].client.CloseIdleConnections()
	}
	runTogether(ctx, loads, max(time.Second, 3*spread), spread)
	for range o.Repeats {
		results := runTogether(ctx, loads, o.Time, spread)
		for _, kind := range latencyKinds {
			addLatency(r, experiment, kind, float64(callers), results[kind], results[kindNone])
		}
	}
	return nil
}

func addLatency(r *Report, experiment, kind string, x float64, res, base loadResult) {
	add := func(name, unit string, v float64) { r.add(experiment, name+", "+kind, unit, "concurrent calls", x, v) }
	for _, q := range latencyQuantiles {
		v, b := res.millisAt(q), base.millisAt(q)
		if kind == kindNone {
			add(fmt.Sprintf("p%v", q), "ms", v)
		} else {
			add(fmt.Sprintf("added at p%v", q), "ms", v-b)
		}
	}
	add("rate", "1/s", float64(res.calls)/res.seconds)
	add("failed", "calls", float64(res.failed))
}

func (r loadResult) millisAt(quantile float64) float64 {
	return float64(r.latency.ValueAtQuantile(quantile)) / 1000
}

func runTogether(ctx context.Context, loads map[string]*load, d, spread time.Duration) map[string]loadResult {
	results := map[string]loadResult{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for kind, l := range loads {
		wg.Go(func() {
			res := l.run(ctx, d, spread)
			mu.Lock()
			defer mu.Unlock()
			results[kind] = res
		})
	}
	wg.Wait()
	return results
}
