package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/wire"
)

// Paths on the peer port, in addition to links and forwards. Their bodies are JSON as defined in
// schema/messages.schema.json.
const (
	pathWindow  = "/idempotency/window"
	pathAges    = "/idempotency/ages"
	pathLookup  = "/idempotency/lookup"
	pathRecords = "/idempotency/records"
	pathMoved   = "/idempotency/moved"
	// pathPoolState accepts a dispatch.Handover in JSON.
	pathPoolState = "/pools/state"
)

// maxPeerBody is large enough for a batch of records with the largest stored responses.
const maxPeerBody = 4 << 20

// sendPeerRequest sends a JSON request to the peer port of another entry and decodes the response into out. If in is nil, no
// body is sent; if out is nil, the response body is ignored.
func (e *Entry) sendPeerRequest(ctx context.Context, address, method, path string, in, out any) error {
	target, err := url.Parse(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	req := &http.Request{Method: method, URL: target, Host: address, Header: http.Header{}, Body: http.NoBody}
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(data)), int64(len(data))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := e.peerClient.RoundTrip(ctx, address, req, method == http.MethodGet)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer resp.Body.Close() //nolint:errcheck // the body is only read
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerBody))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func (e *Entry) memberByIncarnation(incarnation string) (membership.Member, bool) {
	for _, m := range e.node.View().Members {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return membership.Member{}, false
}

// neighbours returns the other live entries of the data centre.
func (e *Entry) neighbours() []membership.Member {
	var list []membership.Member
	v := e.node.View()
	for _, m := range v.Members {
		if m.DataCentre == v.Self.DataCentre && m.Incarnation != v.Self.Incarnation {
			list = append(list, m)
		}
	}
	return list
}

// recordRoutes registers the handlers for the at-most-once records.
func (e *Entry) recordRoutes(mux *http.ServeMux) {
	r := e.registrar
	mux.HandleFunc("GET "+pathWindow, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.window(time.Now())) })
	mux.HandleFunc("GET "+pathAges, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.ages(time.Now())) })
	mux.HandleFunc("POST "+pathLookup, func(w http.ResponseWriter, req *http.Request) {
		var q wire.RecordQuestion
		if readJSON(w, req, &q) {
			writeJSON(w, wire.RecordAnswer{State: r.lookup(time.Now(), q.ID)})
		}
	})
	mux.HandleFunc("POST "+pathRecords, func(w http.ResponseWriter, req *http.Request) {
		var b wire.RecordBatch
		if readJSON(w, req, &b) {
			r.importBatch(time.Now(), b)
			writeJSON(w, struct{}{})
		}
	})
	mux.HandleFunc("POST "+pathMoved, func(w http.ResponseWriter, req *http.Request) {
		var m wire.RecordsMoved
		if readJSON(w, req, &m) {
			r.handleRecordsMoved(time.Now(), m)
			writeJSON(w, struct{}{})
		}
	})
}

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPeerBody)).Decode(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
