package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// world is one small deployment: entries as processes, and stand-ins of the store and the upstreams in this process.
type world struct {
	root    string // of the repository
	dir     string // for settings and logs
	network string // first three numbers of its loopback addresses
	started time.Time
	trouble bool

	store     *store
	entries   []*entry
	upstreams []*upstream

	mu     sync.Mutex
	record strings.Builder
	runs   map[string][]run // by request ID
	over   bool
}

// run is an execution of a request by an upstream.
type run struct {
	upstream string
	target   string // path and query as they arrived
	began    time.Time
	ended    time.Time
	result   string
}

func newWorld(root string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, started: time.Now(), trouble: trouble, runs: map[string][]run{}}
	if w.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	w.store, err = startStore(w.ip(250))
	return w, err
}

// freeNetwork finds loopback addresses on which the metrics port of the deploy file is free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 10+rand.N(200), 1+rand.N(200))
		l, err := net.Listen("tcp", network+".10:"+metricsPort)
		if err == nil {
			_ = l.Close()
			return network, nil
		}
	}
	return "", fmt.Errorf("no loopback address with a free port %s", metricsPort)
}

func (w *world) ip(host int) string { return fmt.Sprintf("%s.%d", w.network, host) }

// at is the time since the start of the world.
func (w *world) at(t time.Time) string { return fmt.Sprintf("%7.3f", t.Sub(w.started).Seconds()) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(&w.record, "%s  %s\n", w.at(time.Now()), fmt.Sprintf(format, args...))
}

// ran notes that an upstream begins to run a request.
func (w *world) ran(id, upstream, target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], run{upstream: upstream, target: target, began: time.Now()})
}

// ranTo notes how the last run of a request on an upstream ended.
func (w *world) ranTo(id, upstream, result string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.runs[id]) - 1; i >= 0; i-- {
		if r := &w.runs[id][i]; r.upstream == upstream {
			r.ended, r.result = time.Now(), result
			return
		}
	}
}

func (w *world) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs[id]...)
}

func (w *world) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, timeout, slo string
	maxAttempts                      int
}

const host = "case.example"

// writeConfig writes the configuration as the operator does, with one service for all routes.
func (w *world) writeConfig(service string, routes ...route) {
	var text []string
	for _, r := range routes {
		text = append(text, fmt.Sprintf(`%q:{"name":%q,"host":%q,"pathPrefix":%q,"kind":%q,"timeout":%q,"slo":%q,"priority":1,"service":%q,"maxAttempts":%d}`,
			r.name, r.name, host, r.prefix, r.kind, r.timeout, r.slo, service, r.maxAttempts))
	}
	config := fmt.Sprintf(`{"version":"0000000c","routes":{%s},"services":{%q:{"name":%q,"healthPath":"/health","maxConns":240,"coldStart":"1500ms","coldPerS":20}},`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeout":"5s","idleTimeout":"15s"}}`, strings.Join(text, ","), service, service)
	w.store.put(operators, "config", []byte(config))
}

// close ends all processes and writes the record.
func (w *world) close(out string) error {
	w.mu.Lock()
	w.over = true
	w.mu.Unlock()
	for _, e := range w.entries {
		e.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, e := range w.entries {
			if data, err := os.ReadFile(e.logPath()); err == nil {
				_ = os.WriteFile(filepath.Join(keep, e.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.dir)
	return os.WriteFile(out, []byte(w.record.String()), 0o600)
}
