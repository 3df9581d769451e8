// Package feed follows the logs of the platform's store and delivers their records as batches.
//
// A Feed first reads a snapshot with the newest record of each key, and then the records that follow, with long polls. When
// records that it still needs have been dropped from the log, or the store was restored from a backup, it reads a new snapshot. Each batch is
// delivered with the end of the grace period after a store outage, because records expire during an outage although their writers are
// alive.
package feed

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/highwater"
	"boragehinge.example/boragehinge/internal/pause"
)

// Store is the part of the platform's store that a Feed reads. The errors in the second result describe records that are invalid
// and therefore ignored.
type Store interface {
	// Newest returns a snapshot with the newest record of each key.
	Newest(ctx context.Context, source gateway.Source) (gateway.Batch, []error, error)
	// Read returns the records from an offset on. If there are none yet, it waits for up to wait.
	Read(ctx context.Context, source gateway.Source, from int64, wait time.Duration) (gateway.Batch, []error, error)
}

const (
	// heartbeatReadInterval is the pause between two reads of upstream records. It is about a quarter of the shortest time
	// within which such a record must take effect.
	heartbeatReadInterval = 450 * time.Millisecond
	// pollInterval is the pause between two reads of the other sources. It limits the rate of reads while operators write in
	// quick succession.
	pollInterval = 100 * time.Millisecond
	// upstreamPollWait is short, because these reads also detect store outages.
	upstreamPollWait = 200 * time.Millisecond
	// operatorPollWait limits the delay by a poll that hangs or is not woken by a write. With the store's timeout and retryDelay, a
	// configuration is read at most 1.75 s after it was written, within the shortest limit of 2 s.
	operatorPollWait = time.Second
	// statusPollWait applies to statuses and entries, which change a few times a day and mostly through this system itself.
	statusPollWait = 15 * time.Second
	retryDelay     = 250 * time.Millisecond
	// maxOutageWait is the maximum pause of the other reads during an outage.
	maxOutageWait = 2 * time.Second
	// outageGracePeriod is how long after an outage missing records may come back.
	outageGracePeriod = gateway.GracePeriod
)

// Feed follows all sources. Deliver is called from one goroutine per source. Until graceEnd, missing records may have expired
// during a store outage and may come back.
type Feed struct {
	Store   Store
	Deliver func(b gateway.Batch, graceEnd time.Time)
	Log     zerolog.Logger

	outage outage
	health atomic.Int32   // storeUnknown, storeAvailable or storeLost
	epoch  highwater.Mark // newest epoch of the store that is known; 0 when none is

	mu          sync.Mutex
	ctx         context.Context
	pollCtx     context.Context
	cancelPolls context.CancelFunc // cancels pollCtx
}

// States of the store after the last read of upstream records. Until the first one has ended, which takes long where there are many
// upstreams, a failed read of another source is no sign of an outage.
const (
	storeUnknown int32 = iota
	storeAvailable
	storeLost
)

// errPollsRestarted is the error of polls that Restart has cancelled. They may hang on a connection that never answers.
var errPollsRestarted = errors.New("polls restarted because the state of the store changed")

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
	c := cursor{offset: snapshotNext}
	for ctx.Err() == nil {
		began := time.Now()
		// The epoch is loaded after the context, so that a poll with an offset of an earlier epoch is cancelled by LearnEpoch.
		pollCtx := f.currentPollCtx()
		known := f.epoch.Load()
		c = c.in(known)
		batch, findings, err := f.read(ctx, pollCtx, source, c.offset)
		if ctx.Err() != nil {
			return
		}
		f.LearnEpoch(batch.Epoch)
		if err != nil {
			logFindings(f.Log, source, findings)
			if !errors.Is(err, errPollsRestarted) {
				c.offset = f.recordFailure(ctx, source, c.offset, began, err)
			}
			continue
		}
		f.recordSuccess(source)
		next, use := c.next(known, f.epoch.Load(), batch)
		if !use {
			f.Log.Info().Str("source", source.String()).Uint64("epoch", batch.Epoch).Int64("offset", c.offset).
				Msg("answer of an earlier epoch of the store, or at an offset of one; reading a snapshot")
			if batch.Snapshot {
				pause.For(ctx, retryDelay)
			}
			c = next
			continue
		}
		logFindings(f.Log, source, findings)
		c, batch.Epoch = next, next.epoch
		if batch.Snapshot || len(batch.Updates) > 0 {
			f.Deliver(batch, f.outage.graceEnd())
		}
		wait := pollInterval
		if source == gateway.Upstreams {
			wait = heartbeatReadInterval
		}
		pause.For(ctx, wait)
	}
}

func logFindings(log zerolog.Logger, source gateway.Source, findings []error) {
	for _, finding := range findings {
		log.Warn().Str("source", source.String()).Err(finding).Msg("record ignored")
	}
}

func (f *Feed) read(ctx, pollCtx context.Context, source gateway.Source, offset int64) (gateway.Batch, []error, error) {
	if offset == snapshotNext {
		return f.Store.Newest(ctx, source)
	}
	if source == gateway.Upstreams {
		return f.Store.Read(ctx, source, offset, upstreamPollWait)
	}
	wait := operatorPollWait
	if source == gateway.Statuses || source == gateway.Entries {
		wait = statusPollWait
	}
	batch, findings, err := f.Store.Read(pollCtx, source, offset, wait)
	if err != nil && pollCtx.Err() != nil {
		err = errPollsRestarted
	}
	return batch, findings, err
}

func (f *Feed) currentPollCtx() context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pollCtx
}

// Epoch returns the newest epoch of the store that is known; 0 when none is.
func (f *Feed) Epoch() uint64 { return f.epoch.Load() }

// LearnEpoch records an epoch of the store, which another entry may have seen first. A new one makes all sources read a snapshot; polls
// that are pending are cancelled, because they wait at offsets of the earlier epoch.
func (f *Feed) LearnEpoch(epoch uint64) {
	known, raised := f.epoch.Raise(epoch)
	if !raised || known == 0 {
		return
	}
	f.outage.recordRestore()
	f.Log.Warn().Str("event", "restore").Uint64("epoch", epoch).Uint64("previous", known).
		Msg("the store was restored from a backup; reading all logs from the start")
	f.Restart()
}

// Restart cancels the pending polls of all sources but the upstreams, so that they are issued again. It is called when the store
// becomes unavailable or available, or is reached by another route.
func (f *Feed) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx == nil {
		return // not running yet
	}
	if f.cancelPolls != nil {
		f.cancelPolls()
	}
	f.pollCtx, f.cancelPolls = context.WithCancel(f.ctx)
}

// recordFailure handles a failed read, and returns the offset to continue from.
func (f *Feed) recordFailure(ctx context.Context, source gateway.Source, offset int64, began time.Time, err error) int64 {
	if errors.Is(err, gateway.ErrExpired) {
		f.outage.recordResponse(time.Now())
		f.Log.Info().Str("source", source.String()).Int64("offset", offset).Msg("offset no longer in the log; reading a snapshot")
		return snapshotNext
	}
	if source != gateway.Upstreams {
		f.waitForStore()
		return offset
	}
	f.outage.recordFailure(began)
	if f.health.Swap(storeLost) != storeLost {
		f.Log.Warn().Str("dependency", "store").Err(err).Msg("dependency lost")
		f.Restart()
	}
	pause.For(ctx, retryDelay)
	return offset
}

// waitForStore delays a retry. During an outage only the heartbeat reads continue, because refused calls cost as much as others;
// the wait ends when they find the store available, or after maxOutageWait.
func (f *Feed) waitForStore() {
	pollCtx := f.currentPollCtx()
	wait := retryDelay
	if f.health.Load() == storeLost {
		wait = maxOutageWait
	}
	pause.For(pollCtx, wait)
}

func (f *Feed) recordSuccess(source gateway.Source) {
	f.outage.recordResponse(time.Now())
	if source == gateway.Upstreams && f.health.Swap(storeAvailable) != storeAvailable {
		f.Log.Info().Str("dependency", "store").Msg("dependency available")
		f.Restart()
	}
}
