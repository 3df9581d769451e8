package plot

// picture is a file of charts; the sources of each chart are one experiment's.
type picture struct {
	name   string
	charts []chartSpec
}

type chartSpec struct {
	chart   Chart
	scale   float64
	sources []source
	rounded bool
}

func roles(prefix, experiment, size string, parts ...string) []source {
	var out []source
	for _, p := range parts {
		out = append(out, source{p, experiment, prefix + p, size})
	}
	return out
}

// capacityPictures are the pictures from the report of internal/capacity.
var capacityPictures = []picture{
	{"cpu-per-call", []chartSpec{
		{chart: Chart{Title: "CPU time per call", X: "upstreams", Y: "us", LogX: true},
			scale: 1, sources: roles("CPU per call, ", "calls", "upstreams",
				"direct to the owner, owner", "forwarded, ingress", "forwarded, owner", "forwarded, client")},
		{chart: Chart{Title: "CPU time of the daemon by rate", X: "calls/s", Y: "ms/s"},
			scale: 1, sources: roles("CPU, ", "daemon", "calls/s", "direct to the owner, owner", "forwarded, ingress", "forwarded, owner"),
			rounded: true},
		{chart: Chart{Title: "CPU time per call", X: "concurrent calls", Y: "us", LogX: true},
			scale: 1, sources: roles("CPU per call, ", "calls", "concurrent calls",
				"direct to the owner, owner", "forwarded, ingress", "forwarded, owner", "forwarded, client")},
	}},
	{"added-latency", []chartSpec{
		{chart: Chart{Title: "Time added at p50", X: "concurrent calls", Y: "ms", LogX: true},
			scale: 1, sources: roles("added at p50, ", "latency", "concurrent calls", "direct to the owner", "forwarded")},
		{chart: Chart{Title: "Time added at p99", X: "concurrent calls", Y: "ms", LogX: true, Bounds: []Bound{{"bound for 99 in 100 calls", 2}}},
			scale: 1, sources: roles("added at p99, ", "latency", "concurrent calls", "direct to the owner", "forwarded")},
	}},
	{"memory", []chartSpec{
		{chart: Chart{Title: "Memory of held calls", X: "calls or connections", Y: "MiB, heap and stacks"},
			scale: 1.0 / 1024, sources: []source{
				{"running call, ingress", "memory", "in use for running calls, ingress", "running calls"},
				{"running call, owner", "memory", "in use for running calls, owner", "running calls"},
				{"queued call, owner", "memory", "in use for queued calls, owner", "queued calls"},
				{"streaming call, ingress", "memory", "in use for streaming calls, ingress", "streaming calls"},
				{"idle connection, ingress", "memory", "in use for idle connections, ingress", "idle connections"},
			}},
		{chart: Chart{Title: "Memory of request-ID records", X: "records", Y: "MiB"},
			scale: 1.0 / 1024, sources: []source{
				{"fact only", "records", "memory, fact only", "records"},
				{"with an answer of 200 bytes", "records", "memory, answer of 200 bytes", "records"},
			}},
	}},
	{"control-budget", []chartSpec{
		{chart: Chart{Title: "Traffic of a node with pool summaries", X: "pools of each node", Y: "bytes/s sent", Bounds: []Bound{{"budget", 16 << 10}}},
			scale: 1, sources: []source{
				{"16 nodes", "summaries", "a node sends, 16 nodes, bytes", "pools of each node"},
				{"27 nodes", "summaries", "a node sends, 27 nodes, bytes", "pools of each node"},
				{"54 nodes", "summaries", "a node sends, 54 nodes, bytes", "pools of each node"},
			}},
		{chart: Chart{Title: "CPU time of links over WebSocket and TLS", X: "messages/s, each sent and received", Y: "% of a core", Bounds: []Bound{{"budget", 2.4}}},
			scale: 0.1, sources: []source{
				{"both ends", "links", "CPU of both ends", "messages/s"},
			}, rounded: true},
	}},
	{"configuration", []chartSpec{
		{chart: Chart{Title: "CPU time of a configuration change", X: "upstreams", Y: "ms"},
			scale: 0.001, sources: roles("", "configuration", "upstreams",
				"parse and check (operators' command)", "decode", "fold of a change", "build of the snapshot", "swap into all pools")},
		{chart: Chart{Title: "CPU time of pools without calls", X: "pools of 4 upstreams", Y: "% of a core"},
			scale: 0.1, sources: []source{
				{"ticks and sweeps", "pools", "CPU without calls", "pools of 4 upstreams"},
			}},
	}},
}
