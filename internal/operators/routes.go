package operators

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/gorilla/mux"
)

const (
	maxLeaveBody   = 8 << 10
	maxReasonBytes = 300
)

func (p *Port) routes() http.Handler {
	r := mux.NewRouter()
	if p.s.Metrics != nil {
		r.Handle("/metrics", p.s.Metrics).Methods(http.MethodGet)
	}
	r.HandleFunc("/healthz", p.healthz).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/readyz", p.readyz).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/v1/status", p.status).Methods(http.MethodGet)
	r.HandleFunc("/v1/history", p.historyOf).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain", p.explain).Methods(http.MethodGet)
	r.HandleFunc("/v1/leave", p.leave).Methods(http.MethodPost)
	return r
}

// Observe records the statements that changed since the last call. Run calls it.
func (p *Port) Observe() {
	p.history.observe(p.s.Now(), Statements(p.s.Source.State()))
}

// healthz says only that the process answers. An entry that isn't ready must not be restarted for that.
func (p *Port) healthz(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

func (p *Port) readyz(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := p.s.Source.Ready(); !ok {
		writeText(w, http.StatusServiceUnavailable, "not ready: "+reason+"\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

func (p *Port) status(w http.ResponseWriter, r *http.Request) {
	ready, reason := p.s.Source.Ready()
	answer(w, r, http.StatusOK, NewStatus(p.s.Source.State(), ready, reason))
}

func (p *Port) historyOf(w http.ResponseWriter, r *http.Request) {
	q, err := historyQuery(r, p.s.Now())
	if err != nil {
		refuse(w, r, http.StatusBadRequest, err)
		return
	}
	h := p.history.query(q)
	h.Host = p.s.Source.State().Self.Host
	answer(w, r, http.StatusOK, h)
}

func historyQuery(r *http.Request, now time.Time) (HistoryQuery, error) {
	values := r.URL.Query()
	q := HistoryQuery{Kind: Kind(values.Get("kind")), Subject: values.Get("subject")}
	if text := values.Get("since"); text != "" {
		at, err := ParseSince(text, now)
		if err != nil {
			return q, err
		}
		q.Since = at
	}
	if text := values.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return q, fmt.Errorf("limit must be a positive number, but is %q", text)
		}
		q.Limit = n
	}
	return q, nil
}

// ParseSince reads a time, or a duration before now.
func ParseSince(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, fmt.Errorf("since must be a duration such as 12h or a time such as 2026-03-02T08:00:00Z, but is %q", text)
	}
	return at, nil
}

func (p *Port) explain(w http.ResponseWriter, r *http.Request) {
	v := r.URL.Query()
	q := Query{
		Customer: v.Get("customer"), Class: v.Get("class"), Host: v.Get("host"), Path: v.Get("path"),
		Method: strings.ToUpper(v.Get("method")), RequestID: v.Get("requestId"),
	}
	if !strings.HasPrefix(q.Path, "/") {
		refuse(w, r, http.StatusBadRequest, fmt.Errorf("path must start with /, but is %q", q.Path))
		return
	}
	state := p.s.Source.State()
	e := Explain(q, p.s.Source.Snapshot(), state.Moves, p.s.Source.Candidates)
	e.Host = state.Self.Host
	answer(w, r, http.StatusOK, e)
}

func (p *Port) leave(w http.ResponseWriter, r *http.Request) {
	l, err := readLeaving(w, r)
	if err != nil {
		refuse(w, r, http.StatusBadRequest, err)
		return
	}
	result, err := p.s.Source.Leave(r.Context(), l)
	switch {
	case errors.Is(err, ErrUnknownDataCentre):
		refuse(w, r, http.StatusNotFound, fmt.Errorf("%s: %w", l.DataCentre, err))
		return
	case err != nil:
		refuse(w, r, http.StatusServiceUnavailable, err)
		return
	}
	result.Text = leaveText(result, l)
	answer(w, r, http.StatusOK, result)
}

// readLeaving accepts JSON only. A page in an operator's browser can send a form to this port without asking first, but
// not JSON.
func readLeaving(w http.ResponseWriter, r *http.Request) (Leaving, error) {
	var l Leaving
	if kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || kind != "application/json" {
		return l, errors.New("the body must be of the type application/json")
	}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLeaveBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&l); err != nil {
		return l, fmt.Errorf("the body cannot be read: %w", err)
	}
	return l, l.check()
}

func (l Leaving) check() error {
	if l.DataCentre == "" {
		return errors.New("dataCentre is missing")
	}
	if strings.TrimSpace(l.Reason) == "" {
		return errors.New("reason is missing; it is shown to everyone who reads the status")
	}
	if len(l.Reason) > maxReasonBytes || len(l.Operator) > maxReasonBytes {
		return fmt.Errorf("reason and operator may have at most %d bytes", maxReasonBytes)
	}
	if strings.ContainsFunc(l.DataCentre+l.Reason+l.Operator, unicode.IsControl) {
		return errors.New("the fields must not hold control characters")
	}
	return nil
}

// Failure is the JSON answer to a request that cannot be served.
type Failure struct {
	Error string `json:"error"`
}

// WriteText writes the failure as a line.
func (f Failure) WriteText(w io.Writer) error {
	_, err := fmt.Fprintln(w, f.Error)
	return err
}

type texter interface{ WriteText(w io.Writer) error }

func refuse(w http.ResponseWriter, r *http.Request, status int, err error) {
	answer(w, r, status, Failure{Error: err.Error()})
}

// answer writes v as JSON or text.
func answer(w http.ResponseWriter, r *http.Request, status int, v texter) {
	asJSON, err := wantsJSON(r)
	if err != nil {
		status, v = http.StatusBadRequest, Failure{Error: err.Error()}
	}
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	if asJSON {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(v) // The operator left; nobody reads the error.
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_ = v.WriteText(w)
}

func wantsJSON(r *http.Request) (bool, error) {
	switch format := r.URL.Query().Get("format"); format {
	case "json":
		return true, nil
	case "text":
		return false, nil
	case "":
	default:
		return false, fmt.Errorf("format must be json or text, but is %q", format)
	}
	return strings.Contains(r.Header.Get("Accept"), "application/json"), nil
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
