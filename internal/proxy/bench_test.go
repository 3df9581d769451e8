package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"boragehinge.example/boragehinge/internal/transport"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// benchCallers is the number of concurrent callers of the latency benchmark.
const benchCallers = 4

// measure sends n calls from each caller and returns their latencies in nanoseconds.
func measure(b *testing.B, address string, n int) *hdrhistogram.Histogram {
	b.Helper()
	client := transport.New(transport.Config{NewConnsBurst: 100})
	defer client.Close()
	total := hdrhistogram.New(1000, int64(10*time.Second), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range benchCallers {
		wg.Go(func() {
			own := hdrhistogram.New(1000, int64(10*time.Second), 3)
			for range n {
				r, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/lookup/1", nil)
				begin := time.Now()
				resp, err := client.RoundTrip(r.Context(), address, r, true)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				_ = own.RecordValue(int64(time.Since(begin)))
			}
			mu.Lock()
			total.Merge(own)
			mu.Unlock()
		})
	}
	wg.Wait()
	return total
}

// BenchmarkAddedLatency compares calls through one entry and through two entries with direct calls, alternating within
// the same run. It reports latencies in microseconds and their ratio to the direct call.
func BenchmarkAddedLatency(b *testing.B) {
	upstream := startHandler(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	owner := startEntry(b, newFakePolicy().addUpstream("p", upstream), Config{}, ServerConfig{})
	d := newFakePolicy()
	d.pools = []Pool{{ID: "p", Owner: owner.peer}}
	ingress := startEntry(b, d, Config{}, ServerConfig{})
	targets := []struct {
		name, address string
		latencies     *hdrhistogram.Histogram
	}{{"direct", upstream, nil}, {"proxied", owner.address, nil}, {"forwarded", ingress.address, nil}}
	for i := range targets {
		measure(b, targets[i].address, 100)
		targets[i].latencies = hdrhistogram.New(1000, int64(10*time.Second), 3)
	}
	for b.Loop() {
		for i := range targets {
			targets[i].latencies.Merge(measure(b, targets[i].address, 500))
		}
	}
	direct := targets[0].latencies
	for _, way := range targets {
		for _, q := range []struct {
			name  string
			value float64
		}{{"p50", 50}, {"p99", 99}, {"p99.9", 99.9}} {
			v := way.latencies.ValueAtQuantile(q.value)
			b.ReportMetric(float64(v)/1e3, way.name+"-"+q.name+"-us")
			if way.latencies != direct {
				b.ReportMetric(float64(v)/float64(direct.ValueAtQuantile(q.value)), way.name+"-"+q.name+"-ratio")
			}
		}
	}
}

// nullWriter is a ResponseWriter that discards the response.
type nullWriter struct{ h http.Header }

func (w *nullWriter) Header() http.Header         { return w.h }
func (w *nullWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *nullWriter) WriteHeader(int)             {}

// BenchmarkCall reports the allocations of one call from the handler down to the upstream's connection. The upstream
// answers from a fixed buffer, so that its own allocations don't count.
func BenchmarkCall(b *testing.B) {
	address := startFixedUpstream(b)
	tr := transport.New(transport.Config{})
	b.Cleanup(tr.Close)
	d := newFakePolicy().addUpstream("p", address)
	p := New(Config{}, Deps{Directory: d, Registrar: registrar{d}, Pools: d, Slots: d, Retries: d, Poison: d, Upstreams: tr, Peers: tr})
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/lookup/1", http.NoBody)
	require.NoError(b, err)
	r.RequestURI = "/lookup/1"
	b.ReportAllocs()
	for b.Loop() {
		p.ServeHTTP(&nullWriter{http.Header{}}, r)
	}
}

// BenchmarkRoundTrip reports the allocations of the transport alone.
func BenchmarkRoundTrip(b *testing.B) {
	address := startFixedUpstream(b)
	tr := transport.New(transport.Config{})
	b.Cleanup(tr.Close)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/lookup/1", http.NoBody)
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		resp, err := tr.RoundTrip(ctx, address, r, true)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
