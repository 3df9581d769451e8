package coordinator

import (
	"math"
	"sync"
	"time"
)

// peakRatePeriod is the time after which a peak of the request rate is discarded.
const peakRatePeriod = 10 * time.Second

// rateMeter measures the requests per second and keeps the recent peak.
type rateMeter struct {
	mu     sync.Mutex
	at     time.Time
	count  uint64
	peak   float64
	peakAt time.Time
}

// minRateInterval is the shortest interval over which a rate is computed.
const minRateInterval = 400 * time.Millisecond

// observe records the total number of requests at a time, and returns the recent peak of the rate.
func (r *rateMeter) observe(now time.Time, count uint64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at.IsZero() {
		r.at, r.count = now, count
		return 0
	}
	interval := now.Sub(r.at)
	if interval < minRateInterval {
		return r.peak
	}
	rate := float64(count-r.count) / interval.Seconds()
	r.at, r.count = now, count
	if rate >= r.peak || now.Sub(r.peakAt) > peakRatePeriod {
		r.peak, r.peakAt = rate, now
	}
	return r.peak
}

const (
	// demandPeriod is how long a peak of the demand is held at least. A load that alternates within it doesn't change the selection of
	// entries. demandSlots is the number of parts of demandPeriod whose peaks are kept.
	demandPeriod = 5 * time.Minute
	demandSlots  = 10
	// demandMargin is the ratio of the level to a new peak, so that slightly higher ones don't change the level.
	demandMargin = 1.1
	// demandDrop is the ratio of the level to the peaks of the last demandPeriod from which the level falls.
	demandDrop = 1.5
)

// heldPeak is a level at or above all values of the last demandPeriod. It changes rarely: it rises with a margin, and falls when the
// peaks have been much lower. The zero value is ready for use.
type heldPeak struct {
	began time.Time
	peaks [demandSlots + 1]float64 // by slot of time, modulo the length
	slot  int64
	level float64
}

// observe records a value and returns the level.
func (p *heldPeak) observe(now time.Time, value float64) float64 {
	if p.began.IsZero() {
		p.began = now
	}
	slot := int64(now.Sub(p.began) / (demandPeriod / demandSlots))
	for ; p.slot < slot; p.slot++ {
		p.peaks[(p.slot+1)%int64(len(p.peaks))] = 0
	}
	newest := &p.peaks[p.slot%int64(len(p.peaks))]
	*newest = max(*newest, value)
	peak := 0.0
	for _, v := range p.peaks {
		peak = max(peak, v)
	}
	if peak > p.level || demandDrop*peak < p.level {
		p.level = demandMargin * peak
	}
	return p.level
}

// demandTimeConstant is the time constant of the average of bytes and connections. When callers move from one entry to another, both
// report them for up to trafficInterval and a heartbeat, which raises the average by a quarter only. With demandMargin that is below
// demandDrop, so the level doesn't fall again some time after each move, which would move the callers back.
const demandTimeConstant = 8 * time.Second

// movingAverage is an exponentially weighted average that begins at 0. The zero value is ready for use.
type movingAverage struct {
	at    time.Time
	value float64
}

func (s *movingAverage) observe(now time.Time, value float64) float64 {
	if !s.at.IsZero() {
		s.value += (value - s.value) * -math.Expm1(-now.Sub(s.at).Seconds()/demandTimeConstant.Seconds())
	}
	s.at = now
	return s.value
}

// demandMeter holds the peaks of the callers' load of all entries. It is used under leadership.publishing.
type demandMeter struct {
	averageBytes, averageConnections movingAverage
	requests, bytes, connections     heldPeak
}

// observe records the current load and returns the held peaks.
func (m *demandMeter) observe(now time.Time, d Demand) Demand {
	return m.hold(now, Demand{
		Requests: d.Requests, Bytes: m.averageBytes.observe(now, d.Bytes), Connections: m.averageConnections.observe(now, d.Connections),
	})
}

func (m *demandMeter) hold(now time.Time, d Demand) Demand {
	return Demand{
		Requests: m.requests.observe(now, d.Requests), Bytes: m.bytes.observe(now, d.Bytes), Connections: m.connections.observe(now, d.Connections),
	}
}

// adopt continues with the held peaks of the previous leader.
func (m *demandMeter) adopt(now time.Time, d Demand) {
	m.hold(now, Demand{Requests: d.Requests / demandMargin, Bytes: d.Bytes / demandMargin, Connections: d.Connections / demandMargin})
}

// knownDemand is a demand that the leader has told, with the time when it did.
type knownDemand struct {
	Demand
	at time.Time
}

// learnDemand keeps the demand for the time when this entry leads.
func (n *Node) learnDemand(d Demand) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.demand = knownDemand{d, time.Now()}
}

// lastDemand returns the demand that the last leader has told, or none if that was long ago. The caller holds n.mu.
func (n *Node) lastDemand(now time.Time) Demand {
	if now.Sub(n.demand.at) > demandPeriod {
		return Demand{}
	}
	return n.demand.Demand
}
