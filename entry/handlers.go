package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"boragehinge.example/boragehinge/internal/operators"
	"boragehinge.example/boragehinge/internal/peer"
	"boragehinge.example/boragehinge/internal/proxy"
)

// reasonNotReady is the reason for refusing calls while the configuration isn't known to be current.
const reasonNotReady = "not-ready"

func (e *Entry) callersHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == AddressesPath && r.Method == http.MethodGet {
			e.serveAddresses(w, r)
			return
		}
		if e.refuseIfNotReady(w, r) {
			return
		}
		e.proxy.ServeHTTP(w, r)
	})
}

func (e *Entry) peersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+peer.Path, e.webSocket().Handler(e.node.Mesh()))
	e.recordRoutes(mux)
	e.poolRoutes(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Forwards contain the caller's path, which ServeMux would clean and redirect.
		if !strings.HasPrefix(r.URL.Path, proxy.ForwardPath+"/") {
			mux.ServeHTTP(w, r)
			return
		}
		e.forwards.Add(1)
		defer e.forwards.Add(-1)
		if !e.refuseIfNotReady(w, r) {
			e.proxy.ServeForward(w, r)
		}
	})
}

// refuseIfNotReady refuses a call while the configuration isn't known to be current, and reports whether it did.
func (e *Entry) refuseIfNotReady(w http.ResponseWriter, r *http.Request) bool {
	ok, why := e.configurationReady()
	if ok {
		return false
	}
	h := w.Header()
	h.Set(proxy.HeaderOutcome, string(proxy.RefusalOutcome(r)))
	h.Set(proxy.HeaderReason, reasonNotReady)
	h.Set("Retry-After", "1")
	http.Error(w, "not ready: "+why, http.StatusServiceUnavailable)
	return true
}

// operatorsHandler returns the handler set by WithOperators, or else the default one of the operators' port.
func (e *Entry) operatorsHandler() http.Handler {
	if e.opt.operators != nil {
		return e.opt.operators(e)
	}
	e.operatorsPort = operators.New(operators.Settings{Source: e, Metrics: e.Metrics()})
	return e.operatorsPort
}

// countingDial returns a dial function that counts the connections opened to upstreams of the service.
func (e *Entry) countingDial(service string) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{KeepAlive: 15 * time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		e.metrics.Connect(service)
		return dialer.DialContext(ctx, network, address)
	}
}
