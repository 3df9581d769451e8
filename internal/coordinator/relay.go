package coordinator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"boragehinge.example/boragehinge/internal/gateway"
)

const (
	relayPath = "/v1/store/"
	// maxRelayPeers is the maximum number of other entries through which a read is tried in parallel. The store may reject a third
	// of the entries; a read that fails through all of these peers counts as an outage.
	maxRelayPeers = 5
	// peerRetryDelay applies after a read of upstream heartbeats failed through all peers tried, because the store is then
	// probably down for all entries.
	peerRetryDelay = time.Second
	// directRetryInterval is how often the store is tried directly while calls go through another entry.
	directRetryInterval = 2 * time.Second
	relayTimeout        = 800 * time.Millisecond
	// maxRelayRequestBytes limits a relayRequest, whose largest part is the status of one move.
	maxRelayRequestBytes = 64 << 10
)

// relayRequest is a store call that another entry executes.
type relayRequest struct {
	Source gateway.Source      `cbor:"1,keyasint"`
	From   int64               `cbor:"2,keyasint"` // offset; negative for the newest record of each key
	Wait   time.Duration       `cbor:"3,keyasint,omitempty"`
	Status *gateway.MoveStatus `cbor:"4,keyasint,omitempty"` // status to write if the log ends at From
	Epoch  uint64              `cbor:"5,keyasint,omitempty"` // epoch of the store in which From was read; 0 when unknown
}

// relayResponse is the result of a relayRequest.
type relayResponse struct {
	Batch gateway.Batch `cbor:"1,keyasint"`           // for a write, and after a failure, only its Epoch is set
	Error string        `cbor:"2,keyasint,omitempty"` // a key of relayErrors
}

// relayErrors maps the error codes of relayResponse and dutyAnswer to errors.
var relayErrors = map[string]error{
	"not-done": gateway.ErrNotExecuted, "unknown": gateway.ErrOutcomeUnknown, "conflict": gateway.ErrConflict, "expired": gateway.ErrExpired,
}

// relayStore calls the store directly, or through another entry while the store is unavailable to this one. Reads of the
// upstreams' heartbeats are frequent and short, so they serve to detect that the store became unavailable, and that it can
// be called directly again.
type relayStore struct {
	direct Store
	peers  func() []string
	// onRouteChange is called when calls switch between direct and another entry, because pending calls may hang on the old
	// route.
	onRouteChange func()
	// learnEpoch is told the epoch of each answer through another entry.
	learnEpoch func(epoch uint64)
	log        zerolog.Logger

	mu            sync.Mutex
	via           string // peer address of the entry that calls go through; empty for direct calls
	nextDirectTry time.Time
	nextPeerTry   time.Time // until then no other peers are tried, because all failed
}

// Newest implements feed.Store.
func (r *relayStore) Newest(ctx context.Context, source gateway.Source) (b gateway.Batch, findings []error, err error) {
	err = r.execute(ctx, relayRequest{Source: source, From: -1}, &b, func() (err error) {
		b, findings, err = r.direct.Newest(ctx, source)
		return err
	})
	return b, findings, err
}

// Read implements feed.Store.
func (r *relayStore) Read(ctx context.Context, source gateway.Source, from int64, wait time.Duration) (b gateway.Batch, findings []error, err error) {
	err = r.execute(ctx, relayRequest{Source: source, From: from, Wait: wait}, &b, func() (err error) {
		b, findings, err = r.direct.Read(ctx, source, from, wait)
		return err
	})
	return b, findings, err
}

// WriteStatus writes the status of a move. A write whose outcome is unknown is not retried through another entry.
func (r *relayStore) WriteStatus(ctx context.Context, s gateway.MoveStatus, end gateway.Position) (epoch uint64, err error) {
	var b gateway.Batch
	err = r.execute(ctx, relayRequest{Source: gateway.Statuses, From: end.Offset, Epoch: end.Epoch, Status: &s}, &b, func() (err error) {
		b.Epoch, err = r.direct.WriteStatus(ctx, s, end)
		return err
	})
	return b.Epoch, err
}

// execute makes a call by the current route. If that fails, it tries other entries.
func (r *relayStore) execute(ctx context.Context, call relayRequest, b *gateway.Batch, direct func() error) error {
	via, useDirect := r.route(call.Source)
	var err error
	if useDirect {
		err = direct()
		if !unavailable(err) {
			r.switchToDirect()
			return err
		}
		if call.Status != nil && errors.Is(err, gateway.ErrOutcomeUnknown) || ctx.Err() != nil {
			return err
		}
	}
	batch, relayErr := r.callPeers(ctx, via, call)
	r.learnEpoch(batch.Epoch)
	if unavailable(relayErr) {
		b.Epoch = max(b.Epoch, batch.Epoch)
		return errors.Join(err, relayErr)
	}
	*b = batch
	return relayErr
}

// unavailable reports whether a call failed because the store, or the entry in between, did not answer or refused it.
func unavailable(err error) bool {
	return errors.Is(err, gateway.ErrNotExecuted) || errors.Is(err, gateway.ErrOutcomeUnknown)
}

// route returns the entry that calls go through, if any, and whether this call is to be tried directly first.
func (r *relayStore) route(source gateway.Source) (via string, useDirect bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.via == "" {
		return "", true
	}
	if source != gateway.Upstreams || time.Now().Before(r.nextDirectTry) {
		return r.via, false
	}
	r.nextDirectTry = time.Now().Add(directRetryInterval)
	return r.via, true
}

// switchToDirect records that the store answers direct calls.
func (r *relayStore) switchToDirect() {
	r.mu.Lock()
	previous := r.via
	r.via = ""
	r.mu.Unlock()
	if previous != "" {
		r.log.Info().Str("dependency", "store").Msg("store reachable directly again")
		r.onRouteChange()
	}
}

// switchToPeer records that the store is reachable through another entry.
func (r *relayStore) switchToPeer(via string) {
	r.mu.Lock()
	previous := r.via
	r.via = via
	if previous == "" {
		r.nextDirectTry = time.Now().Add(directRetryInterval)
	}
	r.mu.Unlock()
	if previous != via {
		r.log.Info().Str("dependency", "store").Str("via", via).Msg("store reachable through another entry")
		r.onRouteChange()
	}
}

// callPeers makes a call through the entry via. If that fails, it tries several others in parallel, or only one for a write.
func (r *relayStore) callPeers(ctx context.Context, via string, call relayRequest) (gateway.Batch, error) {
	err := errNoPeer
	var newest gateway.Batch // of the failed calls, for its epoch
	if via != "" {
		if newest, err = callRelay(ctx, via, call); !unavailable(err) {
			return newest, err
		}
	}
	if !r.mayCallPeers() {
		return newest, err
	}
	peers := r.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = slices.DeleteFunc(peers, func(p string) bool { return p == via })
	tries := maxRelayPeers
	if call.Status != nil {
		tries = 1
	}
	peers = peers[:min(tries, len(peers))]
	if len(peers) == 0 || ctx.Err() != nil {
		return newest, err
	}
	first, epoch, failures := callFirst(ctx, peers, call)
	newest.Epoch = max(newest.Epoch, epoch)
	if first != nil {
		r.switchToPeer(first.via)
		return first.batch, first.err
	}
	if call.Source == gateway.Upstreams {
		r.mu.Lock()
		r.nextPeerTry = time.Now().Add(peerRetryDelay)
		r.mu.Unlock()
	}
	return newest, errors.Join(err, failures)
}

// relayResult is the result of a call through a peer.
type relayResult struct {
	via   string
	batch gateway.Batch
	err   error
}

// callFirst calls through all peers in parallel and returns the first answer of the store. If there is none, failures joins the
// errors of all peers, and epoch is the newest that they told.
func callFirst(ctx context.Context, peers []string, call relayRequest) (first *relayResult, epoch uint64, failures error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *relayResult, len(peers))
	for _, p := range peers {
		go func() {
			batch, err := callRelay(ctx, p, call)
			answers <- &relayResult{p, batch, err}
		}()
	}
	for range peers {
		a := <-answers
		if !unavailable(a.err) {
			return a, a.batch.Epoch, nil
		}
		epoch = max(epoch, a.batch.Epoch)
		failures = errors.Join(failures, a.err)
	}
	return nil, epoch, failures
}

func (r *relayStore) mayCallPeers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !time.Now().Before(r.nextPeerTry)
}

var errNoPeer = fmt.Errorf("%w: no other entry to relay through", gateway.ErrNotExecuted)

// callRelay executes a store call through the entry at a peer address.
func callRelay(ctx context.Context, address string, call relayRequest) (gateway.Batch, error) {
	var answer relayResponse
	err := postToPeer(ctx, address, relayPath, call, &answer, call.Wait+relayTimeout)
	if err != nil {
		return answer.Batch, err
	}
	return answer.Batch, relayError(address, answer.Error)
}

func (n *Node) serveRelay(r *mux.Router) {
	serveCalls(r, relayPath, maxRelayRequestBytes, n.log, n.relay)
}

// relay executes a store call for another entry.
func (n *Node) relay(ctx context.Context, call relayRequest) relayResponse {
	var answer relayResponse
	var err error
	switch {
	case call.Status != nil:
		answer.Batch.Epoch, err = n.o.Store.WriteStatus(ctx, *call.Status, gateway.Position{Epoch: call.Epoch, Offset: call.From})
	case call.From < 0:
		answer.Batch, _, err = n.o.Store.Newest(ctx, call.Source) // findings are logged by a leader that reads the records directly
	default:
		answer.Batch, _, err = n.o.Store.Read(ctx, call.Source, call.From, call.Wait)
	}
	if err != nil {
		answer.Batch = gateway.Batch{Source: call.Source, Epoch: answer.Batch.Epoch}
		answer.Error = relayErrorCode(err, "not-done")
	}
	return answer
}
