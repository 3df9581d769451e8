package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/placement"
)

// statusWriteInterval is the minimum time between two attempts to write a status.
const statusWriteInterval = 150 * time.Millisecond

// moveController carries out the operators' orders to move services to new versions, and writes the status of each move to
// the store.
type moveController struct {
	l *leadership

	mu      sync.Mutex
	orders  map[string]moveOrder
	pending map[string]gateway.MoveStatus // statuses to write, by service
	logEnd  gateway.Position              // end of the log of statuses
	writing bool
	nextTry time.Time
}

// moveOrder is an operator's order of a move, identified by the position of its record.
type moveOrder struct {
	move      gateway.Move
	position  gateway.Position
	firstSeen time.Time
}

func newMoveController(l *leadership) *moveController {
	return &moveController{l: l, orders: map[string]moveOrder{}, pending: map[string]gateway.MoveStatus{}}
}

// configure applies orders and statuses from the view.
func (m *moveController) configure(now time.Time, v *gateway.View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logEnd = gateway.Position{Epoch: v.Epochs[gateway.Statuses], Offset: v.LogEnds[gateway.Statuses]}
	if !v.Synced[gateway.Statuses] {
		m.holdMoves(v)
		return
	}
	for service, move := range v.Moves {
		m.applyOrder(now, v, service, move)
	}
	lost := v.LostStatuses()
	for service, status := range v.Statuses {
		if _, ok := lost[service]; !ok {
			m.dropPending(service, status)
		}
	}
	for service, status := range lost {
		m.writeAgain(service, status)
	}
	for service := range m.orders {
		if _, ok := v.Moves[service]; !ok {
			delete(m.orders, service)
		}
	}
}

// holdMoves keeps requests off the new versions while the statuses are not yet read, so it is unknown whether a move has
// ended.
func (m *moveController) holdMoves(v *gateway.View) {
	for service, move := range v.Moves {
		m.l.coordinator.WithPool(service, func(p *placement.Pool) { p.BlockVersion(move.Version) })
	}
}

// applyOrder starts the move of a new order, or applies the result of a move that has ended.
func (m *moveController) applyOrder(now time.Time, v *gateway.View, service string, move gateway.Move) {
	position := v.MoveOffset[service]
	status, reported := v.Statuses[service]
	ended := reported && status.Version == move.Version && status.State != gateway.MoveRunning
	if order, known := m.orders[service]; known && order.position == position {
		if ended {
			m.settle(service, status)
		}
		return
	}
	m.orders[service] = moveOrder{move: move, position: position, firstSeen: v.MoveSeen[service]}
	if ended {
		m.settle(service, status)
		return
	}
	m.l.coordinator.WithPool(service, func(p *placement.Pool) {
		p.StartMove(now, move.Version, move.Duration-now.Sub(v.MoveSeen[service]))
	})
	m.pending[service] = gateway.MoveStatus{Service: service, Version: move.Version, State: gateway.MoveRunning}
	m.l.log.Info().Str("event", "move").Str("service", service).Str("version", move.Version).Dur("duration", move.Duration).
		Int64("offset", position.Offset).Msg("move starts")
}

// dropPending drops a status that need not be written any more, because the store has it, or must not be, because the move has ended:
// the first result of a move is final, whichever leader wrote it.
func (m *moveController) dropPending(service string, status gateway.MoveStatus) {
	pending, ok := m.pending[service]
	if !ok || pending.Version != status.Version {
		return
	}
	if pending != status && status.State == gateway.MoveRunning {
		return
	}
	delete(m.pending, service)
	if pending != status {
		m.l.log.Warn().Str("event", "move").Str("service", service).Str("version", status.Version).Str("state", status.State.String()).
			Str("dropped", pending.State.String()).Msg("move was ended by another leader")
	}
}

// writeAgain makes a status pending that the store has lost in a restore, unless a later one of the same move, or one of another move, is
// pending.
func (m *moveController) writeAgain(service string, status gateway.MoveStatus) {
	pending, ok := m.pending[service]
	if ok && (pending == status || pending.Version != status.Version || status.State == gateway.MoveRunning) {
		return
	}
	m.pending[service] = status
	m.l.log.Info().Str("event", "restore").Str("service", service).Str("version", status.Version).Str("state", status.State.String()).
		Msg("the store has lost the status of a move; writing it again")
}

func (m *moveController) settle(service string, status gateway.MoveStatus) {
	phase := reportedPhase(status, gateway.Move{Service: service, Version: status.Version})
	m.l.coordinator.WithPool(service, func(p *placement.Pool) { p.SetMovePhase(status.Version, phase) })
}

// advance advances the moves, and starts a write of a pending status. See Pool.AdvanceMove for mayFinish.
func (m *moveController) advance(ctx context.Context, now time.Time, mayFinish bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, order := range m.orders {
		m.advanceMove(now, service, order, mayFinish)
	}
	if m.writing || len(m.pending) == 0 || now.Before(m.nextTry) {
		return
	}
	if m.l.node.storeEpoch.Load() > m.logEnd.Epoch {
		return // the end of the log is not yet known in the present epoch
	}
	for _, status := range m.pending {
		m.writing = true
		go m.write(ctx, status, m.logEnd)
		return
	}
}

func (m *moveController) advanceMove(now time.Time, service string, order moveOrder, mayFinish bool) {
	var phase placement.MovePhase
	var why string
	var changed bool
	m.l.coordinator.WithPool(service, func(p *placement.Pool) { phase, why, changed = p.AdvanceMove(now, mayFinish) })
	if !changed {
		return
	}
	m.l.log.Info().Str("event", "move").Str("service", service).Str("version", order.move.Version).Str("phase", phase.String()).
		Str("why", why).Dur("elapsed", now.Sub(order.firstSeen)).Msg("move advances")
	switch phase {
	case placement.Done:
		m.pending[service] = gateway.MoveStatus{Service: service, Version: order.move.Version, State: gateway.MoveCompleted}
	case placement.RolledBack:
		m.pending[service] = gateway.MoveStatus{Service: service, Version: order.move.Version, State: gateway.MoveRolledBack}
	}
	notice := MoveNotice{Service: service, Version: order.move.Version, Phase: phase}
	m.l.node.applyMoveNotice(notice)
	for _, f := range m.l.currentFollowers() {
		m.l.sendMoves(f, notice)
	}
}

// write appends a status on the condition that the log still ends at the given offset, so that no concurrent write is
// overwritten. A status stays pending, and its write is retried with the newest end of the log, until a write succeeds or the
// feed returns the record.
func (m *moveController) write(ctx context.Context, status gateway.MoveStatus, end gateway.Position) {
	_, err := m.l.relay.WriteStatus(ctx, status, end)
	if err == nil {
		// The view and the followers know the status from now on, so it is written again if the store is restored before it is read back.
		m.l.deliverBatch(writtenStatus(status, end), time.Time{})
	}
	m.mu.Lock()
	m.writing = false
	m.nextTry = time.Now().Add(statusWriteInterval)
	if err == nil && m.logEnd.Epoch == end.Epoch && m.pending[status.Service] == status {
		delete(m.pending, status.Service)
	}
	m.mu.Unlock()
	e := m.l.log.Info()
	if err != nil {
		e = m.l.log.Warn().Err(err)
	}
	e.Str("event", "status").Str("service", status.Service).Str("version", status.Version).Str("state", status.State.String()).
		Int64("at", end.Offset).Msg("status write finished")
	if errors.Is(err, gateway.ErrConflict) || errors.Is(err, gateway.ErrOutcomeUnknown) {
		m.refresh(ctx)
	}
}

// writtenStatus returns the record of a status that was written at a position.
func writtenStatus(status gateway.MoveStatus, at gateway.Position) gateway.Batch {
	update := gateway.Update{Key: gateway.MoveKey + status.Service, Offset: at.Offset, Status: &status}
	return gateway.Batch{Source: gateway.Statuses, Epoch: at.Epoch, End: at.Offset + 1, Updates: []gateway.Update{update}}
}

// refresh reads the newest statuses, so that the next write uses the current end of the log.
func (m *moveController) refresh(ctx context.Context) {
	batch, _, err := m.l.relay.Newest(ctx, gateway.Statuses)
	if err != nil {
		m.l.log.Warn().Str("dependency", "store").Err(err).Msg("failed to read statuses")
		return
	}
	m.l.deliverBatch(batch, time.Time{})
}

// notices returns the phases of all moves, for a follower that joins.
func (m *moveController) notices() []MoveNotice {
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
