package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/dev"
	"boragehinge.example/boragehinge/internal/emulator"
)

const stopLimit = 25 * time.Second

// Options of a run.
type Options struct {
	Duration time.Duration
	Seed     uint64
	Kinds    []Kind // empty: all
	Entries  int
	Rate     float64   // calls per second
	Log      io.Writer // log lines of the entries; nil drops them
	// Network is the first three bytes of the upstreams' addresses, 127.0.61 by default.
	Network string
}

// Run runs the installation under faults and returns the verdict. The error means that the run itself failed.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Duration <= 0 || o.Rate <= 0 || o.Entries < 1 || o.Entries > 64 {
		return nil, fmt.Errorf("duration, rate and entries must be positive, and entries at most 64")
	}
	if o.Network == "" {
		o.Network = "127.0.61"
	}
	port, err := freePort(o.Network)
	if err != nil {
		return nil, err
	}
	rec := &recorder{}
	peers := &links{byHost: map[string]*link{}}
	defer peers.close()
	want := desired{leaving: map[string]bool{}, returned: map[string]bool{}, port: port, hostAddress: o.Network}
	inv, err := parse(want.document(), time.Now())
	if err != nil {
		return nil, err
	}
	in, err := dev.Start(ctx, dev.Options{
		Inventory: inv, Entries: o.Entries, Log: o.Log, LogLevel: "warn", Seed: o.Seed, Operator: "soak",
		Observe:  func(upstream string, e emulator.Event) { rec.observe(upstream, e) },
		PeerPath: peers.open,
	})
	if err != nil {
		return nil, err
	}
	ops := &operation{want: want, log: in.Platform, rec: rec}
	failed := soak(ctx, o, in, rec, ops, peers)
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	records := rec.records()
	// A planned stop that cut calls is in the records already.
	_ = in.Stop(stopping)
	return NewReport(o, records), failed
}

// soak runs the faults and the calls, and returns when all have ended.
func soak(ctx context.Context, o Options, in *dev.Installation, rec *recorder, ops *operation, peers *links) error {
	following, stop := context.WithCancel(ctx)
	defer stop()
	calls := &callers{in: in, rec: rec, seed: o.Seed}
	j := &injector{in: in, rec: rec, ops: ops, call: calls, links: peers, switched: map[string]map[int]func(*emulator.Faults){}}
	rec.add(func(r *Records) { r.Begin = time.Now() })
	running, end := context.WithTimeout(ctx, o.Duration)
	defer end()
	var followed, parts sync.WaitGroup
	followed.Go(func() { follow(following, in, rec) })
	parts.Go(func() { calls.run(running, o.Rate) })
	parts.Go(func() { j.run(running, Plan(o.Seed, o.Duration, o.Kinds)) })
	parts.Wait()
	stop()
	followed.Wait()
	return errors.Join(j.errs...)
}
