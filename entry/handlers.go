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

// reasonNotReady is the reason of calls that are refused for lack of a proven configuration.
const reasonNotReady = "not-ready"

func (e *Entry) callersHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == AddressesPath && r.Method == http.MethodGet {
			e.serveAddresses(w, r)
			return
		}
		if e.refuseUnready(w, r) {
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
		// The paths of forwards are those of callers, which must not be cleaned or redirected.
		if !strings.HasPrefix(r.URL.Path, proxy.ForwardPath+"/") {
			mux.ServeHTTP(w, r)
			return
		}
		e.forwards.Add(1)
		defer e.forwards.Add(-1)
		if !e.refuseUnready(w, r) {
			e.proxy.ServeForward(w, r)
		}
	})
}

// refuseUnready refuses a call while the configuration isn't proven.
func (e *Entry) refuseUnready(w http.ResponseWriter, r *http.Request) bool {
	ok, why := e.proven()
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

// operatorsHandler returns the operators' port, or the handler of WithOperators.
func (e *Entry) operatorsHandler() http.Handler {
	if e.opt.operators != nil {
		return e.opt.operators(e)
	}
	e.port = operators.New(operators.Settings{Source: e, Metrics: e.Metrics()})
	return e.port
}

// countingDial counts the connections that are opened to upstreams.
func (e *Entry) countingDial(service string) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{KeepAlive: 15 * time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		e.metrics.Connect(service)
		return dialer.DialContext(ctx, network, address)
	}
}
