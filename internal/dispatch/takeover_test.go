package dispatch

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func takenOverPool(now time.Time) *Pool {
	p := New(Spec{
		TakenOver: now, Classes: []ClassSpec{{Name: "c"}},
		Upstreams: []UpstreamSpec{{Name: "a", Address: "a", Version: "1", Slots: 3, Cold: true}},
	}, rand.New(rand.NewSource(1)))
	p.SetConfirmed(now, now.Add(time.Hour))
	return p
}

func grantsOf(p *Pool, now time.Time, id uint64) int {
	ev := p.Submit(now, Request{ID: id, Class: "c", Deadline: now.Add(time.Minute)})
	n := len(ev.Grants)
	p.Cancel(now, id)
	return n
}

// Guards against a cold upstream that runs a call of the new owner beside those of the previous one.
func TestTakenOverColdUpstreamWaitsForReport(t *testing.T) {
	now := time.Unix(1000, 0)
	p := takenOverPool(now)
	assert.Zero(t, grantsOf(p, now, 1), "nothing is known about the previous owner's calls")
	p.ProbeResult(now, "a", true, time.Millisecond, &LoadReport{InFlight: 1, Cold: true, Seq: 1})
	assert.Zero(t, grantsOf(p, now, 2), "a call of the previous owner runs")
	p.ProbeResult(now, "a", true, time.Millisecond, &LoadReport{Cold: true, Seq: 2})
	assert.Equal(t, 1, grantsOf(p, now, 3))
}

// Guards against an upstream that gets nothing for good because its reports are missing.
func TestTakenOverColdUpstreamIsUsedAfterSettleTime(t *testing.T) {
	now := time.Unix(1000, 0)
	p := takenOverPool(now)
	p.Tick(now.Add(settleTime - time.Millisecond))
	assert.Zero(t, grantsOf(p, now.Add(settleTime-time.Millisecond), 1))
	later := now.Add(settleTime + time.Second)
	p.Tick(later)
	assert.Equal(t, 1, grantsOf(p, later, 2))
}

// Guards against the delay of warm upstreams, and against a pool that is taken back as if nothing had happened meanwhile.
func TestTakeOverOfWarmPool(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := Spec{Classes: []ClassSpec{{Name: "c"}}, Upstreams: []UpstreamSpec{{Name: "a", Address: "a", Version: "1", Slots: 3}}, TakenOver: now}
	p := New(spec, rand.New(rand.NewSource(1)))
	p.SetConfirmed(now, now.Add(time.Hour))
	assert.Equal(t, 1, grantsOf(p, now, 1))
	spec.Upstreams[0].Cold = true
	p.Configure(now, spec)
	assert.Equal(t, Healthy, p.Upstreams(now)[0].Health, "the mark counts at a takeover only")
	spec.TakenOver = now.Add(time.Second)
	p.Configure(now.Add(time.Second), spec)
	assert.Equal(t, Cold, p.Upstreams(now.Add(time.Second))[0].Health)
	assert.Zero(t, grantsOf(p, now.Add(time.Second), 2))
}
