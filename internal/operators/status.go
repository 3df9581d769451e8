package operators

import (
	"time"

	"boragehinge.example/boragehinge/internal/rollout"
)

// Status is the answer of /v1/status.
type Status struct {
	Now           time.Time     `json:"now"`
	Ready         bool          `json:"ready"`
	NotReady      string        `json:"notReady,omitempty"` // why
	Self          Self          `json:"self"`
	Configuration Configuration `json:"configuration"`
	Log           Log           `json:"log"`
	Statements    []Statement   `json:"statements"`
	Members       []Member      `json:"members"`
	DataCentres   []DataCentre  `json:"dataCentres"`
	Moves         []Move        `json:"moves"`
	Upstreams     []UpstreamRow `json:"upstreams"` // of the pools that this entry owns
}

// Move is the progress of a version move.
type Move struct {
	Service  string        `json:"service"`
	Move     string        `json:"move"`
	From     string        `json:"from"`
	To       string        `json:"to"`
	State    rollout.State `json:"state"`
	Percent  float64       `json:"percent"`
	Since    time.Time     `json:"since,omitzero"`
	By       time.Time     `json:"by,omitzero"`
	Why      string        `json:"why,omitempty"`
	Evidence string        `json:"evidence,omitempty"`
}

// UpstreamRow is the state of an upstream.
type UpstreamRow struct {
	Name          string    `json:"name"`
	Address       string    `json:"address"`
	Service       string    `json:"service"`
	DataCentre    string    `json:"dataCentre"`
	Pool          string    `json:"pool"`
	Version       string    `json:"version"`
	Health        string    `json:"health"`
	Reason        string    `json:"reason,omitempty"`
	Since         time.Time `json:"since,omitzero"`
	EjectedUntil  time.Time `json:"ejectedUntil,omitzero"`
	Slots         int       `json:"slots"`
	Allowance     int       `json:"allowance"`
	InFlight      int       `json:"inFlight"`
	LatencyMs     float64   `json:"latencyMs"`
	FailureRate   float64   `json:"failureRate"`
	ReportTrusted bool      `json:"reportTrusted"`
	SlowRoutes    []string  `json:"slowRoutes,omitempty"`
	Grants        uint64    `json:"grants"`
}

// NewStatus derives the status from the facts.
func NewStatus(s State, ready bool, notReady string) Status {
	out := Status{
		Now: s.Now, Ready: ready, NotReady: notReady, Self: s.Self, Configuration: s.Configuration, Log: s.Log,
		Statements: Statements(s), Members: s.Members, DataCentres: s.DataCentres,
		Moves: make([]Move, 0, len(s.Moves)), Upstreams: make([]UpstreamRow, 0, len(s.Upstreams)),
	}
	for _, m := range s.Moves {
		out.Moves = append(out.Moves, Move{
			Service: m.Service, Move: m.Move, From: m.From, To: m.To, State: m.State, Percent: m.Percent, Since: m.Since,
			By: m.By, Why: m.Why, Evidence: m.Evidence,
		})
	}
	for _, u := range s.Upstreams {
		out.Upstreams = append(out.Upstreams, upstreamRow(u))
	}
	return out
}

func upstreamRow(u Upstream) UpstreamRow {
	return UpstreamRow{
		Name: u.Name, Address: u.Address, Service: u.Service, DataCentre: u.DataCentre, Pool: u.Pool, Version: u.Version,
		Health: string(u.Health), Reason: u.Reason, Since: u.Since, EjectedUntil: u.EjectedUntil, Slots: u.Slots,
		Allowance: u.Allowance, InFlight: u.InFlight, LatencyMs: float64(u.Latency) / float64(time.Millisecond),
		FailureRate: u.FailureRate, ReportTrusted: u.ReportTrusted, SlowRoutes: u.SlowRoutes, Grants: u.Grants,
	}
}
