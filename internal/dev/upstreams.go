package dev

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/model"
	"boragehinge.example/boragehinge/inventory"
)

// Median service times of the emulated upstreams, by the priority of the route's class.
const (
	urgentTime   = 4 * time.Millisecond
	ordinaryTime = 8 * time.Millisecond
	bulkTime     = 15 * time.Millisecond
	spread       = 0.4 // sigma of the log-normal service times
)

// upstreams are the emulated upstreams by name. It is safe for concurrent use.
type upstreams struct {
	seed    uint64
	observe func(upstream string, e emulator.Event)
	mu      sync.Mutex
	byName  map[string]*emulator.Server
	closed  bool
}

func newUpstreams(seed uint64, observe func(string, emulator.Event)) *upstreams {
	return &upstreams{seed: seed, observe: observe, byName: map[string]*emulator.Server{}}
}

// ensure starts the upstreams of the inventory that don't run yet. It reports all that cannot be started.
func (u *upstreams) ensure(inv *model.Inventory) error {
	snapshot := inventory.NewSnapshot(0, inv)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return nil
	}
	var failures []error
	for _, service := range snapshot.Services() {
		for _, up := range service.Upstreams {
			if err := u.startOne(snapshot, service, up); err != nil {
				failures = append(failures, fmt.Errorf("upstream %s: %w", up.Name, err))
			}
		}
	}
	return errors.Join(failures...)
}

func (u *upstreams) startOne(snapshot *inventory.Snapshot, service *inventory.Service, up inventory.Upstream) error {
	if _, running := u.byName[up.Name]; running {
		return nil
	}
	host, _, err := net.SplitHostPort(up.Address)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s is no loopback address, so it cannot be emulated here", up.Address)
	}
	cfg := emulator.Config{
		Name: up.Name, Seed: u.seed + uint64(len(u.byName)), Slots: up.Slots, Routes: routes(snapshot, service),
	}
	if u.observe != nil {
		cfg.Observe = func(e emulator.Event) { u.observe(up.Name, e) }
	}
	s := emulator.New(cfg)
	if err := s.Start(up.Address); err != nil {
		return err
	}
	u.byName[up.Name] = s
	return nil
}

func routes(snapshot *inventory.Snapshot, service *inventory.Service) []emulator.Route {
	var out []emulator.Route
	for _, r := range append(service.Routes[:len(service.Routes):len(service.Routes)], service.DefaultRoute) {
		class, _ := snapshot.Class(r.Class)
		typical := ordinaryTime
		switch {
		case class.Priority == 0:
			typical = urgentTime
		case class.Priority > 6:
			typical = bulkTime
		}
		out = append(out, emulator.Route{Prefix: r.PathPrefix, Time: emulator.Distribution{
			Kind: emulator.LogNormal, Typical: typical, Sigma: spread,
		}})
	}
	return out
}

func (u *upstreams) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	for _, s := range u.byName {
		s.Close()
	}
}

// Upstream returns the emulated upstream of a name; nil when there is none.
func (in *Installation) Upstream(name string) *emulator.Server {
	in.upstreams.mu.Lock()
	defer in.upstreams.mu.Unlock()
	return in.upstreams.byName[name]
}

// Executions sums up the runs of one request ID over all upstreams.
func (in *Installation) Executions(id string) emulator.Execution {
	in.upstreams.mu.Lock()
	defer in.upstreams.mu.Unlock()
	var out emulator.Execution
	for _, s := range in.upstreams.byName {
		e := s.Executions(id)
		out.Begun += e.Begun
		out.Completed += e.Completed
		out.Cancelled += e.Cancelled
	}
	return out
}
