package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"boragehinge.example/boragehinge/internal/logservice"
)

const maxWait = time.Minute

// Handler serves the stand-in over HTTP.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/log/records", s.serveAppend).Methods(http.MethodPost)
	r.HandleFunc("/v1/log/records", s.serveRead).Methods(http.MethodGet)
	r.HandleFunc("/v1/hosts", s.serveHosts).Methods(http.MethodGet)
	r.HandleFunc("/faults", s.serveFaults).Methods(http.MethodGet, http.MethodPut)
	r.HandleFunc("/hosts", s.serveSetHosts).Methods(http.MethodPut)
	return r
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, logservice.MaxRecordBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := s.Append(r.Context(), data)
	if err != nil {
		fail(w, err)
		return
	}
	answer(w, http.StatusOK, map[string]int64{"offset": offset})
}

type entryJSON struct {
	Offset int64  `json:"offset"`
	TimeMs int64  `json:"timeMs"`
	Data   []byte `json:"data"`
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("max"))
	waitMs, err3 := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if err := errors.Join(err1, err2, err3); err != nil || waitMs < 0 {
		http.Error(w, "need from, max and waitMs", http.StatusBadRequest)
		return
	}
	entries, err := s.Read(r.Context(), from, limit, min(time.Duration(waitMs)*time.Millisecond, maxWait))
	if err != nil {
		fail(w, err)
		return
	}
	list := make([]entryJSON, 0, len(entries))
	for _, e := range entries {
		list = append(list, entryJSON{Offset: e.Offset, TimeMs: e.Time.UnixMilli(), Data: e.Data})
	}
	answer(w, http.StatusOK, map[string]any{"entries": list})
}

func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := s.Hosts(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	answer(w, http.StatusOK, map[string]any{"hosts": hosts})
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var f Faults
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	}
	answer(w, http.StatusOK, s.Faults())
}

func (s *Server) serveSetHosts(w http.ResponseWriter, r *http.Request) {
	var list struct {
		Hosts []logservice.Host `json:"hosts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetHosts(list.Hosts)
	w.WriteHeader(http.StatusNoContent)
}

func fail(w http.ResponseWriter, err error) {
	var expired logservice.ErrExpired
	var limited logservice.ErrRateLimited
	switch {
	case errors.As(err, &expired):
		answer(w, http.StatusGone, map[string]int64{"oldest": expired.Oldest})
	case errors.As(err, &limited):
		w.Header().Set("Retry-After", strconv.FormatFloat(limited.RetryAfter.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusTooManyRequests)
	case errors.Is(err, logservice.ErrUnknownOutcome):
		// Closes the connection without an answer.
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
