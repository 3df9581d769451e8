package idempotency

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

const (
	incarnation      = "0123456789abcdef"
	otherIncarnation = "fedcba9876543210"
)

func newRegistry() *Registry { return NewRegistry(Config{Incarnation: incarnation}, start) }

// Guards against malformed bh1 IDs that are accepted as opaque IDs and so bypass the registrar that they name.
func TestParseID(t *testing.T) {
	id, err := ParseID("bh1." + incarnation + ".12.a.b")
	require.NoError(t, err)
	assert.Equal(t, ID{Text: "bh1." + incarnation + ".12.a.b", Incarnation: incarnation, Window: 12}, id)
	id, err = ParseID("order-7")
	require.NoError(t, err)
	assert.True(t, id.Opaque())
	for _, bad := range []string{"", "a b", "é", "a\n", strings.Repeat("x", 129), "bh1.", "bh1." + incarnation, "bh1." + incarnation + ".1", "bh1." + incarnation + ".1.", "bh1." + incarnation + ".-1.u", "bh1." + incarnation + ".01.u", "bh1." + incarnation + ".x.u", "bh1.0123.1.u", "bh1." + strings.ToUpper(incarnation) + ".1.u"} {
		_, err := ParseID(bad)
		assert.ErrorIs(t, err, ErrInvalidID, bad)
	}
}

// Guards against a call that runs twice, under any order of resends, outcomes and passing time.
func TestIDRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry(Config{Incarnation: incarnation, AnswerBytes: 32 * 400}, start)
		now := start
		ids := []string{"opaque", r.Prefix(now) + ".a", r.Prefix(now) + ".b", Prefix(incarnation, 5) + ".c"}
		running, ran, endedAt := map[string]bool{}, map[string]bool{}, map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				v := r.Begin(now, id)
				if running[id] && v.Kind != Wait {
					t.Fatalf("%s runs and the resend is told %s", id, v.Kind)
				}
				if v.Kind != Run {
					if v.Kind == Refuse && ran[id] {
						t.Fatalf("%s ran and the resend is told not run", id)
					}
					break
				}
				expired := id == "opaque" && now.Sub(endedAt[id]) >= DefaultRetainWindows*DefaultWindow
				if ran[id] && !expired {
					t.Fatalf("%s runs twice", id)
				}
				running[id] = true
			case 2:
				if !running[id] {
					break
				}
				kind := rapid.SampledFrom([]OutcomeKind{Done, NotRun, Lost}).Draw(t, "outcome")
				r.Finish(now, id, Outcome{Kind: kind, Answer: &Answer{Status: 200, Body: []byte(id)}})
				running[id] = false
				ran[id] = kind != NotRun
				endedAt[id] = now
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second)
			}
		}
	})
}

// Guards against resends that get the response of another call, or that run while the first attempt is running.
func TestResendWaitsAndReceivesTheSameAnswer(t *testing.T) {
	r := newRegistry()
	id := r.Prefix(start) + ".1"
	require.Equal(t, Run, r.Begin(start, id).Kind)
	v := r.Begin(start, id)
	require.Equal(t, Wait, v.Kind)
	select {
	case <-v.Waiting.Done():
		t.Fatal("done before the attempt ended")
	default:
	}
	answer := &Answer{Status: 201, Header: http.Header{"Location": {"/orders/1"}}, Body: []byte("one")}
	r.Finish(start, id, Outcome{Kind: Done, Answer: answer})
	<-v.Waiting.Done()
	assert.Same(t, answer, v.Waiting.Result().Answer)
	assert.Same(t, answer, r.Begin(start, id).Answer)
	r.Finish(start, id, Outcome{Kind: NotRun})
	assert.Equal(t, Replay, r.Begin(start, id).Kind, "a second Finish has no effect")
}

// Guards against running an ID again whose attempt may have run, and against refusing one whose attempt has not run.
func TestOutcomesDecideWhetherAnIDMayRunAgain(t *testing.T) {
	r := newRegistry()
	for kind, want := range map[OutcomeKind]VerdictKind{NotRun: Run, Lost: Unknown, Done: DoneWithoutAnswer} {
		id := fmt.Sprintf("%s.%d", r.Prefix(start), kind)
		require.Equal(t, Run, r.Begin(start, id).Kind)
		waiting := r.Begin(start, id).Waiting
		r.Finish(start, id, Outcome{Kind: kind})
		assert.Equal(t, want, r.Begin(start, id).Kind)
		if kind == NotRun {
			assert.Equal(t, Refuse, waiting.Result().Kind)
		}
	}
}

// Guards against running IDs whose record may have been dropped, or whose window hasn't begun.
func TestWindows(t *testing.T) {
	r := newRegistry()
	at := func(minutes int) time.Time { return start.Add(time.Duration(minutes) * time.Minute) }
	assert.Equal(t, Unknown, r.Begin(start, Prefix(incarnation, 1)+".x").Kind, "future")
	assert.Equal(t, Run, r.Begin(at(9), Prefix(incarnation, 0)+".y").Kind)
	assert.Equal(t, Unknown, r.Begin(at(10), Prefix(incarnation, 0)+".x").Kind, "expired")
	assert.Equal(t, Wait, r.Begin(at(30), Prefix(incarnation, 0)+".y").Kind, "a running call keeps its record")
	r.Finish(at(30), Prefix(incarnation, 0)+".y", Outcome{Kind: Done})
	assert.Equal(t, Unknown, r.Begin(at(32), Prefix(incarnation, 0)+".y").Kind)
	assert.Equal(t, Unknown, r.Begin(at(0), Prefix(incarnation, 0)+".z").Kind, "a clock step backwards doesn't reopen a window")
	assert.Equal(t, Verdict{Kind: Elsewhere, Incarnation: otherIncarnation}, r.Begin(at(32), Prefix(otherIncarnation, 3)+".x"))
	r.Expire(at(60))
	records, bytes := r.Sizes()
	assert.Zero(t, records+bytes, "nothing is kept after the retention time")
}

// Guards against an opaque ID that runs again within the retention time after its end, or whose record is never dropped.
func TestOpaqueRetentionCountsFromTheEnd(t *testing.T) {
	r := newRegistry()
	end := start.Add(5*time.Minute + 59*time.Second)
	require.Equal(t, Run, r.Begin(start, "opaque").Kind)
	r.Finish(end, "opaque", Outcome{Kind: Done})
	assert.Equal(t, DoneWithoutAnswer, r.Begin(end.Add(10*time.Minute-time.Nanosecond), "opaque").Kind)
	assert.Equal(t, Run, r.Begin(end.Add(11*time.Minute), "opaque").Kind)
}

// Guards against memory that grows without bound with answers or IDs, and against limits that evict the record of a call that
// ran.
func TestMemoryIsBounded(t *testing.T) {
	r := NewRegistry(Config{Incarnation: incarnation, MaxRecords: 3200, AnswerBytes: 64 << 10, MaxAnswerBytes: 1 << 10}, start)
	refused := 0
	for i := range 10000 {
		id := fmt.Sprintf("%s.%d", r.Prefix(start), i)
		if v := r.Begin(start, id); v.Kind == Refuse {
			refused++
			continue
		}
		r.Finish(start, id, Outcome{Kind: Done, Answer: &Answer{Status: 200, Body: make([]byte, 500+i%1000)}})
		assert.Contains(t, []VerdictKind{Replay, DoneWithoutAnswer}, r.Begin(start, id).Kind)
	}
	records, bytes := r.Sizes()
	assert.LessOrEqual(t, records, 3200)
	assert.LessOrEqual(t, bytes, 64<<10)
	assert.Equal(t, 10000-records, refused)
	first := r.Begin(start, r.Prefix(start)+".0")
	assert.Equal(t, DoneWithoutAnswer, first.Kind, "the answer is evicted and the record is kept")
}

// Guards against a planned stop that loses records, and against calls that both entries run.
func TestPlannedStopHandsOverRecords(t *testing.T) {
	old, next := newRegistry(), NewRegistry(Config{Incarnation: otherIncarnation}, start.Add(-time.Hour))
	prefix := old.Prefix(start)
	for _, id := range []string{".done", ".lost", ".open"} {
		require.Equal(t, Run, old.Begin(start, prefix+id).Kind)
	}
	require.Equal(t, Run, old.Begin(start, "opaque").Kind)
	old.Finish(start, prefix+".done", Outcome{Kind: Done, Answer: &Answer{Status: 200, Body: []byte("kept")}})
	old.Finish(start, prefix+".lost", Outcome{Kind: Lost})
	old.Finish(start, "opaque", Outcome{Kind: Done})
	old.Freeze()
	assert.Equal(t, Refuse, old.Begin(start, prefix+".late").Kind)
	assert.Equal(t, Elsewhere, next.Begin(start, prefix+".late").Kind, "before the handover the successor forwards the call")

	next.Import(start, incarnation, append(old.Export(start), Record{ID: "bad id"}), true)
	assert.Equal(t, []byte("kept"), next.Begin(start, prefix+".done").Answer.Body)
	assert.Equal(t, Unknown, next.Begin(start, prefix+".lost").Kind)
	assert.Equal(t, Unknown, next.Begin(start, prefix+".open").Kind)
	assert.Equal(t, DoneWithoutAnswer, next.Begin(start, "opaque").Kind)
	assert.Equal(t, Refuse, next.Begin(start, prefix+".late").Kind, "the call has not run, and the successor doesn't run it")
	assert.Equal(t, Elsewhere, next.Begin(start.Add(11*time.Minute), prefix+".late").Kind)
}

// BenchmarkBeginFinish measures Begin and Finish of a call.
func BenchmarkBeginFinish(b *testing.B) {
	r := newRegistry()
	prefix := r.Prefix(start)
	b.ReportAllocs()
	var n int
	for b.Loop() {
		n++
		id := fmt.Sprintf("%s.%d", prefix, n%100000)
		if r.Begin(start, id).Kind == Run {
			r.Finish(start, id, Outcome{Kind: NotRun})
		}
	}
}

// BenchmarkRecordMemory reports the heap size of a record without a stored answer.
func BenchmarkRecordMemory(b *testing.B) {
	const n = 200000
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		r := newRegistry()
		prefix := r.Prefix(start)
		for i := range n {
			id := fmt.Sprintf("%s.%d", prefix, i)
			r.Begin(start, id)
			r.Finish(start, id, Outcome{Kind: Done})
		}
		b.ReportMetric(float64(heap()-before)/n, "heap-B/record")
		runtime.KeepAlive(r)
	}
}
