package entry

import (
	"context"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/cluster"
	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/wire"
)

const (
	// maxRecordsBytes bounds the records in one message, which must fit into a frame with base64 and the envelope.
	maxRecordsBytes = 64 << 10
	// recordRequestInterval limits how often a peer that reports a newer version is asked for records. The log usually
	// delivers them first.
	recordRequestInterval = 500 * time.Millisecond
)

// recordRequests limits the rate of record requests to each peer.
type recordRequests struct {
	mu   sync.Mutex
	last map[string]time.Time // by incarnation
}

func (r *recordRequests) due(now time.Time, incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil || len(r.last) > 1024 {
		r.last = map[string]time.Time{}
	}
	if now.Sub(r.last[incarnation]) < recordRequestInterval {
		return false
	}
	r.last[incarnation] = now
	return true
}

func (e *Entry) callbacks() cluster.Callbacks {
	return cluster.Callbacks{
		RecordsRequest: e.answerRecords,
		Records:        e.receiveRecords,
		Statistics:     func(_ membership.Member, s wire.Statistics) { e.moves.handleStatistics(s) },
		ColdUpstreams:  func(_ membership.Member, c wire.ColdUpstreams) { e.coldUpstreams.put(time.Now(), c) },
		Fact:           e.handleFact,
		NewerVersion:   func(from membership.Member, _ int) { e.requestRecords(from.Incarnation) },
		PoolSummaries:  func(_ membership.Member, list []wire.PoolSummary) { e.handlePoolSummaries(list) },
		Changes:        e.handleMemberChanges,
		Pools:          e.ownPoolSummaries,
	}
}

func (e *Entry) handleMemberChanges(changes []membership.Change) {
	for _, c := range changes {
		line := e.log.Info()
		if c.Kind == membership.Died || c.Kind == membership.Paused {
			line = e.log.Warn()
		}
		line.Str("member", c.Member.Host).Str("incarnation", c.Member.Incarnation).Str("change", c.Kind.String()).
			Dur("gap", c.Gap).Msg("member")
	}
	e.triggerReconcile()
}

// requestRecords asks a peer for the log records that this entry hasn't read yet.
func (e *Entry) requestRecords(incarnation string) {
	if e.recordLimiter.due(time.Now(), incarnation) {
		_ = e.node.Send(incarnation, wire.Envelope{
			Type: wire.EnvelopeTypeRecordsRequest, RecordsRequest: &wire.RecordsRequest{From: int(e.follower.Next())},
		})
	}
}

// requestMissingRecords asks the other entries of the data centre for records while the configuration isn't known to be
// current.
func (e *Entry) requestMissingRecords() {
	if ok, _ := e.follower.Ready(); ok {
		return
	}
	for _, m := range e.neighbours() {
		e.requestRecords(m.Incarnation)
	}
}

func (e *Entry) answerRecords(from membership.Member, r wire.RecordsRequest) {
	entries, oldest, err := e.follower.Records(int64(r.From), maxRecordsBytes)
	if err != nil {
		return
	}
	answer := wire.Records{Records: []wire.LogRecord{}}
	first := int(oldest)
	answer.Oldest = &first
	for _, en := range entries {
		answer.Records = append(answer.Records, wire.LogRecord{
			Offset: int(en.Offset), TimeMs: int(en.Time.UnixMilli()), Data: string(en.Data),
		})
	}
	if err := e.node.Send(from.Incarnation, wire.Envelope{Type: wire.EnvelopeTypeRecords, Records: &answer}); err != nil {
		e.log.Warn().Err(err).Str("to", from.Host).Msg("failed to send records")
	}
}

func (e *Entry) receiveRecords(from membership.Member, r wire.Records) {
	entries := make([]logservice.Entry, 0, len(r.Records))
	for _, rec := range r.Records {
		entries = append(entries, logservice.Entry{
			Offset: int64(rec.Offset), Time: time.UnixMilli(int64(rec.TimeMs)).UTC(), Data: []byte(rec.Data),
		})
	}
	e.follower.Offer(from.Host, entries)
	if len(entries) > 0 {
		e.recordLimiter.mu.Lock()
		delete(e.recordLimiter.last, from.Incarnation)
		e.recordLimiter.mu.Unlock()
		e.requestRecords(from.Incarnation)
	}
}

// appendRecord appends a record to the log. Whether it is accepted is known only once it has been read back.
func (e *Entry) appendRecord(ctx context.Context, r configlog.Record) error {
	data, err := configlog.Encode(r)
	if err != nil {
		return err
	}
	_, err = e.platform.log.Append(ctx, data)
	return err
}
