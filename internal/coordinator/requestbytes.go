package coordinator

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"boragehinge.example/boragehinge/internal/placement"
)

var (
	requestBytesLimitDesc = prometheus.NewDesc("boragehinge_upstream_request_bytes_limit",
		"Limit on the bytes of the requests that run on an upstream, at the leader; absent without a limit.", []string{"service"}, nil)
	requestBytesDesc = prometheus.NewDesc("boragehinge_upstream_request_bytes",
		"Bytes of the requests that run on upstreams, at the leader: total of the service, and most of one upstream.", []string{"service", "of"}, nil)
	requestBytesReservedDesc = prometheus.NewDesc("boragehinge_upstream_request_bytes_reserved_upstreams",
		"Upstreams that are reserved for a request that waits for the limit on request bytes, at the leader.", []string{"service"}, nil)
	requestBytesHeldDesc = prometheus.NewDesc("boragehinge_upstream_request_bytes_held_total",
		"Requests that the limit on request bytes has kept from starting at once, at the leader since it leads.", []string{"service"}, nil)
	requestBytesRefusedDesc = prometheus.NewDesc("boragehinge_upstream_request_bytes_refused_total",
		"Refused requests among those that the limit on request bytes has held, at the leader since it leads.", []string{"service"}, nil)
	requestBytesReservationsDesc = prometheus.NewDesc("boragehinge_upstream_request_bytes_reservations_total",
		"Reservations of upstreams for requests that wait for the limit on request bytes, at the leader since it leads.", []string{"service"}, nil)
)

// maxTickGap is the time without a tick from which the followers may have lost this leader. The last heartbeat was sent up to activeHeartbeat
// before.
const maxTickGap = activeLeaderTimeout - activeHeartbeat

// collectRequestBytes reports the use of the limit on request bytes, if there is one.
func collectRequestBytes(ch chan<- prometheus.Metric, service string, use placement.RequestByteUse) {
	if use.Limit == 0 {
		return
	}
	send := func(d *prometheus.Desc, kind prometheus.ValueType, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, kind, v, labels...)
	}
	send(requestBytesLimitDesc, prometheus.GaugeValue, float64(use.Limit), service)
	send(requestBytesDesc, prometheus.GaugeValue, float64(use.Running), service, "total")
	send(requestBytesDesc, prometheus.GaugeValue, float64(use.Most), service, "most")
	send(requestBytesReservedDesc, prometheus.GaugeValue, float64(use.Reservations), service)
	send(requestBytesHeldDesc, prometheus.CounterValue, float64(use.Held), service)
	send(requestBytesRefusedDesc, prometheus.CounterValue, float64(use.Refused), service)
	send(requestBytesReservationsDesc, prometheus.CounterValue, float64(use.Reserved), service)
}

// restrictBodies lets a new leader hold requests with a body while known entries have not joined it, since they run requests of which it
// doesn't know. After nextLeaderWait it places one at a time on an upstream, and after newLeaderPeriod all missing entries count as gone.
// One may be missing from the start, the leader before it. It reports whether the pools have to be configured again.
func (l *leadership) restrictBodies(now time.Time, followers, known int) (changed bool) {
	c := l.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	const selfAndPrevious = 2 // entries that need not join: this one and the previous leader
	oneBody, holdBodies, leadingFor := c.oneBody, c.holdBodies, now.Sub(l.startedAt)
	c.oneBody = c.limits.UpstreamRequestBytes > 0 && followers+selfAndPrevious < known && leadingFor < newLeaderPeriod
	c.holdBodies = c.oneBody && leadingFor < nextLeaderWait
	if c.oneBody == oneBody && c.holdBodies == holdBodies {
		return false
	}
	l.log.Info().Str("event", "request-bytes").Bool("awaits_followers", c.oneBody).Bool("holds", c.holdBodies).Int("followers", followers).Int("entries", known).
		Msg("limit on request bytes of a new leader")
	return true
}

// switchToStandalone switches to placement without a leader. With a limit on request bytes, what this entry runs already counts as the
// one request that it may send to an upstream at a time.
func (n *Node) switchToStandalone() {
	s := newLocalSession(n.standalone)
	limited := n.o.Limits.UpstreamRequestBytes > 0
	if limited {
		n.markLeaderless()
		n.adoptLocally(s)
	}
	n.setSession(s)
	if limited {
		n.adoptLocally(s) // what the previous session has granted in between
	}
}

// awaitLeaderForBody lets a request with a body wait for the next leader, for nextLeaderWait at most, if there is a limit on request bytes.
// Entries without a leader don't know what the others send, so together they could exceed it at each change of the leader.
func (n *Node) awaitLeaderForBody(ctx context.Context, a *Ask) error {
	if n.o.Limits.UpstreamRequestBytes > 0 && a.RequestBytes > 0 && n.isStandalone(n.currentSession()) {
		n.awaitLeader(ctx)
		return ctx.Err()
	}
	return nil
}

// newRequestByteLogger returns a logger of the effects of the limit on request bytes.
func newRequestByteLogger(l *leadership) *statsLogger[placement.RequestByteUse, placement.RequestByteStats] {
	return &statsLogger[placement.RequestByteUse, placement.RequestByteStats]{
		read: func(time.Time) map[string]placement.RequestByteUse {
			return readPools(l.coordinator, (*placement.Pool).RequestBytes)
		},
		counts: func(use placement.RequestByteUse) placement.RequestByteStats { return use.RequestByteStats },
		write: func(service string, use placement.RequestByteUse, before placement.RequestByteStats) {
			l.log.Info().Str("event", "request-bytes").Str("service", service).Uint64("held", use.Held-before.Held).
				Uint64("refused", use.Refused-before.Refused).Uint64("reservations", use.Reserved-before.Reserved).Int("reserved", use.Reservations).
				Int64("total", use.Running).Int64("most", use.Most).Int64("limit", use.Limit).Msg("requests wait for the limit on request bytes")
		},
	}
}
