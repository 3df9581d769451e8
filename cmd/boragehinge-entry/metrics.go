package main

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"boragehinge.example/boragehinge/internal/coordinator"
)

// metricsHandler serves the metrics on all paths, and the explanation of requests on its own.
func (e *entry) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+coordinator.ExplainPath, e.node.ExplainHandler())
	mux.Handle("/", promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{}))
	return mux
}
