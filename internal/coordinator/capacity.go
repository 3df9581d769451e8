package coordinator

const (
	// cpuSecondsPerRequest is the CPU time of one request at the entry that the caller connects to.
	cpuSecondsPerRequest = 0.0007
	// capacityHeadroom is the ratio of the capacity of the advertised entries to the recent peak load. It covers bursts and the
	// loss of entries.
	capacityHeadroom = 2.5
	// callerLinkFraction is the fraction of a link's bandwidth that is available for the bytes of callers. The rest is for headers of
	// packets, acknowledgements and the links between entries.
	callerLinkFraction = 0.8
)

// resource is a resource of a host that can limit its capacity for callers.
type resource uint8

// Resources of a host.
const (
	processor resource = iota
	networkLink
	descriptors
	resourceCount
)

// String returns the name of the resource in logs and metrics.
func (r resource) String() string { return [...]string{"processor", "link", "descriptors"}[r] }

// hostCapacity is what a host offers to callers. The link and the connections are 0 when unknown.
type hostCapacity struct {
	cores          float64
	bytesPerSecond float64 // in each direction
	connections    float64
}

// perDataCentre returns the part of a demand that each of n data centres has.
func (d Demand) perDataCentre(n int) Demand {
	f := 1 / float64(max(1, n))
	return Demand{Requests: f * d.Requests, Bytes: f * d.Bytes, Connections: f * d.Connections}
}

// need returns the CPU share that the advertised entries must have together for a demand.
func (d Demand) need() float64 { return d.Requests * cpuSecondsPerRequest * capacityHeadroom }

// callerCapacity returns the capacity of a host for the callers of a data centre with a demand, as a CPU share, and the resource that
// limits it. The link and the descriptors don't limit the capacity if they are unknown, or if they suffice for the whole demand with
// its headroom, because then no selection of entries can use them up.
func callerCapacity(h hostCapacity, d Demand) (share float64, limit resource) {
	share = h.cores
	if d.Requests <= 0 {
		return share, processor
	}
	for _, r := range []struct {
		resource     resource
		has, demands float64
	}{
		{networkLink, callerLinkFraction * h.bytesPerSecond, d.Bytes},
		{descriptors, h.connections, d.Connections},
	} {
		if r.has <= 0 || r.has >= capacityHeadroom*r.demands {
			continue
		}
		if equivalent := r.has / r.demands * d.Requests * cpuSecondsPerRequest; equivalent < share {
			share, limit = equivalent, r.resource
		}
	}
	return share, limit
}

// use returns the part of its link or of its descriptors that a host uses for callers, whichever is larger. A part that is unknown
// counts as 0.
func (h hostCapacity) use(t Traffic) float64 {
	used := 0.0
	if h.bytesPerSecond > 0 {
		used = float64(t.bytes()) / (callerLinkFraction * h.bytesPerSecond)
	}
	if h.connections > 0 {
		used = max(used, float64(t.Connections)/h.connections)
	}
	return used
}

// bytes returns the bytes per second in the direction that carries more, since a link has its bandwidth in each direction.
func (t Traffic) bytes() int64 { return max(t.Received, t.Sent) }
