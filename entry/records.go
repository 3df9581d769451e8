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
	// recordBytes bounds an answer of records; base64 and the envelope must fit into a frame.
	recordBytes = 64 << 10
	// A peer that reports a newer version is asked at most this often, as the log usually brings the record first.
	requestInterval = 500 * time.Millisecond
)

// recordRequests bounds the requests for records.
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
	if now.Sub(r.last[incarnation]) < requestInterval {
		return false
	}
	r.last[incarnation] = now
	return true
}

func (e *Entry) callbacks() cluster.Callbacks {
	return cluster.Callbacks{
		RecordsRequest: e.answerRecords,
		Records:        e.takeRecords,
		Statistics:     func(_ membership.Member, s wire.Statistics) { e.moves.takeStatistics(s) },
		ColdUpstreams:  func(_ membership.Member, c wire.ColdUpstreams) { e.cold.take(time.Now(), c) },
		Fact:           e.takeFact,
		NewerVersion:   func(from membership.Member, _ int) { e.requestRecords(from.Incarnation) },
		PoolSummaries:  func(_ membership.Member, list []wire.PoolSummary) { e.takeSummaries(list) },
		Changes:        e.takeChanges,
		Pools:          e.summaries,
	}
}

func (e *Entry) takeChanges(changes []membership.Change) {
	for _, c := range changes {
		line := e.log.Info()
		if c.Kind == membership.Died || c.Kind == membership.Paused {
			line = e.log.Warn()
		}
		line.Str("member", c.Member.Host).Str("incarnation", c.Member.Incarnation).Str("change", c.Kind.String()).
			Dur("gap", c.Gap).Msg("member")
	}
	e.poke()
}

// requestRecords asks a peer for the records that this entry lacks.
func (e *Entry) requestRecords(incarnation string) {
	if e.records.due(time.Now(), incarnation) {
		_ = e.node.Send(incarnation, wire.Envelope{
			Type: wire.EnvelopeTypeRecordsRequest, RecordsRequest: &wire.RecordsRequest{From: int(e.follower.Next())},
		})
	}
}

// requestMissing asks all neighbours while the configuration isn't proved to be current.
func (e *Entry) requestMissing() {
	if ok, _ := e.follower.Ready(); ok {
		return
	}
	for _, m := range e.neighbours() {
		e.requestRecords(m.Incarnation)
	}
}

func (e *Entry) answerRecords(from membership.Member, r wire.RecordsRequest) {
	entries, oldest, err := e.follower.Records(int64(r.From), recordBytes)
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
		e.log.Warn().Err(err).Str("to", from.Host).Msg("records not sent")
	}
}

func (e *Entry) takeRecords(from membership.Member, r wire.Records) {
	entries := make([]logservice.Entry, 0, len(r.Records))
	for _, rec := range r.Records {
		entries = append(entries, logservice.Entry{
			Offset: int64(rec.Offset), Time: time.UnixMilli(int64(rec.TimeMs)).UTC(), Data: []byte(rec.Data),
		})
	}
	e.follower.Offer(from.Host, entries)
	if len(entries) > 0 {
		e.records.mu.Lock()
		delete(e.records.last, from.Incarnation)
		e.records.mu.Unlock()
		e.requestRecords(from.Incarnation)
	}
}

// appendRecord writes a record to the log. Its effect is known only once the record is read back.
func (e *Entry) appendRecord(ctx context.Context, r configlog.Record) error {
	data, err := configlog.Encode(r)
	if err != nil {
		return err
	}
	_, err = e.plat.log.Append(ctx, data)
	return err
}
