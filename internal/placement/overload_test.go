package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// worstLoad is a load beyond the capacity of upstreams that neighbours slow down.
type worstLoad struct {
	upstreams, slots int
	noise            noise
	base, objective  time.Duration
	perSecond        float64 // requests that the upstreams that aren't slowed down complete
}

func worstLoads() []worstLoad {
	short, long := noise{0.25, 5, 150 * time.Millisecond}, noise{0.35, 4, 300 * time.Millisecond}
	return []worstLoad{
		{16, 2, short, 60 * time.Millisecond, 190 * time.Millisecond, 16 * 0.75 * 2 / 1.7 / 0.06},
		{26, 3, long, 90 * time.Millisecond, 240 * time.Millisecond, 26 * 0.65 * 2 / 0.09},
		{27, 6, long, 90 * time.Millisecond, 240 * time.Millisecond, 27 * 0.65 * 4 / 0.09},
	}
}

func (l *worstLoad) simulate(factor float64, returning bool) *simulation {
	s := newNoisySimulation(l.upstreams, l.slots, l.noise)
	s.base, s.objective, s.deadline, s.returning = l.base, l.objective, time.Second, returning
	s.scheduleLoad(0, 12*time.Second, factor*l.perSecond)
	s.simulate(14 * time.Second)
	return s
}

// Guards against an overload in which the upstreams are busy but most of their responses are late. Two causes: free slots of slow
// upstreams counted as spare, so late requests were started and kept those slots after the upstreams were fast again; and all
// requests waited until they could just meet their objective, so every second one missed it (scale-1 of labojumi-riga: 0.2 to
// 0.35 of a burst was answered in time, half of the answers were late).
func TestOverloadedUpstreamsServeRequestsInTime(t *testing.T) {
	for _, l := range worstLoads() {
		for _, factor := range []float64{1.2, 1.5, 2} {
			t.Run(fmt.Sprintf("%d slots at %.1f", l.slots, factor), func(t *testing.T) {
				s := l.simulate(factor, true)
				inTime := s.share(2*time.Second, 12*time.Second, onTime) * factor
				late := s.share(2*time.Second, 12*time.Second, func(r result) bool { return r.served && !r.onTime }) * factor
				t.Logf("of the capacity: %.2f in time, %.2f late", inTime, late)
				assert.Greater(t, inTime, 0.9)
				assert.Less(t, late, 0.1)
			})
		}
	}
}

// Guards against refusals that come so late that the caller can't be served in time elsewhere or after a retry.
func TestOverloadedUpstreamsRefuseAtOnce(t *testing.T) {
	for _, l := range worstLoads() {
		t.Run(fmt.Sprintf("%d slots", l.slots), func(t *testing.T) {
			s := l.simulate(1.5, false)
			refused := s.share(2*time.Second, 12*time.Second, func(r result) bool { return r.refused > 0 || !r.served })
			slow := s.share(2*time.Second, 12*time.Second, func(r result) bool { return r.refused > l.objective/4 })
			assert.Less(t, slow, 0.2*refused)
		})
	}
}

// Guards against refusing requests on slow upstreams while none is faster: a slow response is better than none.
func TestEqualSlowUpstreamsAreUsed(t *testing.T) {
	s := newNoisySimulation(20, 3, noise{1, 6, 300 * time.Millisecond})
	s.scheduleLoad(time.Second, 6*time.Second, 30)
	s.simulate(9 * time.Second)
	assert.Greater(t, s.share(2*time.Second, 6*time.Second, func(r result) bool { return r.served }), 0.95)
}
