// Package feed follows the logs of the platform's store and delivers their records as batches.
//
// A Feed reads the newest record of each key once and then the records that follow, with long polls. When records that it
// still needs have left the log, it reads the newest ones again. It tells with each batch whether the store was unavailable
// shortly before, because records lapse during an outage although their writers live.
package feed

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/pause"
)

// Store is the part of the platform's store that a Feed reads.
type Store interface {
	Newest(ctx context.Context, source gateway.Source) (gateway.Batch, []error, error)
	Read(ctx context.Context, source gateway.Source, from int64, wait time.Duration) (gateway.Batch, []error, error)
}

const (
	// heartbeatPause lies between two reads of the upstreams' records. It is a quarter of the shortest bound that counts from
	// such a record.
	heartbeatPause = 450 * time.Millisecond
	// orderPause bounds the reads while operators write in quick succession.
	orderPause = 100 * time.Millisecond
	// upstreamWait is short, because these reads also show that the store is lost.
	upstreamWait = 200 * time.Millisecond
	// orderWait bounds what a read costs that hangs or is not woken: with the store's timeout and retryPause a configuration is
	// read 1.75 s after it was written, within the shortest of the users' bounds, 2 s.
	orderWait = time.Second
	// rareWait holds for statuses and entries, which change a few times a day and mostly by this system itself.
	rareWait   = 15 * time.Second
	retryPause = 250 * time.Millisecond
	// maxOutageWait bounds the wait for the heartbeat reads to succeed.
	maxOutageWait = 2 * time.Second
	// lapseTime is how long after the end of an outage missing records may still come back: the users' upstreams that live are back
	// within about two seconds, and the others count as gone after that.
	lapseTime = 2200 * time.Millisecond
)

// Feed follows some sources. Deliver is called from one goroutine per source; until lapseEnd records that are missing may have
// lapsed in an outage, and come back.
type Feed struct {
	Store   Store
	Deliver func(b gateway.Batch, lapseEnd time.Time)
	Log     zerolog.Logger

	outage  outage
	healthy atomic.Bool // the last read of the upstreams' records succeeded

	mu    sync.Mutex
	ctx   context.Context
	epoch context.Context
	next  context.CancelFunc // begins another epoch
}

// errEpoch ends the reads that wait when the store was lost or has come back: they may hang on a connection that never
// answers.
var errEpoch = errors.New("the store's state has changed")

// Run follows the sources until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	f.mu.Lock()
	f.ctx = ctx
	f.mu.Unlock()
	f.Restart()
	done := make(chan struct{})
	sources := []gateway.Source{gateway.Operators, gateway.Upstreams, gateway.Statuses, gateway.Entries}
	for _, s := range sources {
		go func() {
			f.follow(ctx, s)
			done <- struct{}{}
		}()
	}
	for range sources {
		<-done
	}
}

func (f *Feed) follow(ctx context.Context, source gateway.Source) {
	position := int64(-1)
	for ctx.Err() == nil {
		began := time.Now()
		batch, findings, err := f.read(ctx, source, position)
		for _, finding := range findings {
			f.Log.Warn().Str("source", source.String()).Err(finding).Msg("record ignored")
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !errors.Is(err, errEpoch) {
				position = f.failed(ctx, source, position, began, err)
			}
			continue
		}
		f.succeeded(source)
		position = batch.End
		if batch.Snapshot || len(batch.Updates) > 0 {
			f.Deliver(batch, f.outage.lapseEnd())
		}
		wait := orderPause
		if source == gateway.Upstreams {
			wait = heartbeatPause
		}
		pause.For(ctx, wait)
	}
}

func (f *Feed) read(ctx context.Context, source gateway.Source, position int64) (gateway.Batch, []error, error) {
	if position < 0 {
		return f.Store.Newest(ctx, source)
	}
	if source == gateway.Upstreams {
		return f.Store.Read(ctx, source, position, upstreamWait)
	}
	f.mu.Lock()
	epoch := f.epoch
	f.mu.Unlock()
	wait := orderWait
	if source == gateway.Statuses || source == gateway.Entries {
		wait = rareWait
	}
	batch, findings, err := f.Store.Read(epoch, source, position, wait)
	if err != nil && epoch.Err() != nil {
		err = errEpoch
	}
	return batch, findings, err
}

// Restart ends the reads that wait for orders, so that they are made anew.
func (f *Feed) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx == nil {
		return // not running yet
	}
	if f.next != nil {
		f.next()
	}
	f.epoch, f.next = context.WithCancel(f.ctx)
}

func (f *Feed) failed(ctx context.Context, source gateway.Source, position int64, began time.Time, err error) int64 {
	if errors.Is(err, gateway.ErrExpired) {
		f.outage.answered(time.Now())
		f.Log.Info().Str("source", source.String()).Int64("offset", position).Msg("records left the log; reading the newest")
		return -1
	}
	if source != gateway.Upstreams {
		f.waitForStore()
		return position
	}
	f.outage.failed(began)
	if f.healthy.Swap(false) {
		f.Log.Warn().Str("dependency", "store").Err(err).Msg("dependency lost")
		f.Restart()
	}
	pause.For(ctx, retryPause)
	return position
}

// waitForStore waits until the reads of heartbeats, which go on alone during an outage, find the store available. Refused
// calls cost as much as others.
func (f *Feed) waitForStore() {
	f.mu.Lock()
	epoch := f.epoch
	f.mu.Unlock()
	wait := retryPause
	if !f.healthy.Load() {
		wait = maxOutageWait
	}
	pause.For(epoch, wait)
}

func (f *Feed) succeeded(source gateway.Source) {
	f.outage.answered(time.Now())
	if source == gateway.Upstreams && !f.healthy.Swap(true) {
		f.Log.Info().Str("dependency", "store").Msg("dependency available")
		f.Restart()
	}
}
