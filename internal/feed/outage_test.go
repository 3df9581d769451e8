package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against an upstream that leaves and is kept as one whose record lapsed, because a read of heartbeats failed on a broken way to
// the store while other reads were answered (yeux-sfax-grown scale-2, seed 172883276483: requests 2.7 s after it had left).
func TestAReadThatFailsAloneIsNoOutage(t *testing.T) {
	var o outage
	began := time.Now()
	o.answered(began.Add(300 * time.Millisecond)) // orders, through another entry
	o.failed(began)
	o.answered(began.Add(time.Second))
	assert.Zero(t, o.lapseEnd())

	o.failed(began.Add(1500 * time.Millisecond))
	o.answered(began.Add(4 * time.Second))
	assert.Equal(t, began.Add(4*time.Second+lapseTime), o.lapseEnd())
}

// Guards against a time for lapsed records that begins anew with each record that is missing: an upstream that leaves some time after
// the outage was kept for as long as one that lapsed in it.
func TestLapsedRecordsMayComeBackForATimeAfterTheOutage(t *testing.T) {
	const drain = 2500 * time.Millisecond // the users' bound on the grown sites for an upstream that leaves
	var o outage
	back := time.Now()
	o.failed(back.Add(-time.Second))
	for after := time.Duration(0); after < 5*time.Second; after += 450 * time.Millisecond {
		o.answered(back.Add(after))
		assert.Less(t, o.lapseEnd().Sub(back), drain)
		assert.GreaterOrEqual(t, o.lapseEnd().Sub(back), 2*time.Second, "upstreams are back within about two seconds")
	}
}
