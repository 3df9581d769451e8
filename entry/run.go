package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/proxy"
	"boragehinge.example/boragehinge/internal/routing"
	"boragehinge.example/boragehinge/internal/telemetry"
)

// Run serves until ctx ends, then stops as planned: the entry leaves the address answers, hands its pools over, serves
// the callers that still know its address, waits for what runs and returns nil. A second context, cut, ends the planned
// stop at once; Run then returns an error that matches ErrCut and says what was cut.
func (e *Entry) Run(ctx, cut context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var parts sync.WaitGroup
	start := func(f func(context.Context)) {
		parts.Add(1)
		go func() { defer parts.Done(); f(background) }()
	}
	node, stopNode := context.WithCancel(context.Background())
	defer stopNode()
	var membership sync.WaitGroup
	membership.Add(1)
	go func() { defer membership.Done(); e.node.Run(node) }()

	failed := e.serve(&parts)
	start(func(ctx context.Context) { _ = e.follower.Run(ctx) })
	start(e.followHosts)
	start(e.control)
	start(e.moves.run)
	start(e.housekeeping)
	start(e.flushDecisions)
	start(e.followWindows)
	start(e.toPeers.Run)
	if e.port != nil {
		start(e.port.Run)
	}
	callers, peers, operators := e.Addresses()
	e.log.Info().Str("incarnation", e.Incarnation()).Str("callers", callers).Str("peers", peers).Str("operators", operators).
		Msg("entry started")

	var err error
	select {
	case <-ctx.Done():
		err = e.plannedStop(cut)
	case err = <-failed:
	}
	e.state.Store(stopped)
	stopNode()
	membership.Wait()
	e.closeServers(cut)
	stop()
	e.background.Wait()
	e.endPools()
	e.toPeers.Close()
	parts.Wait()
	_ = e.lines.Flush(time.Now())
	_ = e.Close()
	e.log.Info().AnErr("error", err).Msg("entry stopped")
	return err
}

// serve starts the servers of the three ports. The channel receives the first error.
func (e *Entry) serve(parts *sync.WaitGroup) <-chan error {
	failed := make(chan error, 3)
	for name, s := range map[string]*proxy.Server{"callers": e.callers, "peers": e.peers, "operators": e.operators} {
		parts.Add(1)
		go func() {
			defer parts.Done()
			if err := s.Serve(e.listeners[name]); err != nil {
				failed <- err
			}
		}()
	}
	return failed
}

const (
	// lateForwards is left to forwards that were on their way when the goodbye reached their sender.
	lateForwards = 2 * time.Second
	// cancelTime is left to handlers whose connections were closed.
	cancelTime = 2 * time.Second
)

// closeServers closes the ports and waits for their handlers.
func (e *Entry) closeServers(cut context.Context) {
	ctx, cancel := context.WithTimeout(cut, lateForwards)
	defer cancel()
	_ = e.peers.Stop(ctx, 0)
	servers := []*proxy.Server{e.callers, e.peers, e.operators}
	for _, s := range servers {
		_ = s.Close()
	}
	end := time.Now().Add(cancelTime)
	for _, s := range servers {
		for s.Running() > 0 && time.Now().Before(end) {
			time.Sleep(time.Millisecond)
		}
	}
}

// endPools ends all pools and waits for them.
func (e *Entry) endPools() {
	w := &e.ownership
	w.mu.Lock()
	list := w.all()
	w.init()
	w.mu.Unlock()
	for _, o := range list {
		o.end()
	}
	w.ended.Wait()
}

// poke has ownership compared at once.
func (e *Entry) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// control keeps ownership, the records of the data centre's members and the weights of pools up to date.
func (e *Entry) control(ctx context.Context) {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	var choosers, requests time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		case <-ticker.C:
		}
		now := time.Now()
		e.registrar.tick(now)
		e.reconcile()
		if now.Sub(choosers) >= routing.TickInterval {
			choosers = now
			e.tickChoosers(now)
		}
		if now.Sub(requests) >= requestInterval {
			requests = now
			e.requestMissing()
		}
	}
}

// housekeeping does what is due once a second.
func (e *Entry) housekeeping(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		if !e.registrar.adopted.Load() {
			e.registrar.adopt(ctx)
		}
		e.registrar.registry.Expire(time.Now())
		e.updateMetrics()
		e.retryLeaving(ctx)
		e.tellCold(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) flushDecisions(ctx context.Context) {
	pause.Every(ctx, telemetry.DecisionInterval, func(now time.Time) { _ = e.lines.Flush(now) })
}

// plannedStop stops the entry without interrupting a request, unless cut ends first.
func (e *Entry) plannedStop(cut context.Context) error {
	e.state.Store(stopping)
	ctx, cancel := context.WithTimeout(cut, time.Duration(e.set.StopTimeoutSeconds)*time.Second)
	defer cancel()
	e.stopBy.Store(time.Now().Add(time.Duration(e.set.StopTimeoutSeconds) * time.Second).UnixNano())
	e.log.Info().Int("running", e.callers.Running()).Msg("planned stop begins")
	e.node.SetLeaving()
	e.poke()
	err := e.callers.Stop(ctx, e.opt.keep+e.opt.stopMargin)
	e.registrar.registry.Freeze()
	if err == nil {
		err = e.waitForCalls(ctx)
	}
	if handed := e.handOverRecords(cut); handed != nil {
		e.log.Warn().Err(handed).Msg("records not handed over; others answer unknown for them")
	}
	if err == nil {
		return nil
	}
	// A call that its own entry runs is counted at both places.
	calls := e.callers.Running()
	e.log.Warn().Int("calls", calls).Int("granted", e.runningCalls()-calls).Msg("planned stop cut short; calls were cut")
	return errors.Join(ErrCut, err)
}

// handOverTime is left for the records when the time of the planned stop has passed.
const handOverTime = 10 * time.Second

func (e *Entry) handOverRecords(cut context.Context) error {
	ctx, cancel := context.WithTimeout(cut, handOverTime)
	defer cancel()
	return e.registrar.handOver(ctx)
}

// waitForCalls waits for the calls that other entries forwarded.
func (e *Entry) waitForCalls(ctx context.Context) error {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	for e.runningCalls() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// runningCalls returns the calls of callers and those that other entries forwarded.
func (e *Entry) runningCalls() int {
	return e.callers.Running() + int(e.forwards.Load())
}
