package main

import (
	"net/http"
	"time"
)

// path: callers send requests whose path begins with two slashes, on a route for all paths of its host.
func path(w *world) (bool, error) {
	tickRoutes = append(tickRoutes, route{name: "all", prefix: "/", kind: "unsafe", timeout: "3s", slo: "1200ms", maxAttempts: 1})
	if err := w.deploy(3, 3); err != nil {
		return false, err
	}
	traffic := w.startTraffic(6, 150*time.Millisecond, http.MethodPost, usualPath, tickDeadline)
	time.Sleep(2 * time.Second)
	paths := []string{"/nayoro/bins/7", "/nayoro//bins/7?ms=20", "/nayoro/bins/?town=a%2Fb"}
	if w.trouble {
		paths = []string{"//nayoro/bins/7", "//nayoro/bins/7?ms=20", "///bins/7"}
	}
	broken := false
	for i, p := range paths {
		e := w.entries[i%len(w.entries)]
		conn, err := dialEntry(e.address(e.front))
		if err != nil {
			return false, err
		}
		r := conn.do(http.MethodPost, p, newID(), tickDeadline, "bin 7")
		_ = conn.nc.Close()
		w.note("request %s: POST %s sent to %s: %s", r.id, p, e.name, r)
		for _, run := range w.runsOf(r.id) {
			w.note("request %s: %s ran POST %s", r.id, run.upstream, run.target)
			broken = broken || run.target != p
		}
	}
	traffic.end()
	return broken, nil
}
