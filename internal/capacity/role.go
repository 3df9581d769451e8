package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/idempotency"
	"boragehinge.example/boragehinge/internal/proxy"
	"boragehinge.example/boragehinge/internal/transport"
	"boragehinge.example/boragehinge/inventory"
)

// roleSettings tell a process of an experiment what to be.
type roleSettings struct {
	Role string `json:"role"` // entry, daemon or upstreams

	// Of upstreams.
	Count int `json:"count,omitempty"`
	Slots int `json:"slots"`

	// Of a daemon.
	Host     string `json:"host,omitempty"`
	Platform string `json:"platform,omitempty"` // URL

	// Of an entry.
	Addresses []string `json:"addresses,omitempty"` // of the upstreams; without any the entry owns no pool
	PoolSize  int      `json:"poolSize,omitempty"`  // upstreams of a pool
	Owner     string   `json:"owner,omitempty"`     // peer port of the owner; empty when the entry itself is the owner
	Pools     []string `json:"pools,omitempty"`     // IDs of the owner's pools
}

// roleStarted is what a process answers first.
type roleStarted struct {
	Addresses []string `json:"addresses"`
	Callers   string   `json:"callers"`
	Peers     string   `json:"peers"`
	Pools     []string `json:"pools"`
	Prefix    string   `json:"prefix"` // of request IDs
}

// Commands that a process reads from its standard input, one a line.
const (
	commandUsage   = "usage"
	commandCollect = "collect"
)

var errRole = errors.New("unknown role of a process")

// RunRole is a process of an experiment. It reads its settings as one line of JSON from in, answers with its addresses,
// and then answers each command with its usage, until in ends. Run starts it by Options.Role.
func RunRole(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	lines.Scan()
	var set roleSettings
	if err := json.Unmarshal(lines.Bytes(), &set); err != nil {
		return fmt.Errorf("settings of a process: %w", err)
	}
	enc := json.NewEncoder(out)
	var read func(Usage) Usage
	var err error
	switch set.Role {
	case "upstreams":
		read, err = startUpstreams(set, enc)
	case "entry":
		read, err = startEntry(set, enc)
	case "daemon":
		read, err = startDaemon(set, enc)
	default:
		err = errRole
	}
	if err != nil {
		return err
	}
	for lines.Scan() {
		if err := enc.Encode(read(usage(lines.Text() == commandCollect))); err != nil {
			return err
		}
	}
	return lines.Err()
}

// serviceTimes are the fixed service times that a path chooses, for example /service-00/lookups/t5/.
var serviceTimes = []int{0, 5, 6, 25, 49, 50, 499, 500, 20000}

func callPath(kind string, ms int) string { return fmt.Sprintf("/service-00/%s/t%d/x", kind, ms) }

func startUpstreams(set roleSettings, enc *json.Encoder) (func(Usage) Usage, error) {
	var routes []emulator.Route
	for _, ms := range serviceTimes {
		for _, kind := range []string{"lookups", "orders"} {
			d := time.Duration(ms) * time.Millisecond
			routes = append(routes, emulator.Route{Prefix: callPath(kind, ms), Time: emulator.Distribution{Typical: d}})
		}
	}
	var servers []*emulator.Server
	var started roleStarted
	for i := range set.Count {
		s := emulator.New(emulator.Config{Name: fmt.Sprintf("u-%03d", i), Seed: uint64(i), Slots: set.Slots, Routes: routes}) //nolint:gosec // small
		if err := s.Start("127.0.0.1:0"); err != nil {
			return nil, fmt.Errorf("start upstream %d: %w", i, err)
		}
		servers = append(servers, s)
		started.Addresses = append(started.Addresses, s.Address())
	}
	read := func(u Usage) Usage {
		for _, s := range servers {
			n := float64(s.OpenConnections())
			u.OpenConns += n / float64(len(servers))
			u.MostConns = max(u.MostConns, n)
		}
		return u
	}
	return read, enc.Encode(started)
}

func startEntry(set roleSettings, enc *json.Encoder) (func(Usage) Usage, error) {
	own := slots{}
	pools := &fixedPools{ids: set.Pools, owner: set.Owner}
	upstreams := transport.New(transport.Config{})
	for i := 0; i < len(set.Addresses); i += set.PoolSize {
		id := fmt.Sprintf("service-00/dc-0/%d", i/set.PoolSize)
		own[id] = newOwnedPool(poolSpec(set, i))
		pools.ids = append(pools.ids, id)
	}
	incarnation := idempotency.NewIncarnation()
	registry := idempotency.NewRegistry(idempotency.Config{Incarnation: incarnation}, time.Now())
	peers := transport.New(transport.Config{MaxConns: 1024, NewConnsPerSecond: 500, NewConnsBurst: 500}) // as in package entry
	p := proxy.New(proxy.Config{}, proxy.Deps{
		Directory: directory{inventory.NewSnapshot(1, withArchive(synthetic(20, 600)))}, Registrar: registrar{registry}, Pools: pools,
		Slots: own, Retries: noRetries{}, Poison: noPoison{}, Upstreams: upstreams, Peers: peers,
	})
	started := roleStarted{Pools: pools.ids, Prefix: registry.Prefix(time.Now())}
	var err error
	if started.Callers, err = serve(p); err != nil {
		return nil, err
	}
	if started.Peers, err = serve(http.HandlerFunc(p.ServeForward)); err != nil {
		return nil, err
	}
	go upstreams.Run(context.Background())
	go peers.Run(context.Background())
	for _, o := range own {
		go o.run()
	}
	return func(u Usage) Usage { return u }, enc.Encode(started)
}

func poolSpec(set roleSettings, from int) dispatch.Spec {
	spec := dispatch.Spec{
		Classes: []dispatch.ClassSpec{{Name: "urgent"}, {Name: "ordinary", Priority: 4, MinShare: 0.05}, {Name: "bulk", Priority: 9, MinShare: 0.05}},
	}
	for i := from; i < min(from+set.PoolSize, len(set.Addresses)); i++ {
		spec.Upstreams = append(spec.Upstreams, dispatch.UpstreamSpec{
			Name: fmt.Sprintf("u-%03d", i), Address: set.Addresses[i], Version: "4.0", Slots: set.Slots,
		})
	}
	return spec
}

func (o *ownedPool) run() {
	for now := range time.Tick(poolTick) {
		o.tick(now)
	}
}

func serve(h http.Handler) (address string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	s := proxy.NewServer(h, proxy.ServerConfig{})
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}
