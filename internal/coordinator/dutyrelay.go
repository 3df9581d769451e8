package coordinator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"boragehinge.example/boragehinge/internal/usage"
)

const (
	dutyRelayPath = "/v1/duty"
	// dutyDirectInterval is how long calls go through another entry before the store is tried directly again.
	dutyDirectInterval = 10 * time.Second
)

// dutyCall is a call to the log of duties that another entry makes: a read unless Write is set.
type dutyCall struct {
	Write *usage.Write `cbor:"1,keyasint,omitempty"`
}

// dutyAnswer is the result of a dutyCall.
type dutyAnswer struct {
	State  usage.State       `cbor:"1,keyasint"`
	Answer usage.WriteAnswer `cbor:"2,keyasint"`
	Error  string            `cbor:"3,keyasint,omitempty"` // a key of relayErrors
}

// dutyRelay calls the log of duties directly, or through a follower while the store is unavailable to this entry. A call that fails is
// not repeated, because an append may still be carried out; the next call takes another route. One goroutine uses it.
type dutyRelay struct {
	direct UsageStore
	peers  func() []string
	log    zerolog.Logger
	via    string    // peer address; empty for direct calls
	since  time.Time // when via was chosen
}

// ReadUsage implements UsageStore.
func (r *dutyRelay) ReadUsage(ctx context.Context) (usage.State, error) {
	a, err := r.call(ctx, dutyCall{})
	return a.State, err
}

// WriteUsage implements UsageStore.
func (r *dutyRelay) WriteUsage(ctx context.Context, w usage.Write) (usage.WriteAnswer, error) {
	a, err := r.call(ctx, dutyCall{Write: &w})
	return a.Answer, err
}

func (r *dutyRelay) call(ctx context.Context, c dutyCall) (a dutyAnswer, err error) {
	if r.via != "" && time.Since(r.since) > dutyDirectInterval {
		r.via = ""
	}
	if r.via == "" {
		a, err = executeDutyCall(ctx, r.direct, c)
	} else {
		a, err = relayDutyCall(ctx, r.via, c)
	}
	if unavailable(err) {
		r.switchRoute(err)
	}
	return a, err
}

// switchRoute makes the next call go through a follower, or directly if this one went through a follower.
func (r *dutyRelay) switchRoute(err error) {
	peers := r.peers()
	if r.via != "" || len(peers) == 0 {
		r.via = ""
		return
	}
	r.via, r.since = peers[rand.IntN(len(peers))], time.Now() //nolint:gosec // spreads load
	r.log.Info().Str("dependency", "store").Str("via", r.via).Err(err).Msg("log of duties is called through another entry")
}

func executeDutyCall(ctx context.Context, store UsageStore, c dutyCall) (a dutyAnswer, err error) {
	if c.Write == nil {
		a.State, err = store.ReadUsage(ctx)
	} else {
		a.Answer, err = store.WriteUsage(ctx, *c.Write)
	}
	return a, err
}

// relayDutyCall makes a call through the entry at a peer address.
func relayDutyCall(ctx context.Context, address string, c dutyCall) (a dutyAnswer, err error) {
	err = postToPeer(ctx, address, dutyRelayPath, c, &a, relayTimeout)
	if err != nil {
		return a, err
	}
	return a, relayError(address, a.Error)
}

// serveDutyRelay makes calls to the log of duties for other entries, if this one has usage reports.
func (n *Node) serveDutyRelay(r *mux.Router) {
	if n.usage == nil {
		return
	}
	serveCalls(r, dutyRelayPath, maxFrameBytes, n.log, func(ctx context.Context, c dutyCall) dutyAnswer {
		a, err := executeDutyCall(ctx, n.usage.o.Store, c)
		if err != nil {
			a.Error = relayErrorCode(err, "unknown")
		}
		return a
	})
}
