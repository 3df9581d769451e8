package dispatch

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against showing operators upstreams as "on trial" right after a start although they are healthy.
func TestHealthyUpstreamHasNoReasonAfterStart(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	spec := Spec{Upstreams: []UpstreamSpec{{Name: "a", Address: "a:1", Slots: 4}, {Name: "b", Address: "b:1", Slots: 4}}}
	p := New(spec, rand.New(rand.NewSource(1)), WithTakeover(now, now))
	for _, u := range p.Upstreams(now) {
		assert.Equal(t, Healthy, u.Health)
		assert.Empty(t, u.Reason)
	}
}
