package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// load is a closed loop of callers, each with one call at a time.
type load struct {
	callers   int
	addresses []string // caller i calls address i modulo their number
	path      string
	prefix    string // of request IDs; empty for idempotent calls without one
	client    *http.Client
	sequence  atomic.Uint64
}

// loadResult counts the calls of one run.
type loadResult struct {
	calls, failed int
	seconds       float64
	latency       *hdrhistogram.Histogram // microseconds
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, IdleConnTimeout: time.Minute, DisableCompression: true}}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// run makes calls for the given time and waits for the last of them. Callers start spread over spread, so that calls
// with a fixed service time don't arrive all at once.
func (l *load) run(ctx context.Context, d, spread time.Duration) loadResult {
	res := loadResult{latency: newHistogram()}
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i := range l.callers {
		wg.Go(func() {
			time.Sleep(spread * time.Duration(i) / time.Duration(l.callers))
			latency, calls, failed := newHistogram(), 0, 0
			for time.Since(start) < d && ctx.Err() == nil {
				sent := time.Now()
				if err := l.call(ctx, l.addresses[i%len(l.addresses)]); err != nil {
					failed++
					continue
				}
				calls++
				_ = latency.RecordValue(time.Since(sent).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			res.latency.Merge(latency)
			res.calls += calls
			res.failed += failed
		})
	}
	wg.Wait()
	res.seconds = time.Since(start).Seconds()
	return res
}

func (l *load) call(ctx context.Context, address string) error {
	method := http.MethodGet
	var body io.Reader = http.NoBody
	if l.prefix != "" {
		method, body = http.MethodPost, strings.NewReader(strings.Repeat("x", 200))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+l.path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Boragehinge-Customer", "customer-01")
	if l.prefix != "" {
		req.Header.Set("Boragehinge-Request-Id", fmt.Sprintf("%s.%d", l.prefix, l.sequence.Add(1)))
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, resp.Header.Get("Boragehinge-Reason"))
	}
	return err
}
