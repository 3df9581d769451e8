package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/inventory"
)

// memoryLog is a log without delay that only grows.
type memoryLog struct {
	mu      sync.Mutex
	entries []logservice.Entry
	reads   int
}

// Append implements logservice.Log.
func (l *memoryLog) Append(_ context.Context, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := int64(len(l.entries) + 1)
	l.entries = append(l.entries, logservice.Entry{Offset: offset, Time: time.Now(), Data: data})
	return offset, nil
}

// Read implements logservice.Log.
func (l *memoryLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) ([]logservice.Entry, error) {
	l.mu.Lock()
	l.reads++
	rest := l.entries[min(int(from)-1, len(l.entries)):]
	l.mu.Unlock()
	if len(rest) > 0 {
		return rest[:min(limit, len(rest))], nil
	}
	return nil, pause.Sleep(ctx, wait)
}

// startLimit ends the wait for an entry that doesn't become ready.
const startLimit = 2 * time.Minute

// measureStart measures the time until an entry without answers of peers is ready, as after a restart of all entries at
// once, against the records since the last snapshot and the number of entries on the host list.
func measureStart(ctx context.Context, o Options, r *Report) error {
	encoded, err := inventory.EncodeJSON(synthetic(2, 31))
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range o.Repeats {
		for _, population := range []int{16, 64} {
			for _, n := range []int{64, 256, 640} {
				log, err := longLog(ctx, encoded, n)
				if err != nil {
					return err
				}
				wg.Go(func() {
					seconds := startTime(ctx, log, population)
					mu.Lock()
					defer mu.Unlock()
					r.add("start", fmt.Sprintf("time to ready, %d entries on the list", population), "s", "records", float64(n), seconds)
				})
			}
		}
	}
	wg.Wait()
	return ctx.Err()
}

// longLog returns a log with one change and renewals of a lease.
func longLog(ctx context.Context, encoded []byte, n int) (*memoryLog, error) {
	l := &memoryLog{}
	change, err := changeRecord(0, encoded)
	if err != nil {
		return nil, err
	}
	lease, err := configlog.Encode(configlog.Record{Kind: configlog.KindLease, Lease: &configlog.Lease{Name: "rollout", Holder: "h", DurationMs: 15000}})
	if err != nil {
		return nil, err
	}
	for i := range n {
		data := lease
		if i == 0 {
			data = change
		}
		if _, err := l.Append(ctx, data); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func startTime(ctx context.Context, log logservice.Log, population int) float64 {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	self := logservice.Host{Name: "h-0", DataCentre: dataCentreName(0)}
	f := configlog.NewFollower(configlog.FollowerSettings{Log: log, Self: self})
	var hosts []logservice.Host
	for i := range population {
		hosts = append(hosts, logservice.Host{Name: fmt.Sprintf("h-%d", i), DataCentre: dataCentreName(i % dataCentres)})
	}
	f.SetHosts(hosts)
	start := time.Now()
	go func() { _ = f.Run(ctx) }()
	for ready := false; !ready && ctx.Err() == nil; ready, _ = f.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start).Seconds()
}
