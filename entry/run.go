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

// Run serves until ctx ends, then performs the planned stop: the entry is removed from address responses, hands over its
// pools, keeps serving callers that still have its address, waits for running calls and returns nil. When the second
// context, abort, ends, the planned stop is aborted and Run returns an error that matches ErrCut.
func (e *Entry) Run(ctx, abort context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks sync.WaitGroup
	start := func(f func(context.Context)) {
		tasks.Add(1)
		go func() { defer tasks.Done(); f(background) }()
	}
	node, stopNode := context.WithCancel(context.Background())
	defer stopNode()
	var membership sync.WaitGroup
	membership.Add(1)
	go func() { defer membership.Done(); e.node.Run(node) }()

	failed := e.serve(&tasks)
	start(func(ctx context.Context) { _ = e.follower.Run(ctx) })
	start(e.pollHostList)
	start(e.reconcileLoop)
	start(e.moves.run)
	start(e.housekeeping)
	start(e.flushDecisions)
	start(e.followWindows)
	start(e.peerClient.Run)
	if e.operatorsPort != nil {
		start(e.operatorsPort.Run)
	}
	callers, peers, operators := e.Addresses()
	e.log.Info().Str("incarnation", e.Incarnation()).Str("callers", callers).Str("peers", peers).Str("operators", operators).
		Msg("entry started")

	var err error
	select {
	case <-ctx.Done():
		err = e.plannedStop(abort)
	case err = <-failed:
	}
	e.state.Store(stopped)
	stopNode()
	membership.Wait()
	e.closeServers(abort)
	stop()
	e.background.Wait()
	e.closePools()
	e.peerClient.Close()
	tasks.Wait()
	_ = e.decisionLog.Flush(time.Now())
	_ = e.Close()
	e.log.Info().AnErr("error", err).Msg("entry stopped")
	return err
}

// serve starts the servers of the three ports. The channel receives their errors.
func (e *Entry) serve(tasks *sync.WaitGroup) <-chan error {
	failed := make(chan error, 3)
	for name, s := range map[string]*proxy.Server{"callers": e.callers, "peers": e.peers, "operators": e.operators} {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			if err := s.Serve(e.listeners[name]); err != nil {
				failed <- err
			}
		}()
	}
	return failed
}

const (
	// lateForwardTimeout is the time for forwards that were in flight when their sender received the goodbye.
	lateForwardTimeout = 2 * time.Second
	// handlerExitTimeout is the time for handlers to return after their connections were closed.
	handlerExitTimeout = 2 * time.Second
)

// closeServers closes the ports and waits for their handlers to return.
func (e *Entry) closeServers(abort context.Context) {
	ctx, cancel := context.WithTimeout(abort, lateForwardTimeout)
	defer cancel()
	_ = e.peers.Stop(ctx, 0)
	servers := []*proxy.Server{e.callers, e.peers, e.operators}
	for _, s := range servers {
		_ = s.Close()
	}
	end := time.Now().Add(handlerExitTimeout)
	for _, s := range servers {
		for s.Running() > 0 && time.Now().Before(end) {
			time.Sleep(time.Millisecond)
		}
	}
}

// closePools shuts down all pools and waits for them.
func (e *Entry) closePools() {
	own := &e.ownership
	own.mu.Lock()
	list := own.all()
	own.init()
	own.mu.Unlock()
	for _, o := range list {
		o.shutDown()
	}
	own.closing.Wait()
}

// triggerReconcile makes reconcileLoop run immediately.
func (e *Entry) triggerReconcile() {
	select {
	case e.reconcileNow <- struct{}{}:
	default:
	}
}

// reconcileLoop keeps pool ownership, the registrar's members and the routing weights up to date until ctx ends. While the
// configuration isn't current, it also requests missing log records.
func (e *Entry) reconcileLoop(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	var lastChooserTick, lastRecordRequest time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.reconcileNow:
		case <-ticker.C:
		}
		now := time.Now()
		e.registrar.tick(now)
		e.reconcile()
		if now.Sub(lastChooserTick) >= routing.TickInterval {
			lastChooserTick = now
			e.tickChoosers(now)
		}
		if now.Sub(lastRecordRequest) >= recordRequestInterval {
			lastRecordRequest = now
			e.requestMissingRecords()
		}
	}
}

// housekeeping runs the periodic tasks that are due once a second.
func (e *Entry) housekeeping(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		if !e.registrar.memberAgesKnown.Load() {
			e.registrar.fetchMemberAges(ctx)
		}
		e.registrar.registry.Expire(time.Now())
		e.updateMetrics()
		e.appendPendingLeavings(ctx)
		e.announceColdUpstreams(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) flushDecisions(ctx context.Context) {
	pause.Every(ctx, telemetry.DecisionInterval, func(now time.Time) { _ = e.decisionLog.Flush(now) })
}

// plannedStop stops the entry without interrupting requests, unless abort ends or the stop timeout passes first.
func (e *Entry) plannedStop(abort context.Context) error {
	e.state.Store(stopping)
	ctx, cancel := context.WithTimeout(abort, time.Duration(e.settings.StopTimeoutSeconds)*time.Second)
	defer cancel()
	e.stopDeadline.Store(time.Now().Add(time.Duration(e.settings.StopTimeoutSeconds) * time.Second).UnixNano())
	e.log.Info().Int("running", e.callers.Running()).Msg("planned stop begins")
	e.node.SetLeaving()
	e.triggerReconcile()
	err := e.callers.Stop(ctx, e.opt.addressKeep+e.opt.stopMargin)
	e.registrar.registry.Freeze()
	if err == nil {
		err = e.waitForForwardedCalls(ctx)
	}
	if handoverErr := e.handOverRecords(abort); handoverErr != nil {
		e.log.Warn().Err(handoverErr).Msg("failed to hand over records; other entries answer unknown for their request IDs")
	}
	if err == nil {
		return nil
	}
	// A call that this entry grants to itself is counted in both.
	calls := e.callers.Running()
	e.log.Warn().Int("calls", calls).Int("granted", e.runningCalls()-calls).Msg("planned stop cut short; calls were cut")
	return errors.Join(ErrCut, err)
}

// recordHandoverTimeout bounds the handover of records, also after the deadline of the planned stop.
const recordHandoverTimeout = 10 * time.Second

func (e *Entry) handOverRecords(abort context.Context) error {
	ctx, cancel := context.WithTimeout(abort, recordHandoverTimeout)
	defer cancel()
	return e.registrar.handOver(ctx)
}

// waitForForwardedCalls waits until all calls have finished, including those that other entries forwarded.
func (e *Entry) waitForForwardedCalls(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
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

// runningCalls returns the number of running calls from callers and from forwards.
func (e *Entry) runningCalls() int {
	return e.callers.Running() + int(e.forwards.Load())
}
