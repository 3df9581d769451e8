package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against keeping an upstream that has left because a failed heartbeat read is mistaken for an outage, while other reads
// succeed: requests reached an upstream 2.7 s after it had left (scale-2 of yeux-sfax-grown, seed 172883276483).
func TestSingleFailedReadIsNotAnOutage(t *testing.T) {
	var o outage
	began := time.Now()
	o.recordResponse(began.Add(300 * time.Millisecond)) // operators' records, read through another entry
	o.recordFailure(began)
	o.recordResponse(began.Add(time.Second))
	assert.Zero(t, o.graceEnd())

	o.recordFailure(began.Add(1500 * time.Millisecond))
	o.recordResponse(began.Add(4 * time.Second))
	assert.Equal(t, began.Add(4*time.Second+outageGracePeriod), o.graceEnd())
}

// Guards against a grace period that restarts with each missing record: an upstream that leaves some time after the outage was kept
// as long as one whose record expired in it.
func TestGracePeriodStartsAtOutageEnd(t *testing.T) {
	const drain = 2500 * time.Millisecond // the longest time for which an upstream that leaves may get requests on the grown sites
	var o outage
	recoveredAt := time.Now()
	o.recordFailure(recoveredAt.Add(-time.Second))
	for after := time.Duration(0); after < 5*time.Second; after += 450 * time.Millisecond {
		o.recordResponse(recoveredAt.Add(after))
		assert.Less(t, o.graceEnd().Sub(recoveredAt), drain)
		assert.GreaterOrEqual(t, o.graceEnd().Sub(recoveredAt), 2*time.Second, "live upstreams register again within about 2 s")
	}
}
