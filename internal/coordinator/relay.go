package coordinator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
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
	// relayTries bounds the other entries through which one call is tried.
	relayTries = 2
	// directAgain is how long calls go through another entry before the store is called directly again.
	directAgain  = 2 * time.Second
	relayTimeout = 900 * time.Millisecond
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
	"not-done": gateway.ErrNotDone, "unknown": gateway.ErrUnknown, "conflict": gateway.ErrConflict, "expired": gateway.ErrExpired,
}

// relayStore calls the store, and goes through other entries while the store turns this one away.
type relayStore struct {
	direct Store
	peers  func() []string
	log    zerolog.Logger

	mu         sync.Mutex
	via        string // entry that calls go through; empty: direct
	retryAt    time.Time
	nextChoice int
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

// try calls directly or through another entry, whichever worked last, and then through others.
func (r *relayStore) try(ctx context.Context, call relayCall, b *gateway.Batch, direct func() error) error {
	via := r.choose()
	var err error
	if via == "" {
		if err = direct(); !unavailable(err) || (call.Status != nil && errors.Is(err, gateway.ErrUnknown)) {
			return err
		}
	}
	if via == "" {
		via = r.choose() // another call may have found a way meanwhile
	}
	peers := r.peers()
	for i := 0; i < relayTries && len(peers) > 0 && ctx.Err() == nil; i++ {
		if via == "" {
			via = peers[r.rotate()%len(peers)]
		}
		var relayErr error
		*b, relayErr = callRelay(ctx, via, call)
		if !unavailable(relayErr) {
			r.use(via)
			return relayErr
		}
		err = errors.Join(err, relayErr)
		via = ""
	}
	r.use("")
	return err
}

func unavailable(err error) bool {
	return errors.Is(err, gateway.ErrNotDone) || errors.Is(err, gateway.ErrUnknown)
}

func (r *relayStore) choose() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.via != "" && time.Now().After(r.retryAt) {
		r.via = ""
	}
	return r.via
}

func (r *relayStore) rotate() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextChoice++
	return r.nextChoice
}

func (r *relayStore) use(via string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.via == via {
		return
	}
	r.via, r.retryAt = via, time.Now().Add(directAgain)
	if via != "" {
		r.log.Info().Str("dependency", "store").Str("via", via).Msg("store is reached through another entry")
	}
}

func callRelay(ctx context.Context, address string, call relayCall) (gateway.Batch, error) {
	var answer relayAnswer
	ctx, cancel := context.WithTimeout(ctx, call.Wait+relayTimeout)
	defer cancel()
	body, err := cbor.Marshal(call)
	if err != nil {
		return answer.Batch, fmt.Errorf("%w: %w", gateway.ErrNotDone, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+relayPath, bytes.NewReader(body))
	if err != nil {
		return answer.Batch, fmt.Errorf("%w: %w", gateway.ErrNotDone, err)
	}
	resp, err := peerClient.Do(req)
	if err != nil {
		return answer.Batch, fmt.Errorf("%w: through %s: %w", gateway.ErrUnknown, address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxFrame))
	if err != nil {
		return answer.Batch, fmt.Errorf("%w: through %s: %w", gateway.ErrUnknown, address, err)
	}
	if err := cbor.Unmarshal(data, &answer); err != nil {
		return answer.Batch, fmt.Errorf("%w: through %s: status %d: %w", gateway.ErrNotDone, address, resp.StatusCode, err)
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
