package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/dev"
	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/logservice/standin"
	"boragehinge.example/boragehinge/internal/pause"
)

// baseSlow is the factor on all service times, so that a moderate rate keeps a third of the slots busy. With idle slots
// even an owner that ignores a cold upstream's allowance would rarely exceed it.
const baseSlow = 6

// injector carries out the plan.
type injector struct {
	in    *dev.Installation
	rec   *recorder
	ops   *operation
	call  *callers
	links *links

	entryMu  sync.Mutex // held while an entry is away
	mu       sync.Mutex
	next     int
	switched map[string]map[int]func(*emulator.Faults) // by upstream and number of the fault
	poisons  int
	wait     sync.WaitGroup
	errs     []error
}

// run begins each fault at its time and waits until all have ended. The end of ctx ends them early.
func (j *injector) run(ctx context.Context, plan []Fault) {
	for _, name := range allUpstreams() {
		j.apply(name, func(*emulator.Faults) {})
	}
	begin := time.Now()
	for _, f := range plan {
		if pause.Sleep(ctx, time.Until(begin.Add(f.At))) != nil {
			break
		}
		j.wait.Go(func() { j.inject(ctx, f) })
	}
	j.wait.Wait()
}

func (j *injector) failed(ctx context.Context, what Kind, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.errs = append(j.errs, fmt.Errorf("%s: %w", what, err))
}

// inject begins a fault, waits for its time and ends it.
func (j *injector) inject(ctx context.Context, f Fault) {
	switch f.Kind {
	case Kill, PlannedStop:
		j.entry(ctx, f)
	case LogDown, LogSlow, LogLoses, HostsLag, GhostHosts:
		j.platform(ctx, f)
	case LinkCut:
		j.linkCut(ctx, f)
	case Race:
		defer j.rec.begin(Race, "")()
		j.failed(ctx, Race, j.ops.race(ctx))
	case CentreLeaves, UpstreamLeave:
		j.away(ctx, f)
	case GoodVersion, BadVersion:
		j.version(ctx, f)
	case Poison:
		j.poison(ctx, f)
	default:
		j.upstream(ctx, f)
	}
}

// target picks a bench upstream, or for one in four a photo upstream.
func target(pick uint64) string {
	if pick%4 == 0 {
		return fmt.Sprintf("photo-%d", pick/4%archiveUpstreams+1)
	}
	return fmt.Sprintf("bench-%d", pick/4%oldUpstreams+1)
}

func (j *injector) upstream(ctx context.Context, f Fault) {
	name := target(f.Pick)
	end := j.rec.begin(f.Kind, name)
	defer end()
	s := j.in.Upstream(name)
	switch f.Kind {
	case Crash:
		s.Crash(f.For)
		pause.For(ctx, f.For)
	case Cold:
		s.MakeCold()
		pause.For(ctx, f.For)
	case Silence:
		j.mu.Lock()
		faults := s.Faults()
		faults.SilenceOpen = true
		_ = s.SetFaults(faults)
		j.mu.Unlock()
		pause.For(ctx, f.For)
	default:
		defer j.apply(name, switches(f.Kind))()
		if f.Kind != Drain {
			pause.For(ctx, f.For)
			return
		}
		begin := time.Now()
		pause.For(ctx, f.For)
		j.rec.add(func(r *Records) {
			r.Leaves = append(r.Leaves, Leave{What: name + ", which drains", Upstreams: []string{name}, Begin: begin, End: time.Now()})
		})
	}
}

// switches returns the change of an upstream's switches for a kind.
func switches(k Kind) func(*emulator.Faults) {
	return map[Kind]func(*emulator.Faults){
		Slow:        func(f *emulator.Faults) { f.SlowFactor = 12 * baseSlow },
		FailFast:    func(f *emulator.Faults) { f.FailFast, f.FailRoutes = true, map[string]float64{"/": 1} },
		FailRoute:   func(f *emulator.Faults) { f.FailRoutes = map[string]float64{"/bench/lookups": 0.8} },
		Shed:        func(f *emulator.Faults) { f.Shed = true },
		Drain:       func(f *emulator.Faults) { f.Draining = true },
		FalseReport: func(f *emulator.Faults) { f.Report = emulator.ReportIdle },
	}[k]
}

// apply adds a fault to an upstream and returns the function that removes it. Several may be in force.
func (j *injector) apply(name string, change func(*emulator.Faults)) func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.next++
	number := j.next
	if j.switched[name] == nil {
		j.switched[name] = map[int]func(*emulator.Faults){}
	}
	j.switched[name][number] = change
	j.refresh(name)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		delete(j.switched[name], number)
		j.refresh(name)
	}
}

// refresh sets the switches of an upstream from its faults. The caller holds the lock.
func (j *injector) refresh(name string) {
	f := emulator.Faults{SlowFactor: baseSlow}
	for change := range maps.Values(j.switched[name]) {
		change(&f)
	}
	if s := j.in.Upstream(name); s != nil {
		_ = s.SetFaults(f)
	}
}

// poison sends a request that crashes each upstream that runs it, one idempotent and one not, until the time has passed.
func (j *injector) poison(ctx context.Context, f Fault) {
	j.mu.Lock()
	j.poisons++
	word := fmt.Sprintf("poison-%d", j.poisons)
	j.mu.Unlock()
	defer j.rec.begin(Poison, word)()
	for i := range oldUpstreams {
		defer j.apply(fmt.Sprintf("bench-%d", i+1), func(f *emulator.Faults) { f.CrashOn, f.CrashDownMs = word, 400 })()
	}
	ctx, cancel := context.WithTimeout(ctx, f.For)
	defer cancel()
	var wait sync.WaitGroup
	for _, s := range []shape{
		{"bench", http.MethodGet, "/bench/plain/", "ordinary", true, true, 3 * time.Second},
		{"bench", http.MethodPost, "/bench/orders/", "ordinary", false, true, 3 * time.Second},
	} {
		wait.Go(func() { j.call.call(s, s.path+word, -1, "benches") })
	}
	wait.Wait()
	<-ctx.Done()
}

func (j *injector) platform(ctx context.Context, f Fault) {
	faults := map[Kind]standin.Faults{
		LogDown:    {LogOutage: true},
		LogSlow:    {DelayMs: 400},
		LogLoses:   {LoseAnswers: 3},
		HostsLag:   {HostsLagMs: 5000},
		GhostHosts: {GhostHosts: []logservice.Host{{Name: "entry-99", DataCentre: "e-1", Address: "127.0.0.1:1", State: logservice.HostLive}}},
	}[f.Kind]
	defer j.rec.begin(f.Kind, "")()
	j.in.Platform.SetFaults(faults)
	if f.Kind == LogLoses {
		j.failed(ctx, f.Kind, j.ops.change(ctx, func(d *desired) { d.weight++ }))
	}
	pause.For(ctx, f.For)
	j.in.Platform.SetFaults(standin.Faults{})
}

// entry kills an entry or stops it as planned, and replaces it after a while.
func (j *injector) entry(ctx context.Context, f Fault) {
	// A stop takes longer than planned while calls run. Two replacements of one entry would run at a time.
	j.entryMu.Lock()
	defer j.entryMu.Unlock()
	if ctx.Err() != nil {
		return
	}
	i := int(f.Pick % uint64(len(j.in.List()))) //nolint:gosec // below the number of entries
	e := j.in.List()[i]
	end := j.rec.begin(f.Kind, e.Host)
	if f.Kind == Kill {
		j.in.KillEntry(i)
	} else {
		begin := time.Now()
		stop := Stop{Address: e.Callers, Begin: begin}
		if err := j.in.StopEntry(i); err != nil {
			stop.Err = err.Error()
		}
		stop.End = time.Now()
		j.rec.add(func(r *Records) { r.Stops = append(r.Stops, stop) })
	}
	j.links.of(e.Host).end()
	pause.For(ctx, f.For/2)
	_, err := j.in.ReplaceEntry(i)
	j.failed(ctx, f.Kind, err)
	pause.For(ctx, 3*time.Second) // the replacement joins
	end()
}
