package capacity

import (
	"context"
	"fmt"
	"math/rand"
	"runtime"
	"time"

	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/idempotency"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/transport"
)

// cpuLoop is the CPU time after which a loop of timed operations ends.
const cpuLoop = 200 * time.Millisecond

// perOperation returns the process CPU time of one operation in microseconds. Nothing else may run in the process.
func perOperation(f func()) float64 {
	f()
	runtime.GC()
	start := cpuTime()
	n := 0
	for cpuTime()-start < cpuLoop {
		f()
		n++
	}
	return 1000 * millis(cpuTime()-start) / float64(n)
}

// heapOf returns the heap bytes that what build returns keeps alive.
func heapOf(build func() any) float64 {
	before := usage(true).InUse
	v := build()
	after := usage(true).InUse
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

// measureRecords fits the memory of the request-ID records and the CPU time to make them.
func measureRecords(_ context.Context, o Options, r *Report) error {
	for range o.Repeats {
		for _, n := range []int{10_000, 100_000, 400_000, 1_000_000} {
			for _, c := range []struct {
				name   string
				answer *idempotency.Answer
			}{
				{"fact only", nil},
				{"answer of 200 bytes", &idempotency.Answer{Status: 200, Body: make([]byte, 200)}},
			} {
				var cpu time.Duration
				bytes := heapOf(func() any {
					start := cpuTime()
					reg := fillRegistry(n, c.answer)
					cpu = cpuTime() - start
					return reg
				})
				r.add("records", "memory, "+c.name, "KiB", "records", float64(n), bytes/1024)
				r.add("records", "CPU to begin and finish, "+c.name, "ms", "records", float64(n), millis(cpu))
			}
		}
	}
	return nil
}

func fillRegistry(n int, answer *idempotency.Answer) *idempotency.Registry {
	start := time.Unix(0, 0)
	reg := idempotency.NewRegistry(idempotency.Config{
		Incarnation: idempotency.NewIncarnation(), MaxRecords: n + 1, AnswerBytes: 1 << 30,
	}, start)
	prefix := reg.Prefix(start)
	for i := range n {
		id := fmt.Sprintf("%s.%016x", prefix, i)
		reg.Begin(start, id)
		o := idempotency.Outcome{Kind: idempotency.Done}
		if answer != nil {
			o.Answer = &idempotency.Answer{Status: answer.Status, Body: append([]byte(nil), answer.Body...)}
		}
		reg.Finish(start, id, o)
	}
	return reg
}

// measurePools fits the CPU time and memory of pools without calls, each with its ticks and its transport, to the
// number of pools and of upstreams.
func measurePools(ctx context.Context, o Options, r *Report) error {
	for range o.Repeats {
		for _, n := range []int{1, 20, 60, 180} {
			if err := measureIdlePools(ctx, o, r, n, 4, "pools of 4 upstreams", float64(n)); err != nil {
				return err
			}
		}
		for _, n := range []int{2, 8, 16, 32} {
			if err := measureIdlePools(ctx, o, r, 60, n, "upstreams in each of 60 pools", float64(n)); err != nil {
				return err
			}
		}
	}
	return nil
}

func measureIdlePools(ctx context.Context, o Options, r *Report, pools, upstreams int, size string, x float64) error {
	var all []*ownedPool
	bytes := heapOf(func() any {
		for i := range pools {
			all = append(all, newOwnedPool(namedSpec(i, upstreams)))
		}
		return all
	})
	r.add("pools", "memory", "KiB", size, x, bytes/1024)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, p := range all {
		t := transport.New(transport.Config{})
		defer t.Close()
		go t.Run(ctx)
		go pause.Every(ctx, poolTick, p.tick)
	}
	time.Sleep(settle)
	start, cpu := time.Now(), cpuTime()
	time.Sleep(o.Time)
	r.add("pools", "CPU without calls", "ms/s", size, x, millis(cpuTime()-cpu)/time.Since(start).Seconds())
	return ctx.Err()
}

func namedSpec(pool, upstreams int) dispatch.Spec {
	set := roleSettings{Slots: 3, PoolSize: upstreams}
	rng := rand.New(rand.NewSource(int64(pool))) //nolint:gosec // names only
	for range upstreams {
		set.Addresses = append(set.Addresses, fmt.Sprintf("10.0.%d.%d:9001", rng.Intn(250), rng.Intn(250)))
	}
	return poolSpec(set, 0)
}
