package coordinator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"boragehinge.example/boragehinge/internal/gateway"
)

// postToPeer posts a call, encoded as CBOR, to a path of the entry at a peer address, and decodes the answer. The error is ErrNotExecuted if
// the call wasn't sent or was refused, and ErrOutcomeUnknown if no complete and readable answer came within the timeout, or one with another
// failure.
func postToPeer(ctx context.Context, address, path string, call, answer any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	encoded, err := cbor.Marshal(call)
	if err != nil {
		return fmt.Errorf("%w: %w", gateway.ErrNotExecuted, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("%w: %w", gateway.ErrNotExecuted, err)
	}
	resp, err := peerClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: through %s: %w", gateway.ErrOutcomeUnknown, address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := peerStatusError(resp.StatusCode); err != nil {
		return fmt.Errorf("%w: through %s: status %d", err, address, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxFrameBytes))
	if err == nil {
		err = cbor.Unmarshal(data, answer)
	}
	if err != nil {
		return fmt.Errorf("%w: through %s: %w", gateway.ErrOutcomeUnknown, address, err)
	}
	return nil
}

// peerStatusError returns what the status of an answer says about the call, or nil if it was executed. An entry that doesn't know the path
// of a call, because its version is earlier or a feature is off, answers with 404.
func peerStatusError(status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return gateway.ErrNotExecuted
	}
	return gateway.ErrOutcomeUnknown
}

// serveCalls answers the calls of at most maxBytes that other entries make with postToPeer.
func serveCalls[C, A any](r *mux.Router, path string, maxBytes int64, log zerolog.Logger, execute func(context.Context, C) A) {
	r.HandleFunc(path, func(w http.ResponseWriter, req *http.Request) {
		var call C
		data, err := io.ReadAll(io.LimitReader(req.Body, maxBytes))
		if err == nil {
			err = cbor.Unmarshal(data, &call)
		}
		if err != nil {
			http.Error(w, "malformed call: "+strconv.Quote(err.Error()), http.StatusBadRequest)
			return
		}
		out, err := cbor.Marshal(execute(req.Context(), call))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if _, err := w.Write(out); err != nil {
			log.Debug().Err(err).Msg("failed to send a relayed answer")
		}
	}).Methods(http.MethodPost)
}

// relayError returns the error of a call that the entry at a peer address has relayed, by its code in the answer, or nil if that is empty.
func relayError(address, code string) error {
	if code == "" {
		return nil
	}
	return fmt.Errorf("through %s: %w", address, relayErrors[code])
}

// relayErrorCode returns the key of relayErrors for an error, or fallback for an error that has none.
func relayErrorCode(err error, fallback string) string {
	code := fallback
	for name, target := range relayErrors {
		if errors.Is(err, target) {
			code = name
		}
	}
	return code
}
