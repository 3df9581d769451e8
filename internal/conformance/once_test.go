package conformance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragehinge.example/boragehinge/internal/idempotency"
)

// refRecordState is the record of one ID in spec/once.pml.
type refRecordState int

const (
	refNone refRecordState = iota
	refRunning
	refFinished
	refUnknown
)

// refOnce is one ID of spec/once.pml. The ID names the incarnation and the window in which it was minted.
type refOnce struct {
	text       string
	minted     int64 // window
	record     refRecordState
	executions int
	underWay   bool
}

// onceRun drives a registry and the reference; another entry holds a registry with another incarnation.
type onceRun struct {
	t           *rapid.T
	now         time.Time
	started     time.Time
	incarnation string
	registry    *idempotency.Registry
	other       *idempotency.Registry
	ids         []*refOnce
	retain      int64
	runs        int
}

func newOnceRun(t *rapid.T) *onceRun {
	r := &onceRun{t: t, now: logStart, retain: int64(rapid.IntRange(1, 3).Draw(t, "retain"))}
	r.crash()
	r.other = idempotency.NewRegistry(idempotency.Config{Incarnation: "ffffffffffffffff", RetainWindows: r.retain}, r.now)
	return r
}

// crash is action crash: a new incarnation without records.
func (r *onceRun) crash() {
	r.runs++
	r.incarnation = fmt.Sprintf("%016x", r.runs)
	r.started = r.now
	r.registry = idempotency.NewRegistry(idempotency.Config{Incarnation: r.incarnation, RetainWindows: r.retain}, r.now)
	for _, id := range r.ids {
		id.record = refNone // of the running incarnation
	}
}

func (r *onceRun) window() int64 { return int64(r.now.Sub(r.started) / idempotency.DefaultWindow) }

func (r *onceRun) mint() {
	r.ids = append(r.ids, &refOnce{text: fmt.Sprintf("%s.%d", r.registry.Prefix(r.now), len(r.ids)), minted: r.window()})
}

// expire is action expire: records of calls that aren't running are dropped with their window.
func (r *onceRun) expire(d time.Duration) {
	r.now = r.now.Add(d)
	for _, id := range r.ids {
		if id.record != refRunning && r.window()-id.minted >= r.retain {
			id.record = refNone
		}
	}
}

// mayRun is the macro of that name.
func (r *onceRun) mayRun(id *refOnce) bool {
	parsed, err := idempotency.ParseID(id.text)
	require.NoError(r.t, err)
	return parsed.Incarnation == r.incarnation && r.window()-id.minted < r.retain
}

// begin is the first step of proctype sending, implemented by Registry.Begin.
func (r *onceRun) begin(id *refOnce) {
	v := r.registry.Begin(r.now, id.text)
	done := v.Kind == idempotency.Replay || v.Kind == idempotency.DoneWithoutAnswer
	if done {
		require.Equal(r.t, 1, id.executions, "done is answered only for a call that ran")
	}
	if id.record == refRunning { // a resend waits, also after the window
		require.Equal(r.t, idempotency.Wait, v.Kind)
		return
	}
	if !r.mayRun(id) { // a call that ended after its window may still be answered with done
		require.True(r.t, done || v.Kind == idempotency.Unknown || v.Kind == idempotency.Elsewhere, "%v", v.Kind)
		return
	}
	switch id.record {
	case refFinished:
		require.True(r.t, done, "%v", v.Kind)
		return
	case refUnknown:
		require.Equal(r.t, idempotency.Unknown, v.Kind)
		return
	}
	require.Equal(r.t, idempotency.Run, v.Kind)
	require.Zero(r.t, id.executions, "the call may run only if it didn't run before")
	require.False(r.t, id.underWay)
	id.record, id.underWay = refRunning, true
}

// finish is the end of inline attempts, implemented by Registry.Finish. The upstream may run a lost call later.
func (r *onceRun) finish(id *refOnce) {
	if id.record != refRunning {
		return
	}
	switch rapid.SampledFrom([]idempotency.OutcomeKind{idempotency.Done, idempotency.NotRun, idempotency.Lost}).Draw(r.t, "end") {
	case idempotency.Done:
		id.executions++
		id.underWay = false
		var a *idempotency.Answer
		if rapid.Bool().Draw(r.t, "kept") {
			a = &idempotency.Answer{Status: 200}
		}
		r.registry.Finish(r.now, id.text, idempotency.Outcome{Kind: idempotency.Done, Answer: a})
		id.record = refFinished
	case idempotency.NotRun:
		id.underWay = false
		r.registry.Finish(r.now, id.text, idempotency.Outcome{Kind: idempotency.NotRun})
		id.record = refNone
	default:
		r.registry.Finish(r.now, id.text, idempotency.Outcome{Kind: idempotency.Lost})
		id.record = refUnknown
	}
}

// elsewhere is a sending to the other entry, which may only pass the call on.
func (r *onceRun) elsewhere(id *refOnce) {
	parsed, err := idempotency.ParseID(id.text)
	require.NoError(r.t, err)
	v := r.other.Begin(r.now, id.text)
	require.Equal(r.t, idempotency.Elsewhere, v.Kind)
	require.Equal(r.t, parsed.Incarnation, v.Incarnation)
}

// Guards against a call that runs again after a crash, after its window or at another entry, and against a record that
// is dropped while its call runs: the rules of spec/once.pml.
func TestRegistryConformsToModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newOnceRun(t)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			action := rapid.SampledFrom([]string{"mint", "begin", "begin", "begin", "finish", "finish", "expire", "elsewhere", "crash"}).Draw(t, "action")
			if action == "mint" || len(r.ids) == 0 {
				r.mint()
				continue
			}
			id := rapid.SampledFrom(r.ids).Draw(t, "id")
			switch action {
			case "begin":
				r.begin(id)
			case "finish":
				r.finish(id)
			case "expire":
				r.expire(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
			case "elsewhere":
				r.elsewhere(id)
			case "crash":
				if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
					r.crash()
				}
			}
		}
	})
}
