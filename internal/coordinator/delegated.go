package coordinator

import (
	"context"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/placement"
)

// reportBatchDelay is how long a follower collects results of probes before it sends them, unless one is urgent.
const reportBatchDelay = 10 * time.Millisecond

// delegatedProbes are the probes that a follower sends on behalf of the leader, until their link ends. It is nil without the setting.
type delegatedProbes struct {
	node *Node
	link *Link

	mu      sync.Mutex
	running map[uint32]*delegatedProbe // by the leader's number of the upstream
	pending []datedReport
	waiting bool // a timer for sending them runs
	ended   bool
}

type delegatedProbe struct {
	cancel context.CancelFunc
	wake   chan struct{}
}

// datedReport is a report that waits to be sent. Its age is known when that happens.
type datedReport struct {
	at     time.Time
	report ProbeReport
}

func newDelegatedProbes(n *Node, link *Link) *delegatedProbes {
	if n.o.Delegation == nil {
		return nil
	}
	d := &delegatedProbes{node: n, link: link, running: map[uint32]*delegatedProbe{}}
	link.fill = d.take
	return d
}

// execute carries out orders of the leader.
func (d *delegatedProbes) execute(o *ProbeOrders) {
	if d == nil || o == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return
	}
	if o.Interval > 0 {
		d.node.orderedProbeInterval.Store(int64(o.Interval))
	}
	for i := range o.Start {
		d.start(&o.Start[i])
	}
	for _, number := range o.Stop {
		if p := d.running[number]; p != nil {
			p.cancel()
			delete(d.running, number)
		}
		d.add(ProbeReport{Number: number, Stopped: true}, true)
	}
	for _, number := range o.Soon {
		if p := d.running[number]; p != nil {
			select {
			case p.wake <- struct{}{}:
			default: // one is already asked for
			}
		}
	}
}

// start starts to probe an upstream. The caller holds d.mu.
func (d *delegatedProbes) start(s *ProbeStart) {
	if d.running[s.Number] != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &delegatedProbe{cancel: cancel, wake: make(chan struct{}, 1)}
	d.running[s.Number] = p
	number := s.Number
	target := ProbeTarget{ID: s.ID, Born: s.Born, Address: s.Address, HealthPath: s.HealthPath, Wake: p.wake}
	go d.node.o.Probe(ctx, target, func(r placement.Probe) {
		d.node.o.Metrics.probed(r)
		if r.Leaving {
			d.node.markLeaving(LeavingUpstream{Upstream: target.ID, Born: target.Born})
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.add(reportOf(number, r), !r.Answered || !r.Healthy || r.WrongInstance || r.Leaving)
	})
}

// reportOf converts a result. Its times are rounded so that they prove no more than the result.
func reportOf(number uint32, r placement.Probe) ProbeReport {
	return ProbeReport{
		Number: number, Answered: r.Answered, Healthy: r.Healthy, WrongInstance: r.WrongInstance, ColdLeft: r.ColdLeft, Load: r.Load, Limit: r.Limit, Leaving: r.Leaving,
		TookMicros: uint32((r.Took + time.Microsecond - 1) / time.Microsecond), //nolint:gosec // far below an hour
		ConnAgeMs:  uint32(r.ConnAge / time.Millisecond),                       //nolint:gosec // below 49 days, and an old connection stays an old one
		ConnReset:  r.ConnReset,
	}
}

// add queues a report. The caller holds d.mu.
func (d *delegatedProbes) add(r ProbeReport, urgent bool) {
	if d.ended {
		return
	}
	d.pending = append(d.pending, datedReport{at: time.Now(), report: r})
	if urgent {
		d.link.wakeWriter()
	} else if !d.waiting {
		d.waiting = true
		time.AfterFunc(reportBatchDelay, d.flush)
	}
}

// flush causes a frame if reports wait.
func (d *delegatedProbes) flush() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting = false
	if len(d.pending) > 0 && !d.ended {
		d.link.wakeWriter()
	}
}

// take moves the reports that wait to a frame that is about to be sent.
func (d *delegatedProbes) take(frame *Frame) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pending) == 0 {
		return
	}
	now := time.Now()
	frame.ProbeReports = make([]ProbeReport, len(d.pending))
	for i := range d.pending {
		frame.ProbeReports[i] = d.pending[i].report
		frame.ProbeReports[i].AgeMs = uint32(now.Sub(d.pending[i].at).Round(time.Millisecond) / time.Millisecond) //nolint:gosec // a link ends within seconds
	}
	clear(d.pending)
	d.pending = d.pending[:0]
}

// end stops all probes.
func (d *delegatedProbes) end() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	for _, p := range d.running {
		p.cancel()
	}
	d.node.orderedProbeInterval.Store(0)
}
