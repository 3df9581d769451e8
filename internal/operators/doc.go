// Package operators serves the operators' port of an entry: metrics, health, status, history, explanations and urgent
// leavings.
//
// It holds no state of the system. A Source, which package entry implements, supplies plain facts; this package turns
// them into statements (text.go holds all texts) and keeps the history of statements that changed. A statement says
// what is done, in progress or rolled back, for what, why, since when, by when, and what it waits for.
//
// Paths: /metrics, /healthz, /readyz, /v1/status, /v1/history, /v1/explain and /v1/leave (POST). The answers below /v1/
// are text, or JSON with "Accept: application/json" or ?format=json.
package operators
