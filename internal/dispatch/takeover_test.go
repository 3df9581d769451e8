package dispatch

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func poolAfterTakeover(now time.Time) *Pool {
	p := New(Spec{
		Classes:   []ClassSpec{{Name: "c"}},
		Upstreams: []UpstreamSpec{{Name: "a", Address: "a", Version: "1", Slots: 3, Cold: true}},
	}, rand.New(rand.NewSource(1)), WithTakeover(now, now))
	p.SetConfirmed(now, now.Add(time.Hour))
	return p
}

func submitAndCancel(p *Pool, now time.Time, id uint64) int {
	ev := p.Submit(now, Request{ID: id, Class: "c", Deadline: now.Add(time.Minute)})
	n := len(ev.Grants)
	p.Cancel(now, id)
	return n
}

// Guards against a cold upstream that runs calls of the new owner concurrently with those of the previous one.
func TestTakenOverColdUpstreamWaitsForReport(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolAfterTakeover(now)
	assert.Zero(t, submitAndCancel(p, now, 1), "nothing is known about the previous owner's calls")
	p.ProbeResult(now, "a", true, time.Millisecond, &LoadReport{InFlight: 1, Cold: true, Seq: 1})
	assert.Zero(t, submitAndCancel(p, now, 2), "a call of the previous owner runs")
	p.ProbeResult(now, "a", true, time.Millisecond, &LoadReport{Cold: true, Seq: 2})
	assert.Equal(t, 1, submitAndCancel(p, now, 3))
}

// Guards against an upstream that never gets calls because its reports are missing.
func TestTakenOverColdUpstreamIsUsedAfterTakeoverWait(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolAfterTakeover(now)
	p.Tick(now.Add(takeoverColdWait - time.Millisecond))
	assert.Zero(t, submitAndCancel(p, now.Add(takeoverColdWait-time.Millisecond), 1))
	later := now.Add(takeoverColdWait + time.Second)
	p.Tick(later)
	assert.Equal(t, 1, submitAndCancel(p, later, 2))
}

// Guards against delayed calls to warm upstreams, and against keeping outdated state of a pool that another owner held
// in between.
func TestTakeoverOfWarmPool(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := Spec{
		Classes:   []ClassSpec{{Name: "c"}},
		Upstreams: []UpstreamSpec{{Name: "a", Address: "a", Version: "1", Slots: 3}},
	}
	p := New(spec, rand.New(rand.NewSource(1)), WithTakeover(now, now))
	p.SetConfirmed(now, now.Add(time.Hour))
	assert.Equal(t, 1, submitAndCancel(p, now, 1))
	spec.Upstreams[0].Cold = true
	p.Configure(now, spec)
	assert.Equal(t, Healthy, p.Upstreams(now)[0].Health, "UpstreamSpec.Cold of a known upstream applies only at a takeover")
	p.Configure(now.Add(time.Second), spec, WithTakeover(now.Add(time.Second), now))
	assert.Equal(t, Cold, p.Upstreams(now.Add(time.Second))[0].Health)
	assert.Zero(t, submitAndCancel(p, now.Add(time.Second), 2))
}
