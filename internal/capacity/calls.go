package capacity

import (
	"context"
	"fmt"
	"time"
)

// Kinds of calls that are compared.
const (
	kindDirect     = "direct to the owner"
	kindForwarded  = "forwarded"
	kindRegistered = "forwarded, with request ID"
)

// settle is the time between the warm-up and a reading.
const settle = 200 * time.Millisecond

// callRun is one run of calls of one kind.
type callRun struct {
	kind      string
	callers   int
	serviceMs int
}

func (c callRun) load(w *world) *load {
	l := &load{callers: c.callers, client: newClient(), path: callPath("lookups", c.serviceMs)}
	switch c.kind {
	case kindDirect:
		l.addresses = []string{w.owner.started.Callers}
	case kindRegistered:
		l.addresses, l.prefix = []string{w.ingress.started.Callers}, w.ingress.started.Prefix
		l.path = callPath("orders", c.serviceMs)
	default:
		l.addresses = []string{w.ingress.started.Callers}
	}
	return l
}

// measure runs calls for the time of o, between two readings, after a short warm-up.
func (c callRun) measure(ctx context.Context, o Options, w *world) (before, after readings, res loadResult, err error) {
	l := c.load(w)
	defer l.client.CloseIdleConnections()
	spread := time.Duration(c.serviceMs) * time.Millisecond
	l.run(ctx, max(500*time.Millisecond, 2*spread), spread)
	time.Sleep(settle)
	if before, err = w.read(commandUsage); err != nil {
		return before, after, res, err
	}
	res = l.run(ctx, o.Time, spread)
	after, err = w.read(commandUsage)
	if err == nil && res.calls == 0 {
		err = fmt.Errorf("no call succeeded, %d failed", res.failed)
	}
	return before, after, res, err
}

// measureCalls fits the CPU time of the roles to the calls per second and compares it at several numbers of upstreams
// and of concurrent calls.
func measureCalls(ctx context.Context, o Options, r *Report) error {
	for range o.Repeats {
		if err := measureCallRates(ctx, o, r); err != nil {
			return err
		}
		for _, n := range []int{6, 25, 100, 600} {
			run := callRun{callers: 50, serviceMs: 25}
			if err := measureCallsAt(ctx, o, r, run, n, 16, "upstreams", float64(n)); err != nil {
				return err
			}
		}
		for _, n := range []int{10, 100, 1000} {
			run := callRun{callers: n, serviceMs: n / 2}
			if err := measureCallsAt(ctx, o, r, run, 25, 64, "concurrent calls", float64(n)); err != nil {
				return err
			}
		}
	}
	return nil
}

func measureCallRates(ctx context.Context, o Options, r *Report) error {
	w, err := o.newWorld(ctx, 25, 16)
	if err != nil {
		return err
	}
	defer w.stop()
	for _, callers := range []int{5, 10, 20, 40, 80} {
		for _, kind := range []string{kindDirect, kindForwarded, kindRegistered} {
			if err := measureRate(ctx, o, r, "calls", w, callRun{kind, callers, 25}); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureRate adds one run to the fits of CPU time and allocations to the calls per second.
func measureRate(ctx context.Context, o Options, r *Report, experiment string, w *world, run callRun) error {
	before, after, res, err := run.measure(ctx, o, w)
	if err != nil {
		return err
	}
	rate := float64(res.calls) / res.seconds
	each(run.kind, before, after, func(role string, a, b Usage) {
		name := fmt.Sprintf("%s, %s", run.kind, role)
		r.add(experiment, "CPU, "+name, "ms/s", "calls/s", rate, millis(b.CPU-a.CPU)/res.seconds)
		r.add(experiment, "allocations, "+name, "1/s", "calls/s", rate, float64(b.Mallocs-a.Mallocs)/res.seconds)
	})
	r.add(experiment, "failed, "+run.kind, "calls", "calls/s", rate, float64(res.failed))
	return nil
}

func measureCallsAt(ctx context.Context, o Options, r *Report, run callRun, upstreams, slotsEach int, size string, x float64) error {
	w, err := o.newWorld(ctx, upstreams, slotsEach)
	if err != nil {
		return err
	}
	defer w.stop()
	for _, kind := range []string{kindDirect, kindForwarded} {
		run.kind = kind
		before, after, res, err := run.measure(ctx, o, w)
		if err != nil {
			return err
		}
		calls := float64(res.calls)
		each(kind, before, after, func(role string, a, b Usage) {
			name := fmt.Sprintf("%s, %s", kind, role)
			r.add("calls", "CPU per call, "+name, "us", size, x, 1000*millis(b.CPU-a.CPU)/calls)
			r.add("calls", "allocations per call, "+name, "", size, x, float64(b.Mallocs-a.Mallocs)/calls)
		})
		r.add("calls", "rate, "+kind, "1/s", size, x, calls/res.seconds)
		r.add("calls", "failed, "+kind, "calls", size, x, float64(res.failed))
	}
	return nil
}

// each calls f for the roles that take part in calls of a kind.
func each(kind string, before, after readings, f func(role string, a, b Usage)) {
	f("client", before.client, after.client)
	if kind != kindDirect {
		f("ingress", before.ingress, after.ingress)
	}
	f("owner", before.owner, after.owner)
	f("upstreams", before.upstreams, after.upstreams)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureBodies fits the CPU time of a call to the size of its response.
func measureBodies(ctx context.Context, o Options, r *Report) error {
	w, err := o.newWorld(ctx, 25, 16)
	if err != nil {
		return err
	}
	defer w.stop()
	for range o.Repeats {
		for _, kB := range []int{1, 64, 256, 1024, 4096} {
			for _, kind := range []string{kindDirect, kindForwarded} {
				l := callRun{kind: kind, callers: 4}.load(w)
				l.path = fmt.Sprintf("/archive/%d", kB<<10)
				l.run(ctx, settle, 0)
				before, err := w.read(commandUsage)
				if err != nil {
					return err
				}
				res := l.run(ctx, o.Time/2, 0)
				after, err := w.read(commandUsage)
				if err != nil {
					return err
				}
				l.client.CloseIdleConnections()
				each(kind, before, after, func(role string, a, b Usage) {
					r.add("bodies", fmt.Sprintf("CPU per call, %s, %s", kind, role), "us", "KiB", float64(kB), 1000*millis(b.CPU-a.CPU)/float64(res.calls))
				})
				r.add("bodies", "failed, "+kind, "calls", "KiB", float64(kB), float64(res.failed))
			}
		}
	}
	return nil
}
