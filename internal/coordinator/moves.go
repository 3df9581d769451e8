package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/placement"
)

// writePause lies between two attempts to write a status.
const writePause = 150 * time.Millisecond

// mover carries out the operators' moves to new versions and reports their state.
type mover struct {
	l *leadership

	mu      sync.Mutex
	orders  map[string]moveOrder
	wanted  map[string]gateway.MoveStatus // statuses to be written, by service
	end     int64                         // of the log of statuses
	writing bool
	nextTry time.Time
}

type moveOrder struct {
	move   gateway.Move
	offset int64
	seen   time.Time
}

func newMover(l *leadership) *mover {
	return &mover{l: l, orders: map[string]moveOrder{}, wanted: map[string]gateway.MoveStatus{}}
}

// configure takes over orders and statuses from the store.
func (m *mover) configure(now time.Time, w *gateway.View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.end = w.Ends[gateway.Statuses]
	if !w.Known[gateway.Statuses] {
		m.hold(w)
		return
	}
	for service, move := range w.Moves {
		m.takeOrder(now, w, service, move)
	}
	for service, status := range w.Statuses {
		if wanted, ok := m.wanted[service]; ok && wanted == status {
			delete(m.wanted, service)
		}
	}
	for service := range m.orders {
		if _, ok := w.Moves[service]; !ok {
			delete(m.orders, service)
		}
	}
}

// hold keeps requests off the new versions while it isn't known whether a move has ended.
func (m *mover) hold(w *gateway.View) {
	for service, move := range w.Moves {
		m.l.coordinator.WithPool(service, func(p *placement.Pool) { p.HoldMove(move.Version) })
	}
}

func (m *mover) takeOrder(now time.Time, w *gateway.View, service string, move gateway.Move) {
	offset := w.MoveOffset[service]
	status, reported := w.Statuses[service]
	ended := reported && status.Version == move.Version && status.State != gateway.MoveRunning
	if order, known := m.orders[service]; known && order.offset == offset {
		if ended {
			m.settle(service, status)
		}
		return
	}
	m.orders[service] = moveOrder{move: move, offset: offset, seen: w.MoveSeen[service]}
	if ended {
		m.settle(service, status)
		return
	}
	m.l.coordinator.WithPool(service, func(p *placement.Pool) {
		p.StartMove(now, move.Version, move.Duration-now.Sub(w.MoveSeen[service]))
	})
	m.wanted[service] = gateway.MoveStatus{Service: service, Version: move.Version, State: gateway.MoveRunning}
	m.l.log.Info().Str("event", "move").Str("service", service).Str("version", move.Version).Dur("duration", move.Duration).
		Int64("offset", offset).Msg("move starts")
}

func (m *mover) settle(service string, status gateway.MoveStatus) {
	phase := reportedPhase(status, gateway.Move{Service: service, Version: status.Version})
	m.l.coordinator.WithPool(service, func(p *placement.Pool) { p.SettleMove(status.Version, phase) })
}

// advance lets time pass for the moves and writes the statuses that are due.
func (m *mover) advance(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, order := range m.orders {
		m.advanceOne(now, service, order)
	}
	if m.writing || len(m.wanted) == 0 || now.Before(m.nextTry) {
		return
	}
	for _, status := range m.wanted {
		m.writing = true
		go m.write(ctx, status, m.end)
		return
	}
}

func (m *mover) advanceOne(now time.Time, service string, order moveOrder) {
	var phase placement.MovePhase
	var why string
	var changed bool
	m.l.coordinator.WithPool(service, func(p *placement.Pool) { phase, why, changed = p.AdvanceMove(now) })
	if !changed {
		return
	}
	m.l.log.Info().Str("event", "move").Str("service", service).Str("version", order.move.Version).Str("phase", phase.String()).
		Str("why", why).Dur("elapsed", now.Sub(order.seen)).Msg("move advances")
	switch phase {
	case placement.Done:
		m.wanted[service] = gateway.MoveStatus{Service: service, Version: order.move.Version, State: gateway.MoveCompleted}
	case placement.RolledBack:
		m.wanted[service] = gateway.MoveStatus{Service: service, Version: order.move.Version, State: gateway.MoveRolledBack}
	}
	notice := MoveNotice{Service: service, Version: order.move.Version, Phase: phase}
	m.l.node.noteMove(notice)
	m.l.broadcast(func(f *Frame) { f.Moves = append(f.Moves, notice) })
}

// write reports a status under the condition that no other one was written meanwhile. The feed brings the record back,
// which ends the wish for it; until then the write is repeated under the condition of the newest end.
func (m *mover) write(ctx context.Context, status gateway.MoveStatus, end int64) {
	err := m.l.relay.WriteStatus(ctx, status, end)
	m.mu.Lock()
	m.writing = false
	m.nextTry = time.Now().Add(writePause)
	if err == nil && m.wanted[status.Service] == status {
		delete(m.wanted, status.Service)
	}
	m.mu.Unlock()
	e := m.l.log.Info()
	if err != nil {
		e = m.l.log.Warn().Err(err)
	}
	e.Str("event", "status").Str("service", status.Service).Str("version", status.Version).Str("state", status.State.String()).
		Int64("at", end).Msg("status written")
	if errors.Is(err, gateway.ErrConflict) || errors.Is(err, gateway.ErrOutcomeUnknown) {
		m.refresh(ctx)
	}
}

// refresh reads the newest statuses, so that the next write has the right condition.
func (m *mover) refresh(ctx context.Context) {
	batch, _, err := m.l.relay.Newest(ctx, gateway.Statuses)
	if err != nil {
		m.l.log.Warn().Str("dependency", "store").Err(err).Msg("statuses not read")
		return
	}
	m.l.deliverBatch(batch, time.Time{})
}

func (m *mover) notices() []MoveNotice {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []MoveNotice
	for service := range m.orders {
		m.l.coordinator.WithPool(service, func(p *placement.Pool) {
			version, phase := p.Move()
			out = append(out, MoveNotice{Service: service, Version: version, Phase: phase})
		})
	}
	return out
}
