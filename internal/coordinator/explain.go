package coordinator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/placement"
)

// ExplainPath is the path of ExplainHandler. Its query names a request: host, path, dataCentre (of the entry that receives it), attempt,
// requestBytes, responseBytes and account. With format=json the answer is JSON.
const ExplainPath = "/v1/explain-request"

// RequestExplanation says where a request would go now, and why.
type RequestExplanation struct {
	Entry         string               `json:"entry"` // the leader, which places requests
	Query         RequestQuery         `json:"query"`
	Configuration uint64               `json:"configuration"`
	Route         string               `json:"route,omitempty"` // empty if none matches
	Idempotent    bool                 `json:"idempotent"`
	Priority      int                  `json:"priority"`
	ObjectiveMs   float64              `json:"objectiveMs"`
	TimeoutMs     float64              `json:"timeoutMs"`
	MaxAttempts   int                  `json:"maxAttempts"`
	Services      []ServiceExplanation `json:"services"`
	Text          []string             `json:"text"`
}

// RequestQuery describes the request.
type RequestQuery struct {
	Host          string `json:"host"`
	Path          string `json:"path"`
	DataCentre    string `json:"dataCentre"` // of the entry that receives it
	Attempt       int    `json:"attempt"`
	RequestBytes  int64  `json:"requestBytes,omitempty"`
	ResponseBytes int64  `json:"responseBytes,omitempty"`
	Account       string `json:"account,omitempty"`
}

// ServiceExplanation is the explanation of one service of the route.
type ServiceExplanation struct {
	Service        string           `json:"service"`
	Weight         float64          `json:"weight"`
	Fate           placement.Fate   `json:"fate"`
	Upstream       string           `json:"upstream,omitempty"`
	Reason         placement.Reason `json:"reason,omitempty"`
	Waiting        int              `json:"waiting"`
	ExpectedWaitMs float64          `json:"expectedWaitMs"`
	ServiceTimeMs  float64          `json:"serviceTimeMs"`
	HedgeAfterMs   float64          `json:"hedgeAfterMs,omitempty"`
	Overloaded     bool             `json:"overloaded"`
	// RequestBytesLimit is the limit on request bytes at an upstream. HeldByBytes says that only this limit keeps the request from the
	// upstreams that suit it.
	RequestBytesLimit int64                `json:"requestBytesLimit,omitempty"`
	HeldByBytes       bool                 `json:"heldByRequestBytes,omitempty"`
	Upstreams         []ExplainedCandidate `json:"upstreams"`
}

// ExplainedCandidate is an upstream that was compared or excluded.
type ExplainedCandidate struct {
	ID          string  `json:"id"`
	Address     string  `json:"address"`
	DataCentre  string  `json:"dataCentre"`
	Version     string  `json:"version"`
	Running     int     `json:"running"`
	Slots       int     `json:"slots"`
	Bytes       int64   `json:"requestBytes,omitempty"` // of the running requests
	Pace        float64 `json:"pace"`
	PredictedMs float64 `json:"predictedMs"`
	CostMs      float64 `json:"costMs"`
	Excluded    string  `json:"excluded,omitempty"`
}

// ExplainHandler says where a request would go now. The leader answers; an entry that follows it redirects to the same port of the
// leader's host, and one without a leader answers 503.
func (n *Node) ExplainHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := n.parseQuery(r.URL.Query())
		if err != "" {
			http.Error(w, err, http.StatusBadRequest)
			return
		}
		n.mu.Lock()
		l, leaderHost := n.leader, n.leaderHost()
		n.mu.Unlock()
		switch {
		case l != nil:
			l.explain(time.Now(), q).write(w, r.URL.Query().Get("format") == "json")
		case leaderHost != "":
			redirectToLeader(w, r, leaderHost, q)
		default:
			http.Error(w, "this entry has no leader, or has not learned its address yet; ask again", http.StatusServiceUnavailable)
		}
	})
}

// maxExplainedBytes bounds the sizes of a query, so that their sum is a size.
const maxExplainedBytes = 1 << 50

// parseQuery returns the request of a query, or what is wrong with it.
func (n *Node) parseQuery(v url.Values) (q RequestQuery, wrong string) {
	q = RequestQuery{Host: v.Get("host"), Path: v.Get("path"), DataCentre: v.Get("dataCentre"), Attempt: 1, Account: v.Get("account")}
	if q.DataCentre == "" {
		q.DataCentre = n.o.Self.DataCentre
	}
	if a := v.Get("attempt"); a != "" {
		var err error
		if q.Attempt, err = strconv.Atoi(a); err != nil || q.Attempt < 1 {
			return q, "attempt must be a number from 1"
		}
	}
	for name, target := range map[string]*int64{"requestBytes": &q.RequestBytes, "responseBytes": &q.ResponseBytes} {
		if text := v.Get(name); text != "" {
			var err error
			if *target, err = strconv.ParseInt(text, 10, 64); err != nil || *target < 0 || *target > maxExplainedBytes {
				return q, fmt.Sprintf("%s must be a number from 0 to %d", name, int64(maxExplainedBytes))
			}
		}
	}
	if q.Host == "" || q.Path == "" || q.Path[0] != '/' {
		return q, "host and path are needed, and the path begins with a slash"
	}
	return q, ""
}

// leaderHost returns the host of the followed leader's address for callers, which the port of this handler is on, or "" if none is
// known. The caller holds n.mu.
func (n *Node) leaderHost() string {
	if _, follows := n.session.(*linkSession); !follows || n.clusterInfo == nil {
		return ""
	}
	host, _, err := net.SplitHostPort(n.clusterInfo.LeaderCallers)
	if err != nil {
		return ""
	}
	return host
}

func redirectToLeader(w http.ResponseWriter, r *http.Request, leaderHost string, q RequestQuery) {
	_, port, err := net.SplitHostPort(r.Host)
	if err != nil {
		port = "80"
	}
	v := r.URL.Query()
	v.Set("dataCentre", q.DataCentre)
	target := url.URL{Scheme: "http", Host: net.JoinHostPort(leaderHost, port), Path: r.URL.Path, RawQuery: v.Encode()}
	http.Redirect(w, r, target.String(), http.StatusTemporaryRedirect)
}

// explain says where a request would go now. Sizes that the query lacks have no influence.
func (l *leadership) explain(now time.Time, q RequestQuery) *RequestExplanation {
	e := &RequestExplanation{Entry: l.node.o.Self.Name, Query: q, Services: []ServiceExplanation{}}
	config := l.node.Config()
	if config == nil {
		e.addLine("no configuration is known yet, so the request is refused with 503")
		return e
	}
	e.Configuration = config.Version
	route := config.Match(q.Host, q.Path)
	if route == nil {
		e.addLine("no route of configuration %d matches %s%s, so the answer is 404", config.Version, q.Host, q.Path)
		return e
	}
	e.Route, e.Idempotent, e.Priority, e.MaxAttempts = route.Name, route.Kind.Idempotent(), route.Priority, route.MaxAttempts
	e.ObjectiveMs, e.TimeoutMs = milliseconds(route.Objective), milliseconds(route.Timeout)
	var account *gateway.Account
	if config.RequiresKey(route) && q.Account != "" {
		if account = config.AccountNamed(q.Account); account == nil {
			e.addLine("configuration %d has no account %q, so the answer is 401", config.Version, q.Account)
			return e
		}
	}
	ask := explainedAsk(now, route, account, q)
	e.Priority = ask.Priority
	e.describeRoute()
	e.describeRequest(account, config.RequiresKey(route))
	for _, part := range route.Parts {
		s := ServiceExplanation{Service: part.Service, Weight: part.Weight, Fate: placement.WouldRefuse, Reason: placement.ReasonNoUpstream}
		l.coordinator.WithPool(part.Service, func(p *placement.Pool) { s.setExplanation(p.Explain(now, ask)) })
		e.Services = append(e.Services, s)
		e.describeService(&s, len(route.Parts) > 1)
	}
	return e
}

// explainedAsk returns the ask for the request of a query.
func explainedAsk(now time.Time, route *gateway.Route, account *gateway.Account, q RequestQuery) placement.Ask {
	ask := placement.Ask{
		Route: route.Name, DataCentre: q.DataCentre, Large: route.Kind == gateway.Download, Priority: route.Priority,
		Objective: now.Add(route.Objective), Deadline: now.Add(route.Timeout), Attempt: q.Attempt,
		MayHedge:      route.Kind.Idempotent() && q.Attempt+1 <= route.MaxAttempts && q.RequestBytes <= gateway.MaxBufferedBody,
		TransferBytes: q.RequestBytes + q.ResponseBytes, RequestBytes: q.RequestBytes,
	}
	if account != nil {
		ask.Account = account.Name
		if account.Priority != nil {
			ask.Priority = *account.Priority
		}
	}
	return ask
}

// setExplanation sets what the service's pool would do.
func (s *ServiceExplanation) setExplanation(x placement.Explanation) {
	s.Fate, s.Upstream, s.Reason, s.Waiting, s.Overloaded = x.Fate, x.Upstream, x.Reason, x.Waiting, x.Overloaded
	s.RequestBytesLimit, s.HeldByBytes = x.RequestBytesLimit, x.HeldByBytes
	s.ExpectedWaitMs, s.ServiceTimeMs, s.HedgeAfterMs = milliseconds(x.ExpectedWait), milliseconds(x.ServiceTime), milliseconds(x.HedgeAfter)
	s.Upstreams = make([]ExplainedCandidate, 0, len(x.Upstreams))
	for i := range x.Upstreams {
		u := &x.Upstreams[i]
		s.Upstreams = append(s.Upstreams, ExplainedCandidate{
			ID: u.ID, Address: u.Address, DataCentre: u.DataCentre, Version: u.Version, Running: u.Running, Slots: u.Slots, Bytes: u.RequestBytes, Pace: u.Pace,
			PredictedMs: milliseconds(u.Predicted), CostMs: milliseconds(u.Cost), Excluded: u.Excluded,
		})
	}
}

// milliseconds returns a duration in ms, rounded to 0.01 ms.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

// write answers in JSON or as plain text.
func (e *RequestExplanation) write(w http.ResponseWriter, asJSON bool) {
	if !asJSON {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		for _, line := range e.Text {
			_, _ = w.Write([]byte(line + "\n")) // fails only if the client has gone
		}
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(e) // fails only if the client has gone
}
