package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func request(id string) Fingerprints { return Of("s", id, "POST", "/p/"+id, []byte(id)) }

func blocked(d *Detector, now time.Time, f Fingerprints) bool {
	_, ok := d.Blocked(now, f)
	return ok
}

// Guards against a request that crashes one upstream after the other, under its own ID or under new ones.
func TestPoisonIsBlockedAfterTwoUpstreams(t *testing.T) {
	d := NewDetector()
	poison := request("poison")
	d.RecordCrash(start, "s", "u1", []Fingerprints{poison})
	assert.False(t, blocked(d, start, poison), "one crash proves nothing")
	d.RecordCrash(start.Add(time.Second), "s", "u1", []Fingerprints{poison})
	assert.False(t, blocked(d, start, poison), "the same upstream again proves nothing against the request")
	d.RecordCrash(start.Add(2*time.Second), "s", "u2", []Fingerprints{poison})
	assert.True(t, blocked(d, start.Add(3*time.Second), poison))
	assert.True(t, blocked(d, start.Add(3*time.Second), Of("s", "new ID", "POST", "/p/poison", []byte("poison"))))
	assert.False(t, blocked(d, start.Add(3*time.Second), request("other")))
	assert.False(t, blocked(d, start.Add(62*time.Second), poison), "the block ends after 60 s")
	d.RecordCrash(start.Add(70*time.Second), "s", "u3", []Fingerprints{poison})
	assert.True(t, blocked(d, start.Add(71*time.Second), poison), "one more crash blocks it again")
}

// Guards against evidence that stays on one entry, and against facts that count twice when two peers pass them on.
func TestEvidenceOfSeveralEntries(t *testing.T) {
	a, b := NewDetector(), NewDetector()
	poison := request("poison")
	first := a.RecordCrash(start, "s", "u1", []Fingerprints{poison})
	b.Observe(start.Add(time.Millisecond), first...)
	b.Observe(start.Add(time.Second), first...)
	assert.False(t, blocked(b, start.Add(time.Second), poison), "a repeated fact is the same crash")
	a.Observe(start.Add(3*time.Second), b.RecordCrash(start.Add(2*time.Second), "s", "u2", []Fingerprints{poison})...)
	assert.True(t, blocked(a, start.Add(4*time.Second), poison))
	assert.True(t, blocked(b, start.Add(4*time.Second), poison))
	b.Observe(start.Add(50*time.Second), first...)
	assert.False(t, blocked(b, start.Add(63*time.Second), poison), "a fact that is passed on again extends no block")
}

// Guards against innocent requests that happened to run beside the poison and stay blocked.
func TestInnocentRequestsAreCleared(t *testing.T) {
	a, b := NewDetector(), NewDetector()
	poison, innocent := request("poison"), request("innocent")
	for i, u := range []string{"u1", "u2"} {
		b.Observe(start, a.RecordCrash(start.Add(time.Duration(i)*time.Second), "s", u, []Fingerprints{poison, innocent})...)
	}
	now := start.Add(2 * time.Second)
	assert.True(t, blocked(a, now, innocent), "it cannot be told apart yet")
	cleared := a.Succeeded(innocent)
	assert.Len(t, cleared, 2)
	b.Clear(cleared...)
	for _, d := range []*Detector{a, b} {
		assert.False(t, blocked(d, now, innocent))
		assert.True(t, blocked(d, now, poison))
	}
	assert.False(t, blocked(a, now.Add(time.Minute), poison), "no block outlasts its time without a new crash")
}

// Guards against requests that are blamed for an upstream that crashes by itself.
func TestCrashLoopOfAnUpstream(t *testing.T) {
	d := NewDetector()
	victim := request("victim")
	d.RecordCrash(start, "s", "loop", []Fingerprints{victim})
	assert.False(t, d.CrashLoop(start, "loop"))
	d.RecordCrash(start, "s", "u2", []Fingerprints{victim})
	assert.True(t, blocked(d, start, victim))
	d.RecordCrash(start.Add(time.Second), "s", "loop", []Fingerprints{request("another")})
	now := start.Add(2 * time.Second)
	assert.True(t, d.CrashLoop(now, "loop"))
	assert.False(t, blocked(d, now, victim), "the crashes of a crash loop count against no request")
	assert.False(t, d.CrashLoop(now.Add(EvidenceTTL), "loop"))

	shared := NewDetector()
	poison := request("poison")
	for i := range 3 {
		shared.RecordCrash(start.Add(time.Duration(i)*time.Second), "s", "u1", []Fingerprints{poison, request(fmt.Sprint(i))})
	}
	assert.False(t, shared.CrashLoop(start.Add(4*time.Second), "u1"), "a request common to the crashes explains them")
}

// Guards against fingerprints that mix up services, methods or bodies, and against memory that grows with requests.
func TestFingerprintsAndMemory(t *testing.T) {
	base := Of("s", "", "GET", "/a", []byte("b"))
	assert.Empty(t, base.ID)
	assert.Len(t, base.Content, 16)
	for _, other := range []Fingerprints{Of("t", "", "GET", "/a", []byte("b")), Of("s", "", "PUT", "/a", []byte("b")), Of("s", "", "GET", "/b", []byte("b")), Of("s", "", "GET", "/a", []byte("c")), Of("s", "", "GET", "/ab", nil)} {
		assert.NotEqual(t, base, other)
	}
	d := NewDetector()
	for i := range 2 * MaxFingerprints {
		d.RecordCrash(start, "s", "u1", []Fingerprints{request(fmt.Sprint(i))})
	}
	assert.LessOrEqual(t, d.suspects.Len(), MaxFingerprints)
}

// Guards against one crash that two entries report, each with the requests that it lost itself, and that then counts as a
// crash loop (TestRequestThatCrashesUpstreams: 3 crashes where 2 are allowed, in 4 of 24 runs, six at a time).
func TestOneCrashSeenByTwoEntries(t *testing.T) {
	a, b := NewDetector(), NewDetector()
	poison := request("poison")
	a.RecordCrash(start, "s", "u1", []Fingerprints{poison})
	a.Observe(start.Add(60*time.Millisecond), b.RecordCrash(start.Add(50*time.Millisecond), "s", "u1", []Fingerprints{request("innocent")})...)
	assert.False(t, a.CrashLoop(start.Add(time.Second), "u1"))
	a.RecordCrash(start.Add(time.Second), "s", "u2", []Fingerprints{poison})
	assert.True(t, blocked(a, start.Add(time.Second), poison))
}
