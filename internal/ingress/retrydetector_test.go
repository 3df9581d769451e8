package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against retries that count as first tries, and against memory that grows with each configuration.
func TestRetriesAreDetectedByTheirShorterDeadline(t *testing.T) {
	var r retryDetector
	assert.True(t, r.observe("a", 800*time.Millisecond))
	assert.False(t, r.observe("a", 640*time.Millisecond))
	assert.True(t, r.observe("a", 790*time.Millisecond), "some milliseconds may pass before a first try is sent")
	assert.True(t, r.observe("b", 640*time.Millisecond), "another route")
	assert.True(t, r.observe("a", 2*time.Second))
	assert.False(t, r.observe("a", 800*time.Millisecond))
	for i := range 3 * maxTrackedRoutes {
		r.observe(fmt.Sprint(i), time.Second)
	}
	assert.LessOrEqual(t, len(r.longest), maxTrackedRoutes)
}
