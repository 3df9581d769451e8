package entry

import (
	"context"
	"encoding/base64"
	"fmt"
	"maps"
	"net/http"
	"time"

	"boragehinge.example/boragehinge/internal/idempotency"
	"boragehinge.example/boragehinge/internal/wire"
)

const (
	// batchBytes is the size at which a batch of records is sent. A batch may exceed it by one record, which still fits into
	// a request.
	batchBytes = 1 << 20
	// handoverTimeout bounds a single request of a handover.
	handoverTimeout = 5 * time.Second
)

// window returns the current window of the request IDs that this entry issues.
func (r *registrar) window(now time.Time) wire.RequestWindow {
	id, _ := idempotency.ParseID(r.registry.Prefix(now) + ".x")
	return wire.RequestWindow{Incarnation: r.e.Incarnation(), Window: int(id.Window)}
}

// ages returns how long the members have been live or lost. A starting entry fetches it to decide on opaque IDs.
func (r *registrar) ages(now time.Time) wire.MemberAges {
	a := r.homes.Ages(now)
	out := wire.MemberAges{Complete: r.knowsLostMembers(now), LiveMs: wire.MemberAgesLiveMs{}, LostMs: wire.MemberAgesLostMs{}}
	for m, d := range a.Live {
		out.LiveMs[m] = int(d.Milliseconds())
	}
	for m, d := range a.Lost {
		out.LostMs[m] = int(d.Milliseconds())
	}
	return out
}

// fetchMemberAges asks the other entries of the data centre for the ages of the members until one returns complete data.
// Incomplete answers are merged as well, since they can only add lost members.
func (r *registrar) fetchMemberAges(ctx context.Context) {
	for _, m := range r.e.neighbours() {
		ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
		var a wire.MemberAges
		err := r.e.sendPeerRequest(ctx, m.PeerAddress, http.MethodGet, pathAges, nil, &a)
		cancel()
		if err != nil {
			continue
		}
		ages := idempotency.Ages{Live: millisToDurations(a.LiveMs), Lost: millisToDurations(a.LostMs)}
		r.homes.MergeAges(time.Now(), ages)
		if a.Complete {
			r.memberAgesKnown.Store(true)
			return
		}
	}
}

func millisToDurations(ms map[string]int) map[string]time.Duration {
	out := make(map[string]time.Duration, len(ms))
	for m, n := range ms {
		out[m] = time.Duration(max(n, 0)) * time.Millisecond
	}
	return out
}

// handOver sends the records to the entries that become responsible for them. It is called once no registered call is
// running, or when the planned stop can't wait any longer. The other entries are notified only afterwards that this entry
// is no longer a home. An entry that misses the notification treats this one as lost and answers unknown for its IDs.
func (r *registrar) handOver(ctx context.Context) error {
	self := r.e.Incarnation()
	var members []string
	for _, m := range r.e.neighbours() {
		if !m.Leaving {
			members = append(members, m.Incarnation)
		}
	}
	now := time.Now()
	records := r.registry.Export(now)
	r.homes.PlannedStop(now, self)
	successor := idempotency.Successor(self, members)
	if successor == "" {
		return nil
	}
	batches := map[string][]idempotency.Record{successor: nil}
	for _, rec := range records {
		to := successor
		if id, err := idempotency.ParseID(rec.ID); err == nil && id.Opaque() {
			to = r.homes.Place(now, rec.ID, true).Home
		}
		batches[to] = append(batches[to], rec)
	}
	for to, list := range batches {
		if err := r.sendRecords(ctx, to, list, to == successor); err != nil {
			return err
		}
	}
	for _, m := range r.e.neighbours() {
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		_ = r.e.sendPeerRequest(ctx, m.PeerAddress, http.MethodPost, pathMoved, wire.RecordsMoved{From: self, To: successor}, nil)
		cancel()
	}
	return nil
}

// sendRecords sends records to an entry in batches. complete marks the last batch as the end of a complete handover.
func (r *registrar) sendRecords(ctx context.Context, to string, list []idempotency.Record, complete bool) error {
	m, ok := r.e.memberByIncarnation(to)
	if !ok {
		return fmt.Errorf("hand over records: %s is gone", to)
	}
	for first := true; first || len(list) > 0; first = false {
		n, size := 0, 0
		for n < len(list) && size < batchBytes {
			size += 300 // a record without an answer, as JSON
			if a := list[n].Answer; a != nil {
				size += 2 * len(a.Body)
			}
			n++
		}
		b := wire.RecordBatch{From: r.e.Incarnation(), Complete: complete && n == len(list), Records: wireRecords(list[:n])}
		list = list[n:]
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		err := r.e.sendPeerRequest(ctx, m.PeerAddress, http.MethodPost, pathRecords, b, nil)
		cancel()
		if err != nil {
			return fmt.Errorf("hand over records: %w", err)
		}
	}
	return nil
}

func wireRecords(list []idempotency.Record) []wire.HandedRecord {
	out := make([]wire.HandedRecord, 0, len(list))
	for _, rec := range list {
		h := wire.HandedRecord{ID: rec.ID, Outcome: wire.HandedRecordOutcome(rec.Outcome), KeepWindows: int(rec.KeepWindows)}
		if rec.Reason != "" {
			h.Reason = &rec.Reason
		}
		if a := rec.Answer; a != nil {
			body := base64.StdEncoding.EncodeToString(a.Body)
			h.Status, h.Header, h.Body = &a.Status, wire.HandedRecordHeader(a.Header), &body
		}
		out = append(out, h)
	}
	return out
}

// importBatch imports records from an entry that is stopping.
func (r *registrar) importBatch(now time.Time, b wire.RecordBatch) {
	list := make([]idempotency.Record, 0, len(b.Records))
	for _, h := range b.Records {
		rec := idempotency.Record{ID: h.ID, Outcome: string(h.Outcome), KeepWindows: int64(h.KeepWindows)}
		if h.Reason != nil {
			rec.Reason = *h.Reason
		}
		if h.Status != nil && h.Body != nil {
			if body, err := base64.StdEncoding.DecodeString(*h.Body); err == nil {
				rec.Answer = &idempotency.Answer{Status: *h.Status, Header: http.Header(h.Header), Body: body}
			}
		}
		list = append(list, rec)
	}
	r.registry.Import(now, b.From, list, b.Complete)
	r.e.log.Info().Str("from", b.From).Int("records", len(list)).Bool("complete", b.Complete).Msg("imported records from a stopping entry")
}

// handleRecordsMoved stores which entry holds the records of a stopped one.
func (r *registrar) handleRecordsMoved(now time.Time, m wire.RecordsMoved) {
	r.homes.PlannedStop(now, m.From)
	r.mu.Lock()
	defer r.mu.Unlock()
	moved := maps.Clone(*r.moved.Load())
	moved[m.From] = movedRecords{m.To, now}
	r.moved.Store(&moved)
}
