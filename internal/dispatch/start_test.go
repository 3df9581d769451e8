package dispatch

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against upstreams that operators see as "on trial" right after a start, although nothing is wrong with them.
func TestAHealthyStartHasNoReason(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	spec := Spec{Upstreams: []UpstreamSpec{{Name: "a", Address: "a:1", Slots: 4}, {Name: "b", Address: "b:1", Slots: 4}}}
	p := New(spec, rand.New(rand.NewSource(1)), WithTakeover(now, now))
	for _, u := range p.Upstreams(now) {
		assert.Equal(t, Healthy, u.Health)
		assert.Empty(t, u.Reason)
	}
}
