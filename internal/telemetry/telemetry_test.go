package telemetry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// Guards against JSON, colours, unquoted values and lines that a value splits.
func TestLoggerWritesKeyValueLines(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLogger(&out, "info", func() time.Time { return start })
	require.NoError(t, err)
	log.Debug().Msg("hidden")
	log.Warn().Str("upstream", "te-1/a").Str("reason", "two words").Str("empty", "").Str("evil", "a\nlevel=info").Str("é", "ü").
		Int("count", 3).Bool("cold", true).Strs("list", []string{"a", "b"}).Dur("wait", 1500*time.Microsecond).Err(errors.New(`say "no"`)).Msg("upstream ejected")
	want := `time=2026-12-04T06:00:00.000Z level=warn upstream=te-1/a reason="two words" empty="" evil="a\nlevel=info" __="ü" count=3 cold=true list="[\"a\",\"b\"]" wait=1.5 error="say \"no\"" message="upstream ejected"` + "\n"
	assert.Equal(t, want, out.String())
	_, err = NewLogger(&out, "loud", time.Now)
	assert.Error(t, err)
}

// Guards against a writer that reads past the end of malformed input.
func TestAppendPairsToleratesMalformedJSON(t *testing.T) {
	for _, text := range []string{"", "{", `{"`, `{"a`, `{"a"`, `{"a":`, `{"a":"`, `{"a":"\`, `{"a":[`, `{"a":{"b":"}"`, `"a":"`} {
		assert.NotPanics(t, func() { appendPairs(nil, []byte(text)) }, text)
	}
}

// Guards against decisions that no line accounts for, and against a volume that grows with the load.
func TestDecisionLogKeepsEachDecisionInABoundedVolume(t *testing.T) {
	var out bytes.Buffer
	log := NewDecisionLog(&out, 50)
	const perInterval, intervals = 1000, 20
	for i := range intervals {
		at := start.Add(time.Duration(i) * DecisionInterval)
		for j := range perInterval {
			log.Record(at, Decision{Kind: "placement", RequestID: fmt.Sprintf("r-%d-%d", i, j), Service: "bench", Upstream: strconv.Itoa(j % 7), Outcome: []string{"granted", "queued"}[j%2]})
		}
		require.NoError(t, log.Flush(at.Add(DecisionInterval)))
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	counted := 0
	for _, line := range lines {
		assert.Contains(t, line, "outcome=")
		n := 1
		if m := regexp.MustCompile(` count=(\d+) `).FindStringSubmatch(line); m != nil {
			n, _ = strconv.Atoi(m[1])
			assert.Contains(t, line, "firstRequest=r-")
		}
		counted += n
	}
	assert.Equal(t, perInterval*intervals, counted, "each decision is in exactly one line")
	assert.LessOrEqual(t, len(lines), 50+2*50+2*intervals)
	decisions, made := log.Counts()
	assert.EqualValues(t, counted, decisions)
	assert.EqualValues(t, len(lines), made)
}

// Guards against unbounded memory when each decision has another outcome.
func TestDecisionLogBoundsItsGroups(t *testing.T) {
	var out bytes.Buffer
	log := NewDecisionLog(&out, 0)
	for i := range 10000 {
		log.Record(start, Decision{Kind: []string{"routing", "placement", "x" + strconv.Itoa(i)}[i%3], RequestID: "r", Reason: strconv.Itoa(i)})
	}
	require.NoError(t, log.Flush(start))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.LessOrEqual(t, len(lines), maxDecisionGroups+2)
	total := 0
	for _, m := range regexp.MustCompile(` count=(\d+) `).FindAllStringSubmatch(out.String(), -1) {
		n, _ := strconv.Atoi(m[1])
		total += n
	}
	assert.Equal(t, 10000, total)
}

// blockedWriter blocks until it is released.
type blockedWriter struct{ entered, release chan struct{} }

func (w *blockedWriter) Write(p []byte) (int, error) {
	close(w.entered)
	<-w.release
	return len(p), nil
}

// Guards against a log reader that blocks the calls. The test hangs if Record waits for the output.
func TestRecordDoesNotWaitForTheOutput(t *testing.T) {
	w := &blockedWriter{make(chan struct{}), make(chan struct{})}
	log := NewDecisionLog(w, 1_000_000)
	log.Record(start, Decision{Kind: "routing"})
	done := make(chan error)
	go func() { done <- log.Flush(start) }()
	<-w.entered
	for range 20000 {
		log.Record(start, Decision{Kind: "routing", RequestID: "r", Outcome: "forwarded"})
	}
	assert.LessOrEqual(t, len(log.lines), maxPendingLineBytes+1024)
	close(w.release)
	require.NoError(t, <-done)
}

// Guards against label values from callers that grow the registry, and against names without units.
func TestMetricsAreBoundedAndNamedWithUnits(t *testing.T) {
	m := NewMetrics()
	m.ObserveDecisionLog(NewDecisionLog(io.Discard, 1))
	for i := range 1000 {
		m.Request(fmt.Sprintf("s%d", i), "urgent", "done", 0.01)
	}
	m.Forward("te-1")
	m.Retry("s1", "not-run")
	m.Hedge("s1")
	m.Probe("s1", "ok")
	m.Connect("s1")
	m.Pool("s1", "te-1", 3, 1, 0)
	m.Frame("heartbeat", 100)
	m.DroppedFrame("replayed")
	m.AddedLatency("s1", 0.001)
	m.QueueWait("s1", "urgent", 0.001)
	families, err := m.Registry.Gather()
	require.NoError(t, err)
	for _, f := range families {
		assert.LessOrEqual(t, len(f.GetMetric()), maxServices+1, f.GetName())
		if f.GetType().String() == "COUNTER" {
			assert.True(t, strings.HasSuffix(f.GetName(), "_total"), f.GetName())
		}
		if f.GetType().String() == "HISTOGRAM" && strings.HasPrefix(f.GetName(), "boragehinge") {
			assert.True(t, strings.HasSuffix(f.GetName(), "_seconds"), f.GetName())
		}
	}
	answer := httptest.NewRecorder()
	m.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Contains(t, answer.Body.String(), `boragehinge_requests_total{class="urgent",outcome="done",service="other"} 936`)
}

// BenchmarkRecord measures the cost of a decision for a call, as a full line, as part of a group, and from all cores.
func BenchmarkRecord(b *testing.B) {
	d := Decision{Kind: "placement", RequestID: "bh1.0123456789abcdef.12.1", Service: "bench-orders", Pool: "bench-orders/te-1/0", Version: "4.2", Class: "urgent", Upstream: "bench-01", Outcome: "granted"}
	run := func(rate int) func(b *testing.B) {
		return func(b *testing.B) {
			b.ReportAllocs()
			log := NewDecisionLog(io.Discard, rate)
			for i := range b.N {
				log.Record(start.Add(time.Duration(i)*time.Microsecond), d)
				if i%1000 == 0 {
					_ = log.Flush(start)
				}
			}
		}
	}
	b.Run("full", run(1_000_000_000))
	b.Run("grouped", run(0))
	b.Run("groupedParallel", func(b *testing.B) {
		log := NewDecisionLog(io.Discard, 0)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				log.Record(start, d)
			}
		})
	})
}

// Guards against requests and decisions that wait for a log reader that has stopped, and against lines that are dropped without
// a word.
func TestLoggingDoesNotWaitForItsReader(t *testing.T) {
	reader, w := io.Pipe()
	out := NewOutput(w)
	log, err := NewLogger(out, "info", time.Now)
	require.NoError(t, err)
	log.Info().Msg("first")
	flushed := make(chan error, 1)
	go func() { flushed <- out.Flush() }()
	const lines = 20000
	for i := range lines {
		log.Info().Int("i", i).Msg("a line that nobody reads")
	}
	assert.Positive(t, out.Dropped())
	var read bytes.Buffer
	done := make(chan error, 1)
	go func() {
		_, err := io.Copy(&read, reader)
		done <- err
	}()
	require.NoError(t, <-flushed)
	require.NoError(t, out.Flush())
	require.NoError(t, w.Close())
	require.NoError(t, <-done)
	assert.Contains(t, read.String(), "message=first")
	assert.Regexp(t, `message="log lines dropped" count=\d+\n$`, read.String())
	assert.Zero(t, out.Dropped())
}

// Guards against failures that find no full line because successes are many.
func TestRoutineDecisionsLeaveLinesToOthers(t *testing.T) {
	var b bytes.Buffer
	l := NewDecisionLog(&b, 100)
	now := time.Unix(1000, 0)
	for i := range 1000 {
		l.Record(now, Decision{Kind: "response", RequestID: fmt.Sprint("ok", i), Outcome: "200", Routine: true})
	}
	for i := range 40 {
		l.Record(now, Decision{Kind: "response", RequestID: fmt.Sprint("bad", i), Outcome: "502"})
	}
	require.NoError(t, l.Flush(now))
	for i := range 40 {
		assert.Contains(t, b.String(), fmt.Sprint("request=bad", i))
	}
}
