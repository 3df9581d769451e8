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
	// batchBytes is the size at which a batch of records is sent; one record more than that still fits into a request.
	batchBytes = 1 << 20
	// handoverTimeout bounds one request of a handover.
	handoverTimeout = 5 * time.Second
)

// window returns the current window of the own request IDs.
func (r *registrar) window(now time.Time) wire.RequestWindow {
	id, _ := idempotency.ParseID(r.registry.Prefix(now) + ".x")
	return wire.RequestWindow{Incarnation: r.e.Incarnation(), Window: int(id.Window)}
}

// ages returns what a starting entry needs to know about the members.
func (r *registrar) ages(now time.Time) wire.MemberAges {
	a := r.homes.Ages(now)
	out := wire.MemberAges{Complete: r.knowsLosses(now), LiveMs: wire.MemberAgesLiveMs{}, LostMs: wire.MemberAgesLostMs{}}
	for m, d := range a.Live {
		out.LiveMs[m] = int(d.Milliseconds())
	}
	for m, d := range a.Lost {
		out.LostMs[m] = int(d.Milliseconds())
	}
	return out
}

// adopt asks the neighbours for the ages of the members, until one that knows all of them has answered. Other answers
// are taken as well: they can only add losses.
func (r *registrar) adopt(ctx context.Context) {
	for _, m := range r.e.neighbours() {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		var a wire.MemberAges
		err := r.e.askPeer(ctx, m.PeerAddress, http.MethodGet, pathAges, nil, &a)
		cancel()
		if err != nil {
			continue
		}
		ages := idempotency.Ages{Live: durations(a.LiveMs), Lost: durations(a.LostMs)}
		r.homes.MergeAges(time.Now(), ages)
		if a.Complete {
			r.adopted.Store(true)
			return
		}
	}
}

func durations(ms map[string]int) map[string]time.Duration {
	out := make(map[string]time.Duration, len(ms))
	for m, n := range ms {
		out[m] = time.Duration(max(n, 0)) * time.Millisecond
	}
	return out
}

// handOver gives the records to the entries that answer for them from now on. It is called once no registered call runs
// any more, or when the stop can't wait for one. Only afterwards do the others learn that this entry is no home any
// more; an entry that doesn't learn it takes this one for lost, and answers unknown.
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
		if err := r.send(ctx, to, list, to == successor); err != nil {
			return err
		}
	}
	for _, m := range r.e.neighbours() {
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		_ = r.e.askPeer(ctx, m.PeerAddress, http.MethodPost, pathMoved, wire.RecordsMoved{From: self, To: successor}, nil)
		cancel()
	}
	return nil
}

// send sends records in batches.
func (r *registrar) send(ctx context.Context, to string, list []idempotency.Record, complete bool) error {
	m, ok := r.e.memberOf(to)
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
		err := r.e.askPeer(ctx, m.PeerAddress, http.MethodPost, pathRecords, b, nil)
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

// takeBatch takes the records of an entry that stops.
func (r *registrar) takeBatch(now time.Time, b wire.RecordBatch) {
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
	r.e.log.Info().Str("from", b.From).Int("records", len(list)).Bool("complete", b.Complete).Msg("records taken over")
}

// takeMoved notes where the records of a stopped entry are.
func (r *registrar) takeMoved(now time.Time, m wire.RecordsMoved) {
	r.homes.PlannedStop(now, m.From)
	r.mu.Lock()
	defer r.mu.Unlock()
	moved := maps.Clone(*r.moved.Load())
	moved[m.From] = movedRecords{m.To, now}
	r.moved.Store(&moved)
}
