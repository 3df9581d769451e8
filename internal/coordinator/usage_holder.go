package coordinator

import (
	"context"
	"errors"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/usage"
)

// UsageStore is the log in which entries agree on who sends usage reports, and with which counts.
type UsageStore interface {
	// ReadUsage returns the state of the store's current epoch.
	ReadUsage(ctx context.Context) (usage.State, error)
	// WriteUsage appends on the condition in w. An error other than gateway.ErrNotExecuted and gateway.ErrConflict leaves open whether
	// it is carried out, now or later.
	WriteUsage(ctx context.Context, w usage.Write) (usage.WriteAnswer, error)
}

// UsageOptions configure usage reports.
type UsageOptions struct {
	Window, Lease, Late time.Duration // see usage.Config
	Tolerance           float64       // accepted relative error of a report
	PerSecond           float64       // calls that the endpoint accepts from all entries
	Store               UsageStore
	// Send sends a report; why describes a result other than usage.Accepted.
	Send func(ctx context.Context, c *usage.Call) (result usage.CallResult, why string)
}

// holderInterval is the time between two checks of what the holder has to do next.
const holderInterval = 50 * time.Millisecond

// run exchanges counts and sends reports until ctx ends.
func (u *usageReports) run(ctx context.Context) {
	go pause.Every(ctx, u.interval, func(time.Time) { u.exchange(HostClock()) })
	n := u.node
	h := usage.NewHolder(usage.Config{
		Name: n.o.Self.Name, Run: u.source, Window: u.o.Window, Lease: u.o.Lease, Late: u.o.Late, PerSecond: u.o.PerSecond,
	})
	store := &dutyRelay{direct: u.o.Store, peers: n.followerPeers, log: n.log}
	pause.Every(ctx, holderInterval, func(time.Time) {
		for u.step(ctx, h, store) && ctx.Err() == nil {
			u.report(h.Events())
		}
		u.report(h.Events())
	})
}

// step does what is due next, and reports whether there was anything.
func (u *usageReports) step(ctx context.Context, h *usage.Holder, store UsageStore) bool {
	candidate := u.node.mayReport(time.Now())
	u.mu.Lock()
	sent := HostClock()
	s := h.Next(sent, u.clock.Now(sent), candidate, u.table)
	u.mu.Unlock()
	switch {
	case s.Read:
		state, err := store.ReadUsage(ctx)
		h.OnRead(HostClock(), state, err)
	case s.Write != nil:
		answer, err := store.WriteUsage(ctx, *s.Write)
		h.OnWrite(sent, HostClock(), s.Write, answer, writeResult(err))
	case s.Call != nil:
		result, why := u.o.Send(ctx, s.Call)
		h.OnCall(HostClock(), s.Call, result, why)
	default:
		return false
	}
	return true
}

func writeResult(err error) usage.WriteResult {
	switch {
	case err == nil:
		return usage.Written
	case errors.Is(err, gateway.ErrOutcomeUnknown):
		return usage.Unknown
	case errors.Is(err, gateway.ErrConflict):
		return usage.Conflict
	case errors.Is(err, gateway.ErrNotExecuted):
		return usage.NotWritten
	}
	return usage.Unknown
}

// mayReport reports whether this entry leads and has the counts of most entries.
func (n *Node) mayReport(now time.Time) bool {
	n.mu.Lock()
	l, known := n.leader, len(n.view.Entries)
	n.mu.Unlock()
	return l != nil && !inMinority(l.countRecentFollowers(now), known, now.Sub(l.startedAt))
}

// followerPeers returns the peer addresses of the followers while this entry leads.
func (n *Node) followerPeers() []string {
	n.mu.Lock()
	l := n.leader
	n.mu.Unlock()
	if l == nil {
		return nil
	}
	return l.peerAddresses()
}

// report logs and counts what has happened.
func (u *usageReports) report(events []usage.Event) {
	log, m := u.node.log, u.node.o.Metrics
	for _, e := range events {
		switch e.Kind {
		case usage.TookOver:
			m.usageHolder.Set(1)
			log.Info().Str("event", "usage").Uint64("token", e.Token).Msg("holds the lease for usage reports")
		case usage.Lost:
			m.usageHolder.Set(0)
			log.Info().Str("event", "usage").Uint64("token", e.Token).Str("why", e.Why).Msg("no longer holds the lease for usage reports")
		case usage.Fixed:
			log.Debug().Str("event", "usage").Int64("window", e.Window).Msg("counts decided")
		case usage.Delivered:
			m.usageReports.WithLabelValues("sent").Inc()
			log.Info().Str("event", "usage").Int64("window", e.Window).Uint64("token", e.Token).Int("attempt", e.Attempt).Msg("usage reported")
		case usage.Repeated:
			m.usageReports.WithLabelValues("repeated").Inc()
			log.Warn().Str("event", "usage").Int64("window", e.Window).Int("attempt", e.Attempt).Str("why", e.Why).Msg("usage report is repeated")
		case usage.GaveUp:
			m.usageReports.WithLabelValues("given_up").Inc()
			log.Warn().Str("event", "usage").Int64("window", e.Window).Int("attempt", e.Attempt).Str("why", e.Why).Msg("usage report given up")
		}
	}
}
