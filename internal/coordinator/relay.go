package coordinator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"boragehinge.example/boragehinge/internal/gateway"
)

const (
	relayPath = "/v1/store/"
	// relayTries bounds the other entries through which one read is tried at once. The store may turn a third of the entries
	// away, and what fails through all of them is taken for an outage.
	relayTries = 5
	// askPause follows a read of heartbeats that failed through all entries asked, because the store is then likely to be down for all.
	askPause = time.Second
	// directAgain is how long calls go through another entry before the store is called directly again.
	directAgain  = 2 * time.Second
	relayTimeout = 800 * time.Millisecond
)

// relayCall is a call to the store by way of another entry.
type relayCall struct {
	Source gateway.Source      `cbor:"1,keyasint"`
	From   int64               `cbor:"2,keyasint"` // negative: the newest record of each key
	Wait   time.Duration       `cbor:"3,keyasint,omitempty"`
	Status *gateway.MoveStatus `cbor:"4,keyasint,omitempty"` // to write if the log ends at From
}

type relayAnswer struct {
	Batch gateway.Batch `cbor:"1,keyasint"`
	Error string        `cbor:"2,keyasint,omitempty"` // a key of relayErrors
}

var relayErrors = map[string]error{
	"not-done": gateway.ErrNotExecuted, "unknown": gateway.ErrOutcomeUnknown, "conflict": gateway.ErrConflict, "expired": gateway.ErrExpired,
}

// relayStore calls the store, and goes through other entries while the store turns this one away. Reads of the upstreams'
// heartbeats, which are frequent and short, find out when the store is lost and when it can be called directly again.
type relayStore struct {
	direct Store
	peers  func() []string
	// switched is called when the way to the store changes, because other calls may hang on the old one.
	switched func()
	log      zerolog.Logger

	mu     sync.Mutex
	via    string // entry that calls go through; empty: direct
	testAt time.Time
	askAt  time.Time // until then other entries are not asked, because all of them failed
}

// Newest implements feed.Store.
func (r *relayStore) Newest(ctx context.Context, source gateway.Source) (b gateway.Batch, findings []error, err error) {
	err = r.try(ctx, relayCall{Source: source, From: -1}, &b, func() (err error) {
		b, findings, err = r.direct.Newest(ctx, source)
		return err
	})
	return b, findings, err
}

// Read implements feed.Store.
func (r *relayStore) Read(ctx context.Context, source gateway.Source, from int64, wait time.Duration) (b gateway.Batch, findings []error, err error) {
	err = r.try(ctx, relayCall{Source: source, From: from, Wait: wait}, &b, func() (err error) {
		b, findings, err = r.direct.Read(ctx, source, from, wait)
		return err
	})
	return b, findings, err
}

// WriteStatus writes the status of a move. A write whose outcome is unknown is not tried by another way.
func (r *relayStore) WriteStatus(ctx context.Context, s gateway.MoveStatus, end int64) error {
	var b gateway.Batch
	return r.try(ctx, relayCall{Source: gateway.Statuses, From: end, Status: &s}, &b, func() error {
		return r.direct.WriteStatus(ctx, s, end)
	})
}

// try calls directly or through another entry, whichever works at present, and then through others.
func (r *relayStore) try(ctx context.Context, call relayCall, b *gateway.Batch, direct func() error) error {
	via, useDirect := r.way(call.Source)
	var err error
	if useDirect {
		err = direct()
		if !unavailable(err) {
			r.restore()
			return err
		}
		if call.Status != nil && errors.Is(err, gateway.ErrOutcomeUnknown) || ctx.Err() != nil {
			return err
		}
	}
	batch, relayErr := r.askPeers(ctx, via, call)
	if unavailable(relayErr) {
		return errors.Join(err, relayErr)
	}
	*b = batch
	return relayErr
}

func unavailable(err error) bool {
	return errors.Is(err, gateway.ErrNotExecuted) || errors.Is(err, gateway.ErrOutcomeUnknown)
}

// way returns the entry that calls go through, if any, and whether this call goes to the store directly.
func (r *relayStore) way(source gateway.Source) (via string, useDirect bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.via == "" {
		return "", true
	}
	if source != gateway.Upstreams || time.Now().Before(r.testAt) {
		return r.via, false
	}
	r.testAt = time.Now().Add(directAgain)
	return r.via, true
}

// restore notes that the store answers directly.
func (r *relayStore) restore() {
	r.mu.Lock()
	was := r.via
	r.via = ""
	r.mu.Unlock()
	if was != "" {
		r.log.Info().Str("dependency", "store").Msg("store is reached directly again")
		r.switched()
	}
}

// divert notes that the store is reached through another entry.
func (r *relayStore) divert(via string) {
	r.mu.Lock()
	was := r.via
	r.via = via
	if was == "" {
		r.testAt = time.Now().Add(directAgain)
	}
	r.mu.Unlock()
	if was != via {
		r.log.Info().Str("dependency", "store").Str("via", via).Msg("store is reached through another entry")
		r.switched()
	}
}

// askPeers calls through via, and through some others at once when that fails. A write goes through one entry only.
func (r *relayStore) askPeers(ctx context.Context, via string, call relayCall) (gateway.Batch, error) {
	err := errNoPeer
	if via != "" {
		var batch gateway.Batch
		if batch, err = callRelay(ctx, via, call); !unavailable(err) {
			return batch, err
		}
	}
	if !r.mayAsk() {
		return gateway.Batch{}, err
	}
	peers := r.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = slices.DeleteFunc(peers, func(p string) bool { return p == via })
	tries := relayTries
	if call.Status != nil {
		tries = 1
	}
	peers = peers[:min(tries, len(peers))]
	if len(peers) == 0 || ctx.Err() != nil {
		return gateway.Batch{}, err
	}
	first, failures := callFirst(ctx, peers, call)
	if first != nil {
		r.divert(first.via)
		return first.batch, first.err
	}
	if call.Source == gateway.Upstreams {
		r.mu.Lock()
		r.askAt = time.Now().Add(askPause)
		r.mu.Unlock()
	}
	return gateway.Batch{}, errors.Join(err, failures)
}

// relayed is the store's answer by way of an entry.
type relayed struct {
	via   string
	batch gateway.Batch
	err   error
}

// callFirst calls through all peers at once and returns the first answer of the store. Without one the error holds all failures.
func callFirst(ctx context.Context, peers []string, call relayCall) (first *relayed, failures error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *relayed, len(peers))
	for _, p := range peers {
		go func() {
			batch, err := callRelay(ctx, p, call)
			answers <- &relayed{p, batch, err}
		}()
	}
	for range peers {
		a := <-answers
		if !unavailable(a.err) {
			return a, nil
		}
		failures = errors.Join(failures, a.err)
	}
	return nil, failures
}

func (r *relayStore) mayAsk() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !time.Now().Before(r.askAt)
}

// errNoPeer means that no other entry can be asked.
var errNoPeer = fmt.Errorf("%w: no other entry can be asked", gateway.ErrNotExecuted)

func callRelay(ctx context.Context, address string, call relayCall) (gateway.Batch, error) {
	var answer relayAnswer
	ctx, cancel := context.WithTimeout(ctx, call.Wait+relayTimeout)
	defer cancel()
	body, err := cbor.Marshal(call)
	if err != nil {
		return answer.Batch, fmt.Errorf("%w: %w", gateway.ErrNotExecuted, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+relayPath, bytes.NewReader(body))
	if err != nil {
		return answer.Batch, fmt.Errorf("%w: %w", gateway.ErrNotExecuted, err)
	}
	resp, err := peerClient.Do(req)
	if err != nil {
		return answer.Batch, fmt.Errorf("%w: through %s: %w", gateway.ErrOutcomeUnknown, address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxFrame))
	if err != nil {
		return answer.Batch, fmt.Errorf("%w: through %s: %w", gateway.ErrOutcomeUnknown, address, err)
	}
	if err := cbor.Unmarshal(data, &answer); err != nil {
		return answer.Batch, fmt.Errorf("%w: through %s: status %d: %w", gateway.ErrNotExecuted, address, resp.StatusCode, err)
	}
	if answer.Error != "" {
		return answer.Batch, fmt.Errorf("through %s: %w", address, relayErrors[answer.Error])
	}
	return answer.Batch, nil
}

func (n *Node) serveRelay(r *mux.Router) {
	r.HandleFunc(relayPath, func(w http.ResponseWriter, req *http.Request) {
		var call relayCall
		data, err := io.ReadAll(io.LimitReader(req.Body, 64<<10))
		if err == nil {
			err = cbor.Unmarshal(data, &call)
		}
		if err != nil {
			http.Error(w, "malformed call: "+strconv.Quote(err.Error()), http.StatusBadRequest)
			return
		}
		answer := n.relay(req.Context(), call)
		out, err := cbor.Marshal(answer)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if _, err := w.Write(out); err != nil {
			n.log.Debug().Err(err).Msg("relayed answer not sent")
		}
	}).Methods(http.MethodPost)
}

func (n *Node) relay(ctx context.Context, call relayCall) relayAnswer {
	var answer relayAnswer
	var err error
	switch {
	case call.Status != nil:
		err = n.o.Store.WriteStatus(ctx, *call.Status, call.From)
	case call.From < 0:
		answer.Batch, _, err = n.o.Store.Newest(ctx, call.Source) // findings show at the entry that leads when it reads them
	default:
		answer.Batch, _, err = n.o.Store.Read(ctx, call.Source, call.From, call.Wait)
	}
	if err != nil {
		answer.Error = "not-done"
		for name, target := range relayErrors {
			if errors.Is(err, target) {
				answer.Error = name
			}
		}
	}
	return answer
}
